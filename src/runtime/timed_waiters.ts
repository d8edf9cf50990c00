/** Callers that wait for the same thing to happen, each for a limited time. Owns their timers; relies on the clock only. */
import type { Clock } from './runtime.js';

/** Set of waiters. */
export class TimedWaiters {
  private readonly waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Resolves when all are woken, after `maximumWaitMs` at the latest. */
  wait(maximumWaitMs: number): Promise<void> {
    if (maximumWaitMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel();
        this.waiters.delete(finish);
        resolve();
      };
      const timer = this.clock.setTimer(maximumWaitMs, finish);
      this.waiters.add(finish);
    });
  }

  /** Ends all waits. */
  wakeAll(): void {
    for (const finish of this.waiters) finish();
  }
}
