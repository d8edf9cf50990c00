/**
 * Probes one instance, now and then for monitoring and at once for those that need fresh evidence. All
 * who ask while a probe is under way share the next one, so cost does not grow with callers.
 */
import type { BackendConnection, BackendConnector } from '../backend/backend.js';
import { BackendConnectionLostError } from '../../errors/errors.js';
import type { Clock, Timer } from '../../runtime/runtime.js';
import { type InstanceReport, probe } from './instance_report.js';

/** Timing of probes, in milliseconds. */
export interface ProberOptions {
  /** Pause between two monitoring probes. */
  readonly intervalMs: number;
  /** Time after which an unanswered probe makes the instance count as unreachable. */
  readonly timeoutMs: number;
  /** Time after which the connection of an unanswered probe is closed. */
  readonly abandonMs: number;
  /** Pause before connecting again after a failure. */
  readonly reconnectMs: number;
}

/** Hears of each probe's outcome. */
export interface ProbeListener {
  onReport(address: string, report: InstanceReport): void;
  onFailure(address: string): void;
  /** The monitoring connection was opened; whatever was tied to the former one is gone. */
  onConnected?(address: string, connection: BackendConnection): void;
  /** The monitoring connection is gone. */
  onDisconnected?(address: string): void;
}

interface Waiter {
  resolve(report: InstanceReport): void;
  reject(error: unknown): void;
}

/** Prober of one instance. */
export class InstanceProber {
  private connection: BackendConnection | undefined;
  private inFlight = false;
  private waiting: Waiter[] = [];
  private timer: Timer | undefined;
  private stopped = false;
  private intervalMs: number;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    private readonly connector: BackendConnector,
    private readonly options: ProberOptions,
    private readonly listener: ProbeListener,
  ) {
    this.intervalMs = options.intervalMs;
  }

  /** Starts periodic probes. */
  start(): void {
    void this.run();
  }

  /** Stops probing and closes the connection. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.connection?.close('monitoring ended');
    this.connection = undefined;
    this.rejectWaiting(new BackendConnectionLostError('monitoring stopped', { sent: false }));
  }

  /** Changes the pause between periodic probes, in milliseconds. */
  setInterval(intervalMs: number): void {
    if (intervalMs === this.intervalMs) return;
    this.intervalMs = intervalMs;
    if (!this.inFlight && this.connection) this.schedule(intervalMs);
  }

  /** A report whose probe is sent after this call; rejects when it fails. */
  probeAfterNow(): Promise<InstanceReport> {
    return new Promise((resolve, reject) => {
      if (this.stopped || (!this.connection && !this.inFlight)) {
        reject(new BackendConnectionLostError('no monitoring connection', { sent: false }));
        return;
      }
      this.waiting.push({ resolve, reject });
      if (!this.inFlight) void this.run();
    });
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    if (this.stopped) return;
    this.timer = this.clock.setTimer(delayMs, () => void this.run());
  }

  private async run(): Promise<void> {
    if (this.inFlight || this.stopped) return;
    this.timer?.cancel();
    this.inFlight = true;
    const succeeded = await this.probeOnce();
    this.inFlight = false;
    if (this.stopped) return;
    if (this.waiting.length > 0 && succeeded) void this.run();
    else this.schedule(succeeded ? this.intervalMs : this.options.reconnectMs);
  }

  private async probeOnce(): Promise<boolean> {
    const sharing: Waiter[] = [];
    try {
      const connection = await this.ensureConnection();
      sharing.push(...this.waiting);
      this.waiting = [];
      const report = await this.probeWithTimeout(connection, sharing);
      if (this.stopped) throw new BackendConnectionLostError('stopped', { sent: false });
      this.listener.onReport(this.address, report);
      for (const waiter of sharing) waiter.resolve(report);
      return true;
    } catch (error) {
      for (const waiter of sharing) waiter.reject(error);
      this.rejectWaiting(error);
      if (!this.stopped) this.listener.onFailure(this.address);
      return false;
    }
  }

  private async ensureConnection(): Promise<BackendConnection> {
    if (this.connection && !this.connection.closed) return this.connection;
    const connection = await this.connector.connect(this.address, this.options.timeoutMs);
    if (this.stopped) {
      connection.close('monitoring ended');
      throw new BackendConnectionLostError('monitoring stopped', { sent: false });
    }
    connection.onClosed = () => this.onConnectionClosed(connection);
    this.connection = connection;
    this.listener.onConnected?.(this.address, connection);
    return connection;
  }

  private onConnectionClosed(connection: BackendConnection): void {
    if (this.connection !== connection) return;
    this.connection = undefined;
    if (this.stopped) return;
    this.listener.onDisconnected?.(this.address);
    this.listener.onFailure(this.address);
  }

  /** A late probe only marks the instance as unreachable; an abandoned one costs the connection. */
  private async probeWithTimeout(
    connection: BackendConnection,
    sharing: Waiter[],
  ): Promise<InstanceReport> {
    const late = this.clock.setTimer(this.options.timeoutMs, () => {
      const error = new BackendConnectionLostError('probe timed out', { sent: true });
      for (const waiter of sharing.splice(0)) waiter.reject(error);
      this.rejectWaiting(error);
      if (!this.stopped) this.listener.onFailure(this.address);
    });
    // An unanswered probe leaves an answer to come: the connection can't be used again.
    const abandoned = this.clock.setTimer(this.options.abandonMs, () =>
      connection.close('a probe was not answered'),
    );
    try {
      return await probe(connection, this.clock.now());
    } catch (error) {
      connection.close('a probe failed');
      throw error;
    } finally {
      late.cancel();
      abandoned.cancel();
    }
  }

  private rejectWaiting(error: unknown): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const waiter of waiting) waiter.reject(error);
  }
}
