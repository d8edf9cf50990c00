/**
 * DECISION: how many operations a leader leaves in the bucket of a tenant for its successor ("floor" in the log and on the wire). Pure:
 * owns nothing, relies on nothing that may fail.
 *
 * Answers: a leader stops while tenants go on. The replicated log holds the successor's reserve of each tenant;
 * a successor begins with it, so it grants at once and needs to know nothing of what was granted before.
 * Inputs: operations in the bucket, the reserve in force, size of the leader's part of the bucket (operations).
 * Rule: the usual reserve is {@link USUAL_FRACTION} of the bucket. It falls, to the usual one or to none, before requests have
 * to wait for that, and rises again when the bucket is nearly full.
 * Shown by: docs/design/quota.md; test/unit/tenancy.test.ts fails when the reserves are ignored.
 */

/**
 * Fraction of the leader's bucket that a successor finds as long as the tenant is below its limit: enough for the time in
 * which its rate adds nothing, since the former leader may go on (LEADER_OVERLAP_MS; test/unit/tenancy.test.ts:
 * 350 operations a second allowed, 220 used, none refused).
 */
const USUAL_FRACTION = 0.6;
/** A bucket that is filled above this fraction gets its usual reserve back. Guess, not measured. */
const FULL_FRACTION = 0.9;
/** Fraction of the bucket: with less than this free above the reserve, the reserve falls. Guess, not measured. */
const EARLY_FRACTION = 0.1;

/** State of a tenant's bucket. */
export interface BucketState {
  /** Operations in the bucket. */
  readonly operations: number;
  /** Operations of them that a successor will grant. */
  readonly successorReserve: number;
}

function usualReserve(bucket: number): number {
  return Math.floor(bucket * USUAL_FRACTION);
}

/** The reserve that makes operations free: the usual one where the bucket holds enough above it, none otherwise. */
export function loweredReserve(state: BucketState, bucket: number): number {
  const usual = usualReserve(bucket);
  const isAmple = state.operations - usual >= bucket * EARLY_FRACTION;
  return isAmple && state.successorReserve > usual ? usual : 0;
}

/** The reserve that the log should hold after an answer; undefined when the present one is right. */
export function reviewedReserve(state: BucketState, bucket: number): number | undefined {
  const { operations, successorReserve } = state;
  const isNearlyEmpty = operations - successorReserve < bucket * EARLY_FRACTION;
  if (successorReserve > 0 && isNearlyEmpty) return loweredReserve(state, bucket);
  const usual = usualReserve(bucket);
  const isNearlyFull = operations >= bucket * FULL_FRACTION;
  return successorReserve < usual && isNearlyFull ? usual : undefined;
}
