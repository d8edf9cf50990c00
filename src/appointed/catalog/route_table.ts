/**
 * Routes as proxies use them: which group serves a database, and how fresh its reads must be. Immutable values, made from a
 * routing document by a `RoutingDocumentReader`.
 */
import type { TenantDirectory } from '../tenancy/tenant.js';

/** How fresh reads of a route must be. */
export type ReadPolicy =
  /** Every commit acknowledged before the read arrived is seen. */
  | { readonly kind: 'primary' }
  /** Commits acknowledged longer ago than the bound are seen. */
  | { readonly kind: 'boundedStaleness'; readonly maximumStalenessMs: number }
  /** As bounded staleness, and all commits of the same session. */
  | { readonly kind: 'ownWrites'; readonly maximumStalenessMs: number };

/** Route of one database. */
export interface Route {
  /** Name in the document. */
  readonly name: string;
  /** Database that callers name. */
  readonly database: string;
  /** Group that serves it. */
  readonly group: string;
  /** How fresh its reads must be. */
  readonly policy: ReadPolicy;
  /** Longest time for one statement, in milliseconds. */
  readonly timeoutMs: number;
  /** Time in which an operation should be done, in milliseconds. */
  readonly targetLatencyMs: number;
  /** 0 is served first. */
  readonly priority: number;
  /** Whether callers need no credential. */
  readonly isPublic: boolean;
  /** Regions to which its requests are bound; undefined where they may be served anywhere. */
  readonly allowedRegions?: ReadonlySet<string> | undefined;
}

/** How many requests a cold instance may be given. */
export interface SlowStart {
  /** Usual time from its start until an instance is warm, in milliseconds. */
  readonly warmupMs: number;
  /** Requests a second that a cold instance may get from all proxies together, before the allowances of the settings. */
  readonly requestsPerSecond: number;
}

/** Limits of the instances of a group. */
export interface GroupLimits {
  /** Name of the group. */
  readonly group: string;
  /** Connections of all callers to one instance. */
  readonly connectionLimit: number;
  /** Undefined where instances may be fully used from their start. */
  readonly slowStart?: SlowStart | undefined;
}

/** A whole routing document in force. Immutable. */
export interface RouteTable {
  /** Version of the document. */
  readonly version: number;
  /** Routes by the database that callers name. */
  readonly routeByDatabase: ReadonlyMap<string, Route>;
  /** Limits by the name of the group. */
  readonly limitsByGroup: ReadonlyMap<string, GroupLimits>;
  /** A transaction that rests longer is ended; in milliseconds. */
  readonly transactionIdleMs: number;
  /** Who may use the routes that are not public. */
  readonly tenants: TenantDirectory;
}

/** Reads routing documents. */
export interface RoutingDocumentReader {
  /** @throws InvalidDocumentError that names what is wrong */
  read(source: string): RouteTable;
}
