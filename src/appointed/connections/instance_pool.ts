/**
 * Pool of one proxy's connections to one instance. Gives connections to requests, queues the
 * requests that find none free, and refuses those that cannot be served in time. A connection only
 * serves the tenant for whom it was opened; without tenants, all connections belong to the same
 * one.
 *
 * The parts: `idle` and `inUse` track the connections, `waiters` holds the queued requests in the
 * order of ServiceOrder, `limit` bounds the statements in flight after BUSY answers, `opener` and
 * `backoff` open connections, `demand` opens them for queued requests, `spares` ahead of requests,
 * `idleTimeout` decides when idle ones are closed.
 */
import type { Clock } from '../../runtime/runtime.js';
import { NO_TENANT } from '../tenancy/tenant.js';
import type {
  ConnectError,
  InstanceConnector,
  InstanceTarget,
} from '../instance/instance_connection.js';
import { ServiceOrder } from '../scheduling/service_order.js';
import { AcquireError, type AcquireFailure } from './acquire_error.js';
import { ConcurrencyLimit } from './concurrency_limit.js';
import { ConnectBackoff } from './connect_backoff.js';
import { ConnectionOpener, type Opening } from './connection_opener.js';
import { ConnectionsInUse } from './connections_in_use.js';
import { DemandOpener } from './demand_opener.js';
import { expectedWaitMs, startSpacingMs } from './expected_wait.js';
import { IdleConnections } from './idle_connections.js';
import { IdleTimeout } from './idle_timeout.js';
import type { InstanceLoad } from './instance_load.js';
import { maxStatementsInFlight } from './opening_rule.js';
import { type ConnectionRequest, PooledConnection } from './pooled_connection.js';
import type { PoolListener, PoolOptions } from './pool_options.js';
import { SpareSchedule } from './spare_connections.js';
import { type WaitingRequest, WaiterQueue } from './waiter_queue.js';

export class InstancePool {
  /** Number of refused requests, by cause. */
  readonly refusalCounts = new Map<AcquireFailure, number>();
  /** When a connection was last used for a caller's statement; -Infinity if never. */
  lastStatementAt = -Infinity;
  private readonly idle = new IdleConnections();
  private readonly inUse = new ConnectionsInUse();
  private readonly idleTimeout = new IdleTimeout();
  private readonly order: ServiceOrder;
  private readonly waiters: WaiterQueue;
  private readonly limit: ConcurrencyLimit;
  private readonly backoff: ConnectBackoff;
  private readonly opener: ConnectionOpener;
  private readonly demand: DemandOpener;
  private readonly spares: SpareSchedule;
  private isClosed = false;
  /**
   * Whether only internal requests get connections, since the zone of the instance is evacuated.
   */
  private isSuspended = false;
  /** Connections that were opened for internal requests during an evacuation. */
  private readonly systemConnections = new WeakSet<PooledConnection>();

  constructor(
    readonly target: InstanceTarget,
    connector: InstanceConnector,
    private readonly clock: Clock,
    /** Latency and failures of the instance, as seen by this proxy. */
    readonly load: InstanceLoad,
    private readonly options: PoolOptions,
    private readonly listener: PoolListener,
  ) {
    const { random, quota, slots } = options;
    this.order = new ServiceOrder(options.weightOf);
    this.waiters = new WaiterQueue(clock, this.order);
    this.limit = new ConcurrencyLimit(random);
    this.backoff = new ConnectBackoff(clock, random, quota);
    this.spares = new SpareSchedule(random);
    this.opener = new ConnectionOpener(target, connector, options.connectTimeoutMs, clock, {
      onOpened: (opening) => this.onOpened(opening),
      onFailed: (error) => this.onConnectFailed(error),
    });
    const { limit, waiters, idle, inUse, opener } = this;
    const open = (tenant: string): void => this.open(tenant);
    const serveWaiters = (): void => this.serveWaiters();
    const dependencies = {
      clock,
      load,
      limit,
      waiters,
      idle,
      inUse,
      opener,
      slots,
      open,
      serveWaiters,
    };
    this.demand = new DemandOpener(dependencies);
  }

  /** Number of connections, those being opened included. */
  get size(): number {
    return this.idle.length + this.inUse.size + this.opener.count;
  }

  /**
   * Whether this proxy is a connection owner of the instance, so that the requests of all proxies
   * queue here.
   */
  get queuesAtOwner(): boolean {
    return this.options.quota().isOwner ?? false;
  }

  /** Number of requests that wait for a connection. */
  get waitingCount(): number {
    return this.waiters.length;
  }

  /** Maximum number of statements in flight; infinite while the instance refuses none. */
  get concurrencyLimit(): number {
    return this.limit.maxInFlight;
  }

  /** Number of connections in use. */
  get inUseCount(): number {
    return this.inUse.size;
  }

