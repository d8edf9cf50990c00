/** Durations: units, and those that another process sent. Owns nothing; relies on nothing that may fail. */

/** Milliseconds of a second. */
export const MILLISECONDS_PER_SECOND = 1000;

/** Longest time that a timer of the runtime can wait, in milliseconds; it turns a longer one into 1 ms. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

/**
 * A duration of a message, in milliseconds; 0 where the message has none. Undefined for one that no timer can wait, such
 * as a negative one that was sent as an unsigned number.
 */
export function durationOf(milliseconds: number | null | undefined): number | undefined {
  const duration = milliseconds ?? 0;
  return duration >= 0 && duration <= LONGEST_TIMER_MS ? duration : undefined;
}
