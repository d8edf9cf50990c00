/** Idle connections of one pool, the one that is idle for longest first. */
import { type ConnectionRequest, type PooledConnection, fits } from './pooled_connection.js';

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

  /** Whether one fits a request. */
  hasFor(request: ConnectionRequest): boolean {
    return this.connections.some((pooled) => fits(pooled, request));
  }

  /** Takes out the one that is closest to a request's session; of equal ones the one used last. */
  takeClosest(request: ConnectionRequest): PooledConnection | undefined {
    let best: PooledConnection | undefined;
    let bestDistance = Infinity;
    for (const pooled of this.connections) {
      if (!fits(pooled, request)) continue;
      const distance = pooled.distanceTo(request.values);
      if (distance > bestDistance) continue;
      best = pooled;
      bestDistance = distance;
    }
    if (best) this.remove(best);
    return best;
  }

  /** Takes one out; does nothing when it is not idle. */
  remove(pooled: PooledConnection): void {
    const place = this.connections.indexOf(pooled);
    if (place >= 0) this.connections.splice(place, 1);
  }

  /** Takes out and closes the one that is idle for longest; false when there is none. */
  closeOldest(): boolean {
    const oldest = this.connections.shift();
    oldest?.connection.close();
    return oldest !== undefined;
  }

  /** Closes those that were idle for longer than `patienceMs`, but for the `kept` newest ones. */
  closeExpired(now: number, patienceMs: number, kept: number): void {
    const isExpired = (): boolean => now - this.connections[0]!.idleSince > patienceMs;
    while (this.connections.length > kept && isExpired()) this.closeOldest();
  }

  /** Closes all. */
  closeAll(): void {
    while (this.closeOldest());
  }
}
