/**
 * Decision: whether a pool opens a further connection for requests that wait. Pure.
 *
 * Load that it answers: more requests than connections, above all after a restart of all proxies, when handshakes alone
 * can fill the slots of an instance.
 *
 * Inputs: requests that wait, connections whose turn they could get and openings under way (counts); time of a statement
 * and of an opening (milliseconds, smoothed); slots of the instance (count).
 *
 * Rule: an opening takes a slot too, so it must bring the last request that waits its turn sooner by a factor. No
 * connection is opened beyond the slots, since its statements would only wait at the instance. When no turn came for as
 * long as an opening would have paid for, one is opened all the same, within the slots: a statement may take unusually long.
 *
 * docs/design/overload.md, "When a connection is opened", describes it; test/unit/router.test.ts holds it. Measured, one run
 * each: docs/measurements/platform.md, "connections where worth it" (scores of a day of high load 0.833 → 0.840, of a
 * day with faults 0.762 → 0.771); docs/measurements/pieraksts.md, openings bounded by slots with other changes (mean 0.671 →
 * 0.676, within noise, kept), openings beyond the slots when no turn comes, with slow ones as silence (0.787 → 0.783,
 * reverted).
 */

/**
 * Time that waiting for a turn must take, as a multiple of the time of an opening (a ratio), before one is opened: both
 * take a slot of the instance. Guess, not measured.
 */
const MIN_WAIT_TO_CONNECT_RATIO = 1.5;

/**
 * Statements (a count) sent beyond the slots of an instance: one on its way there or back keeps the slots filled. Guess,
 * not measured: docs/design/connection-owners.md says that slots + 1 was not compared.
 */
const STATEMENTS_IN_TRANSIT = 1;

/** Statements that may be under way at an instance of so many slots before it gets no further connection. */
export function maxStatementsInFlight(slots: number): number {
  return slots + STATEMENTS_IN_TRANSIT;
}

/**
 * Time until the last of `waiting` requests gets its turn, in milliseconds.
 * @param inTurn - connections on which a statement runs, and openings under way: each gives a turn
 * @param statementMs - smoothed time of a statement
 */
export function estimateQueueWaitMs(
  waiting: number,
  connections: number,
  statementMs: number,
): number {
  return connections === 0 ? Infinity : (waiting / connections) * statementMs;
}

/** Wait for a turn that justifies an opening of `connectMs`, in milliseconds. */
export function maxQueueWaitMs(connectMs: number): number {
  return connectMs * MIN_WAIT_TO_CONNECT_RATIO;
}

/** Whether a new connection comes enough sooner than the turn of the last request that waits. */
export function isOpeningWorthwhile(queueWaitMs: number, connectMs: number): boolean {
  return queueWaitMs > maxQueueWaitMs(connectMs);
}
