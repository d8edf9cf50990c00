/** Options of a connection pool, and the events that it reports to its proxy. Types only. */
import type { Position } from '../../positions/position.js';
import type { RandomSource } from '../../runtime/runtime.js';
import type { ConnectError } from '../instance/instance_connection.js';
import type { ConnectionQuota } from './connection_quota.js';

export interface PoolOptions {
  /** Limits on the connections of this pool, as of now. */
  readonly quota: () => ConnectionQuota;
  /** Number of statements that the instance runs concurrently. */
  readonly slots: () => number;
  readonly connectTimeoutMs: number;
  /** Number of proxies that keep connections to the instance, this one included. */
  readonly proxyCount: () => number;
  /**
   * Whether connections are opened before a request needs one; false where their tenant is not
   * known in advance.
   */
  readonly opensSpareConnections: () => boolean;
  /** Relative weight of a tenant when the instance is full. */
  readonly weightOf?: (tenant: string) => number;
  /** Spreads the retries of many proxies. */
  readonly random: RandomSource;
}

/** A queued request that was refused since more urgent ones arrived. */
interface Displacement {
  readonly tenant: string | undefined;
  readonly priority: number;
  readonly waitedMs: number;
  /** Number of requests still queued. */
  readonly waiting: number;
}

/** Reaction of a pool to a BUSY answer. */
interface BusyReaction {
  /** Maximum number of statements in flight from now on. */
  readonly limit: number;
  /** Time for which no statement is sent. */
  readonly pauseMs: number;
  /** Number of queued requests. */
  readonly waiting: number;
}

/** Events of a pool. */
export interface PoolListener {
  /** A connection could not be opened. */
  onConnectFailed(error: ConnectError): void;
  /** A connection was opened. The instance reported its position after `startedAt`. */
  onOpened(position: Position, startedAt: number): void;
  /** The instance refused a statement with BUSY, and the pool lowered its limit. */
  onBusy(reaction: BusyReaction): void;
  /** A queued request was refused. */
  onDisplaced(displacement: Displacement): void;
}
