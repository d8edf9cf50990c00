/**
 * One connection of a pool or of a connection owner, and what is known of it: the session values and prepared shapes that it
 * has loaded. Owns that knowledge; its pool and the session loader keep it true.
 */
import type { AllowedRegions } from '../placement/data_residency.js';
import type { InstanceConnection } from '../instance/instance_connection.js';

/** Steps that a reset counts as (a count), more than a single value. Guess, not measured. */
const RESET_COST = 3;

/** A connection with the session values and prepared shapes that it holds. */
export class PooledConnection {
  /** Session values that it has loaded, by name. */
  readonly values = new Map<string, string>();
  /** Names of the prepared shapes that it has. */
  readonly preparedNames = new Set<string>();
  /** When it became idle, or its transaction began to wait for the caller. */
  idleSince = 0;
  /** Whether a statement runs on it or is about to; a transaction rests between its statements. */
  isActive = false;

  constructor(
    readonly connection: InstanceConnection,
    /** Tenant for whom it was opened. */
    readonly tenant: string,
    /** Whether it is at a connection owner, which knows what it has loaded and records its failures. */
    readonly isRelayed = false,
  ) {}

  /** Whether it may carry statements of a tenant; of the system itself when undefined, which any connection may. */
  canServeTenant(tenant: string | undefined): boolean {
    return tenant === undefined || tenant === this.tenant;
  }

  /** Number of commands that load a session's values onto it. */
  commandsToLoad(values: ReadonlyMap<string, string>): number {
    let commands = 0;
    for (const name of this.values.keys()) if (!values.has(name)) return RESET_COST + values.size;
    for (const [name, value] of values) if (this.values.get(name) !== value) commands++;
    return commands;
  }
}

/** What a request needs of a connection. */
export interface ConnectionRequest {
  /** Tenant for whom it must have been opened; undefined where any will do, for statements of the system itself. */
  readonly tenant: string | undefined;
  /** Values of the session. */
  readonly values: ReadonlyMap<string, string>;
  /** 0 is the highest. */
  readonly priority: number;
  /** Time within which an answer meets the caller's objective, in milliseconds; no limit when left out. */
  readonly objectiveMs?: number;
  /** Regions to which the request is bound; undefined where it is bound to none. */
  readonly homes?: AllowedRegions;
}
