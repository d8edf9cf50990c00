/**
 * How many statements one proxy sends to an instance at a time, learnt from the instance's own refusals: halved
 * when it answers that it is busy, and raised step by step with each statement that it serves (additive increase,
 * multiplicative decrease). At one statement a pause takes over, doubled with each refusal, so that any number of
 * proxies can share an instance that is full. Pure.
 */
import type { RandomSource } from '../../runtime/runtime.js';

const DECREASE_FACTOR = 0.5;
const SHORTEST_PAUSE_MS = 10;
const LONGEST_PAUSE_MS = 640;
/** Part of the pause that is left after a statement was served: many proxies take turns. */
const PAUSE_DECAY = 0.8;
/** Refusals that come together tell only once that the instance is full; in milliseconds. */
const REFUSAL_SPACING_MS = 20;
/** Beyond so many statements at a time there is no limit of this kind. */
const UNLIMITED_FROM = 64;

/** Window of one pool. */
export class ConcurrencyLimit {
  private limit = Infinity;
  private pauseMs = 0;
  private pausedUntil = -Infinity;
  private refusedAt = -Infinity;

  constructor(private readonly random: RandomSource) {}

  /** Most statements at a time; infinite while the instance turns none away. */
  get size(): number {
    return this.limit;
  }

  /** Milliseconds until anything may be sent. */
  remainingPause(now: number): number {
    return Math.max(0, this.pausedUntil - now);
  }

  /** Whether another statement may be sent beside `underWay` ones. */
  allows(underWay: number, now: number): boolean {
    return now >= this.pausedUntil && underWay < Math.max(1, Math.floor(this.limit));
  }

  /**
   * Notes that the instance was busy while `underWay` statements were under way, this one included. Returns
   * whether that changed anything.
   */
  noteBusy(underWay: number, now: number): boolean {
    if (now - this.refusedAt < REFUSAL_SPACING_MS) return false;
    this.refusedAt = now;
    const present = Math.min(this.limit, Math.max(1, underWay));
    this.limit = Math.max(1, present * DECREASE_FACTOR);
    if (this.limit > 1) return true;
    this.pauseMs = Math.min(LONGEST_PAUSE_MS, Math.max(SHORTEST_PAUSE_MS, this.pauseMs * 2));
    this.pausedUntil = now + this.pauseMs * (0.5 + this.random.next());
    return true;
  }

  /** Notes a statement that the instance served. */
  noteServed(): void {
    if (this.limit === Infinity) return;
    this.pauseMs *= PAUSE_DECAY;
    this.limit += 1 / this.limit;
    if (this.limit >= UNLIMITED_FROM) this.limit = Infinity;
  }
}
