/**
 * State of this proxy's lease on the primary of one group: when it may be used, and when its revocation is confirmed.
 *
 * Guards against a proxy that uses a primary which control is replacing. A statement is sent only when the lease lasts
 * {@link SEND_MARGIN_MS} longer, and its answer is valid only before the lease ends. In a changing epoch no new statement is
 * sent. The revocation is confirmed when no commit is in flight, or when commits have had their time. Times are
 * milliseconds on this process's clock; a lease is counted from when its request was sent. Pure.
 *
 * Design: docs/design/appointed-primaries.md.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Position } from '../../positions/position.js';
import type { GroupEntry } from '../catalog/catalog.js';

/** Lease of an epoch that is being revoked; its answers are valid until the revocation is confirmed. */
interface EndingLease {
  readonly epoch: number;
  readonly until: number;
}

/** Lease of the newest known epoch of a group, and of the previous epoch until that has ended. */
export interface GroupLease {
  entry: GroupEntry;
  ending: EndingLease | undefined;
  /** When the lease ends; -Infinity where the epoch never had one. */
  leaseUntil: number;
  /** When this proxy learned of the entry. */
  knownSince: number;
  /** Highest position acknowledged to a caller. */
  acknowledged: Position | undefined;
  /** Number of statements in flight that a revocation should wait for. */
  commitsInFlight: number;
  /** CHANGING epoch for which the leases of earlier epochs have ended. */
  revokedEpoch: number;
  /** Newest epoch whose confirmation control has received. */
  confirmedEpoch: number;
  /** Epoch whose primary has restarted; it gets no lease any more. */
  distrustedEpoch: number;
}

/** Remaining time of a lease below which no new statement is sent: the time of a short answer. */
const SEND_MARGIN_MS = 60;
/** Longest time that commits in flight delay a planned revocation. */
const PLANNED_COMMIT_WAIT_MS = 250;
/**
 * Longest time that commits in flight delay the revocation of a failed primary: enough for proxies that still reach it.
 * Waiting for commits on a primary that answers nothing only prolongs the change.
 */
const FAILOVER_COMMIT_WAIT_MS = 80;

function endingLease(known: GroupLease | undefined): EndingLease | undefined {
  if (!known) return undefined;
  const epoch = known.entry.epoch ?? 0;
  // An epoch that never had a lease leaves the lease of the epoch before it unchanged.
  if (known.leaseUntil === -Infinity) return known.ending;
  return { epoch, until: known.leaseUntil };
}

/** Whether commits in flight have ended or timed out, and control has not received the confirmation yet. */
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

/** Whether the current epoch has or had a lease and is not being revoked. */
export function isLeased({ entry, leaseUntil }: GroupLease): boolean {
  return leaseUntil !== -Infinity && entry.phase !== whinyoke.GroupPhase.CHANGING;
}

/** Whether the current epoch may be leased: it is not being revoked, and its primary has not restarted. */
export function isLeasable({ entry, distrustedEpoch }: GroupLease): boolean {
  return entry.phase !== whinyoke.GroupPhase.CHANGING && entry.epoch !== distrustedEpoch;
}

/** Whether a statement may be sent to the primary at `now`. */
export function isUsable({ leaseUntil }: GroupLease, now: number): boolean {
  return now < leaseUntil - SEND_MARGIN_MS;
}

/** Whether an answer of the primary of `epoch` is valid at `now`. */
export function isAnswerValid(
  { entry, leaseUntil, ending }: GroupLease,
  epoch: number,
  now: number,
): boolean {
  if (entry.epoch === epoch) return now < leaseUntil;
  return ending?.epoch === epoch && now < ending.until;
}
