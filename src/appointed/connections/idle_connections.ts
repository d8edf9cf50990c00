/**
 * Idle connections of one pool, the one that is idle for longest first. Owns the list. Relies on each connection to be
 * removed when it is closed elsewhere. Nothing in it can fail.
 */
import type { ConnectionRequest, PooledConnection } from './pooled_connection.js';

/** Idle connections. */
export class IdleConnections {
  private readonly connections: PooledConnection[] = [];

  /** Number of connections. */
  get length(): number {
    return this.connections.length;
  }

  /** Adds one that has become idle. */
  add(pooled: PooledConnection, now: number): void {
    pooled.idleSince = now;
    this.connections.push(pooled);
  }

  /** Whether one may carry statements of a tenant; of the system itself when undefined. */
  hasConnectionFor(tenant: string | undefined): boolean {
    return this.connections.some((pooled) => pooled.canServeTenant(tenant));
  }

  /** Takes out the one that is closest to a request's session; of equal ones the one used last. */
  takeClosest(request: ConnectionRequest): PooledConnection | undefined {
    let best: PooledConnection | undefined;
    let bestDistance = Infinity;
    for (const pooled of this.connections) {
      if (!pooled.canServeTenant(request.tenant)) continue;
      const distance = pooled.commandsToLoad(request.values);
      if (distance > bestDistance) continue;
      best = pooled;
      bestDistance = distance;
    }
    if (best) this.remove(best);
    return best;
  }

  /** Takes one out; does nothing when it is not idle. */
  remove(pooled: PooledConnection): void {
    const index = this.connections.indexOf(pooled);
    if (index >= 0) this.connections.splice(index, 1);
  }

  /** Takes out and closes the one that is idle for longest; false when there is none. */
  closeOldest(): boolean {
    const oldest = this.connections.shift();
    oldest?.connection.close();
    return oldest !== undefined;
  }

  /** Closes those that were idle for longer than `timeoutMs`, but for the `kept` newest ones. */
  closeExpired(now: number, timeoutMs: number, keepCount: number): void {
    const isExpired = (): boolean => now - this.connections[0]!.idleSince > timeoutMs;
    while (this.connections.length > keepCount && isExpired()) this.closeOldest();
  }

  /** Closes all. */
  closeAll(): void {
    while (this.closeOldest());
  }
}
