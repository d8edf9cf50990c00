/**
 * Estimates how long a request waits for a connection of a pool: the pause of the concurrency
 * limit, then one statement time divided by the concurrency for each request ahead. A request whose
 * estimate exceeds its timeout is refused on arrival, so that its caller can try another instance
 * in time. Pure: no I/O, no clock.
 *
 * Design: docs/design/scheduling.md
 */

/** Time between two statement starts, in milliseconds; 0 where the concurrency is unlimited. */
export function startSpacingMs(concurrency: number, statementMs: number): number {
  return statementMs / concurrency;
}

/** Time until a request with `requestsAhead` others before it starts, in milliseconds. */
export function expectedWaitMs(
  pauseMs: number,
  requestsAhead: number,
  concurrency: number,
  statementMs: number,
): number {
  return pauseMs + (requestsAhead / concurrency) * statementMs;
}
