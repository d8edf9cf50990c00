/** One trial of stops at random moments: the primary crashes several times, and each time a control machine is stopped soon after. */
import { pause, until } from '../../review/record.js';
import { PrimaryChangeTrial } from './primary_change_trial.js';
import { between, pick } from './random.js';

const ROUNDS = 5;
/** From the crash to the stop. */
const MOMENT_MS = [0, 400];
const STOP_MS = [300, 3000];
/** Share of the stops that strike the leader. */
const LEADER = 0.7;
/** Time for another instance to lead, and for the group to be whole again before the next crash. */
const CHANGE_MS = 20_000;
const BETWEEN_MS = [700, 1500];

export class RandomStops extends PrimaryChangeTrial {
  constructor(plan, record, cleanUp, seed) {
    super(record, cleanUp, seed);
  }

  async disturb() {
    for (let round = 0; round < ROUNDS; round++) {
      const former = this.crashPrimary();
      await Promise.all([this.stopControl(), this.bringBack(former)]);
      await until('a primary leads', CHANGE_MS, () => this.group.primary);
      const { length } = this.verdicts.commits;
      await until('writes succeed', CHANGE_MS, () => this.verdicts.commits.length > length);
      await pause(between(...BETWEEN_MS, this.random));
    }
    return true;
  }

  async stopControl() {
    const { deployment } = this.site;
    const moment = between(...MOMENT_MS, this.random);
    const stopMs = between(...STOP_MS, this.random);
    const other = pick(['core-1', 'core-2', 'core-3'], this.random);
    const isLeader = this.random() < LEADER;
    await pause(moment);
    const name = isLeader ? (deployment.leader ?? other) : other;
    deployment.signal(name, 'SIGSTOP');
    await pause(stopMs);
    deployment.signal(name, 'SIGCONT');
  }
}
