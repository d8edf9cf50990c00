/** One connection of a pool, and what it has loaded. */
import type { InstanceConnection } from '../instance/instance_connection.js';

/** Steps that a reset counts as, more than a single value. */
const RESET_STEPS = 3;

/** A connection with the session values and prepared shapes that it holds. */
export class PooledConnection {
  readonly values = new Map<string, string>();
  readonly preparedNames = new Set<string>();
  idleSince = 0;
  /** Whether a statement runs on it or is about to; a transaction rests between its statements. */
  isActive = false;

  constructor(
    readonly connection: InstanceConnection,
    /** Tenant for whom it was opened. */
    readonly tenant: string,
    /** Whether another proxy has it; it has loaded nothing that is known here, and its troubles are noted there. */
    readonly isRelayed = false,
  ) {}

  /** Whether it may carry statements of a tenant; of the system itself when undefined, which any connection may. */
  serves(tenant: string | undefined): boolean {
    return tenant === undefined || tenant === this.tenant;
  }

  /** How many steps lead to a session's values. */
  distanceTo(values: ReadonlyMap<string, string>): number {
    let steps = 0;
    for (const name of this.values.keys()) if (!values.has(name)) return RESET_STEPS + values.size;
    for (const [name, value] of values) if (this.values.get(name) !== value) steps++;
    return steps;
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
  readonly usefulMs?: number;
}