  /**
   * Returns a connection of the request's tenant, preferably one that has the session's values
   * loaded.
   * @throws AcquireError if none is available within `timeoutMs`
   */
  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection> {
    if (this.isClosed) return Promise.reject(this.recordRefusal('closed'));
    if (this.isSuspended && request.tenant !== undefined) {
      return Promise.reject(this.recordRefusal('evacuated'));
    }
    const now = this.clock.now();
    const idleConnection = this.canSendStatement(now) ? this.takeIdle(request) : undefined;
    if (idleConnection) return Promise.resolve(idleConnection);
    if (this.size === 0 && this.backoff.isUnreachable) {
      return Promise.reject(this.recordRefusal('unreachable'));
    }
    return new Promise((resolve, reject) => {
      const { objectiveMs = Infinity } = request;
      // `startBy` does not subtract the duration of the statement: the known duration is a mean
      // over all kinds of statements, which may exceed the latency objective of a short one.
      const times = {
        arrivedAt: now,
        latestStartAt: now + objectiveMs,
        expiresAt: now + timeoutMs,
      };
      this.enqueue({ ...request, resolve, reject, ...times }, timeoutMs, now);
    });
  }

  /** Lowers the concurrency limit after the instance refused a statement with BUSY. */
  recordBusy(): void {
    const now = this.clock.now();
    if (!this.limit.recordBusy(this.inUse.active, now)) return;
    const pauseMs = this.limit.remainingPauseMs(now);
    this.listener.onBusy({ limit: this.limit.maxInFlight, pauseMs, waiting: this.waitingCount });
  }

  /** Raises the concurrency limit, if there is one, after the instance served a statement. */
  recordServed(): void {
    this.limit.recordServed();
  }

  /** Marks a transaction's connection as running a statement. The statement does not queue. */
  markActive(pooled: PooledConnection): void {
    this.lastStatementAt = this.clock.now();
    this.inUse.activate(pooled);
  }

  /** Marks a transaction's connection as idle until the caller sends the next statement. */
  markIdleInTransaction(pooled: PooledConnection): void {
    pooled.idleSince = this.clock.now();
    this.inUse.deactivate(pooled);
    this.serveWaiters();
  }

  /** Always true: statements on the pool's own connections pass through no other proxy. */
  satisfiesResidency(): boolean {
    return true;
  }

  /** Returns a connection that has no open transaction and no command in flight. */
  release(pooled: PooledConnection): void {
    this.inUse.remove(pooled);
    if (pooled.connection.closed) this.serveWaiters();
    else if (!this.mayKeep(pooled)) pooled.connection.close();
    else this.addIdle(pooled);
  }

  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void {
    this.inUse.remove(pooled);
    pooled.connection.close();
    this.serveWaiters();
  }

  /**
   * Closes the connections in use, so that no request waits for an answer of an ended incarnation.
   */
  closeInUse(): void {
    this.inUse.closeAll();
  }

  /**
   * Refuses queued and new requests and closes idle connections: the zone of the instance is
   * evacuated. Running statements and transactions may finish.
   */
  suspend(): void {
    if (this.isSuspended) return;
    this.isSuspended = true;
    this.idle.closeAll();
    this.waiters.rejectAll(() => this.recordRefusal('evacuated'));
  }

  /** Ends the suspension. */
  resume(): void {
    this.isSuspended = false;
  }

  /**
   * Closes the connections of transactions that have been idle for at least `minIdleMs`.
   * @returns number of connections closed
   */
  closeIdleTransactions(minIdleMs: number): number {
    return this.inUse.closeIdleTransactions(this.clock.now() - minIdleMs);
  }

  /**
   * Opens spare connections up to the minimum and closes expired idle ones; called periodically.
   */
  maintain(): void {
    if (this.isClosed) return;
    const now = this.clock.now();
    const { minimumIdle: wantedIdle, idleTimeoutMs } = this.options.quota();
    const minimumIdle = this.isSuspended ? 0 : wantedIdle;
    this.idle.closeExpired(now, this.idleTimeout.effectiveMs(idleTimeoutMs), minimumIdle);
    if (this.size < minimumIdle && this.options.opensSpareConnections()) this.openSpareWhenDue(now);
    else this.spares.clear();
    this.demand.openForWaiters();
  }

  /**
   * Opens a connection to check whether the instance is alive, unless an attempt is in flight. May
   * exceed the quota, since all existing connections may be unresponsive.
   */
  probeByConnecting(): void {
    if (this.opener.count === 0 && !this.isClosed && !this.isSuspended) this.opener.open(NO_TENANT);
  }

  /** Closes the pool. Connections in use are closed when they are returned. */
  close(): void {
    this.isClosed = true;
    this.demand.close();
    this.idle.closeAll();
    this.waiters.rejectAll(() => this.recordRefusal('closed'));
  }

  /**
   * Queues a request, and refuses the requests that it displaces. A request whose expected wait
   * exceeds its timeout is refused at once.
   */
  private enqueue(request: WaitingRequest, timeoutMs: number, now: number): void {
    const { effectiveConcurrency } = this;
    const isLimited = effectiveConcurrency !== Infinity;
    const ranked = isLimited ? this.waiters.rankWith(request, now) : undefined;
    const requestsAhead = ranked?.indexOf(request) ?? 0;
    const pauseMs = this.limit.remainingPauseMs(now);
    if (
      expectedWaitMs(pauseMs, requestsAhead, effectiveConcurrency, this.load.latencyMs) > timeoutMs
    ) {
      request.reject(this.recordRefusal('full'));
      return;
    }
    this.waiters.add(request, () => this.recordRefusal('timeout'));
    if (ranked) this.refuseDisplaced(ranked, effectiveConcurrency, now);
    this.demand.openForWaiters();
  }

