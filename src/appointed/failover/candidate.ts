/**
 * Chooses the instance that becomes primary, without losing an acknowledged commit.
 *
 * Called after all leases on the old primary have ended. Of the eligible instances that provably hold every acknowledged
 * commit, the one that may serve most routes of its group is chosen, and among these the one with the newest position.
 * It must hold what was acknowledged in earlier epochs, and what was acknowledged in the old primary's own epoch. For the
 * latter there are three proofs; without one of them no instance is chosen:
 * - `allReplicas`: every replica answered and none is ahead of it;
 * - `oldPrimary`: it holds what the old primary held;
 * - `confirmations`: every proxy confirmed, and it holds what the proxies had acknowledged.
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
  /** Whether the confirmations cover everything acknowledged in the epoch: no proxy was lost during it. */
  readonly isProxyHistoryComplete: boolean;
  /** Whether no instance left the group, with its log, since the epoch of the old primary began. */
  readonly isMembershipUnchanged: boolean;
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

/** Proof that a position covers every acknowledged commit; undefined when there is none. */
function evidenceFor(status: InstanceStatus, input: ChoiceInput): CandidateEvidence | undefined {
  const { received } = status;
  if (!contains(received, input.inheritedPosition)) return undefined;
  const isNewest = input.reports.every((report) => covers(received, report.status.received));
  const isNewestOfAllReplicas = input.missing === 0 && isNewest;
  // The reported position may lie beyond what any replica received: the answer to one commit names the end of a log in
  // which others still wait for their replica.
  if (isNewestOfAllReplicas && input.isMembershipUnchanged) return 'allReplicas';
  // A replica that has left may have been the only one with the reported position, so the position must be covered.
  const acknowledged = acknowledgedInEpoch(input);
  if (acknowledged && !covers(received, acknowledged)) return undefined;
  if (isNewestOfAllReplicas) return 'allReplicas';
  if (input.oldPrimary && covers(received, input.oldPrimary.received)) return 'oldPrimary';
  const isHistoryComplete = input.revocation.isConfirmedByAll && input.isProxyHistoryComplete;
  return isHistoryComplete ? 'confirmations' : undefined;
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
