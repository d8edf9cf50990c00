/**
 * Routes as proxies use them: which group serves a database, and how fresh its reads must be.
 * Immutable values that a `RoutingDocumentReader` parses from a routing document.
 */
import type { TenantDirectory } from '../tenancy/tenant.js';

/** How fresh the reads of a route must be. */
export type ReadPolicy =
  /** Reads see every commit acknowledged before they arrived. */
  | { readonly kind: 'primary' }
  /** Reads see commits acknowledged longer ago than the bound. */
  | { readonly kind: 'boundedStaleness'; readonly maximumStalenessMs: number }
  /** As bounded staleness, and also all commits of the same session. */
  | { readonly kind: 'ownWrites'; readonly maximumStalenessMs: number };

export interface Route {
  /** Name in the document. */
  readonly name: string;
  /** Database name that callers use. */
  readonly database: string;
  /** Group that serves the database. */
  readonly group: string;
  readonly policy: ReadPolicy;
  /** Longest time for one statement, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective of an operation, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Lower values are served first; 0 is the highest priority. */
  readonly priority: number;
  /** Whether callers need no credential. */
  readonly isPublic: boolean;
  /** Regions in which its requests may run; undefined for any region. */
  readonly allowedRegions?: ReadonlySet<string> | undefined;
}

/** Request limit of a cold instance. */
export interface SlowStart {
  /** Usual time until an instance is warm after its start, in milliseconds. */
  readonly warmupMs: number;
  /**
   * Requests per second that a cold instance may get from all proxies together, before the
   * allowances of the settings.
   */
  readonly requestsPerSecond: number;
}

/** Limits of the instances of a group. */
export interface GroupLimits {
  readonly group: string;
  /** Connections of all callers to one instance. */
  readonly connectionLimit: number;
  /** Undefined if instances can take their full load from the start. */
  readonly slowStart?: SlowStart | undefined;
}

/** A parsed routing document. Immutable. */
export interface RouteTable {
  /** Version of the document. */
  readonly version: number;
  /** Routes by the database name that callers use. */
  readonly routeByDatabase: ReadonlyMap<string, Route>;
  /** Limits by group name. */
  readonly limitsByGroup: ReadonlyMap<string, GroupLimits>;
  /** A transaction that is idle for longer is ended; in milliseconds. */
  readonly transactionIdleMs: number;
  /** Tenants that may use the routes that are not public. */
  readonly tenants: TenantDirectory;
}

/** Parses routing documents. */
export interface RoutingDocumentReader {
  /** @throws InvalidDocumentError that says what is wrong */
  read(source: string): RouteTable;
}
