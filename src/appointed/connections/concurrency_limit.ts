/**
 * Limits how many statements one proxy has in flight at an instance, so that an overloaded instance
 * is not flooded by proxies that know nothing of each other's load.
 *
 * The limit follows additive increase, multiplicative decrease. There is none until the instance
 * answers BUSY; the limit then becomes half of the statements in flight, and grows by 1/limit with
 * each statement served. At a limit of one, a pause between statements takes over: it doubles with
 * each BUSY, is drawn at random from 0.5 to 1.5 times its length, and shrinks with each statement
 * served.
 *
 * Design: docs/design/overload.md
 */
import type { RandomSource } from '../../runtime/runtime.js';

const LIMIT_DECREASE_FACTOR = 0.5;
const MIN_BUSY_PAUSE_MS = 10;
/** Six doublings of the shortest pause. */
const MAX_BUSY_PAUSE_MS = 640;
/** Factor by which the pause shrinks with each statement served: slowly, so that many proxies take turns. */
const BUSY_PAUSE_DECAY = 0.8;
/** BUSY answers within this time count once: they result from the same overload. */
const BUSY_COALESCE_WINDOW_MS = 20;
/** The limit is lifted when it reaches this number of statements. */
const LIMIT_REMOVAL_THRESHOLD = 64;

export class ConcurrencyLimit {
  private limit = Infinity;
  private pauseMs = 0;
  private pausedUntil = -Infinity;
  private lastBusyAt = -Infinity;

  constructor(private readonly random: RandomSource) {}

  /** Maximum number of statements in flight; infinite while there is no limit. */
  get maxInFlight(): number {
    return this.limit;
  }

  /** Milliseconds until the next statement may be sent. */
  remainingPauseMs(now: number): number {
    return Math.max(0, this.pausedUntil - now);
  }

  /** Whether another statement may be sent while `inFlight` ones are in flight. */
  allows(inFlight: number, now: number): boolean {
    return now >= this.pausedUntil && inFlight < Math.max(1, Math.floor(this.limit));
  }

  /**
   * Lowers the limit after a BUSY answer.
   * @param inFlight - statements in flight when the answer came, the refused one included
   * @returns whether the limit or the pause changed
   */
  recordBusy(inFlight: number, now: number): boolean {
    if (now - this.lastBusyAt < BUSY_COALESCE_WINDOW_MS) return false;
    this.lastBusyAt = now;
    const currentLimit = Math.min(this.limit, Math.max(1, inFlight));
    this.limit = Math.max(1, currentLimit * LIMIT_DECREASE_FACTOR);
    if (this.limit > 1) return true;
    this.pauseMs = Math.min(MAX_BUSY_PAUSE_MS, Math.max(MIN_BUSY_PAUSE_MS, this.pauseMs * 2));
    this.pausedUntil = now + this.pauseMs * (0.5 + this.random.next());
    return true;
  }

  /** Raises the limit, if there is one, after the instance served a statement. */
  recordServed(): void {
    if (this.limit === Infinity) return;
    this.pauseMs *= BUSY_PAUSE_DECAY;
    this.limit += 1 / this.limit;
    if (this.limit >= LIMIT_REMOVAL_THRESHOLD) this.limit = Infinity;
  }
}
