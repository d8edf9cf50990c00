/** Requests that wait for a connection, in the order of their turns. */
import type { Clock, Timer } from '../../runtime/runtime.js';
import type { QueuedRequest, ServiceOrder } from '../scheduling/service_order.js';
import type { ConnectionRequest, PooledConnection } from './pooled_connection.js';

/** What a request waits for, and how it hears of it. */
export interface WaitingRequest extends ConnectionRequest, QueuedRequest {
  readonly priority: number;
  readonly tenant: string | undefined;
  resolve(pooled: PooledConnection): void;
  reject(error: Error): void;
}

/** Queue of one pool. */
export class WaiterQueue {
  private readonly timers = new Map<WaitingRequest, Timer>();

  constructor(
    private readonly clock: Clock,
    private readonly order: ServiceOrder,
  ) {}

  /** Requests that wait. */
  get length(): number {
    return this.timers.size;
  }

  /** All requests, the one whose turn it is first. */
  get requests(): readonly WaitingRequest[] {
    return this.order.rank([...this.timers.keys()], this.clock.now());
  }

  /** Tenants of all requests. */
  get tenants(): ReadonlySet<string | undefined> {
    return new Set([...this.timers.keys()].map(({ tenant }) => tenant));
  }

  /** Requests of one tenant. */
  countOf(tenant: string | undefined): number {
    let count = 0;
    for (const request of this.timers.keys()) if (request.tenant === tenant) count++;
    return count;
  }

  /** Requests that a new one would come after. */
  countAhead(request: WaitingRequest): number {
    const all = [...this.timers.keys(), request];
    return this.order.rank(all, this.clock.now()).indexOf(request);
  }

  /** Adds a request; when it gives up, it is taken out and rejected with `timeoutError`. */
  add(request: WaitingRequest, timeoutError: () => Error): void {
    const timer = this.clock.setTimer(request.giveUpAt - this.clock.now(), () =>
      this.reject(request, timeoutError()),
    );
    this.timers.set(request, timer);
  }

  /** Takes out a request and gives it a connection. */
  serve(request: WaitingRequest, pooled: PooledConnection): void {
    this.remove(request);
    request.resolve(pooled);
  }

  /** Takes out those that will not be served in time, where one is started each `spacingMs`; returns them. */
  rejectDisplaced(spacingMs: number, error: () => Error): readonly WaitingRequest[] {
    const displaced = this.order.displaced(this.requests, spacingMs, this.clock.now());
    for (const request of displaced) this.reject(request, error());
    return displaced;
  }

  /** Takes out all requests. */
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
