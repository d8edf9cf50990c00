/**
 * DECISION: how many operations a leader leaves in the bucket of a tenant for its successor ("floor" in the log and on the wire). Pure:
 * owns nothing, relies on nothing that may fail.
 *
 * Answers: a leader stops while tenants go on. The replicated log holds the successor's reserve of each tenant;
 * a successor begins with it, so it grants at once and needs to know nothing of what was granted before.
 * Inputs: operations in the bucket, the reserve in force, the most that may be left, half of the bucket (operations).
 * Rule: the reserve follows the operations in the bucket at a distance, in {@link STEPS} steps. It falls before requests have to
 * wait for that, only as far as they need, and rises when the bucket has filled up. So a successor of a leader that had little
 * left begins with a part of that.
 * Shown by: docs/design/quota.md; test/unit/tenancy.test.ts fails when the reserves are ignored.
 */

/** Steps in which the reserve changes (a count): each change is an entry in the log. Guess, not measured. */
const STEP_COUNT = 5;
/** Fraction of the most that a rising reserve leaves free. Guess, not measured. */
const FREE_FRACTION_AFTER_RISE = 0.4;
/** Fraction of the most that a falling reserve leaves free. Guess, not measured. */
const FREE_FRACTION_AFTER_FALL = 0.3;
/** Fraction of the most: with less than this free above the reserve, the reserve falls. Guess, not measured. */
const LOWERING_THRESHOLD_FRACTION = 0.1;

/** State of a tenant's bucket. */
export interface BucketState {
  /** Operations in the bucket. */
  readonly operations: number;
  /** Operations of them that a successor will grant. */
  readonly successorReserve: number;
}

function reserveForOperations(operations: number, maxReserve: number): number {
  const step = maxReserve / STEP_COUNT;
  const steps = Math.floor(operations / step);
  return Math.floor(Math.min(STEP_COUNT, Math.max(0, steps)) * step);
}

/** The reserve that frees operations for `waiting` requests. */
export function loweredReserve(state: BucketState, waiting: number, maxReserve: number): number {
  const { operations, successorReserve } = state;
  const remaining = operations - waiting - maxReserve * FREE_FRACTION_AFTER_FALL;
  return Math.min(successorReserve, reserveForOperations(remaining, maxReserve));
}

/** The reserve that the log should hold after an answer; undefined when the present one is right. */
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
