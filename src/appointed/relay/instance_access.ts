/** How a proxy reaches one instance: by connections of its own, or through the instance's homes. */
import type { ConnectionSource } from '../connections/connection_source.js';
import type { InstanceLoad } from '../connections/instance_load.js';
import type { InstancePool } from '../connections/instance_pool.js';
import { type ConnectionRequest, PooledConnection } from '../connections/pooled_connection.js';
import { NO_TENANT } from '../tenancy/tenant.js';
import { RelayedConnection, type RelaySurroundings } from './relayed_connection.js';

/** Most homes that one request tries. */
const MOST_TRIED = 3;

/** Access to one instance. */
export class InstanceAccess implements ConnectionSource {
  /** Connections of other proxies that are in use here. */
  private readonly relayed = new Set<PooledConnection>();

  constructor(
    readonly local: InstancePool,
    private readonly ownAddress: string,
    private readonly surroundings: RelaySurroundings,
    /** Homes for a tenant, in order; empty where this proxy has connections of its own. */
    private readonly homesFor: (tenant: string) => readonly string[],
  ) {}

  get queuesAtOwner(): boolean {
    return this.homesFor(NO_TENANT).length > 0;
  }

  get load(): InstanceLoad {
    return this.local.load;
  }

  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection> {
    const homes = this.homesFor(request.tenant ?? NO_TENANT).filter((address) =>
      this.surroundings.health.mayTry(address),
    );
    const [first] = homes;
    if (first === undefined || first === this.ownAddress) {
      return this.local.acquire(request, timeoutMs);
    }
    const others = homes.filter((address) => address !== this.ownAddress);
    const route = {
      instance: this.local.target.id,
      tenant: request.tenant,
      priority: request.priority,
      usefulMs: request.usefulMs,
      waitMs: timeoutMs,
      homes: others.slice(0, MOST_TRIED),
    };
    const connection = new RelayedConnection(route, this.surroundings);
    const pooled = new PooledConnection(connection, request.tenant ?? NO_TENANT, true);
    this.relayed.add(pooled);
    connection.onClosed = () => this.relayed.delete(pooled);
    return Promise.resolve(pooled);
  }

  release(pooled: PooledConnection): void {
    if (pooled.isRelayed) this.relayed.delete(pooled);
    else this.local.release(pooled);
  }

  discard(pooled: PooledConnection): void {
    if (pooled.isRelayed) pooled.connection.close();
    else this.local.discard(pooled);
  }

  wake(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.local.wake(pooled);
  }

  rest(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.local.rest(pooled);
  }

  noteBusy(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.local.noteBusy();
  }

  noteServed(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.local.noteServed();
  }

  /** Closes all connections in use: no answer on them counts any more. */
  abandonInUse(): void {
    this.local.abandonInUse();
    for (const { connection } of [...this.relayed]) connection.close();
  }
}
