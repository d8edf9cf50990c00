/** One run of a simulated process: it can be killed, frozen and thawed, and has a clock of its own. */
import type { Clock, RandomSource, Timer } from '../../src/runtime/runtime.js';
import type { Scheduler } from './scheduler.js';

const MAXIMUM_CLOCK_OFFSET_MS = 1_000_000;

/** A process from its start to its end. A restart is a new object. */
export class VirtualProcess {
  readonly clock: Clock;
  private isAlive = true;
  private isFrozen = false;
  private held: (() => void)[] = [];
  private readonly endListeners: (() => void)[] = [];

  constructor(
    readonly host: string,
    readonly scheduler: Scheduler,
    readonly random: RandomSource,
    // Clocks of two processes have nothing in common.
    offset = random.integer(0, MAXIMUM_CLOCK_OFFSET_MS),
  ) {
    this.clock = {
      now: () => scheduler.now + offset,
      setTimer: (delayMs, callback) => this.setTimer(delayMs, callback),
    };
  }

  /** Whether it has not ended. */
  get alive(): boolean {
    return this.isAlive;
  }

  /** Whether it runs, neither ended nor frozen. */
  get running(): boolean {
    return this.isAlive && !this.isFrozen;
  }

  /** Runs a callback in this process: now, after a thaw, or never when it has ended. */
  deliver(callback: () => void): void {
    if (!this.isAlive) return;
    if (this.isFrozen) {
      this.held.push(callback);
      return;
    }
    callback();
  }

  /** Ends the process at once. */
  kill(): void {
    if (!this.isAlive) return;
    this.isAlive = false;
    this.held = [];
    for (const listener of this.endListeners) listener();
  }

  /** Stops all progress until `thaw`. */
  freeze(): void {
    this.isFrozen = true;
  }

  /** Goes on; what was held back happens in its order. */
  thaw(): void {
    this.isFrozen = false;
    const held = this.held;
    this.held = [];
    for (const callback of held) this.scheduler.schedule(0, () => this.deliver(callback));
  }

  /** Calls `listener` when the process ends. */
  onEnd(listener: () => void): void {
    this.endListeners.push(listener);
  }

  private setTimer(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const event = this.scheduler.schedule(delayMs, () =>
      this.deliver(() => {
        if (!isCancelled) callback();
      }),
    );
    return {
      cancel: () => {
        isCancelled = true;
        this.scheduler.cancel(event);
      },
    };
  }
}
