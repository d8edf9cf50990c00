/**
 * DECISION: the lease of one group: when it may be used, and when its revocation is confirmed. Pure: owns nothing, relies on nothing
 * that may fail.
 *
 * Answers: a primary is replaced while proxies use it, some of them cut off from control.
 * Inputs: the newest known epoch and its phase; when the lease ends, counted from when its request was sent (ms of this
 * process's clock); commits under way; the present time (ms of the same clock).
 * Rule: a statement is sent only when the lease lasts {@link SEND_MARGIN_MS} longer, and its answer counts only before the
 * lease ends. In a changing epoch nothing new is sent. The revocation is confirmed when no commit is under way, or when
 * commits have had their time.
 * Shown by: docs/design/appointed-primaries.md; test/unit/failover.test.ts.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Position } from '../../positions/position.js';
import type { GroupEntry } from '../catalog/catalog.js';

/** Lease of an epoch that is being revoked: answers count until the revocation is confirmed. */
interface EndingLease {
  readonly epoch: number;
  readonly until: number;
}

/** Lease of the newest known epoch of a group, and of the epoch before while that ends. */
export interface GroupLease {
  entry: GroupEntry;
  ending: EndingLease | undefined;
  /** When the lease ends, on this process's clock; -Infinity where the epoch never had one. */
  leaseUntil: number;
  /** When this proxy learned of the entry, on its own clock. */
  knownSince: number;
  /** Highest position acknowledged to a caller. */
  acknowledged: Position | undefined;
  /** Statements under way whose outcome a revocation should wait for. */
  commitsInFlight: number;
  /** CHANGING epoch for which the leases of earlier ones have ended. */
  revokedEpoch: number;
  /** Newest epoch whose confirmation control has taken. */
  confirmedEpoch: number;
  /** Epoch whose primary has started again: it gets no lease any more. */
  distrustedEpoch: number;
}

/**
 * Remaining life of a lease under which nothing new is sent, in milliseconds: the time of a short answer. Guess, not
 * measured.
 */
const SEND_MARGIN_MS = 60;
/** Longest time that commits under way delay a planned revocation, in milliseconds. Guess, not measured. */
const PLANNED_COMMIT_WAIT_MS = 250;
/**
 * Longest time that commits under way delay a revocation where the primary is in trouble, in milliseconds: a few
 * statements' time, for the proxies that can still use it. Commits on a primary that answers nothing only lengthen the
 * change. docs/measurements/pieraksts.md: with a silence of 350 ms, score of a day with
 * faults 0.618 to 0.632 and 0.631.
 */
const FAILOVER_COMMIT_WAIT_MS = 80;

function endingLease(known: GroupLease | undefined): EndingLease | undefined {
  if (!known) return undefined;
  const epoch = known.entry.epoch ?? 0;
  // An epoch that never had a lease here leaves the lease before it as it was.
  if (known.leaseUntil === -Infinity) return known.ending;
  return { epoch, until: known.leaseUntil };
}

/** Whether the commits under way are over, or have had their time, and control has not taken the confirmation yet. */
export function isRevocationDue(lease: GroupLease, now: number): boolean {
  const isChanging = lease.entry.phase === whinyoke.GroupPhase.CHANGING;
  if (!isChanging || lease.confirmedEpoch >= (lease.entry.epoch ?? 0)) return false;
  const maxWaitMs = lease.entry.planned ? PLANNED_COMMIT_WAIT_MS : FAILOVER_COMMIT_WAIT_MS;
  return lease.commitsInFlight === 0 || now - lease.knownSince > maxWaitMs;
}

/** Lease after control sent an entry of the same or a later epoch. */
export function updatedLease(
  known: GroupLease | undefined,
  entry: GroupEntry,
  now: number,
): GroupLease {
  if (known?.entry.epoch === entry.epoch && known) return { ...known, entry };
  return {
    entry,
    ending: endingLease(known),
    leaseUntil: -Infinity,
    knownSince: now,
    acknowledged: known?.acknowledged,
    commitsInFlight: known?.commitsInFlight ?? 0,
    revokedEpoch: known?.revokedEpoch ?? 0,
    confirmedEpoch: known?.confirmedEpoch ?? 0,
    distrustedEpoch: known?.distrustedEpoch ?? 0,
  };
}

/** Whether the present epoch has or had a lease, and is not being revoked. */
export function isLeased({ entry, leaseUntil }: GroupLease): boolean {
  return leaseUntil !== -Infinity && entry.phase !== whinyoke.GroupPhase.CHANGING;
}

/** Whether the present epoch may be leased: it is not being revoked, and its primary has not started again. */
export function isLeasable({ entry, distrustedEpoch }: GroupLease): boolean {
  return entry.phase !== whinyoke.GroupPhase.CHANGING && entry.epoch !== distrustedEpoch;
}

/** Whether a statement may be sent to the primary at `now`: the lease will outlast a short answer. */
export function isUsable({ leaseUntil }: GroupLease, now: number): boolean {
  return now < leaseUntil - SEND_MARGIN_MS;
}

/** Whether an answer of the primary of `epoch` counts at `now`. */
export function isAnswerValid(
  { entry, leaseUntil, ending }: GroupLease,
  epoch: number,
  now: number,
): boolean {
  if (entry.epoch === epoch) return now < leaseUntil;
  return ending?.epoch === epoch && now < ending.until;
}
