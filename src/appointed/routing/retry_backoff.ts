/**
 * Pauses between the attempts of one request.
 *
 * Situation: no instance could serve the request just now, for instance since all are full; asked again at once they would
 * refuse again.
 * Rule: each pause is twice as long as the one before, up to a longest. When the attempts end is decided in
 * request_deadline.ts.
 * Relies on the clock of this process only.
 */
import { type Clock, delay } from '../../runtime/runtime.js';

/**
 * First pause, in milliseconds. Asking again after 10 ms each time, without the concurrency limit, had 70,475 statements
 * turned away for 1,057 that ran (docs/design/overload.md, test/simulation/overload.test.ts); the first pause by itself is
 * a guess, not measured.
 */
const INITIAL_PAUSE_MS = 10;
/** Longest pause, in milliseconds. Guess, not measured. */
const MAX_PAUSE_MS = 80;

/** Pauses of one request. */
export class RetryBackoff {
  private nextPauseMs = INITIAL_PAUSE_MS;

  constructor(private readonly clock: Clock) {}

  /** Waits for the next pause. */
  wait(): Promise<void> {
    const pauseMs = this.nextPauseMs;
    this.nextPauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    return delay(this.clock, pauseMs);
  }
}
