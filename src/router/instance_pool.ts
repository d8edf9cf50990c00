/** Connections of one proxy to one instance, and what each of them has loaded. */
import type { Clock, RandomSource, Timer } from '../runtime/runtime.js';
import type { Position } from '../session/position.js';
import { BusyWindow } from './busy_window.js';
import type { ConnectionShare } from './connection_share.js';
import {
  ConnectError,
  type InstanceConnection,
  type InstanceConnector,
  type InstanceTarget,
} from './instance_connection.js';
import { IdlePatience } from './idle_patience.js';
import type { InstanceLoad } from './instance_load.js';
import { WaiterQueue } from './waiter_queue.js';

/** A connection with the session values and prepared shapes that it holds. */
export class PooledConnection {
  readonly values = new Map<string, string>();
  readonly preparedNames = new Set<string>();
  idleSince = 0;
  /** Whether a statement runs on it or is about to; a transaction rests between its statements. */
  isActive = false;

  constructor(readonly connection: InstanceConnection) {}

  /** How many steps lead to a session's values; a reset counts more than a single value. */
  distanceTo(values: ReadonlyMap<string, string>): number {
    const RESET_STEPS = 3;
    let steps = 0;
    for (const name of this.values.keys()) if (!values.has(name)) return RESET_STEPS + values.size;
    for (const [name, value] of values) if (this.values.get(name) !== value) steps++;
    return steps;
  }
}

/** Why no connection could be had. Nothing ran. */
export type AcquireFailure = 'timeout' | 'full' | 'unreachable' | 'wrongInstance' | 'closed';

/** Nothing could be had in time. */
export class AcquireError extends Error {
  constructor(readonly failure: AcquireFailure) {
    super(failure);
  }
}

/** Settings of a pool. */
export interface PoolOptions {
  /** Connections that this pool may hold, in force now. */
  readonly share: () => ConnectionShare;
  /** Statements that the instance runs at a time. */
  readonly slots: () => number;
  readonly connectTimeoutMs: number;
  /** Proxies that keep connections to the instance, this one included. */
  readonly proxies: () => number;
  readonly random: RandomSource;
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
}

const RECONNECT_DELAY_MS = 100;
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
/** Range of the pause after an instance had no connection left: others give theirs back all the time. */
const SHORTEST_LIMIT_PAUSE_MS = 10;
const LONGEST_LIMIT_PAUSE_MS = 30;
/** Another instance has the address; control will tell when this one is gone. */
const WRONG_INSTANCE_DELAY_MS = 3000;

/** Pool of one instance. */
export class InstancePool {
  private readonly idle: PooledConnection[] = [];
  private readonly waiters: WaiterQueue<PooledConnection>;
  private readonly window: BusyWindow;
  private pauseTimer: Timer | undefined;
  private openTimer: Timer | undefined;
  private readonly inUse = new Set<PooledConnection>();
  private active = 0;
  private opening = 0;
  /** Smoothed time to open a connection, in milliseconds. */
  private connectMs = INITIAL_CONNECT_MS;
  private isClosed = false;
  private readonly patience = new IdlePatience();
  /** When the next spare connection is opened; undefined while none is missing. */
  private spareDueAt: number | undefined;
  private clampedUntil = -Infinity;
  private clampedTo = Infinity;
  /** Nothing is tried before, since the instance could not be reached. */
  private unreachableUntil = -Infinity;
  /** Whether the instance had no connection left a moment ago; nothing is tried for a short time. */
  private isLimited = false;

  constructor(
    readonly target: InstanceTarget,
    private readonly connector: InstanceConnector,
    private readonly clock: Clock,
    readonly load: InstanceLoad,
    private readonly options: PoolOptions,
    private readonly observer: PoolObserver,
  ) {
    this.waiters = new WaiterQueue(clock);
    this.window = new BusyWindow(options.random);
  }

