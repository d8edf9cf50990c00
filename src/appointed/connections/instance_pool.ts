/**
 * Connections of one proxy to one instance. A connection carries statements of the tenant for whom it was opened; where
 * there are no tenants, all are opened for the same.
 */
import type { Clock, RandomSource, Timer } from '../../runtime/runtime.js';
import type { Position } from '../../positions/position.js';
import { NO_TENANT } from '../tenancy/tenant.js';
import { AcquireError, type AcquireFailure } from './acquire_error.js';
import { ConcurrencyLimit } from './concurrency_limit.js';
import type { ConnectionShare } from './connection_share.js';
import {
  ConnectError,
  type InstanceConnection,
  type InstanceConnector,
  type InstanceTarget,
} from '../instance/instance_connection.js';
import { IdleConnections } from './idle_connections.js';
import { IdleTimeout } from './idle_timeout.js';
import type { InstanceLoad } from './instance_load.js';
import { ConnectBackoff } from './connect_backoff.js';
import { type ConnectionRequest, PooledConnection } from './pooled_connection.js';
import { ServiceOrder } from '../scheduling/service_order.js';
import { type WaitingRequest, WaiterQueue } from './waiter_queue.js';

/** Settings of a pool. */
export interface PoolOptions {
  /** Connections that this pool may hold, in force now. */
  readonly share: () => ConnectionShare;
  /** Statements that the instance runs at a time. */
  readonly slots: () => number;
  readonly connectTimeoutMs: number;
  /** Proxies that keep connections to the instance, this one included. */
  readonly proxies: () => number;
  /** Whether connections are opened before anybody wants one; not where nobody knows for which tenant. */
  readonly opensSpares: () => boolean;
  /** Part of the instance that a tenant may claim where it is full, relative to that of others. */
  readonly weightOf?: (tenant: string) => number;
  readonly random: RandomSource;
}

/** A request that others took the place of. */
export interface Displacement {
  readonly tenant: string | undefined;
  readonly priority: number;
  /** How long it has waited, in milliseconds. */
  readonly waitedMs: number;
  /** Requests that wait on. */
  readonly waiting: number;
}

/** What a pool does after the instance was busy. */
export interface BusyReaction {
  /** Statements that are sent at a time from now on. */
  readonly window: number;
  /** How long none is sent, in milliseconds. */
  readonly pauseMs: number;
  /** Requests that wait for their turn. */
  readonly waiting: number;
}

/** Hears of trouble with the instance. */
export interface PoolObserver {
  onConnectFailed(error: ConnectError): void;
  /** A connection was opened; the instance told its position after `startedAt`. */
  onOpened(position: Position, startedAt: number): void;
  onBusy(reaction: BusyReaction): void;
  onDisplaced(displacement: Displacement): void;
}

/** Assumed time to open a connection before the first was opened, in milliseconds. */
const INITIAL_CONNECT_MS = 15;
const CONNECT_TIME_WEIGHT = 0.2;
/**
 * Opening a connection takes a slot of the instance too, so it must save this many times the time that it takes
 * to one that waits.
 */
const OPENING_FACTOR = 1.5;
/**
 * Spare connections, which nobody waits for, are opened spread over this many times what the instance needs to open those
 * of all proxies: after a restart of all, openings of 193 proxies would fill two slots for 2.6 s (27 ms each). A fifth of
 * the slots is a guess.
 */
const SPARE_SPREAD = 5;
/** Statements on their way to the instance or back, beyond those in its slots. */
const EXTRA_ACTIVE = 1;

/** Pool of one instance. */
export class InstancePool {
  private readonly idle = new IdleConnections();
  private readonly order: ServiceOrder;
  private readonly waiters: WaiterQueue;
  /** Requests that got no connection since the start, by cause. */
  readonly refused = new Map<AcquireFailure, number>();
  private readonly window: ConcurrencyLimit;
  private readonly gate: ConnectBackoff;
  private pauseTimer: Timer | undefined;
  private openTimer: Timer | undefined;
  private readonly inUse = new Set<PooledConnection>();
  private active = 0;
  /** Connections that are being opened, by tenant. */
  private readonly openingFor: string[] = [];
  /** Smoothed time to open a connection, in milliseconds. */
  private connectMs = INITIAL_CONNECT_MS;
  private isClosed = false;
  private readonly patience = new IdleTimeout();
  /** When the next spare connection is opened; undefined while none is missing. */
  private spareDueAt: number | undefined;

