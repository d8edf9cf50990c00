/**
 * Notices that this process made no progress for a while: it was frozen, or its machine was suspended. What
 * it learned before is then older than it seems. Owns one timer; relies on the clock only.
 */
import type { Clock, Timer } from './runtime.js';

/** Time between two looks at the clock, in milliseconds. Guess, not measured. */
const TICK_MS = 100;
/** Progress that is later than this counts as a stall, in milliseconds. Guess, not measured. */
const STALL_MS = 400;

/** Detector of one process. */
export class StallDetector {
  private lastTick: number;
  private lastStall = -Infinity;
  private timer: Timer | undefined;

  constructor(private readonly clock: Clock) {
    this.lastTick = clock.now();
  }

  /** Starts to watch. */
  start(): void {
    this.lastTick = this.clock.now();
    this.schedule();
  }

  /** Stops to watch. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  /** Whether the process stalled after a reading of its clock, or has just come out of a stall. */
  hasStalledSince(reading: number): boolean {
    this.noteStall();
    return this.lastStall >= reading;
  }

  private schedule(): void {
    this.timer = this.clock.setTimer(TICK_MS, () => {
      this.noteStall();
      this.lastTick = this.clock.now();
      this.schedule();
    });
  }

  private noteStall(): void {
    const now = this.clock.now();
    const isWatching = this.timer !== undefined;
    if (isWatching && now - this.lastTick > TICK_MS + STALL_MS) this.lastStall = now;
  }
}
