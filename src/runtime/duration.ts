/** Units of durations, and validation of durations received in messages. */

export const MILLISECONDS_PER_SECOND = 1000;

/** Longest delay that Node.js timers support; they treat a longer one as 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Validates a duration received in a message, in milliseconds.
 * @returns 0 if the message has no duration; undefined if no timer can wait that long, for example because the sender
 *   encoded a negative number in an unsigned field
 */
export function durationOf(milliseconds: number | null | undefined): number | undefined {
  const duration = milliseconds ?? 0;
  return duration >= 0 && duration <= MAX_TIMER_MS ? duration : undefined;
}
