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
import { RelayedConnection, type RelaySurroundings } from './relayed_connection.js';

/** Ways to one instance but for own connections. */
export interface InstanceWays {
  /** Connection owners for a tenant, in order; empty where this proxy has connections of its own. */
  ownersFor(tenant: string): readonly string[];
  /** Whether another proxy may get the body of a statement with these homes. */
  maySee(address: string, homes: AllowedRegions): boolean;
  /** The way of requests for a cold instance; undefined for a warm one. */
  coldRoute(isUrgent: boolean): ColdInstanceRoute | undefined;
  /** A request for the instance, which is cold, was refused. */
  noteRefused(): void;
}

/** Most owners (a count) that one request tries. Guess, not measured. */
const MOST_TRIED = 3;

/** Access to one instance. */
export class InstanceAccess implements ConnectionSource {
  /** Connections of owners that are in use here. */
  private readonly relayed = new Set<PooledConnection>();

  constructor(
    /** Connections of this process. */
    readonly local: InstancePool,
    private readonly ownAddress: string,
    private readonly surroundings: RelaySurroundings,
    private readonly ways: InstanceWays,
  ) {}

  /** Number of the incarnation that it leads to. */
  get incarnation(): number {
    return this.local.target.incarnation ?? 0;
  }

  /** Whether requests queue at a connection owner. */
  get queuesAtOwner(): boolean {
    return this.ways.ownersFor(NO_TENANT).length > 0;
  }

  /** What the answers of the instance say of it. */
  get load(): InstanceLoad {
    return this.local.load;
  }

  /**
   * A connection of the pool where this proxy is the first owner or no owner may be tried; a relayed one otherwise. Owners outside
   * the homes of the request may not.
   */
  acquire(request: ConnectionRequest, timeoutMs: number): Promise<PooledConnection> {
    const isOfCaller = request.tenant !== undefined;
    const cold = isOfCaller ? this.ways.coldRoute(isUrgentPriority(request.priority)) : undefined;
    if (cold) return this.acquireCold(cold, request, timeoutMs);
    const owners = this.ways
      .ownersFor(request.tenant ?? NO_TENANT)
      .filter((address) => this.maySee(address, request.homes))
      .filter((address) => this.surroundings.health.mayTry(address));
    const [first] = owners;
    if (first === undefined || first === this.ownAddress) {
      return this.local.acquire(request, timeoutMs);
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
    if (holderAddress === this.ownAddress) return this.local.acquire(request, timeoutMs);
    const mayGo = canSend && this.maySee(holderAddress, request.homes);
    if (mayGo && this.surroundings.health.mayTry(holderAddress)) {
      return Promise.resolve(this.relayVia([holderAddress], request, timeoutMs));
    }
    this.ways.noteRefused();
    return Promise.reject(new AcquireError('slowStart'));
  }

  private relayVia(
    owners: readonly string[],
    request: ConnectionRequest,
    timeoutMs: number,
  ): PooledConnection {
    const route = {
      instance: this.local.target.id,
      incarnation: this.incarnation,
      tenant: request.tenant,
      priority: request.priority,
      usefulMs: request.usefulMs,
      waitMs: timeoutMs,
      owners: owners.slice(0, MOST_TRIED),
      homes: request.homes,
    };
    const connection = new RelayedConnection(route, this.surroundings);
    const pooled = new PooledConnection(connection, request.tenant ?? NO_TENANT, true);
    this.relayed.add(pooled);
    connection.onClosed = () => this.relayed.delete(pooled);
    return pooled;
  }

  /** Whether the next statement on a connection may have these homes. */
  mayCarry(pooled: PooledConnection, homes: AllowedRegions): boolean {
    const { connection } = pooled;
    const keeper = connection instanceof RelayedConnection ? connection.keeper : undefined;
    return keeper === undefined || this.maySee(keeper, homes);
  }

  /** Gives a connection back to where it came from. */
  release(pooled: PooledConnection): void {
    if (pooled.isRelayed) this.relayed.delete(pooled);
    else this.local.release(pooled);
  }

  /** Closes a connection whose state is unknown. */
  discard(pooled: PooledConnection): void {
    if (pooled.isRelayed) pooled.connection.close();
    else this.local.discard(pooled);
  }

  /** A statement of a transaction begins. Owners count their own statements. */
  wake(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.local.wake(pooled);
  }

  /** A transaction waits for its caller. Owners count their own statements. */
  rest(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.local.rest(pooled);
  }

  /** The instance was busy. Owners hear of that themselves. */
  noteBusy(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.local.noteBusy();
  }

  /** The instance served a statement. Owners hear of that themselves. */
  noteServed(pooled: PooledConnection): void {
    if (!pooled.isRelayed) this.local.noteServed();
  }

  /** Closes all connections in use: no answer on them counts any more. */
  abandonInUse(): void {
    this.local.abandonInUse();
    for (const { connection } of [...this.relayed]) connection.close();
  }

  private maySee(address: string, homes: AllowedRegions): boolean {
    return homes === undefined || address === this.ownAddress || this.ways.maySee(address, homes);
  }
}
