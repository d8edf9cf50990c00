/** Where statements get their connections to one instance. */
import type { InstanceLoad } from './instance_load.js';
import type { ConnectionRequest, PooledConnection } from './pooled_connection.js';

/** Source of connections to one instance. */
export interface ConnectionSource {
  readonly load: InstanceLoad;
  /** Whether statements of all proxies queue at few homes, which know how long that takes. */
  readonly queuesAtOwner: boolean;
  /** @throws AcquireError when none could be had within `timeoutMs` */
  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection>;
  /** Gives a connection back; it has no transaction and no answer outstanding. */
  release(pooled: PooledConnection): void;
  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void;
  /** A statement of a transaction begins on its connection. */
  wake(pooled: PooledConnection): void;
  /** A transaction waits for its caller. */
  rest(pooled: PooledConnection): void;
  /** The instance turned a statement away since it was busy. */
  noteBusy(pooled: PooledConnection): void;
  /** The instance served a statement. */
  noteServed(pooled: PooledConnection): void;
}
