/**
 * Decides when a pool may open a connection, and how many it may have, after a connection attempt
 * failed. Guards against many proxies that reconnect at once to an instance that is down or at its
 * connection limit.
 *
 * After the instance was unreachable, no connection is opened for a fixed delay. After the instance
 * refused a connection at its limit, the pool stays at its current size for the clamp time of its
 * quota; a pool without connections retries after a short random pause, for as long as requests
 * wait.
 *
 * Design: docs/design/connection-shares.md
 */
import type { Clock, RandomSource } from '../../runtime/runtime.js';
import type { ConnectionQuota } from './connection_quota.js';

/** Delay before the next attempt after the instance was unreachable. */
const RECONNECT_DELAY_MS = 100;
/**
 * Delay after another instance answered at the address: control removes the stale address from the
 * catalog within seconds.
 */
const WRONG_INSTANCE_DELAY_MS = 3000;
/** Shortest pause of a pool without connections after the instance was at its connection limit. */
const MIN_LIMIT_PAUSE_MS = 10;
/** Longest such pause. The pause is random so that proxies do not retry at the same time. */
const MAX_LIMIT_PAUSE_MS = 30;

export class ConnectBackoff {
  private clampedUntil = -Infinity;
  /** Size of the pool when the instance last refused a connection at its limit. */
  private clampedLimit = Infinity;
  private unreachableUntil = -Infinity;
  /**
   * Whether a pool without connections waits before its next attempt at an instance at its limit.
   */
  private isPausedAtLimit = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly quota: () => ConnectionQuota,
  ) {}

  /** Maximum number of connections now. */
  get maxConnections(): number {
    const { maxConnections } = this.quota();
    return this.clock.now() < this.clampedUntil
      ? Math.min(maxConnections, this.clampedLimit)
      : maxConnections;
  }

  /** Whether the instance was unreachable within the reconnect delay. */
  get isUnreachable(): boolean {
    return this.clock.now() < this.unreachableUntil;
  }

  /** Whether a connection may be opened now. */
  get mayConnect(): boolean {
    return !this.isUnreachable && !this.isPausedAtLimit;
  }

  /**
   * Delays further attempts after the instance was unreachable, or another one answered at its
   * address.
   */
  recordUnreachable(isOtherInstance: boolean): void {
    const delayMs = isOtherInstance ? WRONG_INSTANCE_DELAY_MS : RECONNECT_DELAY_MS;
    this.unreachableUntil = this.clock.now() + delayMs;
  }

  /**
   * Records that the instance refused a connection at its limit while the pool had `size` ones. For
   * an empty pool, `resume` is called when it may retry.
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
