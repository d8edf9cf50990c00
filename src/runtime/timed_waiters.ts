/** Lets callers wait for a common event, each with its own timeout. */
import type { Clock } from './runtime.js';

export class TimedWaiters {
  private readonly waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Resolves at the next `wakeAll`, or after `maximumWaitMs` milliseconds. */
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

  /** Resolves all waits. */
  wakeAll(): void {
    for (const finish of this.waiters) finish();
  }
}
