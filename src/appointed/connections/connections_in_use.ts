/**
 * Tracks the connections of one pool that requests and transactions use, and how many of them run a
 * statement now.
 */
import type { PooledConnection } from './pooled_connection.js';

export class ConnectionsInUse {
  private readonly connections = new Set<PooledConnection>();
  private activeCount = 0;

  get size(): number {
    return this.connections.size;
  }

  /**
   * Number of connections that run a statement or are about to. An idle transaction does not count.
   */
  get active(): number {
    return this.activeCount;
  }

  /** Number of active connections of a tenant; of all tenants if undefined. */
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

  remove(pooled: PooledConnection): void {
    this.connections.delete(pooled);
    this.deactivate(pooled);
  }

  /** Marks a connection as running a statement. */
  activate(pooled: PooledConnection): void {
    if (pooled.isActive) return;
    pooled.isActive = true;
    this.activeCount++;
  }

  /** Marks a connection as running no statement. */
  deactivate(pooled: PooledConnection): void {
    if (!pooled.isActive) return;
    pooled.isActive = false;
    this.activeCount--;
  }

  /**
   * Closes the connections of transactions that have been idle since `idleSinceBefore` or longer.
   * @returns number of connections closed
   */
  closeIdleTransactions(idleSinceBefore: number): number {
    let count = 0;
    for (const { connection, isActive, idleSince } of this.connections) {
      if (isActive || connection.closed || idleSince > idleSinceBefore) continue;
      connection.close();
      count++;
    }
    return count;
  }

  /** Closes all connections. Each stays in the set until its user removes it. */
  closeAll(): void {
    for (const { connection } of this.connections) connection.close();
  }
}
