/**
 * Decision: when a pool may open a connection, and how many it may hold, after the instance refused one.
 *
 * Load that it answers: an instance that is down or has no connection left, and proxies that would all ask it again at
 * once. Owns the times until which the refusals count, and one timer.
 *
 * Inputs: failures of openings, connections of the pool (count), its connection share, the time (milliseconds).
 *
 * Rule: after the instance could not be reached, nothing for a fixed time. After it had no connection left, no more than
 * the pool has, for the time of the share; where the pool has none, nothing for a short time drawn at random, then again,
 * for as long as requests wait.
 *
 * docs/design/connection-shares.md describes it; test/unit/router.test.ts holds it.
 */
import type { Clock, RandomSource } from '../../runtime/runtime.js';
import type { ConnectionShare } from './connection_share.js';

/** Nothing is opened for this time after the instance could not be reached, in milliseconds. Guess, not measured. */
const RECONNECT_DELAY_MS = 100;
/**
 * The same where another instance has the address, in milliseconds: control soon removes the one that is gone from the
 * catalog. Guess, not measured.
 */
const WRONG_INSTANCE_DELAY_MS = 3000;
/**
 * Shortest pause of a pool without connections after the instance had none left, in milliseconds: other proxies give
 * theirs back all the time. Guess, not measured.
 */
const SHORTEST_LIMIT_PAUSE_MS = 10;
/** Longest such pause, in milliseconds: drawn at random, so that proxies don't ask together. Guess, not measured. */
const LONGEST_LIMIT_PAUSE_MS = 30;

/** Connect backoff of one pool. */
export class ConnectBackoff {
  private clampedUntil = -Infinity;
  /** Connections that the pool had when the instance took no further one. */
  private clampedTo = Infinity;
  private unreachableUntil = -Infinity;
  /** Whether the instance had no connection left a moment ago; nothing is tried for a short time. */
  private isLimited = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly share: () => ConnectionShare,
  ) {}

  /** Most connections now. */
  get limit(): number {
    const { most } = this.share();
    return this.clock.now() < this.clampedUntil ? Math.min(most, this.clampedTo) : most;
  }

  /** Whether the instance could not be reached a moment ago. */
  get isUnreachable(): boolean {
    return this.clock.now() < this.unreachableUntil;
  }

  /** Whether opening may be tried at all now. */
  get isOpen(): boolean {
    return !this.isUnreachable && !this.isLimited;
  }

  /** Holds openings back: the instance could not be reached, or another one has its address. */
  noteUnreachable(isOtherInstance: boolean): void {
    const delayMs = isOtherInstance ? WRONG_INSTANCE_DELAY_MS : RECONNECT_DELAY_MS;
    this.unreachableUntil = this.clock.now() + delayMs;
  }

  /**
   * Holds openings back: the instance took no further connection beside the `size` ones of this pool. Where the pool has
   * none, `resume` is called when it may try again.
   */
  noteLimit(size: number, resume: () => void): void {
    if (size > 0) {
      this.clampedTo = size;
      this.clampedUntil = this.clock.now() + this.share().clampMs;
      return;
    }
    const pauseMs = this.random.integer(SHORTEST_LIMIT_PAUSE_MS, LONGEST_LIMIT_PAUSE_MS);
    this.isLimited = true;
    this.clock.setTimer(pauseMs, () => {
      this.isLimited = false;
      resume();
    });
  }
}
