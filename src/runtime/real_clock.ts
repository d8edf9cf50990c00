/** The operating system's monotonic clock. */
import type { Clock, Timer } from './runtime.js';

/** Clock backed by `performance.now` and the event loop's timers. */
export class RealClock implements Clock {
  /** Milliseconds since the start of the process. */
  now(): number {
    return performance.now();
  }

  /** Calls `callback` once, `delayMs` milliseconds from now. */
  setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }
}
