/** Connections to one instance: opened on demand within a limit, reset before reuse, never leaked. */
import { RetryAfterMs } from '../routing/retry_policy.js';
import type { BackendConnection, BackendConnector } from '../backend/backend.js';
import { BackendConnectionLostError, ErrorCode, notRun } from '../../errors/errors.js';
import type { Clock, Timer } from '../../runtime/runtime.js';
import type { SessionTerminator } from './session_terminator.js';

/** Limits of a pool. */
export interface BackendPoolOptions {
  /** Time to open a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Time for an instance to reset a connection, in milliseconds. */
  readonly resetTimeoutMs: number;
  /** Statements that may wait for a connection. */
  readonly maximumWaiting: number;
}

/** Defaults. */
export const DEFAULT_BACKEND_POOL_OPTIONS: BackendPoolOptions = {
  connectTimeoutMs: 1000,
  resetTimeoutMs: 500,
  maximumWaiting: 500,
};

interface Waiter {
  resolve(connection: BackendConnection): void;
  reject(error: unknown): void;
  readonly timer: Timer;
}

/** Pool of one instance. */
export class BackendPool {
  private readonly idle: BackendConnection[] = [];
  private readonly open = new Set<BackendConnection>();
  private readonly waiting: Waiter[] = [];
  private opening = 0;
  /** Connections closed here that the instance may still have. */
  private closing = 0;
  private limit = 0;
  private stopped = false;
  /** Called when a termination was noted. */
  onClosing: () => void = () => undefined;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    private readonly connector: BackendConnector,
    private readonly options: BackendPoolOptions,
    private readonly terminator: SessionTerminator,
  ) {}

  /** Connections open, being opened, or not yet confirmed as ended. */
  get size(): number {
    return this.open.size + this.opening + this.closing;
  }

  /** Connections that this process may hold. */
  get connectionLimit(): number {
    return this.limit;
  }

  /** Changes the limit; idle connections above it are closed at once, others when returned. */
  setLimit(limit: number): void {
    this.limit = limit;
    while (this.size > this.limit && this.idle.length > 0) this.closeConnection(this.idle.pop()!);
    this.openForWaiting();
  }

  /**
   * Takes a connection without session state.
   * @throws RequestError with verdict `not_run` when none gets free in time
   */
  acquire(maximumWaitMs: number): Promise<BackendConnection> {
    if (this.stopped) {
      const message = `no more connections to ${this.address} are used`;
      return Promise.reject(new BackendConnectionLostError(message, { sent: false }));
    }
    const connection = this.idle.pop();
    if (connection) return Promise.resolve(connection);
    if (this.waiting.length >= this.options.maximumWaiting) {
      return Promise.reject(this.refusal());
    }
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(maximumWaitMs, () => {
        this.waiting.splice(this.waiting.indexOf(waiter), 1);
        reject(this.refusal());
      });
      const waiter: Waiter = { resolve, reject, timer };
      this.waiting.push(waiter);
      this.openForWaiting();
    });
  }

  /**
   * Returns a connection.
   * @param state - `clean`: no session state; `used`: must be reset first; `broken`: must be closed
   */
  release(connection: BackendConnection, state: 'clean' | 'used' | 'broken'): void {
    if (state === 'broken' || connection.closed || this.size > this.limit) {
      this.closeConnection(connection);
    } else if (state === 'clean') {
      this.offer(connection);
    } else {
      void this.resetThenOffer(connection);
    }
  }

  /** Opens connections ahead of need, until `count` are idle or being opened, within the limit. */
  warm(count: number): void {
    const isShort = (): boolean => this.idle.length + this.opening < count;
    while (isShort() && this.size < this.limit) {
      this.opening++;
      void this.openOne();
    }
  }

  /** Closes all connections, also those in use; whoever waits may look for another instance. */
  closeAll(message = `${this.address} was given up`): void {
    this.idle.length = 0;
    for (const connection of [...this.open]) connection.close(message);
    for (const waiter of this.waiting.splice(0)) {
      waiter.timer.cancel();
      waiter.reject(new BackendConnectionLostError(message, { sent: false }));
    }
  }

  /** Closes all connections for good. */
  stop(reason: string): void {
    this.stopped = true;
    this.closeAll(reason);
  }

  /** Closes connections that are not in use. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.closeConnection(connection);
  }

  private async resetThenOffer(connection: BackendConnection): Promise<void> {
    const timeout = this.clock.setTimer(this.options.resetTimeoutMs, () =>
      connection.close('its reset took too long'),
    );
    try {
      await connection.reset();
      this.offer(connection);
    } catch {
      this.closeConnection(connection);
    } finally {
      timeout.cancel();
    }
  }

  private offer(connection: BackendConnection): void {
    if (connection.closed || this.stopped || this.size > this.limit) {
      this.closeConnection(connection);
      return;
    }
    const waiter = this.waiting.shift();
    if (!waiter) {
      this.idle.push(connection);
      return;
    }
    waiter.timer.cancel();
    waiter.resolve(connection);
  }

  private openForWaiting(): void {
    while (this.opening < this.waiting.length && this.size < this.limit) {
      this.opening++;
      void this.openOne();
    }
  }

  private async openOne(): Promise<void> {
    try {
      const { connectTimeoutMs } = this.options;
      const connection = await this.connector.connect(this.address, connectTimeoutMs);
      this.opening--;
      this.open.add(connection);
      connection.onClosed = () => this.forget(connection);
      this.offer(connection);
    } catch (error) {
      this.opening--;
      const waiter = this.waiting.shift();
      waiter?.timer.cancel();
      waiter?.reject(error);
    }
  }

  private closeConnection(connection: BackendConnection): void {
    connection.close('it is not needed any more');
    this.forget(connection);
  }

  private forget(connection: BackendConnection): void {
    if (!this.open.delete(connection)) return;
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    this.closing++;
    this.terminator.add(connection.sessionId, () => {
      this.closing--;
      this.openForWaiting();
    });
    this.onClosing();
    this.openForWaiting();
  }

  private refusal(): Error {
    const message = `No connection to ${this.address} is free`;
    return notRun(message, ErrorCode.overloaded, RetryAfterMs.poolFull);
  }
}
