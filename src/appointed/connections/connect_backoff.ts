/**
 * When a pool may open a connection, as far as the instance's refusals tell: not at once after it could not be reached,
 * not more than it had when the instance took no further one, and nothing for a moment where it had none at all.
 */
import type { Clock, RandomSource } from '../../runtime/runtime.js';
import type { ConnectionShare } from './connection_share.js';

const RECONNECT_DELAY_MS = 100;
/** Another instance has the address; control will tell when this one is gone. */
const WRONG_INSTANCE_DELAY_MS = 3000;
/** Range of the pause after an instance had no connection left: others give theirs back all the time. */
const SHORTEST_LIMIT_PAUSE_MS = 10;
const LONGEST_LIMIT_PAUSE_MS = 30;

/** Gate of one pool. */
export class ConnectBackoff {
  private clampedUntil = -Infinity;
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

  /** The instance could not be reached, or another one has its address. */
  noteUnreachable(isOtherInstance: boolean): void {
    const delayMs = isOtherInstance ? WRONG_INSTANCE_DELAY_MS : RECONNECT_DELAY_MS;
    this.unreachableUntil = this.clock.now() + delayMs;
  }

  /** The instance took no further connection beside `size` ones; `resume` is called when it may be tried again. */
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
