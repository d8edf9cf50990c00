/**
 * Idle connections of one pool, least recently used first. A connection that is closed elsewhere
 * has to be removed by its pool.
 */
import type { ConnectionRequest, PooledConnection } from './pooled_connection.js';

export class IdleConnections {
  private readonly connections: PooledConnection[] = [];

  get length(): number {
    return this.connections.length;
  }

  add(pooled: PooledConnection, now: number): void {
    pooled.idleSince = now;
    this.connections.push(pooled);
  }

  /** Whether an idle connection can serve a tenant, or an internal request if undefined. */
  hasConnectionFor(tenant: string | undefined): boolean {
    return this.connections.some((pooled) => pooled.canServeTenant(tenant));
  }

  /**
   * Removes and returns the connection that needs the fewest commands to load the request's
   * session; among equal ones the most recently used.
   */
  takeClosest(request: ConnectionRequest): PooledConnection | undefined {
    let best: PooledConnection | undefined;
    let bestCost = Infinity;
    for (const pooled of this.connections) {
      if (!pooled.canServeTenant(request.tenant)) continue;
      const cost = pooled.commandsToLoad(request.values);
      if (cost > bestCost) continue;
      best = pooled;
      bestCost = cost;
    }
    if (best) this.remove(best);
    return best;
  }

  /** Removes a connection; does nothing if it is not idle. */
  remove(pooled: PooledConnection): void {
    const index = this.connections.indexOf(pooled);
    if (index >= 0) this.connections.splice(index, 1);
  }

  /**
   * Closes the least recently used connection.
   * @returns false if there is none
   */
  closeOldest(): boolean {
    const oldest = this.connections.shift();
    oldest?.connection.close();
    return oldest !== undefined;
  }

  /**
   * Closes connections that have been idle for longer than `timeoutMs`, except the `keepCount` most
   * recently used.
   */
  closeExpired(now: number, timeoutMs: number, keepCount: number): void {
    const isExpired = (): boolean => now - this.connections[0]!.idleSince > timeoutMs;
    while (this.connections.length > keepCount && isExpired()) this.closeOldest();
  }

  closeAll(): void {
    while (this.closeOldest());
  }
}