  /**
   * Refuses requests that more urgent ones push beyond their deadline now, rather than when they
   * time out.
   */
  private refuseDisplaced(
    ranked: readonly WaitingRequest[],
    concurrency: number,
    now: number,
  ): void {
    const spacingMs = startSpacingMs(concurrency, this.load.latencyMs);
    if (spacingMs === 0 || ranked.length < 2) return;
    const error = (): AcquireError => this.recordRefusal('displaced');
    const displaced = this.waiters.rejectDisplaced(ranked, spacingMs, now, error);
    for (const { tenant, priority, arrivedAt } of displaced) {
      const waitedMs = now - arrivedAt;
      this.listener.onDisplaced({ tenant, priority, waitedMs, waiting: this.waitingCount });
    }
  }

  private recordRefusal(failure: AcquireFailure): AcquireError {
    this.refusalCounts.set(failure, (this.refusalCounts.get(failure) ?? 0) + 1);
    return new AcquireError(failure);
  }

  private mayKeep(pooled: PooledConnection): boolean {
    if (this.isClosed || this.size >= this.backoff.maxConnections) return false;
    return !this.isSuspended || this.systemConnections.has(pooled);
  }

  private takeIdle(request: ConnectionRequest): PooledConnection | undefined {
    const pooled = this.idle.takeClosest(request);
    if (!pooled) return undefined;
    this.inUse.add(pooled);
    const now = this.clock.now();
    if (request.tenant !== undefined) this.lastStatementAt = now;
    this.order.recordStart(request, this.load.latencyMs, now);
    return pooled;
  }

  private addIdle(pooled: PooledConnection): void {
    this.idle.add(pooled, this.clock.now());
    this.serveWaiters();
  }

  /**
   * Whether another statement may be sent: the concurrency limit allows it, and at a connection
   * owner a slot is free.
   */
  private canSendStatement(now: number): boolean {
    const hasSlot = !this.queuesAtOwner || this.inUse.active < this.maxActiveStatements;
    return hasSlot && this.limit.allows(this.inUse.active, now);
  }

  /** Number of statements that may be in flight; infinite if unlimited. */
  private get effectiveConcurrency(): number {
    return this.queuesAtOwner
      ? Math.min(this.maxActiveStatements, this.limit.maxInFlight)
      : this.limit.maxInFlight;
  }

  private get maxActiveStatements(): number {
    return maxStatementsInFlight(this.options.slots());
  }

  /** Gives idle connections to waiting requests while the limits allow it. */
  private serveWaiters(): void {
    const now = this.clock.now();
    for (const request of this.waiters.rank(now)) {
      if (this.idle.length === 0 || !this.canSendStatement(now)) break;
      const idleConnection = this.takeIdle(request);
      if (idleConnection) this.waiters.serve(request, idleConnection);
    }
    this.demand.openForWaiters();
  }

  private openSpareWhenDue(now: number): void {
    const { connectMs } = this.opener;
    const spareDemand = {
      proxyCount: this.options.proxyCount(),
      connectMs,
      slots: this.options.slots(),
    };
    if (this.spares.isDue(spareDemand, now)) this.open(NO_TENANT);
  }

  private open(tenant: string): void {
    if (!this.isClosed && this.makeRoom()) this.opener.open(tenant);
  }

  /**
   * Whether one more connection may be opened. If the pool is full, closes an idle connection,
   * which belongs to another tenant then.
   */
  private makeRoom(): boolean {
    if (!this.backoff.mayConnect) return false;
    return this.size < this.backoff.maxConnections || this.idle.closeOldest();
  }

  private onOpened({ connection, tenant, position, startedAt }: Opening): void {
    this.idleTimeout.recordOpened();
    if (position) {
      this.load.recordPosition(position);
      this.listener.onOpened(position, startedAt);
    }
    if (this.isClosed || (this.isSuspended && this.waiters.length === 0)) {
      connection.close();
      return;
    }
    const pooled = new PooledConnection(connection, tenant);
    if (this.isSuspended) this.systemConnections.add(pooled);
    connection.onClosed = () => this.idle.remove(pooled);
    this.addIdle(pooled);
  }

  private onConnectFailed(error: ConnectError | undefined): void {
    if (error) this.listener.onConnectFailed(error);
    if (error?.failure === 'connectionLimit') {
      this.idleTimeout.recordConnectionLimit(this.options.quota().idleTimeoutMs);
      this.backoff.recordConnectionLimit(this.size, () => this.demand.openForWaiters());
      return;
    }
    const isOtherInstance = error?.failure === 'wrongInstance';
    this.backoff.recordUnreachable(isOtherInstance);
    if (isOtherInstance) this.waiters.rejectAll(() => this.recordRefusal('wrongInstance'));
    else if (this.size === 0) this.waiters.rejectAll(() => this.recordRefusal('unreachable'));
  }
}
