/**
 * Opens the connections of one pool. Owns the openings under way and their smoothed time.
 *
 * Relies on the connector, which may fail in each way of {@link ConnectError}: the listener is called with each failure.
 */
import type { Clock } from '../../runtime/runtime.js';
import type { Position } from '../../positions/position.js';
import {
  ConnectError,
  type InstanceConnection,
  type InstanceConnector,
  type InstanceTarget,
} from '../instance/instance_connection.js';

/** Time of an opening that is assumed before the first one ended, in milliseconds. Guess, not measured. */
const INITIAL_CONNECT_MS = 15;
/** Weight of the newest opening in the smoothed time, a fraction: about the last five count. Guess, not measured. */
const CONNECT_TIME_WEIGHT = 0.2;

/** A connection that was opened. */
export interface Opening {
  readonly connection: InstanceConnection;
  readonly tenant: string;
  /** Position that the instance named at the start of the connection. */
  readonly position: Position | undefined;
  /** When the connection was asked for. */
  readonly startedAt: number;
}

/** Called when an opening ends. */
export interface OpenerListener {
  /** The connection is open. */
  onOpened(opening: Opening): void;
  /** No connection came; `error` is undefined where the connector broke its interface. */
  onFailed(error: ConnectError | undefined): void;
}

/** Opener of one pool. */
export class ConnectionOpener {
  /** Tenants of the openings under way, each as often as it has openings. */
  private readonly openingTenants: string[] = [];
  private smoothedMs = INITIAL_CONNECT_MS;

  constructor(
    private readonly target: InstanceTarget,
    private readonly connector: InstanceConnector,
    private readonly timeoutMs: number,
    private readonly clock: Clock,
    private readonly listener: OpenerListener,
  ) {}

  /** Openings under way. */
  get count(): number {
    return this.openingTenants.length;
  }

  /** Smoothed time of an opening, in milliseconds. */
  get connectMs(): number {
    return this.smoothedMs;
  }

  /** Openings under way for a tenant; for all tenants when undefined. */
  countOf(tenant: string | undefined): number {
    if (tenant === undefined) return this.count;
    return this.openingTenants.filter((other) => other === tenant).length;
  }

  /** Opens a connection for a tenant; the listener is called when that ends. */
  open(tenant: string): void {
    this.openingTenants.push(tenant);
    const startedAt = this.clock.now();
    this.connector.connect(this.target, this.timeoutMs, tenant).then(
      ({ connection, position }) => {
        this.removeOpening(tenant);
        const durationMs = this.clock.now() - startedAt;
        this.smoothedMs += CONNECT_TIME_WEIGHT * (durationMs - this.smoothedMs);
        this.listener.onOpened({ connection, tenant, position, startedAt });
      },
      (error: unknown) => {
        // Connectors reject with ConnectError only, by their interface; any other error counts as out of reach.
        this.removeOpening(tenant);
        this.listener.onFailed(error instanceof ConnectError ? error : undefined);
      },
    );
  }

  private removeOpening(tenant: string): void {
    this.openingTenants.splice(this.openingTenants.indexOf(tenant), 1);
  }
}
