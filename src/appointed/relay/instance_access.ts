/**
 * Access of a proxy to one instance: through its own connection pool, or relayed through the
 * connection owners of the instance. Uses the pool if no owner is available.
 */
import { AcquireError } from '../connections/acquire_error.js';
import type { ConnectionSource } from '../connections/connection_source.js';
import type { InstanceLoad } from '../connections/instance_load.js';
import type { InstancePool } from '../connections/instance_pool.js';
import { type ConnectionRequest, PooledConnection } from '../connections/pooled_connection.js';
import type { ColdInstanceRoute } from '../placement/slow_start_gate.js';
import type { AllowedRegions } from '../placement/data_residency.js';
import { isUrgentPriority } from '../placement/slow_start_budget.js';
import { NO_TENANT } from '../tenancy/tenant.js';
import { RelayedConnection, type RelayDependencies } from './relayed_connection.js';

/** Routing of the requests to one instance. */
export interface InstanceRouting {
  /**
   * Connection owners for a tenant, the preferred one first; empty if this proxy has connections of
   * its own.
   */
  ownersFor(tenant: string): readonly string[];
  /** Whether a proxy may receive the text of a statement with these allowed regions. */
  isProxyAllowed(address: string, allowedRegions: AllowedRegions): boolean;
  /** Route of requests for a cold instance; undefined for a warm one. */
  coldRoute(isUrgent: boolean): ColdInstanceRoute | undefined;
  /** Counts a refused request for a cold instance. */
  recordSlowStartRefusal(): void;
}

/** Maximum number of owners that one request tries. */
const MAX_OWNERS_TRIED = 3;

export class InstanceAccess implements ConnectionSource {
  /** Relayed connections in use. */
  private readonly relayedConnections = new Set<PooledConnection>();

  constructor(
    /** Connections of this process. */
    readonly localPool: InstancePool,
    private readonly ownAddress: string,
    private readonly dependencies: RelayDependencies,
    private readonly routing: InstanceRouting,
  ) {}

  /** Incarnation of the instance that the access leads to. */
  get incarnation(): number {
    return this.localPool.target.incarnation ?? 0;
  }

  /** Whether requests queue at a connection owner. */
  get queuesAtOwner(): boolean {
    return this.routing.ownersFor(NO_TENANT).length > 0;
  }

  /** Latency and failures of the instance, as seen by this proxy. */
  get load(): InstanceLoad {
    return this.localPool.load;
  }

  /**
   * Returns a connection of the pool if this proxy is the preferred owner or no owner is available,
   * otherwise a relayed one. Owners outside the allowed regions of the request are not used.
   */
  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection> {
    const isOfCaller = request.tenant !== undefined;
    const coldRoute = isOfCaller
      ? this.routing.coldRoute(isUrgentPriority(request.priority))
      : undefined;
    if (coldRoute) return this.acquireCold(coldRoute, request, timeoutMs);
    const owners = this.routing
      .ownersFor(request.tenant ?? NO_TENANT)
      .filter((address) => this.isProxyAllowed(address, request.homes))
      .filter((address) => this.dependencies.health.isAvailable(address));
    const [preferredOwner] = owners;
    if (preferredOwner === undefined || preferredOwner === this.ownAddress) {
      return this.localPool.acquire(request, timeoutMs);
    }
    const others = owners.filter((address) => address !== this.ownAddress);
    return Promise.resolve(this.relayVia(others, request, timeoutMs));
  }

  /**
   * Requests for a cold instance go only through the proxy that holds its slow start. If that is
   * this proxy, the caller has already checked the slow-start limit.
   */
  private acquireCold(
    { holderAddress, canSend }: ColdInstanceRoute,
    request: ConnectionRequest,
    timeoutMs: number,
  ): Promise<PooledConnection> {
    if (holderAddress === this.ownAddress) return this.localPool.acquire(request, timeoutMs);
    const isAllowed = canSend && this.isProxyAllowed(holderAddress, request.homes);
    if (isAllowed && this.dependencies.health.isAvailable(holderAddress)) {
      return Promise.resolve(this.relayVia([holderAddress], request, timeoutMs));
    }
    this.routing.recordSlowStartRefusal();
    return Promise.reject(new AcquireError('slowStart'));
  }

  private relayVia(
    owners: readonly string[],
    request: ConnectionRequest,
    timeoutMs: number,
  ): PooledConnection {
    const route = {
      instance: this.localPool.target.id,
      incarnation: this.incarnation,
      tenant: request.tenant,
      priority: request.priority,
      objectiveMs: request.objectiveMs,
      waitMs: timeoutMs,
      owners: owners.slice(0, MAX_OWNERS_TRIED),
      allowedRegions: request.homes,
    };
    const connection = new RelayedConnection(route, this.dependencies);
    const pooled = new PooledConnection(connection, request.tenant ?? NO_TENANT, true);
    this.relayedConnections.add(pooled);
    connection.onClosed = () => this.relayedConnections.delete(pooled);
    return pooled;
  }

  /** Whether the next statement may be sent on a connection under these allowed regions. */
  satisfiesResidency(pooled: PooledConnection, allowedRegions: AllowedRegions): boolean {
    const { connection } = pooled;
    const pinnedOwner =
      connection instanceof RelayedConnection ? connection.pinnedOwner : undefined;
    return pinnedOwner === undefined || this.isProxyAllowed(pinnedOwner, allowedRegions);
  }

  /** Returns a connection to the pool, or ends the use of a relayed one. */
  release(pooled: PooledConnection): void {
    if (pooled.isRelayed) this.relayedConnections.delete(pooled);
    else this.localPool.release(pooled);
  }

  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void {
    if (pooled.isRelayed) pooled.connection.close();
    else this.localPool.discard(pooled);
  }

  /** A statement of a transaction starts. Owners track their own connections. */
  markActive(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.localPool.markActive(pooled);
  }

  /**
   * A transaction is idle until its caller sends the next statement. Owners track their own
   * connections.
   */
  markIdleInTransaction(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.localPool.markIdleInTransaction(pooled);
  }

  /** The instance refused a statement with BUSY. Owners record that themselves. */
  recordBusy(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.localPool.recordBusy();
  }

  /** The instance served a statement. Owners record that themselves. */
  recordServed(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.localPool.recordServed();
  }

  /**
   * Closes all connections in use, so that no request waits for an answer of an ended incarnation.
   */
  closeInUse(): void {
    this.localPool.closeInUse();
    for (const { connection } of [...this.relayedConnections]) connection.close();
  }

  private isProxyAllowed(address: string, allowedRegions: AllowedRegions): boolean {
    return (
      allowedRegions === undefined ||
      address === this.ownAddress ||
      this.routing.isProxyAllowed(address, allowedRegions)
    );
  }
}
