/**
 * Decides whether a pool opens another connection for waiting requests. Guards against handshakes
 * that fill the slots of an instance, above all after a restart of all proxies. Pure: no I/O, no
 * clock.
 *
 * A handshake occupies a slot too, so it must beat the queue wait of the last waiting request by a
 * factor. No connection is opened beyond the slots, since its statements would only queue at the
 * instance. If no connection became free within the maximum queue wait, one is opened all the same,
 * within the slots: the running statements may be unusually slow.
 *
 * Design: docs/design/overload.md
 */

/** Minimum ratio of the queue wait to the connect time at which a connection is opened. */
const MIN_WAIT_TO_CONNECT_RATIO = 1.5;

/** Statements sent beyond the slots, so that the slots stay busy while an answer is in transit. */
const STATEMENTS_IN_TRANSIT = 1;

/**
 * Number of statements in flight from which an instance with `slots` slots gets no further
 * connection.
 */
export function maxStatementsInFlight(slots: number): number {
  return slots + STATEMENTS_IN_TRANSIT;
}

/**
 * Time until the last of `waiting` requests gets a connection, in milliseconds.
 * @param connections - connections that run a statement, and attempts in flight: each serves the
 *   queue
 * @param statementMs - smoothed duration of a statement
 */
export function estimateQueueWaitMs(
  waiting: number,
  connections: number,
  statementMs: number,
): number {
  return connections === 0 ? Infinity : (waiting / connections) * statementMs;
}

/** Queue wait that justifies a connect time of `connectMs`, in milliseconds. */
export function maxQueueWaitMs(connectMs: number): number {
  return connectMs * MIN_WAIT_TO_CONNECT_RATIO;
}

/** Whether a new connection shortens the wait of the last request enough to be opened. */
export function isOpeningWorthwhile(queueWaitMs: number, connectMs: number): boolean {
  return queueWaitMs > maxQueueWaitMs(connectMs);
}
