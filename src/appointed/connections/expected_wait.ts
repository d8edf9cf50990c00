/**
 * Decision: how long a request is expected to wait for a connection of a pool. Pure.
 *
 * Load that it answers: a full instance. A request that would wait in vain is refused on arrival, so that its caller can
 * go elsewhere while there is time.
 *
 * Inputs: statements that may be sent at a time (count, infinite where nothing limits them), time of a statement
 * (milliseconds, smoothed), requests that come first (count), pause of the concurrency limit that is left (milliseconds).
 *
 * Rule: the pause, then one start each (time of a statement ÷ statements at a time). No constants.
 *
 * docs/design/scheduling.md, "Who decides", rule 4.
 */

/** Time between two starts, in milliseconds; 0 where nothing limits them. */
export function startSpacingMs(concurrency: number, statementMs: number): number {
  return statementMs / concurrency;
}

/** Time until a request is started that comes after `ahead` others, in milliseconds. */
export function expectedWaitMs(
  pauseMs: number,
  requestsAhead: number,
  concurrency: number,
  statementMs: number,
): number {
  return pauseMs + (requestsAhead / concurrency) * statementMs;
}
