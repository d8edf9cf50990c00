/**
 * Exponential backoff between the attempts of one request, so that instances that have just refused it, for example because
 * they are full, are not asked again immediately. request_deadline.ts decides when the attempts end.
 */
import { type Clock, delay } from '../../runtime/runtime.js';

/**
 * Doubled with each pause: at a constant interval of this length a full instance refuses far more statements than it runs
 * (docs/design/overload.md).
 */
const INITIAL_PAUSE_MS = 10;
const MAX_PAUSE_MS = 80;

/** Backoff of one request. */
export class RetryBackoff {
  private nextPauseMs = INITIAL_PAUSE_MS;

  constructor(private readonly clock: Clock) {}

  /** Waits for the current pause and doubles the next one. */
  wait(): Promise<void> {
    const pauseMs = this.nextPauseMs;
    this.nextPauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    return delay(this.clock, pauseMs);
  }
}