  /** Open connections, those being opened included. */
  get size(): number {
    return this.idle.length + this.inUse.size + this.opening;
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
   * A connection, the one closest to the session's values first.
   * @throws AcquireError when none could be had within `timeoutMs`
   */
  acquire(
    values: ReadonlyMap<string, string>,
    priority: number,
    timeoutMs: number,
  ): Promise<PooledConnection> {
    if (this.isClosed) return Promise.reject(new AcquireError('closed'));
    const now = this.clock.now();
    const free = this.mayServe(now) ? this.takeClosest(values) : undefined;
    if (free) return Promise.resolve(free);
    if (this.size === 0 && now < this.unreachableUntil) {
      return Promise.reject(new AcquireError('unreachable'));
    }
    if (this.expectedWait(priority, now) > timeoutMs) {
      return Promise.reject(new AcquireError('full'));
    }
    return new Promise((resolve, reject) => {
      const request = { values, priority, resolve, reject };
      this.waiters.add(request, timeoutMs, () => new AcquireError('timeout'));
      this.refill();
    });
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
    else if (this.isClosed || this.size >= this.limit) pooled.connection.close();
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
    const patienceMs = this.patience.current(idleTimeoutMs);
    while (this.idle.length > minimumIdle && now - this.idle[0]!.idleSince > patienceMs) {
      this.idle.shift()!.connection.close();
    }
    if (this.size < minimumIdle) this.openSpareInTurn(now);
    else this.spareDueAt = undefined;
    this.refill();
  }

  /** Opens a connection that nobody waits for, at a time drawn so that all proxies together leave slots for statements. */
  private openSpareInTurn(now: number): void {
    const allMs = (this.options.proxies() * this.connectMs) / this.options.slots();
    this.spareDueAt ??= now + this.options.random.next() * allMs * SPARE_SPREAD;
    if (now < this.spareDueAt) return;
    this.spareDueAt = undefined;
    this.open();
  }

  /** Ends the pool; connections in use end when they are given back. */
  close(): void {
    this.isClosed = true;
    this.pauseTimer?.cancel();
    this.openTimer?.cancel();
    for (const pooled of this.idle.splice(0)) pooled.connection.close();
    this.waiters.rejectAll(() => new AcquireError('closed'));
  }

  private get limit(): number {
    const { most } = this.options.share();
    return this.clock.now() < this.clampedUntil ? Math.min(most, this.clampedTo) : most;
  }

  private takeClosest(values: ReadonlyMap<string, string>): PooledConnection | undefined {
    let best: PooledConnection | undefined;
    let bestDistance = Infinity;
    for (const pooled of this.idle) {
      const distance = pooled.distanceTo(values);
      if (distance > bestDistance) continue;
      best = pooled;
      bestDistance = distance;
    }
    if (!best) return undefined;
    this.idle.splice(this.idle.indexOf(best), 1);
    this.inUse.add(best);
    this.wake(best);
    return best;
  }

  private offer(pooled: PooledConnection): void {
    pooled.idleSince = this.clock.now();
    this.idle.push(pooled);
    this.serveWaiters();
  }

  private deactivate(pooled: PooledConnection): void {
    if (!pooled.isActive) return;
    pooled.isActive = false;
    this.active--;
  }

  /** Whether the instance may be sent another statement now, as far as its refusals tell. */
  private mayServe(now: number): boolean {
    return this.window.allows(this.active, now);
  }

  /** Time until a request of this priority would be served, as far as the instance's refusals tell. */
  private expectedWait(priority: number, now: number): number {
    const { size } = this.window;
    const queueing = size === Infinity ? 0 : this.waiters.countAhead(priority) / size;
    return this.window.remainingPause(now) + queueing * this.load.latency;
  }

  /** Gives idle connections to those that wait, as long as the instance may be sent more. */
  private serveWaiters(): void {
    const now = this.clock.now();
    for (let { first } = this.waiters; first && this.mayServe(now); { first } = this.waiters) {
      const free = this.takeClosest(first.values);
      if (!free) break;
      this.waiters.serveFirst(free);
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

  private mayOpen(): boolean {
    const isReachable = this.clock.now() >= this.unreachableUntil;
    return isReachable && !this.isLimited && this.size < this.limit;
  }

  private refill(): void {
    if (this.waiters.length === 0) return;
    const now = this.clock.now();
    if (this.window.remainingPause(now) > 0) this.resumeAfterPause(now);
    else if (this.isOpeningWorthwhile) this.openForWaiters();
    else this.openIfNoTurnComes();
  }

  private openForWaiters(): void {
    const inTurn = this.active + this.opening;
    const isAllowed = this.window.allows(inTurn, this.clock.now());
    const isWanted = this.idle.length === 0 && this.waiters.length > this.opening;
    if (isAllowed && isWanted && inTurn < this.mostActive) this.open();
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
      this.openForWaiters();
      this.refill();
    });
  }

  /** Whether a new connection comes sooner than the last one that waits would get one of those there are. */
  private get isOpeningWorthwhile(): boolean {
    const inTurn = this.active + this.opening;
    if (inTurn === 0) return true;
    const turnMs = (this.waiters.length / inTurn) * this.load.latency;
    return turnMs > this.connectMs * OPENING_FACTOR;
  }

  private open(): void {
    if (this.isClosed || !this.mayOpen()) return;
    this.opening++;
    const startedAt = this.clock.now();
    this.connector.connect(this.target, this.options.connectTimeoutMs).then(
      ({ connection, position }) => {
        this.opening--;
        const durationMs = this.clock.now() - startedAt;
        this.connectMs += CONNECT_TIME_WEIGHT * (durationMs - this.connectMs);
        this.patience.noteOpened();
        if (position) this.noteOpenedAt(position, startedAt);
        this.adopt(connection);
      },
      (error: unknown) => {
        this.opening--;
        this.onConnectFailed(error instanceof ConnectError ? error : undefined);
      },
    );
  }

  private noteOpenedAt(position: Position, startedAt: number): void {
    this.load.notePosition(position);
    this.observer.onOpened(position, startedAt);
  }

  private adopt(connection: InstanceConnection): void {
    const pooled = new PooledConnection(connection);
    if (this.isClosed) {
      connection.close();
      return;
    }
    connection.onClosed = () => {
      const position = this.idle.indexOf(pooled);
      if (position >= 0) this.idle.splice(position, 1);
    };
    this.offer(pooled);
  }

  private onConnectFailed(error: ConnectError | undefined): void {
    const now = this.clock.now();
    if (error) this.observer.onConnectFailed(error);
    if (error?.failure === 'connectionLimit') {
      this.onLimitReached(now);
      return;
    }
    this.unreachableUntil = now + RECONNECT_DELAY_MS;
    if (error?.failure === 'wrongInstance') {
      this.unreachableUntil = now + WRONG_INSTANCE_DELAY_MS;
      this.waiters.rejectAll(() => new AcquireError('wrongInstance'));
    } else if (this.size === 0) {
      this.waiters.rejectAll(() => new AcquireError('unreachable'));
    }
  }

  /** Goes on with what there is; without any connection, tries again soon for those that wait. */
  private onLimitReached(now: number): void {
    const { clampMs, idleTimeoutMs } = this.options.share();
    this.patience.noteLimit(idleTimeoutMs);
    if (this.size > 0) {
      this.clampedTo = this.size;
      this.clampedUntil = now + clampMs;
      return;
    }
    const pauseMs = this.options.random.integer(SHORTEST_LIMIT_PAUSE_MS, LONGEST_LIMIT_PAUSE_MS);
    this.isLimited = true;
    this.clock.setTimer(pauseMs, () => {
      this.isLimited = false;
      this.refill();
    });
  }
}
