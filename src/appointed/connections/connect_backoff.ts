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
import type { ConnectionQuota } from './connection_quota.js';

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
const MIN_LIMIT_PAUSE_MS = 10;
/** Longest such pause, in milliseconds: drawn at random, so that proxies don't ask together. Guess, not measured. */
const MAX_LIMIT_PAUSE_MS = 30;

/** Connect backoff of one pool. */
export class ConnectBackoff {
  private clampedUntil = -Infinity;
  /** Connections that the pool had when the instance took no further one. */
  private clampedLimit = Infinity;
  private unreachableUntil = -Infinity;
  /** Whether the instance had no connection left a moment ago; nothing is tried for a short time. */
  private isPausedAtLimit = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly quota: () => ConnectionQuota,
  ) {}

  /** Most connections now. */
  get maxConnections(): number {
    const { maxConnections } = this.quota();
    return this.clock.now() < this.clampedUntil
      ? Math.min(maxConnections, this.clampedLimit)
      : maxConnections;
  }

  /** Whether the instance could not be reached a moment ago. */
  get isUnreachable(): boolean {
    return this.clock.now() < this.unreachableUntil;
  }

  /** Whether opening may be tried at all now. */
  get mayConnect(): boolean {
    return !this.isUnreachable && !this.isPausedAtLimit;
  }

  /** Holds openings back: the instance could not be reached, or another one has its address. */
  recordUnreachable(isOtherInstance: boolean): void {
    const delayMs = isOtherInstance ? WRONG_INSTANCE_DELAY_MS : RECONNECT_DELAY_MS;
    this.unreachableUntil = this.clock.now() + delayMs;
  }

  /**
   * Holds openings back: the instance took no further connection beside the `size` ones of this pool. Where the pool has
   * none, `resume` is called when it may try again.
   */
  recordConnectionLimit(size: number, resume: () => void): void {
    if (size > 0) {
      this.clampedLimit = size;
      this.clampedUntil = this.clock.now() + this.quota().clampMs;
      return;
    }
    const pauseMs = this.random.integer(MIN_LIMIT_PAUSE_MS, MAX_LIMIT_PAUSE_MS);
    this.isPausedAtLimit = true;
    this.clock.setTimer(pauseMs, () => {
      this.isPausedAtLimit = false;
      resume();
    });
  }
}
