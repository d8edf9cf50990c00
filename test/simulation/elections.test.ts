/**
 * Elections between two regions after a loss of power, with and without packet loss. Guards against
 * candidates that collide again and again over long links.
 */
import t from 'tap';
import { ConsensusGroup } from '../tools/consensus_group.js';

const SEED_COUNT = 200;
const TWO_REGIONS = ['west', 'east', 'west', 'east', 'west', 'east'];
/** Machines start within this time after power returns. */
const START_SPREAD_MS = 500;
/** Time observed after power returned. */
const OBSERVATION_MS = 6000;

/**
 * Times until a leader stays, over many seeds, sorted; and the number of leaderships that were lost
 * again.
 */
async function measurePowerReturns(lossShare: number): Promise<{ times: number[]; lost: number }> {
  const times: number[] = [];
  let lost = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const group = new ConsensusGroup(seed, TWO_REGIONS, lossShare);
    for (const machine of group.machines) machine.start();
    await group.run(3000);
    await group.losePower(1000, START_SPREAD_MS);
    group.changes.length = 0;
    times.push((await group.timeToStableLeader(OBSERVATION_MS)) - START_SPREAD_MS);
    const won = group.changes.filter(({ role }) => role === 'leader');
    lost += Math.max(0, won.length - 1);
  }
  return { times: times.sort((left, right) => left - right), lost };
}

function summary(times: readonly number[]): string {
  const at = (part: number): string => times[Math.floor(part * (times.length - 1))]!.toFixed(0);
  return `median ${at(0.5)}, p90 ${at(0.9)}, maximum ${at(1)} ms`;
}

void t.test(
  'after a power loss of two regions a stable leader is elected within a second',
  async (t) => {
    const { times, lost } = await measurePowerReturns(0);
    t.comment(`${summary(times)}; ${lost} leaderships lost again`);
    t.ok(times.at(-1)! <= 1000, summary(times));
  },
);

void t.test(
  'after a power loss a stable leader is elected even if links lose one packet in forty',
  async (t) => {
    const { times, lost } = await measurePowerReturns(1 / 40);
    t.comment(`${summary(times)}; ${lost} leaderships lost again`);
    t.ok(times.at(-1)! <= 1500, summary(times));
  },
);
