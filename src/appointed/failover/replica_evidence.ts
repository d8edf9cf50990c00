/**
 * DECISION: whose answers tell what was confirmed in an epoch, when a primary is chosen.
 *
 * Answers: an instance that starts again under its identifier holds nothing, so its answer tells nothing of what its former
 *   incarnation had confirmed; control may hear of that later than it gets the answer.
 * Inputs: number and `born` of each instance in the catalog, since when its incarnation counts, whether that has caught up, the
 *   position of its answer, since when the connection of the answer was open and the newest heartbeat (milliseconds on the
 *   leader's clock), and the least position, the begin and the primary's incarnation of the epoch.
 * Rule: a replica that started again within the epoch is missing until it has caught up. The answer of any other counts when it
 *   came on a connection that was open {@link LATEST_HEARTBEAT_MS} or more before a heartbeat of the known incarnation came: a new
 *   process can't go on with a connection, and two don't run at once. The old primary's answer counts only from the epoch's
 *   incarnation, with no shorter a log than the epoch's and every replica's; where the epoch's was empty, also on such a
 *   connection. Instances that never told `born` always speak for themselves.
 * Constants: below. Tests: test/unit/incarnations.test.ts. Owns nothing.
 */
import type { Catalog, GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import type { InstanceStatus } from '../instance/instance_connection.js';
import { coversEpochMinimum } from '../leases/epoch_incarnation.js';
import { START, covers } from '../../positions/position.js';
import type { CandidateReport } from './candidate.js';
import type { CaughtUpInstances } from './caught_up_instances.js';
import type { InstanceMonitor } from './instance_monitor.js';

/**
 * A heartbeat that comes this much after a moment was sent after it, in milliseconds: its sender waits a second for the answer, a
 * control machine 0.9 s for the leader. A guess, not measured.
 */
const MAX_HEARTBEAT_DELAY_MS = 2000;

/** What the rule needs of the leader. */
interface EvidenceContext {
  readonly catalog: Catalog;
  readonly monitor: InstanceMonitor;
  readonly caughtUp: Pick<CaughtUpInstances, 'has'>;
}

/** Answers of replicas as evidence. */
interface EvaluatedAnswers {
  /** All answers; they are eligible only where their log covers the epoch's. */
  readonly reports: readonly CandidateReport[];
  /** Replicas whose word on what they had confirmed is missing. */
  readonly missing: number;
}

/** Evidence of one change of primary. */
export class ReplicaEvidence {
  constructor(
    private readonly context: EvidenceContext,
    private readonly epoch: GroupEntry,
  ) {}

  /** Weighs the answers of the replicas. */
  evaluate(
    replicas: readonly InstanceEntry[],
    reports: readonly CandidateReport[],
  ): EvaluatedAnswers {
    let conclusiveCount = 0;
    const evaluated = reports.map((report) => {
      const instance = replicas.find(({ id }) => id === report.instance);
      const isConclusive =
        instance !== undefined && this.isConclusiveAnswer(instance, report.status);
      if (isConclusive) conclusiveCount++;
      const coversEpoch = this.holdsEarlierEpochs(instance, report.status, isConclusive);
      return { ...report, isEligible: report.isEligible && coversEpoch };
    });
    return { reports: evaluated, missing: replicas.length - conclusiveCount };
  }

  /**
   * Whether a log holds what was acknowledged before the epoch began: the proxy or the replica that knew of it may have been
   * lost then. Once an instance is to be appointed, the entry names the position of that one, which others may lack.
   */
  private holdsEarlierEpochs(
    instance: InstanceEntry | undefined,
    { received }: InstanceStatus,
    isConclusive: boolean,
  ): boolean {
    const isChecked = instance?.born && !(isConclusive && this.epoch.target);
    return !isChecked || coversEpochMinimum(this.epoch, received);
  }

  /** Whether the answer of the old primary is that of the incarnation which led the epoch. */
  isAnswerOfOldPrimary(
    old: InstanceEntry,
    status: InstanceStatus,
    replicas: readonly CandidateReport[],
  ): boolean {
    const { received } = status;
    if ((old.incarnation ?? 0) !== (this.epoch.primaryIncarnation ?? 0)) return false;
    if (!old.born) return true;
    // No log is too short for an epoch that began with an empty one.
    const isRestartVisible = !coversEpochMinimum(this.epoch, START);
    if (!isRestartVisible && !this.isOfKnownIncarnation(old, status)) return false;
    const isLongest = replicas.every((report) => covers(received, report.status.received));
    return isLongest && coversEpochMinimum(this.epoch, received);
  }

  /** Whether an answer holds what was named in the log when its instance was appointed; otherwise it started again since. */
  holdsRecordedPosition({ instance, status }: CandidateReport): boolean {
    const { catalog } = this.context;
    const present = catalog.group(this.epoch.group ?? '') ?? this.epoch;
    return !catalog.instance(instance)?.born || coversEpochMinimum(present, status.received);
  }

  /** Whether the known incarnation gave an answer, and holds all that its instance had confirmed in the epoch. */
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
