/** Time limits of one request. */
import type { Clock } from '../../runtime/runtime.js';
import type { Route } from '../catalog/route_table.js';

/** Share of the target latency that a request may wait without being offered to an instance. */
const OFFER_SHARE = 0.4;
/**
 * Share of the target latency that a request waits for a lease: a proxy without one has been cut off from control for
 * seconds, and hardly regains it just then. Refused before a quarter of it, callers lose no time for another try.
 */
const TRUST_SHARE = 0.2;
const MINIMUM_OFFER_MS = 20;
/** Share of the timeout after which a request that could come back later is refused. */
const GIVE_UP_SHARE = 0.6;

/** Limits of one request, on the clock of this process. */
export class RequestDeadline {
  readonly arrivedAt: number;

  constructor(
    private readonly clock: Clock,
    readonly route: Route,
  ) {
    this.arrivedAt = clock.now();
  }

  /** Milliseconds since the request arrived. */
  get elapsed(): number {
    return this.clock.now() - this.arrivedAt;
  }

  /** Milliseconds until the statement must be over. */
  get remaining(): number {
    return this.route.timeoutMs - this.elapsed;
  }

  /** Milliseconds that the request may still wait for a first instance. */
  get offerRemaining(): number {
    return this.remainingOf(OFFER_SHARE);
  }

  /** Milliseconds that the request may still wait for a lease on a primary. */
  get trustRemaining(): number {
    return this.remainingOf(TRUST_SHARE);
  }

  /**
   * Whether another attempt is worth while. A request that no instance was offered is refused early, so that
   * its caller can go elsewhere.
   */
  allowsRetry(wasOffered: boolean): boolean {
    return wasOffered ? this.retryRemaining > 0 : this.offerRemaining > 0;
  }

  /** Milliseconds within which an answer meets the objective; negative when it is missed. */
  get usefulRemaining(): number {
    return this.route.targetLatencyMs - this.elapsed;
  }

  private remainingOf(share: number): number {
    const limit = Math.max(MINIMUM_OFFER_MS, this.route.targetLatencyMs * share);
    return Math.min(limit, this.route.timeoutMs) - this.elapsed;
  }

  /** Milliseconds in which another attempt is worth while. */
  get retryRemaining(): number {
    return this.route.timeoutMs * GIVE_UP_SHARE - this.elapsed;
  }
}
