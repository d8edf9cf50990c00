/** Pauses between the attempts of one request, each twice as long as the one before. */
import { type Clock, delay } from '../../runtime/runtime.js';

const FIRST_MS = 10;
const LONGEST_MS = 80;

/** Pauses of one request. */
export class RetryPause {
  private nextMs = FIRST_MS;

  constructor(private readonly clock: Clock) {}

  /** Waits for the next pause. */
  wait(): Promise<void> {
    const pauseMs = this.nextMs;
    this.nextMs = Math.min(LONGEST_MS, pauseMs * 2);
    return delay(this.clock, pauseMs);
  }
}
