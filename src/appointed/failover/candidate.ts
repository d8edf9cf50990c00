/**
 * DECISION: which instance becomes primary.
 *
 * Answers: the primary failed or leaves, all leases on it have ended, and no acknowledged commit may be lost.
 * Inputs: positions (term and sequence) of the replicas that answered, how many did not, the old primary's position when it
 *   answered, what the proxies had acknowledged, and whether proxies or instances left since its epoch began.
 * Rule: of the eligible instances for which one of three proofs shows that they hold every acknowledged commit, the one that may
 *   serve most routes of its group, of these the one with the newest position:
 *   `allReplicas` (every replica answered and none is ahead of it), `oldPrimary` (it holds what the old primary held),
 *   `confirmations` (every proxy confirmed, and it holds what they had acknowledged). Without a proof none is chosen.
 * Constants: none. Tests: test/unit/failover.test.ts. Pure.
 */
import type { InstanceStatus } from '../instance/instance_connection.js';
import { comparePositions, covers } from '../../positions/position.js';
import type { RevocationState } from './lease_ledger.js';

/** A replica that answered after all leases had ended. */
export interface CandidateReport {
  /** Its identifier. */
  readonly instance: string;
  /** Its answer. */
  readonly status: InstanceStatus;
  /** Whether it may become primary: it is not about to leave. */
  readonly isEligible: boolean;
}

/** Everything that decides. */
export interface ChoiceInput {
  /** Answers of the replicas. */
  readonly reports: readonly CandidateReport[];
  /** Replicas that did not answer; any of them may hold what nobody else holds. */
  readonly missing: number;
  /** Position that the old primary answered after all leases had ended; undefined when it did not. */
  readonly oldPrimary: InstanceStatus | undefined;
  /** What the proxies said when their leases ended. */
  readonly revocation: Pick<RevocationState, 'isConfirmedByAll' | 'acknowledged'>;
  /** Whether the confirmations cover everything acknowledged in the epoch: no proxy was lost in it. */
  readonly isProxyHistoryComplete: boolean;
  /** Whether no instance of the group left since the epoch of the old primary began, with its log. */
  readonly isMembershipUnchanged: boolean;
  /** Term of the old primary. */
  readonly oldTerm: number;
  /** Number of bound routes that an instance may serve as the primary; the same for all when left out. */
  readonly servedRoutes?: (instance: string) => number;
}

/** What the choice rests on. */
type CandidateEvidence = 'allReplicas' | 'oldPrimary' | 'confirmations';

/** The chosen instance. */
export interface CandidateChoice {
  /** Its identifier. */
  readonly instance: string;
  /** What shows that it holds every acknowledged commit. */
  readonly evidence: CandidateEvidence;
}

/**
 * Whether the newest of all replicas must hold what was acknowledged, whatever position the proxies name: a
 * commit of this term was acknowledged only after a replica had received it and all before it, and none has
 * left since. The named position may lie beyond, since the answer to one commit names the end of a log in
 * which others are still waiting for their replica.
 */
function areAcknowledgedCommitsReplicated({
  revocation,
  isMembershipUnchanged,
  oldTerm,
}: ChoiceInput): boolean {
  return isMembershipUnchanged && revocation.acknowledged?.term === oldTerm;
}

/** The evidence that a position holds every acknowledged commit; undefined when there is none. */
function evidenceFor(status: InstanceStatus, input: ChoiceInput): CandidateEvidence | undefined {
  const { received } = status;
  const { revocation } = input;
  const isNewest = input.reports.every((report) => covers(received, report.status.received));
  const isNewestOfAllReplicas = input.missing === 0 && isNewest;
  if (isNewestOfAllReplicas && areAcknowledgedCommitsReplicated(input)) return 'allReplicas';
  // A replica that left may alone have held what the proxies name, so it must be there.
  if (revocation.acknowledged && !covers(received, revocation.acknowledged)) return undefined;
  if (isNewestOfAllReplicas) return 'allReplicas';
  if (input.oldPrimary && covers(received, input.oldPrimary.received)) return 'oldPrimary';
  if (!revocation.isConfirmedByAll || !input.isProxyHistoryComplete) return undefined;
  const isCovered = revocation.acknowledged !== undefined || received.term >= input.oldTerm;
  return isCovered ? 'confirmations' : undefined;
}

/** Eligible instance that provably holds every acknowledged commit: the one for most routes, of these the newest. */
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
