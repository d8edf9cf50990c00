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
const LATE_FACTOR = 4;
/** Shortest time until then, in milliseconds: a pause of a busy process. Guess, not measured. */
const LEAST_LATE_MS = 12;
/** Longest time until then, in milliseconds: more than an answer between two regions takes. Guess, not measured. */
const MOST_LATE_MS = 150;
/** Weight of the newest answer in the usual time of an answer. Guess, not measured. */
const ANSWER_WEIGHT = 0.1;
/** Usual time of an answer before one was measured, in milliseconds. Guess, not measured. */
const FIRST_ANSWER_MS = 10;

/** Usual time of the answers of one kind. */
export class AnswerTime {
  private usualMs = FIRST_ANSWER_MS;

  /** Notes how long an answer took. */
  note(tookMs: number): void {
    this.usualMs += (tookMs - this.usualMs) * ANSWER_WEIGHT;
  }

  /** Time without an answer after which another way is tried, in milliseconds. */
  get lateAfterMs(): number {
    return Math.min(MOST_LATE_MS, Math.max(LEAST_LATE_MS, this.usualMs * LATE_FACTOR));
  }
}
