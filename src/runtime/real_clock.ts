/** The operating system's monotonic clock. */
import type { Clock, Timer } from './runtime.js';

/** Clock backed by `performance.now` and the event loop's timers. */
export class RealClock implements Clock {
  now(): number {
    return performance.now();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }
}
