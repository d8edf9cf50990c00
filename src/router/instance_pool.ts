/** Connections of one proxy to one instance, and what each of them has loaded. */
import type { Clock, RandomSource, Timer } from '../runtime/runtime.js';
import type { ConnectionShare } from './connection_share.js';
import {
  ConnectError,
  type InstanceConnection,
  type InstanceConnector,
  type InstanceTarget,
} from './instance_connection.js';
import { IdlePatience } from './idle_patience.js';
import type { InstanceLoad } from './instance_load.js';

/** A connection with the session values and prepared shapes that it holds. */
export class PooledConnection {
  readonly values = new Map<string, string>();
  readonly preparedNames = new Set<string>();
  idleSince = 0;

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
export type AcquireFailure = 'timeout' | 'unreachable' | 'wrongInstance' | 'closed';

/** Nothing could be had in time. */
export class AcquireError extends Error {
  constructor(readonly failure: AcquireFailure) {
    super(failure);
  }
}

interface Waiter {
  readonly values: ReadonlyMap<string, string>;
  readonly priority: number;
  readonly timer: Timer;
  resolve(connection: PooledConnection): void;
  reject(error: AcquireError): void;
}

/** Settings of a pool. */
export interface PoolOptions {
  /** Connections that this pool may hold, in force now. */
  readonly share: () => ConnectionShare;
  readonly connectTimeoutMs: number;
  readonly random: RandomSource;
}

/** Hears of connection attempts. */
export interface PoolObserver {
  onConnected(durationMs: number): void;
  onConnectFailed(error: ConnectError): void;
}

const RECONNECT_DELAY_MS = 100;
/** Range of the pause after an instance had no connection left: others give theirs back all the time. */
const SHORTEST_LIMIT_PAUSE_MS = 10;
const LONGEST_LIMIT_PAUSE_MS = 30;
/** Another instance has the address; control will tell when this one is gone. */
const WRONG_INSTANCE_DELAY_MS = 3000;

/** Pool of one instance. */
export class InstancePool {
  private readonly idle: PooledConnection[] = [];
  private readonly waiters: Waiter[] = [];
  private inUse = 0;
  private opening = 0;
  private isClosed = false;
  private readonly patience = new IdlePatience();
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
  ) {}

  /** Open connections, those being opened included. */
  get size(): number {
    return this.idle.length + this.inUse + this.opening;
  }

  /** Requests that wait for a connection. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** Connections that are in use. */
  get used(): number {
    return this.inUse;
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
    const free = this.takeClosest(values);
    if (free) return Promise.resolve(free);
    if (this.size === 0 && this.clock.now() < this.unreachableUntil) {
      return Promise.reject(new AcquireError('unreachable'));
    }
    return new Promise((resolve, reject) => {
      const waiter: Waiter = {
        values,
        priority,
        resolve,
        reject,
        timer: this.clock.setTimer(timeoutMs, () => {
          this.waiters.splice(this.waiters.indexOf(waiter), 1);
          reject(new AcquireError('timeout'));
        }),
      };
      const later = this.waiters.findIndex((other) => other.priority > priority);
      this.waiters.splice(later < 0 ? this.waiters.length : later, 0, waiter);
      if (this.waiters.length > this.opening) this.open();
    });
  }

  /** Gives a connection back; it has no transaction and no answer outstanding. */
  release(pooled: PooledConnection): void {
    this.inUse--;
    if (pooled.connection.closed) this.refill();
    else if (this.isClosed || this.size >= this.limit) pooled.connection.close();
    else this.offer(pooled);
  }

  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void {
    this.inUse--;
    pooled.connection.close();
    this.refill();
  }

  /** Opens connections until the minimum is there, and closes those that are idle for long. */
  maintain(): void {
    if (this.isClosed) return;
    const now = this.clock.now();
    const oldest = this.idle[0];
    const { minimumIdle, idleTimeoutMs } = this.options.share();
    const isExcess = this.idle.length > minimumIdle;
    if (oldest && isExcess && now - oldest.idleSince > this.patience.current(idleTimeoutMs)) {
      this.idle.shift();
      oldest.connection.close();
    }
    if (this.size < minimumIdle) this.open();
    else this.refill();
  }

  /** Ends the pool; connections in use end when they are given back. */
  close(): void {
    this.isClosed = true;
    for (const pooled of this.idle.splice(0)) pooled.connection.close();
    this.rejectAll('closed');
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
    this.inUse++;
    return best;
  }

  private offer(pooled: PooledConnection): void {
    const waiter = this.waiters.shift();
    if (!waiter) {
      pooled.idleSince = this.clock.now();
      this.idle.push(pooled);
      return;
    }
    waiter.timer.cancel();
    this.inUse++;
    waiter.resolve(pooled);
  }

  private mayOpen(): boolean {
    const isReachable = this.clock.now() >= this.unreachableUntil;
    return isReachable && !this.isLimited && this.size < this.limit;
  }

  private refill(): void {
    if (this.waiters.length > this.opening) this.open();
  }

  private open(): void {
    if (this.isClosed || !this.mayOpen()) return;
    this.opening++;
    const startedAt = this.clock.now();
    this.connector.connect(this.target, this.options.connectTimeoutMs).then(
      ({ connection, position }) => {
        this.opening--;
        this.patience.noteOpened();
        if (position) this.load.notePosition(position);
        this.observer.onConnected(this.clock.now() - startedAt);
        this.adopt(connection);
      },
      (error: unknown) => {
        this.opening--;
        this.onConnectFailed(error instanceof ConnectError ? error : undefined);
      },
    );
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
    this.refill();
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
      this.rejectAll('wrongInstance');
    } else if (this.size === 0) this.rejectAll('unreachable');
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

  private rejectAll(failure: AcquireFailure): void {
    for (const waiter of this.waiters.splice(0)) {
      waiter.timer.cancel();
      waiter.reject(new AcquireError(failure));
    }
  }
}