  constructor(
    readonly target: InstanceTarget,
    private readonly connector: InstanceConnector,
    private readonly clock: Clock,
    readonly load: InstanceLoad,
    private readonly options: PoolOptions,
    private readonly observer: PoolObserver,
  ) {
    this.order = new ServiceOrder(options.weightOf);
    this.waiters = new WaiterQueue(clock, this.order);
    this.window = new ConcurrencyLimit(options.random);
    this.gate = new ConnectBackoff(clock, options.random, options.share);
  }

  /** Open connections, those being opened included. */
  get size(): number {
    return this.idle.length + this.inUse.size + this.opening;
  }

  /** Whether this proxy is a home of the instance. */
  get isHomed(): boolean {
    return this.options.share().isHome ?? false;
  }

  /** Requests that wait for a connection. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** Statements that may be sent at a time; infinite while the instance turns none away. */
  get windowSize(): number {
    return this.window.size;
  }

  /** Connections that are in use. */
  get used(): number {
    return this.inUse.size;
  }

  /**
   * A connection of the request's tenant, the one closest to the session's values first.
   * @throws AcquireError when none could be had within `timeoutMs`
   */
  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection> {
    if (this.isClosed) return Promise.reject(this.refusal('closed'));
    const now = this.clock.now();
    const free = this.mayServe(now) ? this.take(request) : undefined;
    if (free) return Promise.resolve(free);
    if (this.size === 0 && this.gate.isUnreachable) {
      return Promise.reject(this.refusal('unreachable'));
    }
    return new Promise((resolve, reject) => {
      const waiting = this.waitingFor(request, timeoutMs, { resolve, reject });
      if (this.expectedWait(waiting, now) > timeoutMs) {
        reject(this.refusal('full'));
        return;
      }
      this.waiters.add(waiting, () => this.refusal('timeout'));
      this.refuseDisplaced(now);
      this.refill();
    });
  }

  private waitingFor(
    request: ConnectionRequest,
    timeoutMs: number,
    outcome: Pick<WaitingRequest, 'resolve' | 'reject'>,
  ): WaitingRequest {
    const arrivedAt = this.clock.now();
    const { usefulMs = Infinity } = request;
    const giveUpAt = arrivedAt + timeoutMs;
    // The time of a statement is not taken off: the one that is known is a mean of all kinds, which may be longer than the
    // objective of a short one.
    return { ...request, ...outcome, arrivedAt, startBy: arrivedAt + usefulMs, giveUpAt };
  }

  private refusal(failure: AcquireFailure): AcquireError {
    this.refused.set(failure, (this.refused.get(failure) ?? 0) + 1);
    return new AcquireError(failure);
  }

  /** Who will not get a connection in time, since more urgent ones came, is told at once. */
  private refuseDisplaced(now: number): void {
    const spacingMs = this.load.latency / this.atATime;
    if (spacingMs === 0 || this.waiters.length < 2) return;
    const displaced = this.waiters.rejectDisplaced(spacingMs, () => this.refusal('displaced'));
    for (const { tenant, priority, arrivedAt } of displaced) {
      const waitedMs = now - arrivedAt;
      this.observer.onDisplaced({ tenant, priority, waitedMs, waiting: this.waiting });
    }
  }

  /** The instance turned a statement away since it was busy. */
  noteBusy(): void {
    const now = this.clock.now();
    if (!this.window.noteBusy(this.active, now)) return;
    const { size: window } = this.window;
    const pauseMs = this.window.remainingPause(now);
    this.observer.onBusy({ window, pauseMs, waiting: this.waiting });
  }

  /** The instance served a statement. */
  noteServed(): void {
    this.window.noteServed();
  }

  /** A statement of a transaction begins on its connection. It waits for nothing, but counts. */
  wake(pooled: PooledConnection): void {
    if (pooled.isActive) return;
    pooled.isActive = true;
    this.active++;
  }

  /** A transaction waits for its caller. */
  rest(pooled: PooledConnection): void {
    this.deactivate(pooled);
    this.serveWaiters();
  }

  /** Gives a connection back; it has no transaction and no answer outstanding. */
  release(pooled: PooledConnection): void {
    this.inUse.delete(pooled);
    this.deactivate(pooled);
    if (pooled.connection.closed) this.serveWaiters();
    else if (this.isClosed || this.size >= this.gate.limit) pooled.connection.close();
    else this.offer(pooled);
  }

  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void {
    this.inUse.delete(pooled);
    this.deactivate(pooled);
    pooled.connection.close();
    this.serveWaiters();
  }

