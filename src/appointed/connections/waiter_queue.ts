/**
 * Requests that wait for a connection of one pool. Owns the requests and a timer for each, which rejects it when it gives
 * up. Relies on {@link ServiceOrder} for the order in which they are served. Nothing in it can fail.
 */
import type { Clock, Timer } from '../../runtime/runtime.js';
import type { QueuedRequest, ServiceOrder } from '../scheduling/service_order.js';
import type { ConnectionRequest, PooledConnection } from './pooled_connection.js';

/** A request that waits for a connection, and the promise of its caller. */
export interface WaitingRequest extends ConnectionRequest, QueuedRequest {
  /** Ends the wait with a connection. */
  resolve(pooled: PooledConnection): void;
  /** Ends the wait without one. */
  reject(error: Error): void;
}

/** Queue of one pool. */
export class WaiterQueue {
  private readonly timers = new Map<WaitingRequest, Timer>();

  constructor(
    private readonly clock: Clock,
    private readonly order: ServiceOrder,
  ) {}

  /** Number of requests. */
  get length(): number {
    return this.timers.size;
  }

  /** All requests in the order in which they are served. */
  rank(now: number): readonly WaitingRequest[] {
    return this.order.rank([...this.timers.keys()], now);
  }

  /** All requests and a newcomer, in the order in which they would be served. */
  rankWith(newcomer: WaitingRequest, now: number): readonly WaitingRequest[] {
    return this.order.rank([...this.timers.keys(), newcomer], now);
  }

  /** Tenants of all requests. */
  get tenants(): ReadonlySet<string | undefined> {
    return new Set([...this.timers.keys()].map(({ tenant }) => tenant));
  }

  /** Number of requests of one tenant. */
  countOf(tenant: string | undefined): number {
    let count = 0;
    for (const request of this.timers.keys()) if (request.tenant === tenant) count++;
    return count;
  }

  /** Adds a request; when it gives up, it is taken out and rejected with `timeoutError`. */
  add(request: WaitingRequest, timeoutError: () => Error): void {
    const timer = this.clock.setTimer(request.expiresAt - this.clock.now(), () =>
      this.reject(request, timeoutError()),
    );
    this.timers.set(request, timer);
  }

  /** Takes out a request and gives it a connection. */
  serve(request: WaitingRequest, pooled: PooledConnection): void {
    this.remove(request);
    request.resolve(pooled);
  }

  /**
   * Takes out the requests that will not be served in time, and rejects them.
   * @param ranked - all requests in the order in which they are served
   * @param spacingMs - time between two starts
   * @returns the requests that were rejected
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

  /** Takes out all requests, and rejects them. */
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
