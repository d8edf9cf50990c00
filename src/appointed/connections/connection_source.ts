/** Where statements get their connections to one instance: from a pool of this process, or from connection owners. */
import type { InstanceLoad } from './instance_load.js';
import type { AllowedRegions } from '../placement/data_residency.js';
import type { ConnectionRequest, PooledConnection } from './pooled_connection.js';

/** Source of connections to one instance. */
export interface ConnectionSource {
  /** What the answers of the instance say of it. */
  readonly load: InstanceLoad;
  /** Whether requests queue at a connection owner, which knows how long that takes. */
  readonly queuesAtOwner: boolean;
  /** @throws AcquireError when none could be had within `timeoutMs` */
  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection>;
  /** Whether the next statement on a connection may have these homes: another proxy may keep it, which gets its body. */
  satisfiesResidency(pooled: PooledConnection, allowedRegions: AllowedRegions): boolean;
  /** Gives a connection back; it has no transaction and no answer outstanding. */
  release(pooled: PooledConnection): void;
  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void;
  /** A statement of a transaction begins on its connection. */
  markActive(pooled: PooledConnection): void;
  /** A transaction waits for its caller. */
  markIdleInTransaction(pooled: PooledConnection): void;
  /** The instance turned a statement away since it was busy. */
  recordBusy(pooled: PooledConnection): void;
  /** The instance served a statement. */
  recordServed(pooled: PooledConnection): void;
}
