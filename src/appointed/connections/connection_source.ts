/**
 * Interface through which statements get connections to an instance: from a pool of this process,
 * or relayed through connection owners.
 */
import type { InstanceLoad } from './instance_load.js';
import type { AllowedRegions } from '../placement/data_residency.js';
import type { ConnectionRequest, PooledConnection } from './pooled_connection.js';

export interface ConnectionSource {
  /** Latency and failures of the instance, as seen by this proxy. */
  readonly load: InstanceLoad;
  /** Whether requests queue at a connection owner, which estimates the wait itself. */
  readonly queuesAtOwner: boolean;
  /** @throws AcquireError if no connection is available within `timeoutMs` */
  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection>;
  /**
   * Whether the next statement may be sent on a connection under these allowed regions: the
   * connection owner that pinned it receives the statement's text.
   */
  satisfiesResidency(pooled: PooledConnection, allowedRegions: AllowedRegions): boolean;
  /** Returns a connection that has no open transaction and no command in flight. */
  release(pooled: PooledConnection): void;
  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void;
  /** A statement of a transaction starts on its pinned connection. */
  markActive(pooled: PooledConnection): void;
  /** A transaction is idle until its caller sends the next statement. */
  markIdleInTransaction(pooled: PooledConnection): void;
  /** The instance refused a statement with BUSY. */
  recordBusy(pooled: PooledConnection): void;
  /** The instance served a statement. */
  recordServed(pooled: PooledConnection): void;
}
