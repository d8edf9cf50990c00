/**
 * Chooses the instance that becomes primary, without losing an acknowledged commit.
 *
 * Called after all leases on the old primary have ended. Of the eligible instances that provably hold every acknowledged
 * commit, the one that may serve most routes of its group is chosen, and among these the one with the newest position.
 * It must hold what was acknowledged in earlier epochs, and what was acknowledged in the old primary's own epoch. For the
 * latter there are three proofs; without one of them no instance is chosen:
 * - `allReplicas`: every instance that served as a replica since the replica watermark answered, with the incarnation that
 *   served, and none is ahead of it. A commit is acknowledged only after a replica received it and all before it.
 * - `oldPrimary`: it holds what the old primary held, in the incarnation that led the epoch, after all leases had ended.
 * - `confirmations`: every registered proxy confirmed the end of its lease in its present incarnation, and it holds what they
 *   acknowledged in the epoch, and the proxy watermark.
 *
 * A watermark accounts for evidence that was lost (`commit_watermarks.ts`). Of an instance that control never heard of nothing
 * is known: one may not serve as a replica before its first heartbeat is recorded.
 *
 * Pure.
 */
import type { InstanceStatus } from '../instance/instance_connection.js';
import { type Position, comparePositions, contains, covers } from '../../positions/position.js';
import type { RevocationState } from './lease_ledger.js';

/** Status of a replica, asked for after all leases had ended. */
export interface CandidateReport {
  /** Its identifier. */
  readonly instance: string;
  /** Its answer. */
  readonly status: InstanceStatus;
  /** Whether it may become primary: it is not leaving. */
  readonly isEligible: boolean;
}

/** Input of the choice. */
export interface ChoiceInput {
  /** Answers of the replicas. */
  readonly reports: readonly CandidateReport[];
  /** Number of replicas that did not answer; any of them may hold a commit that no other instance holds. */
  readonly missing: number;
  /** Status of the old primary after all leases had ended; undefined when it did not answer. */
  readonly oldPrimary: InstanceStatus | undefined;
  /** What the proxies reported when their leases ended. */
  readonly revocation: Pick<RevocationState, 'isConfirmedByAll' | 'acknowledged'>;
  /** At or after every commit acknowledged before the newest loss of a proxy; undefined if not known. */
  readonly proxyWatermark: Position | undefined;
  /** At or after every commit acknowledged before the newest end of an instance of the group; undefined if not known. */
  readonly replicaWatermark: Position | undefined;
  /** At or after every commit acknowledged before the epoch of the old primary began. */
  readonly inheritedPosition: Position;
  /** Term of the old primary. */
  readonly oldTerm: number;
  /** Number of region-bound routes that an instance may serve as primary; equal for all when omitted. */
  readonly servedRoutes?: (instance: string) => number;
}

/** Proof on which a choice is based. */
type CandidateEvidence = 'allReplicas' | 'oldPrimary' | 'confirmations';

/** The chosen instance. */
export interface CandidateChoice {
  /** Its identifier. */
  readonly instance: string;
  /** Proof that it holds every acknowledged commit. */
  readonly evidence: CandidateEvidence;
}

/** Highest position that a proxy reported as acknowledged in the epoch; that of earlier ones is inherited. */
function acknowledgedInEpoch({ revocation, oldTerm }: ChoiceInput): Position | undefined {
  const { acknowledged } = revocation;
  return acknowledged && acknowledged.term >= oldTerm ? acknowledged : undefined;
}

/** Whether what the proxies reported is all that was acknowledged in the epoch, and a log contains it. */
function isProvenByProxies(received: Position, input: ChoiceInput): boolean {
  const { revocation, proxyWatermark } = input;
  if (!revocation.isConfirmedByAll || !proxyWatermark) return false;
  const acknowledged = acknowledgedInEpoch(input);
  const isCovered = acknowledged === undefined || covers(received, acknowledged);
  return isCovered && contains(received, proxyWatermark);
}

/**
 * Whether the reports are of all replicas that may have confirmed a commit since the watermark, and a log is the newest. The
 * position that proxies reported may lie beyond it: the answer to one commit names the end of a log in which others still
 * wait for their replica.
 */
function isProvenByReplicas(
  received: Position,
  { reports, missing, replicaWatermark }: ChoiceInput,
): boolean {
  if (missing > 0 || !replicaWatermark) return false;
  const isNewest = reports.every((report) => covers(received, report.status.received));
  return isNewest && contains(received, replicaWatermark);
}

/** Proof that a log contains every acknowledged commit; undefined when there is none. */
function evidenceFor(
  { received }: InstanceStatus,
  input: ChoiceInput,
): CandidateEvidence | undefined {
  if (!contains(received, input.inheritedPosition)) return undefined;
  if (isProvenByReplicas(received, input)) return 'allReplicas';
  if (input.oldPrimary && covers(received, input.oldPrimary.received)) return 'oldPrimary';
  return isProvenByProxies(received, input) ? 'confirmations' : undefined;
}

/** Chooses an eligible instance that provably holds every acknowledged commit; undefined when there is none. */
export function chooseCandidate(input: ChoiceInput): CandidateChoice | undefined {
  const eligible = input.reports.filter((report) => report.isEligible);
  const { servedRoutes = () => 0 } = input;
  const bestFirst = eligible.sort(
    (left, right) =>
      servedRoutes(right.instance) - servedRoutes(left.instance) ||
      comparePositions(right.status.received, left.status.received),
  );
  for (const { instance, status } of bestFirst) {
    const evidence = evidenceFor(status, input);
    if (evidence) return { instance, evidence };
  }
  return undefined;
}
