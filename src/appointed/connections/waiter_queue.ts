/**
 * Queue of the requests that wait for a connection of one pool, each with a timer that rejects it
 * at its timeout. {@link ServiceOrder} decides the order in which they are served.
 */
import type { Clock, Timer } from '../../runtime/runtime.js';
import type { QueuedRequest, ServiceOrder } from '../scheduling/service_order.js';
import type { ConnectionRequest, PooledConnection } from './pooled_connection.js';

/** A queued request and the promise of its caller. */
export interface WaitingRequest extends ConnectionRequest, QueuedRequest {
  /** Ends the wait with a connection. */
  resolve(pooled: PooledConnection): void;
  /** Ends the wait without one. */
  reject(error: Error): void;
}

export class WaiterQueue {
  private readonly timers = new Map<WaitingRequest, Timer>();

  constructor(
    private readonly clock: Clock,
    private readonly order: ServiceOrder,
  ) {}

  get length(): number {
    return this.timers.size;
  }

  /** All requests in the order in which they will be served. */
  rank(now: number): readonly WaitingRequest[] {
    return this.order.rank([...this.timers.keys()], now);
  }

  /** All requests and a new one, in the order in which they would be served. */
  rankWith(newcomer: WaitingRequest, now: number): readonly WaitingRequest[] {
    return this.order.rank([...this.timers.keys(), newcomer], now);
  }

  get tenants(): ReadonlySet<string | undefined> {
    return new Set([...this.timers.keys()].map(({ tenant }) => tenant));
  }

  countOf(tenant: string | undefined): number {
    let count = 0;
    for (const request of this.timers.keys()) if (request.tenant === tenant) count++;
    return count;
  }

  /** Adds a request. At its timeout it is removed and rejected with `timeoutError`. */
  add(request: WaitingRequest, timeoutError: () => Error): void {
    const timer = this.clock.setTimer(request.expiresAt - this.clock.now(), () =>
      this.reject(request, timeoutError()),
    );
    this.timers.set(request, timer);
  }

  /** Removes a request and gives it a connection. */
  serve(request: WaitingRequest, pooled: PooledConnection): void {
    this.remove(request);
    request.resolve(pooled);
  }

  /**
   * Removes and rejects the requests that cannot be served in time.
   * @param ranked - all requests in the order in which they will be served
   * @param spacingMs - time between two starts
   * @returns the rejected requests
   */
  rejectDisplaced(
    ranked: readonly WaitingRequest[],
    spacingMs: number,
    now: number,
    error: () => Error,
  ): readonly WaitingRequest[] {
    const displaced = this.order.displaced(ranked, spacingMs, now);
    for (const request of displaced) this.reject(request, error());
    return displaced;
  }

  rejectAll(error: () => Error): void {
    for (const request of [...this.timers.keys()]) this.reject(request, error());
  }

  private reject(request: WaitingRequest, error: Error): void {
    this.remove(request);
    request.reject(error);
  }

  private remove(request: WaitingRequest): void {
    this.timers.get(request)?.cancel();
    this.timers.delete(request);
  }
}