  /** Closes the connections in use: no answer on them counts any more, and nobody should wait for one. */
  abandonInUse(): void {
    for (const { connection } of this.inUse) connection.close();
  }

  /** Opens connections until the minimum is there, and closes those that are idle for long. */
  maintain(): void {
    if (this.isClosed) return;
    const now = this.clock.now();
    const { minimumIdle, idleTimeoutMs } = this.options.share();
    this.idle.closeExpired(now, this.patience.current(idleTimeoutMs), minimumIdle);
    if (this.size < minimumIdle && this.options.opensSpares()) this.openSpareInTurn(now);
    else this.spareDueAt = undefined;
    this.refill();
  }

  /** Opens a connection that nobody waits for, at a time drawn so that all proxies together leave slots for statements. */
  private openSpareInTurn(now: number): void {
    const allMs = (this.options.proxies() * this.connectMs) / this.options.slots();
    this.spareDueAt ??= now + this.options.random.next() * allMs * SPARE_SPREAD;
    if (now < this.spareDueAt) return;
    this.spareDueAt = undefined;
    this.open(NO_TENANT);
  }

  /**
   * Opens a connection to see whether the instance is alive, unless one is being opened; also beyond the share, since all
   * connections may have fallen silent.
   */
  probe(): void {
    if (this.opening === 0 && !this.isClosed) this.startOpening(NO_TENANT);
  }

  /** Ends the pool; connections in use end when they are given back. */
  close(): void {
    this.isClosed = true;
    this.pauseTimer?.cancel();
    this.openTimer?.cancel();
    this.idle.closeAll();
    this.waiters.rejectAll(() => this.refusal('closed'));
  }

  private get opening(): number {
    return this.openingFor.length;
  }

  private take(request: ConnectionRequest): PooledConnection | undefined {
    const pooled = this.idle.takeClosest(request);
    if (!pooled) return undefined;
    this.inUse.add(pooled);
    this.wake(pooled);
    this.order.noteStart(request, this.load.latency, this.clock.now());
    return pooled;
  }

  private offer(pooled: PooledConnection): void {
    this.idle.add(pooled, this.clock.now());
    this.serveWaiters();
  }

  private deactivate(pooled: PooledConnection): void {
    if (!pooled.isActive) return;
    pooled.isActive = false;
    this.active--;
  }

  /** Whether the instance may be sent another statement now, as far as its refusals tell. */
  private mayServe(now: number): boolean {
    const hasSlot = !this.isHomed || this.active < this.mostActive;
    return hasSlot && this.window.allows(this.active, now);
  }

  /** Statements that the instance is sent at a time; infinite where nothing limits them. */
  private get atATime(): number {
    return this.isHomed ? Math.min(this.mostActive, this.window.size) : this.window.size;
  }

  /** Time until a request would be served, as far as the instance's refusals tell. */
  private expectedWait(request: WaitingRequest, now: number): number {
    const { atATime } = this;
    const queueing = atATime === Infinity ? 0 : this.waiters.countAhead(request) / atATime;
    return this.window.remainingPause(now) + queueing * this.load.latency;
  }

  /** Gives idle connections to those that wait, as long as the instance may be sent more. */
  private serveWaiters(): void {
    const now = this.clock.now();
    for (const request of this.waiters.requests) {
      if (this.idle.length === 0 || !this.mayServe(now)) break;
      const free = this.take(request);
      if (free) this.waiters.serve(request, free);
    }
    this.refill();
  }

  /** Goes on with those that wait when the pause of the window is over. */
  private resumeAfterPause(now: number): void {
    if (this.pauseTimer) return;
    this.pauseTimer = this.clock.setTimer(this.window.remainingPause(now), () => {
      this.pauseTimer = undefined;
      this.serveWaiters();
    });
  }

  private refill(): void {
    if (this.waiters.length === 0) return;
    const now = this.clock.now();
    if (this.window.remainingPause(now) > 0) {
      this.resumeAfterPause(now);
      return;
    }
    for (const tenant of this.waiters.tenants) {
      if (this.isOpeningWorthwhile(tenant)) this.openForWaiters(tenant);
      else this.openIfNoTurnComes();
    }
  }

