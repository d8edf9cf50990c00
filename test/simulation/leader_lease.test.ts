/**
 * Property of the leader lease, over random faults: while a member holds it, and for a quarter of an election timeout after
 * that, no other member leads in a higher term. Members are frozen, killed, cut off and slowed down.
 */
import t from 'tap';
import { APPOINTED_RAFT_OPTIONS } from '../../src/appointed/control/appointed_control.js';
import type { RaftNode } from '../../src/consensus/raft_node.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { ConsensusGroup } from '../tools/consensus_group.js';
import { LeadershipWatch } from '../tools/leadership_watch.js';

const SEED_COUNT = 20;
/** No other member begins to lead for this long after a lease was held. */
const MARGIN_MS = APPOINTED_RAFT_OPTIONS.electionTimeoutMs / 4;
const RUN_MS = 20_000;
const PROPOSAL_MS = 40;
const LONGEST_PAUSE_MS = 900;
/** A restarted member does not know of the leader; a process takes at least as long to start. */
const SHORTEST_RESTART_MS = 400;

const REGIONS = [
  ['west', 'west', 'west'],
  ['west', 'west', 'west', 'west', 'west'],
  ['west', 'east', 'west', 'east', 'west'],
] as const;

/** Stops the leader for about an election timeout: it goes on while others elect. */
function stopLeader({ scheduler, machines }: ConsensusGroup, random: SeededRandom): void {
  const leading = machines.find(({ isUp, node }) => isUp && node?.isReadyLeader);
  const { electionTimeoutMs } = APPOINTED_RAFT_OPTIONS;
  const ms = random.integer(0.8 * electionTimeoutMs, 1.5 * electionTimeoutMs);
  if (leading) scheduler.schedule(ms, leading.freeze());
}

/** Starts one fault, which ends by itself. */
function strike(group: ConsensusGroup, random: SeededRandom): void {
  const { scheduler, network, machines } = group;
  const target = machines[random.integer(0, machines.length - 1)]!;
  const hosts = machines.map(({ host }) => host).filter((host) => host !== target.host);
  const some = hosts.filter(() => random.next() < 0.7);
  const lastsMs = random.integer(20, 1500);
  const faults: readonly (() => void)[] = [
    () => stopLeader(group, random),
    () => stopLeader(group, random),
    () => scheduler.schedule(lastsMs, target.freeze()),
    () => {
      // Another fault starts it again.
      if (!target.isUp) return;
      target.kill();
      scheduler.schedule(SHORTEST_RESTART_MS + lastsMs, () => target.start());
    },
    () => scheduler.schedule(lastsMs, network.cut([target.host], some)),
    () => scheduler.schedule(lastsMs, network.cut(some, [target.host])),
    () => {
      const ends = [network.cut([target.host], some), network.cut(some, [target.host])];
      scheduler.schedule(lastsMs, () => ends.forEach((end) => end()));
    },
    () => {
      const slowMs = random.integer(5, 250);
      const ends = some.map((host) => network.slow(target.host, host, slowMs));
      scheduler.schedule(lastsMs, () => ends.forEach((end) => end()));
    },
  ];
  faults[random.integer(0, faults.length - 1)]!();
}

function strikeAgainAndAgain(group: ConsensusGroup, random: SeededRandom): void {
  group.scheduler.schedule(random.integer(0, LONGEST_PAUSE_MS), () => {
    strike(group, random);
    strikeAgainAndAgain(group, random);
  });
}

/** Keeps the logs growing; a proposal that fails has no effect on leases. */
function proposeAgainAndAgain(group: ConsensusGroup): void {
  void group.leader?.propose(new Uint8Array(1)).catch(() => undefined);
  group.scheduler.schedule(PROPOSAL_MS, () => proposeAgainAndAgain(group));
}

interface Observation {
  readonly claims: number;
  readonly leaderships: number;
  readonly violations: readonly string[];
}

async function observe(
  seed: number,
  hasClaim: (node: RaftNode) => boolean,
  marginMs: number,
): Promise<Observation> {
  const regions = REGIONS[seed % REGIONS.length]!;
  const group = new ConsensusGroup(seed, regions, seed % 2 === 0 ? 1 / 40 : 0);
  const watch = new LeadershipWatch(group, hasClaim, marginMs);
  for (const machine of group.machines) machine.start();
  await group.run(1000);
  watch.start();
  proposeAgainAndAgain(group);
  strikeAgainAndAgain(group, new SeededRandom(seed));
  await group.run(RUN_MS);
  const leaderships = group.changes.filter(({ role }) => role === 'leader').length;
  return { claims: watch.claims, leaderships, violations: watch.violations };
}

void t.test('while a leader lease is held, no other member leads', async (t) => {
  let claims = 0;
  let leaderships = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const observed = await observe(seed, (node) => node.holdsLeaderLease, MARGIN_MS);
    t.same(observed.violations, [], `seed ${seed}`);
    claims += observed.claims;
    leaderships += observed.leaderships;
  }
  t.comment(`${claims} looks at a held lease, ${leaderships} leaderships`);
  t.ok(leaderships > 5 * SEED_COUNT, 'leaders changed');
  t.ok(claims > SEED_COUNT, 'leases were held');
});

/** First violation of a claim that excludes less. */
async function firstViolation(
  hasClaim: (node: RaftNode) => boolean,
  marginMs: number,
): Promise<string> {
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const { violations } = await observe(seed, hasClaim, marginMs);
    if (violations.length > 0) return violations[0]!;
  }
  return '';
}

void t.test(
  'the watch finds leaders beside a member that only believes that it leads',
  async (t) => {
    t.match(await firstViolation((node) => node.role === 'leader', -Infinity), /claims in/);
  },
);

void t.test('the watch finds leaders that begin to lead later than the margin', async (t) => {
  t.match(await firstViolation((node) => node.holdsLeaderLease, 4 * MARGIN_MS), /after a claim/);
});
