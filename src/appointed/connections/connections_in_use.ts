/**
 * The connections of one pool that are held for a request or a transaction, and how many of them run a statement now.
 * Owns the set and the count. Relies on its pool to add and remove each connection once. Nothing in it can fail.
 */
import type { PooledConnection } from './pooled_connection.js';

/** Connections in use. */
export class ConnectionsInUse {
  private readonly connections = new Set<PooledConnection>();
  private activeCount = 0;

  /** Number of connections. */
  get size(): number {
    return this.connections.size;
  }

  /** Connections on which a statement runs or is about to; a transaction between two statements has none. */
  get active(): number {
    return this.activeCount;
  }

  /** Connections of a tenant on which a statement runs; of all tenants when undefined. */
  activeOf(tenant: string | undefined): number {
    if (tenant === undefined) return this.activeCount;
    let count = 0;
    for (const pooled of this.connections) if (pooled.isActive && pooled.tenant === tenant) count++;
    return count;
  }

  /** Adds a connection whose first statement is about to run. */
  add(pooled: PooledConnection): void {
    this.connections.add(pooled);
    this.activate(pooled);
  }

  /** Removes a connection. */
  remove(pooled: PooledConnection): void {
    this.connections.delete(pooled);
    this.deactivate(pooled);
  }

  /** Counts a connection as running a statement. */
  activate(pooled: PooledConnection): void {
    if (pooled.isActive) return;
    pooled.isActive = true;
    this.activeCount++;
  }

  /** Counts a connection as running none. */
  deactivate(pooled: PooledConnection): void {
    if (!pooled.isActive) return;
    pooled.isActive = false;
    this.activeCount--;
  }

  /** Closes those whose transaction has waited for its caller since `latest` or before; returns how many. */
  closeIdleTransactions(idleSinceBefore: number): number {
    let count = 0;
    for (const { connection, isActive, idleSince } of this.connections) {
      if (isActive || connection.closed || idleSince > idleSinceBefore) continue;
      connection.close();
      count++;
    }
    return count;
  }

  /** Closes all connections; each stays in the set until it is removed. */
  closeAll(): void {
    for (const { connection } of this.connections) connection.close();
  }
}
