/**
 * Decision: how many statements one proxy sends to an instance at a time. Pure but for the random draw of a pause.
 *
 * Load that it answers: an instance whose slots and queue are full, with any number of proxies that know nothing of each
 * other. Before, 40 proxies at twice the capacity had 70,475 statements turned away for 1,057 that ran
 * (docs/design/overload.md).
 *
 * Inputs: the instance's answers (busy, served), statements under way (count), the time (milliseconds).
 *
 * Rule: no limit until the instance answers BUSY; then half of what was under way, and 1/limit more with each statement
 * that it serves (additive increase, multiplicative decrease). At one statement a pause takes over, doubled with each
 * BUSY, drawn at random from half to one and a half of itself, and shortened with each statement served.
 *
 * Held by test/simulation/overload.test.ts and test/unit/router.test.ts. Measured, one run each, the constants together and
 * none alone: docs/measurements/platform.md, "window of statements" (scores of days with faults: given up → 0.762,
 * 0.604 → 0.598).
 */
import type { RandomSource } from '../../runtime/runtime.js';

/** Fraction of the limit that is left after a BUSY. Guess, not measured. */
const LIMIT_DECREASE_FACTOR = 0.5;
/** First pause, in milliseconds. Guess, not measured. */
const MIN_BUSY_PAUSE_MS = 10;
/** Longest pause, in milliseconds: six doublings of the first. Guess, not measured. */
const MAX_BUSY_PAUSE_MS = 640;
/** Fraction of the pause that is left after a statement was served: many proxies take turns. Guess, not measured. */
const BUSY_PAUSE_DECAY = 0.8;
/** Refusals within this time of one count once, in milliseconds: they come from the same moment. Guess, not measured. */
const BUSY_COALESCE_WINDOW_MS = 20;
/** From so many statements at a time (a count) on the limit is lifted: it holds back nothing. Guess, not measured. */
const LIMIT_REMOVAL_THRESHOLD = 64;

/** Concurrency limit of one pool. */
export class ConcurrencyLimit {
  private limit = Infinity;
  private pauseMs = 0;
  private pausedUntil = -Infinity;
  private lastBusyAt = -Infinity;

  constructor(private readonly random: RandomSource) {}

  /** Most statements at a time; infinite while the instance turns none away. */
  get maxInFlight(): number {
    return this.limit;
  }

  /** Milliseconds until anything may be sent. */
  remainingPauseMs(now: number): number {
    return Math.max(0, this.pausedUntil - now);
  }

  /** Whether another statement may be sent beside `underWay` ones. */
  allows(inFlight: number, now: number): boolean {
    return now >= this.pausedUntil && inFlight < Math.max(1, Math.floor(this.limit));
  }

  /**
   * Lowers the limit: the instance answered BUSY while `underWay` statements were under way, this one included.
   * @returns whether that changed anything
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

  /** Raises the limit, if there is one: the instance served a statement. */
  recordServed(): void {
    if (this.limit === Infinity) return;
    this.pauseMs *= BUSY_PAUSE_DECAY;
    this.limit += 1 / this.limit;
    if (this.limit >= LIMIT_REMOVAL_THRESHOLD) this.limit = Infinity;
  }
}
