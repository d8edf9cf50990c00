/**
 * Opens the connections of one pool. Tracks the attempts in flight and a moving average of the
 * connect time, and reports each failed attempt to its listener.
 */
import type { Clock } from '../../runtime/runtime.js';
import type { Position } from '../../positions/position.js';
import {
  ConnectError,
  type InstanceConnection,
  type InstanceConnector,
  type InstanceTarget,
} from '../instance/instance_connection.js';

/** Assumed connect time before the first connection was opened. */
const INITIAL_CONNECT_MS = 15;
/** Weight of the newest sample in the moving average, a fraction: about the last five count. */
const CONNECT_TIME_WEIGHT = 0.2;

export interface Opening {
  readonly connection: InstanceConnection;
  readonly tenant: string;
  /** Log position of the instance when the connection was opened. */
  readonly position: Position | undefined;
  /** When the attempt started. */
  readonly startedAt: number;
}

/** Called when a connection attempt ends. */
export interface OpenerListener {
  onOpened(opening: Opening): void;
  /**
   * The attempt failed. `error` is undefined if the connector rejected with anything but a {@link
   * ConnectError}, contrary to its interface.
   */
  onFailed(error: ConnectError | undefined): void;
}

export class ConnectionOpener {
  /** Tenants of the attempts in flight; a tenant is listed once for each attempt. */
  private readonly openingTenants: string[] = [];
  private smoothedConnectMs = INITIAL_CONNECT_MS;

  constructor(
    private readonly target: InstanceTarget,
    private readonly connector: InstanceConnector,
    private readonly timeoutMs: number,
    private readonly clock: Clock,
    private readonly listener: OpenerListener,
  ) {}

  /** Number of attempts in flight. */
  get count(): number {
    return this.openingTenants.length;
  }

  /** Moving average of the connect time, in milliseconds. */
  get connectMs(): number {
    return this.smoothedConnectMs;
  }

  /** Number of attempts in flight for a tenant; for all tenants if undefined. */
  countOf(tenant: string | undefined): number {
    if (tenant === undefined) return this.count;
    return this.openingTenants.filter((other) => other === tenant).length;
  }

  /** Opens a connection for a tenant; the listener is called with the result. */
  open(tenant: string): void {
    this.openingTenants.push(tenant);
    const startedAt = this.clock.now();
    this.connector.connect(this.target, this.timeoutMs, tenant).then(
      ({ connection, position }) => {
        this.removeOpening(tenant);
        const durationMs = this.clock.now() - startedAt;
        this.smoothedConnectMs += CONNECT_TIME_WEIGHT * (durationMs - this.smoothedConnectMs);
        this.listener.onOpened({ connection, tenant, position, startedAt });
      },
      (error: unknown) => {
        // Connectors reject with ConnectError only; any other error counts as an unreachable
        // instance.
        this.removeOpening(tenant);
        this.listener.onFailed(error instanceof ConnectError ? error : undefined);
      },
    );
  }

  private removeOpening(tenant: string): void {
    this.openingTenants.splice(this.openingTenants.indexOf(tenant), 1);
  }
}
