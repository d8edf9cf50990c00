/**
 * Freshness for sessions that bring no token: a quorum barrier.
 *
 * Each acknowledged commit is held by a majority of the group's instances (see commit_evidence.ts), so
 * the newest received position among any majority, asked after the read arrived, covers every commit
 * acknowledged before. No primary is needed, so reads go on during a failover.
 */
import { type Clock } from '../../runtime/runtime.js';
import { majorityOf } from '../topology/group_description.js';
import type { InstanceProber } from '../topology/instance_prober.js';
import type { InstanceReport } from '../topology/instance_report.js';
import { type Position, START, latest } from '../../positions/position.js';

/**
 * The newest position that a majority reports, or undefined when no majority answered in time.
 * @param timeoutMs - how long to wait for a majority, in milliseconds
 */
export function quorumBarrier(
  probers: readonly InstanceProber[],
  clock: Clock,
  timeoutMs: number,
): Promise<Position | undefined> {
  return new Promise((resolve) => {
    const majority = majorityOf(probers.length);
    let answers = 0;
    let failures = 0;
    let newest = START;
    const timeout = clock.setTimer(timeoutMs, () => resolve(undefined));
    const finish = (position: Position | undefined): void => {
      timeout.cancel();
      resolve(position);
    };
    const onReport = (report: InstanceReport): void => {
      if (!report.isOnline) return onFailure();
      answers++;
      newest = latest(newest, report.received);
      if (answers === majority) finish(newest);
    };
    const onFailure = (): void => {
      failures++;
      if (probers.length - failures < majority) finish(undefined);
    };
    for (const prober of probers) prober.probeAfterNow().then(onReport, onFailure);
  });
}
