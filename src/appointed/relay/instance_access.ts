/**
 * How a proxy reaches one instance: by connections of its own, or through the connection owners of the instance.
 *
 * Owns the list of relayed connections in use. Relies on the pool and on the health of owners; where no owner may be tried,
 * the pool is.
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

/** Ways to one instance but for own connections. */
export interface InstanceRouting {
  /** Connection owners for a tenant, in order; empty where this proxy has connections of its own. */
  ownersFor(tenant: string): readonly string[];
  /** Whether another proxy may get the body of a statement with these homes. */
  isProxyAllowed(address: string, allowedRegions: AllowedRegions): boolean;
  /** The way of requests for a cold instance; undefined for a warm one. */
  coldRoute(isUrgent: boolean): ColdInstanceRoute | undefined;
  /** A request for the instance, which is cold, was refused. */
  recordSlowStartRefusal(): void;
}

/** Most owners (a count) that one request tries. Guess, not measured. */
const MAX_OWNERS_TRIED = 3;

/** Access to one instance. */
export class InstanceAccess implements ConnectionSource {
  /** Connections of owners that are in use here. */
  private readonly relayedConnections = new Set<PooledConnection>();

  constructor(
    /** Connections of this process. */
    readonly localPool: InstancePool,
    private readonly ownAddress: string,
    private readonly dependencies: RelayDependencies,
    private readonly routing: InstanceRouting,
  ) {}

  /** Number of the incarnation that it leads to. */
  get incarnation(): number {
    return this.localPool.target.incarnation ?? 0;
  }

  /** Whether requests queue at a connection owner. */
  get queuesAtOwner(): boolean {
    return this.routing.ownersFor(NO_TENANT).length > 0;
  }

  /** What the answers of the instance say of it. */
  get load(): InstanceLoad {
    return this.localPool.load;
  }

  /**
   * A connection of the pool where this proxy is the first owner or no owner may be tried; a relayed one otherwise. Owners outside
   * the homes of the request may not.
   */
  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection> {
    const isOfCaller = request.tenant !== undefined;
    const cold = isOfCaller
      ? this.routing.coldRoute(isUrgentPriority(request.priority))
      : undefined;
    if (cold) return this.acquireCold(cold, request, timeoutMs);
    const owners = this.routing
      .ownersFor(request.tenant ?? NO_TENANT)
      .filter((address) => this.isProxyAllowed(address, request.homes))
      .filter((address) => this.dependencies.health.isAvailable(address));
    const [first] = owners;
    if (first === undefined || first === this.ownAddress) {
      return this.localPool.acquire(request, timeoutMs);
    }
    const others = owners.filter((address) => address !== this.ownAddress);
    return Promise.resolve(this.relayVia(others, request, timeoutMs));
  }

  /** Requests for a cold instance go through its holder only. Where that is this proxy, room for them was found already. */
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

  /** Whether the next statement on a connection may have these homes. */
  satisfiesResidency(pooled: PooledConnection, allowedRegions: AllowedRegions): boolean {
    const { connection } = pooled;
    const pinnedOwner =
      connection instanceof RelayedConnection ? connection.pinnedOwner : undefined;
    return pinnedOwner === undefined || this.isProxyAllowed(pinnedOwner, allowedRegions);
  }

  /** Gives a connection back to where it came from. */
  release(pooled: PooledConnection): void {
    if (pooled.isRelayed) this.relayedConnections.delete(pooled);
    else this.localPool.release(pooled);
  }

  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void {
    if (pooled.isRelayed) pooled.connection.close();
    else this.localPool.discard(pooled);
  }

  /** A statement of a transaction begins. Owners count their own statements. */
  markActive(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.localPool.markActive(pooled);
  }

  /** A transaction waits for its caller. Owners count their own statements. */
  markIdleInTransaction(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.localPool.markIdleInTransaction(pooled);
  }

  /** The instance was busy. Owners hear of that themselves. */
  recordBusy(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.localPool.recordBusy();
  }

  /** The instance served a statement. Owners hear of that themselves. */
  recordServed(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.localPool.recordServed();
  }

  /** Closes all connections in use: no answer on them counts any more. */
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
