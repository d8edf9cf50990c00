/**
 * A connection of a pool or of a connection owner, with the session values and prepared statements
 * that are loaded on it. The pool and the session loader keep these up to date.
 */
import type { AllowedRegions } from '../placement/data_residency.js';
import type { InstanceConnection } from '../instance/instance_connection.js';
import type { PreparedShape } from '../instance/statement.js';

/** Cost of a reset, in commands; higher than that of setting one value. */
const RESET_COST = 3;

/** A connection with its loaded session state. */
export class PooledConnection {
  /** Session values loaded on the connection, by name. */
  readonly values = new Map<string, string>();
  /** Statements prepared on the connection, by their shared name; the oldest one first. */
  readonly preparedShapes = new Map<string, PreparedShape>();
  /** When it became idle, or its transaction became idle. */
  idleSince = 0;
  /** Whether a statement runs on it or is about to; false while its transaction is idle. */
  isActive = false;

  constructor(
    readonly connection: InstanceConnection,
    /** Tenant for whom it was opened. */
    readonly tenant: string,
    /**
     * Whether it belongs to a connection owner, which tracks its session state and failures itself.
     */
    readonly isRelayed = false,
  ) {}

  /**
   * Whether it can serve a tenant. Internal requests, for which `tenant` is undefined, may use any
   * connection.
   */
  canServeTenant(tenant: string | undefined): boolean {
    return tenant === undefined || tenant === this.tenant;
  }

  /** Number of commands that load the values of a session onto it. */
  commandsToLoad(values: ReadonlyMap<string, string>): number {
    let commandCount = 0;
    for (const name of this.values.keys()) if (!values.has(name)) return RESET_COST + values.size;
    for (const [name, value] of values) if (this.values.get(name) !== value) commandCount++;
    return commandCount;
  }
}

/** Requirements of a request for a connection. */
export interface ConnectionRequest {
  /**
   * Tenant that the connection must belong to; undefined for internal requests, which accept any.
   */
  readonly tenant: string | undefined;
  /** Values of the session. */
  readonly values: ReadonlyMap<string, string>;
  /** 0 is the highest. */
  readonly priority: number;
  /** Time within which an answer meets the caller's latency objective; no limit if left out. */
  readonly objectiveMs?: number;
  /** Regions that the request is restricted to; undefined if unrestricted. */
  readonly allowedRegions?: AllowedRegions;
}