  private openForWaiters(tenant: string | undefined): void {
    const inTurn = this.active + this.opening;
    const isAllowed = this.window.allows(inTurn, this.clock.now());
    if (!isAllowed || inTurn >= this.mostActive) return;
    const isIdleLeft = this.idle.hasFor({ tenant, values: new Map(), priority: 0 });
    const isWanted = !isIdleLeft && this.waiters.countOf(tenant) > this.openingOf(tenant);
    if (isWanted) this.open(tenant ?? NO_TENANT);
  }

  /**
   * Connections on which statements may be under way before another one is opened. Statements beyond the
   * instance's slots would only wait there, beside those of other proxies, and each opening takes a slot too.
   */
  private get mostActive(): number {
    return this.options.slots() + EXTRA_ACTIVE;
  }

  /** A statement that takes unusually long must not hold up those that wait for its connection. */
  private openIfNoTurnComes(): void {
    if (this.openTimer) return;
    this.openTimer = this.clock.setTimer(this.connectMs * OPENING_FACTOR, () => {
      this.openTimer = undefined;
      for (const tenant of this.waiters.tenants) this.openForWaiters(tenant);
      this.refill();
    });
  }

  /** Whether a new connection comes sooner than the last one that waits would get one of those there are. */
  private isOpeningWorthwhile(tenant: string | undefined): boolean {
    const inTurn = this.activeOf(tenant) + this.openingOf(tenant);
    if (inTurn === 0) return true;
    const turnMs = (this.waiters.countOf(tenant) / inTurn) * this.load.latency;
    return turnMs > this.connectMs * OPENING_FACTOR;
  }

  /** Connections of a tenant on which statements are under way. */
  private activeOf(tenant: string | undefined): number {
    if (tenant === undefined) return this.active;
    let count = 0;
    for (const pooled of this.inUse) if (pooled.isActive && pooled.tenant === tenant) count++;
    return count;
  }

  private openingOf(tenant: string | undefined): number {
    if (tenant === undefined) return this.opening;
    return this.openingFor.filter((other) => other === tenant).length;
  }

  /** Whether one more may be opened; an idle connection, of another tenant then, makes room for it. */
  private makesRoom(): boolean {
    if (!this.gate.isOpen) return false;
    return this.size < this.gate.limit || this.idle.closeOldest();
  }

  private open(tenant: string): void {
    if (!this.isClosed && this.makesRoom()) this.startOpening(tenant);
  }

  private startOpening(tenant: string): void {
    this.openingFor.push(tenant);
    const startedAt = this.clock.now();
    this.connector.connect(this.target, this.options.connectTimeoutMs, tenant).then(
      ({ connection, position }) => {
        this.endOpening(tenant);
        const durationMs = this.clock.now() - startedAt;
        this.connectMs += CONNECT_TIME_WEIGHT * (durationMs - this.connectMs);
        this.patience.noteOpened();
        if (position) this.noteOpenedAt(position, startedAt);
        this.adopt(connection, tenant);
      },
      (error: unknown) => {
        this.endOpening(tenant);
        this.onConnectFailed(error instanceof ConnectError ? error : undefined);
      },
    );
  }

  private endOpening(tenant: string): void {
    this.openingFor.splice(this.openingFor.indexOf(tenant), 1);
  }

  private noteOpenedAt(position: Position, startedAt: number): void {
    this.load.notePosition(position);
    this.observer.onOpened(position, startedAt);
  }

  private adopt(connection: InstanceConnection, tenant: string): void {
    const pooled = new PooledConnection(connection, tenant);
    if (this.isClosed) {
      connection.close();
      return;
    }
    connection.onClosed = () => this.idle.remove(pooled);
    this.offer(pooled);
  }

  private onConnectFailed(error: ConnectError | undefined): void {
    if (error) this.observer.onConnectFailed(error);
    if (error?.failure === 'connectionLimit') {
      this.patience.noteLimit(this.options.share().idleTimeoutMs);
      this.gate.noteLimit(this.size, () => this.refill());
      return;
    }
    const isOtherInstance = error?.failure === 'wrongInstance';
    this.gate.noteUnreachable(isOtherInstance);
    if (isOtherInstance) this.waiters.rejectAll(() => this.refusal('wrongInstance'));
    else if (this.size === 0) this.waiters.rejectAll(() => this.refusal('unreachable'));
  }
}
