/**
 * Decision: after how long an idle connection is closed, where the instance has too few for all proxies. Pure.
 *
 * Load that it answers: more proxies than connections. Each keeps its connections for as long as the instance has some
 * left, so that all proxies together keep about as many as it takes, without a message between them.
 *
 * Inputs: connections that were opened, refusals for want of a connection, the time-out by the connection share
 * (milliseconds).
 *
 * Rule: the time-out of the share until the instance first had no connection left; then halved with each such refusal, and
 * longer by a step with each connection that could be opened (additive increase, multiplicative decrease).
 *
 * docs/measurements/platform.md, "The grown deployments": score of a day of high load 0.682 with a fixed
 * 100 ms, 0.750 with this rule (one run). The constants were not measured one by one.
 */

/** Shortest time-out, in milliseconds: connections are opened and closed all the time below it. Guess, not measured. */
const MIN_IDLE_TIMEOUT_MS = 50;
/** Added with each connection that could be opened, in milliseconds. Guess, not measured. */
const TIMEOUT_INCREASE_MS = 10;
/** Fraction of the time-out that is left after a refusal. Guess, not measured. */
const TIMEOUT_DECREASE_FACTOR = 0.5;

/** Idle time-out of one pool. */
export class IdleTimeout {
  /** Infinite until the instance first had no connection left. */
  private timeoutMs = Infinity;

  /** Lengthens the time-out: a connection could be opened. */
  recordOpened(): void {
    this.timeoutMs += TIMEOUT_INCREASE_MS;
  }

  /** Halves the time-out: the instance had no connection left. `longestMs` is the time-out by the share. */
  recordConnectionLimit(quotaTimeoutMs: number): void {
    const currentMs = Math.min(this.timeoutMs, quotaTimeoutMs);
    this.timeoutMs = Math.max(MIN_IDLE_TIMEOUT_MS, currentMs * TIMEOUT_DECREASE_FACTOR);
  }

  /** Time after which an idle connection is closed, in milliseconds. `longestMs` is the time-out by the share. */
  effectiveMs(quotaTimeoutMs: number): number {
    return Math.min(this.timeoutMs, quotaTimeoutMs);
  }
}
