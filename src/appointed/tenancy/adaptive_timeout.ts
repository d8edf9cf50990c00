/**
 * DECISION: when an answer to a request for operations is late, so that another way is tried. Owns the smoothed time of an answer;
 * relies on nothing that may fail.
 *
 * Answers: lost packets, which the transport sends again after 200 ms only, and processes that stand still, while callers
 * wait for a quarter of their objective.
 * Inputs: the times that answers took (ms).
 * Rule: late is what takes {@link LATE_FACTOR} times the usual, within bounds.
 */

/** An answer is late after so many times the usual time. Guess, not measured. */
const TIMEOUT_FACTOR = 4;
/** Shortest time until then, in milliseconds: a pause of a busy process. Guess, not measured. */
const MIN_TIMEOUT_MS = 12;
/** Longest time until then, in milliseconds: more than an answer between two regions takes. Guess, not measured. */
const MAX_TIMEOUT_MS = 150;
/** Weight of the newest answer in the usual time of an answer. Guess, not measured. */
const SMOOTHING_WEIGHT = 0.1;
/** Usual time of an answer before one was measured, in milliseconds. Guess, not measured. */
const INITIAL_RESPONSE_MS = 10;

/** Usual time of the answers of one kind. */
export class AdaptiveTimeout {
  private smoothedResponseMs = INITIAL_RESPONSE_MS;

  /** Notes how long an answer took. */
  recordResponse(responseMs: number): void {
    this.smoothedResponseMs += (responseMs - this.smoothedResponseMs) * SMOOTHING_WEIGHT;
  }

  /** Time without an answer after which another way is tried, in milliseconds. */
  get timeoutMs(): number {
    return Math.min(
      MAX_TIMEOUT_MS,
      Math.max(MIN_TIMEOUT_MS, this.smoothedResponseMs * TIMEOUT_FACTOR),
    );
  }
}
