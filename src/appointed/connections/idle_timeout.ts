/**
 * Adapts the idle timeout of one pool to the free connections of its instance, where those are
 * scarce: all proxies together keep about as many connections as the instance accepts, without
 * messages between them. Pure: no I/O, no clock.
 *
 * The timeout follows additive increase, multiplicative decrease. It is that of the connection
 * quota until the instance first refuses a connection at its limit; it halves with each such
 * refusal and grows with each connection opened.
 */

/** Lower bound, below which the pool would open and close connections all the time. */
const MIN_IDLE_TIMEOUT_MS = 50;
/** Added with each connection opened. */
const TIMEOUT_INCREASE_MS = 10;
/** Factor applied with each refusal at the connection limit. */
const TIMEOUT_DECREASE_FACTOR = 0.5;

export class IdleTimeout {
  /** Infinite until the instance first refuses a connection at its limit. */
  private timeoutMs = Infinity;

  recordOpened(): void {
    this.timeoutMs += TIMEOUT_INCREASE_MS;
  }

  /**
   * Halves the timeout after the instance refused a connection at its limit.
   * @param quotaTimeoutMs - upper bound, from the connection quota
   */
  recordConnectionLimit(quotaTimeoutMs: number): void {
    const currentMs = Math.min(this.timeoutMs, quotaTimeoutMs);
    this.timeoutMs = Math.max(MIN_IDLE_TIMEOUT_MS, currentMs * TIMEOUT_DECREASE_FACTOR);
  }

  /**
   * Current idle timeout, in milliseconds.
   * @param quotaTimeoutMs - upper bound, from the connection quota
   */
  effectiveMs(quotaTimeoutMs: number): number {
    return Math.min(this.timeoutMs, quotaTimeoutMs);
  }
}
