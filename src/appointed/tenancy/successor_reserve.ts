/**
 * Decides how many operations a leader leaves in the bucket of a tenant for its successor ("floor" in the log and on the
 * wire). The successor reserve is stored in the replicated log. A new leader starts with it, so it can grant immediately
 * without knowing what was granted before.
 *
 * The reserve follows the bucket level at a distance, in {@link STEP_COUNT} steps, because each change is a log entry. It
 * is lowered before requests have to wait for the commit, and only as far as they need; it is raised when the bucket has
 * refilled. Pure: no I/O, no clock.
 */

const STEP_COUNT = 5;
/** Fraction of the maximum reserve that stays free after the reserve is raised. */
const FREE_FRACTION_AFTER_RISE = 0.4;
/** Fraction of the maximum reserve that becomes free when the reserve is lowered. */
const FREE_FRACTION_AFTER_FALL = 0.3;
/** The reserve is lowered when less than this fraction of the maximum reserve is free above it. */
const LOWERING_THRESHOLD_FRACTION = 0.1;

export interface BucketState {
  /** Operations in the bucket, including the successor reserve. */
  readonly operations: number;
  readonly successorReserve: number;
}

function reserveForOperations(operations: number, maxReserve: number): number {
  const step = maxReserve / STEP_COUNT;
  const steps = Math.floor(operations / step);
  return Math.floor(Math.min(STEP_COUNT, Math.max(0, steps)) * step);
}

/** Reserve that frees operations for `waiting` requests. */
export function loweredReserve(state: BucketState, waiting: number, maxReserve: number): number {
  const { operations, successorReserve } = state;
  const remaining = operations - waiting - maxReserve * FREE_FRACTION_AFTER_FALL;
  return Math.min(successorReserve, reserveForOperations(remaining, maxReserve));
}

/** Reserve to write to the log after a reply; undefined if the present one is to be kept. */
export function adjustedReserve(state: BucketState, maxReserve: number): number | undefined {
  const { operations, successorReserve } = state;
  const isNearlyEmpty = operations - successorReserve < maxReserve * LOWERING_THRESHOLD_FRACTION;
  if (successorReserve > 0 && isNearlyEmpty) return loweredReserve(state, 0, maxReserve);
  const raised = reserveForOperations(
    operations - maxReserve * FREE_FRACTION_AFTER_RISE,
    maxReserve,
  );
  return raised > successorReserve ? raised : undefined;
}
