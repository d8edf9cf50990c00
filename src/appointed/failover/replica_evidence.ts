/**
 * Decides whose answers are evidence of what was confirmed in an epoch, when a primary is chosen.
 *
 * An instance that restarts under its identifier is empty, so its answer says nothing of what its former incarnation had
 * confirmed, and control may learn of the restart only after it got the answer.
 * - A replica that restarted within the epoch counts as missing until it has caught up.
 * - The answer of any other replica counts when it came on a connection that was open {@link MAX_HEARTBEAT_DELAY_MS} or
 *   more before a heartbeat of the known incarnation arrived: a new process can't continue a connection, and two don't run
 *   at once.
 * - The old primary's answer counts only from the epoch's incarnation, with a log no shorter than the epoch's minimum and
 *   every replica's; where the epoch began empty, also only on such a connection.
 * - Instances that report no start time always count.
 */
import type { Catalog, GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import type { InstanceStatus } from '../instance/instance_connection.js';
import { coversEpochMinimum } from '../leases/epoch_incarnation.js';
import { START, contains, covers } from '../../positions/position.js';
import type { CandidateReport } from './candidate.js';
import type { CaughtUpInstances } from './caught_up_instances.js';
import { inheritedPositionOf } from './inherited_position.js';
import type { InstanceMonitor } from './instance_monitor.js';

/**
 * Longest delay of a heartbeat: one that arrives this long after a moment was sent after it. Its sender waits a second for
 * the answer, a control machine 0.9 s for the leader.
 */
const MAX_HEARTBEAT_DELAY_MS = 2000;

interface EvidenceContext {
  readonly catalog: Catalog;
  readonly monitor: InstanceMonitor;
  readonly caughtUp: Pick<CaughtUpInstances, 'has'>;
}

/** Evidence in one change of primary. */
export class ReplicaEvidence {
  constructor(
    private readonly context: EvidenceContext,
    private readonly epoch: GroupEntry,
  ) {}

  /** Number of replicas without conclusive evidence of what they had confirmed. */
  countMissing(replicas: readonly InstanceEntry[], reports: readonly CandidateReport[]): number {
    const conclusive = reports.filter(({ instance: id, status }) => {
      const instance = replicas.find((replica) => replica.id === id);
      return instance !== undefined && this.isConclusiveAnswer(instance, status);
    });
    return replicas.length - conclusive.length;
  }

  /** Whether an answer comes from the incarnation of the old primary which led the epoch. */
  isAnswerOfOldPrimary(
    old: InstanceEntry,
    status: InstanceStatus,
    replicas: readonly CandidateReport[],
  ): boolean {
    const { received } = status;
    if ((old.incarnation ?? 0) !== (this.epoch.primaryIncarnation ?? 0)) return false;
    // The primary of the epoch held this when it was chosen.
    if (!contains(received, inheritedPositionOf(this.epoch) ?? START)) return false;
    if (!old.born) return true;
    // No log is too short for an epoch that began with an empty one, so a restart doesn't show in it.
    const isRestartVisible = !coversEpochMinimum(this.epoch, START);
    if (!isRestartVisible && !this.isOfKnownIncarnation(old, status)) return false;
    const isLongest = replicas.every((report) => covers(received, report.status.received));
    return isLongest && coversEpochMinimum(this.epoch, received);
  }

  /** Whether an answer holds the position recorded when its instance was chosen; otherwise the instance has restarted. */
  holdsRecordedPosition({ instance, status }: CandidateReport): boolean {
    const { catalog } = this.context;
    const present = catalog.group(this.epoch.group ?? '') ?? this.epoch;
    return !catalog.instance(instance)?.born || coversEpochMinimum(present, status.received);
  }

  /** Whether an answer is from the known incarnation, and that holds all that its instance had confirmed in the epoch. */
  private isConclusiveAnswer(instance: InstanceEntry, status: InstanceStatus): boolean {
    if (!instance.born) return true;
    const { catalog, caughtUp } = this.context;
    const isOfEpoch =
      catalog.incarnationStartIndex(instance.id ?? '') <= (this.epoch.steadySince ?? 0);
    if (!isOfEpoch && !caughtUp.has(instance)) return false;
    return this.isOfKnownIncarnation(instance, status);
  }

  /** Whether an answer came from the incarnation that the catalog knows. */
  private isOfKnownIncarnation({ id, born }: InstanceEntry, status: InstanceStatus): boolean {
    const connectedSince = status.connectedSince ?? Infinity;
    const since = connectedSince + MAX_HEARTBEAT_DELAY_MS;
    return this.context.monitor.hasHeartbeatSince(id ?? '', born ?? 0, since);
  }
}
