/**
 * Detects that this process did not run for a while, for example because it was stopped or its machine was suspended.
 * State received before a stall may be out of date although its age seems within limits. A periodic timer that fires too
 * late marks a stall.
 */
import type { Clock, Timer } from './runtime.js';

const TICK_MS = 100;
/** Delay of the periodic timer above which the process counts as stalled. */
const STALL_THRESHOLD_MS = 400;

/** Stall detector of one process; detects nothing until `start`. */
export class StallDetector {
  private lastTick: number;
  private lastStall = -Infinity;
  private timer: Timer | undefined;

  constructor(private readonly clock: Clock) {
    this.lastTick = clock.now();
  }

  start(): void {
    this.lastTick = this.clock.now();
    this.schedule();
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  /** Whether a stall ended at or after `reading` of the clock, including one that the timer has not reported yet. */
  hasStalledSince(reading: number): boolean {
    this.recordStall();
    return this.lastStall >= reading;
  }

  private schedule(): void {
    this.timer = this.clock.setTimer(TICK_MS, () => {
      this.recordStall();
      this.lastTick = this.clock.now();
      this.schedule();
    });
  }

  private recordStall(): void {
    const now = this.clock.now();
    const isWatching = this.timer !== undefined;
    if (isWatching && now - this.lastTick > TICK_MS + STALL_THRESHOLD_MS) this.lastStall = now;
  }
}
