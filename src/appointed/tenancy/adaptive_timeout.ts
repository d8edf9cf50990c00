/**
 * Timeout that adapts to observed response times, after which an allowance request is tried by another route. It covers
 * lost packets, which TCP retransmits only after about 200 ms, and stalled processes, while a caller is waiting. The timeout
 * is a multiple of the smoothed response time, within bounds.
 */

/** Multiple of the smoothed response time. */
const TIMEOUT_FACTOR = 4;
/** Tolerates short pauses of a busy process. */
const MIN_TIMEOUT_MS = 12;
/** Longer than a round trip between two regions. */
const MAX_TIMEOUT_MS = 150;
/** Weight of the newest sample in the moving average. */
const SMOOTHING_WEIGHT = 0.1;
/** Assumed response time before the first sample. */
const INITIAL_RESPONSE_MS = 10;

/** Timeout for one kind of request. */
export class AdaptiveTimeout {
  private smoothedResponseMs = INITIAL_RESPONSE_MS;

  recordResponse(responseMs: number): void {
    this.smoothedResponseMs += (responseMs - this.smoothedResponseMs) * SMOOTHING_WEIGHT;
  }

  /** Time without a response after which another route is tried. */
  get timeoutMs(): number {
    return Math.min(
      MAX_TIMEOUT_MS,
      Math.max(MIN_TIMEOUT_MS, this.smoothedResponseMs * TIMEOUT_FACTOR),
    );
  }
}
