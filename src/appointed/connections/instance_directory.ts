/**
 * Directory of the instances that a proxy knows from the catalog. Creates a pool and an access for
 * each, and logs the events of the pools. Instances that are removed or restarted lose their pool;
 * new and restarted ones get a new one.
 */
import type { InstanceEntry } from '../catalog/catalog.js';
import type { RouteTable } from '../catalog/route_table.js';
import { unusableReason } from '../catalog/usable_instance.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { ConnectionOwners, type OwnedInstance } from '../relay/connection_owners.js';
import { OwnerHealth } from '../relay/owner_health.js';
import { InstanceAccess, type InstanceRouting } from '../relay/instance_access.js';
import type { RelayDependencies } from '../relay/relayed_connection.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { Position } from '../../positions/position.js';
import { NO_TENANT } from '../tenancy/tenant.js';
import type {
  ConnectError,
  InstanceConnector,
  InstanceTarget,
} from '../instance/instance_connection.js';
import type {
  ColdInstanceRoute,
  CancelReservation,
  SlowStartGate,
} from '../placement/slow_start_gate.js';
import { InstanceLoad } from './instance_load.js';
import { InstancePool } from './instance_pool.js';
import type { PoolListener, PoolOptions } from './pool_options.js';
import { evacuatePool } from './zone_evacuator.js';
import type { EvacuationStage } from '../placement/evacuated_zones.js';
import type { ReadCandidate } from '../routing/replica_selector.js';
import type { ConfirmingReplica } from '../trust/replica_lease_confirmer.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { isWithinAllowedRegions } from '../placement/data_residency.js';

const { InstanceState } = whinyoke;

const CONNECT_TIMEOUT_MS = 600;
/** Number of slots assumed for an instance whose heartbeat does not report them. */
const DEFAULT_SLOTS = 8;

/** What the directory needs from its proxy. */
export interface InstanceDirectoryDependencies {
  readonly runtime: Runtime;
  /** Address at which other processes reach this proxy. */
  readonly ownAddress: string;
  /** Region of each zone, from the settings. */
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly connector: InstanceConnector;
  readonly log: DecisionLog;
  /** Limits the requests sent to cold instances, which warm up after a start. */
  readonly slowStarts: SlowStartGate;
  /** Number of connections that an instance of a group accepts from all proxies together. */
  connectionLimitOf(group: string): number;
  /** Whether a connection serves only the tenant for whom it was opened. */
  hasTenants(): boolean;
  /** Current routing table; undefined until the first document arrives. */
  table(): RouteTable | undefined;
  /** Operations per second that a tenant may run; undefined if unlimited. */
  tenantRate(tenant: string): number | undefined;
  /** Evacuation stage of a zone; undefined if it is not evacuated. */
  zoneEvacuationStage(zone: string): EvacuationStage | undefined;
  /** Number of live proxies, this one included. */
  readonly liveProxies: () => number;
  /** A connection could not be opened. */
  onConnectFailed(target: InstanceTarget, error: ConnectError): void;
  /** An instance restarted: its former incarnation is over. */
  onInstanceRestarted(former: InstanceTarget, incarnation: number): void;
  /** A connection was opened. The instance reported its position after `startedAt`. */
  onOpened(target: InstanceTarget, position: Position, startedAt: number): void;
}

export class InstanceDirectory {
  /** Connection owners of the instances that have too few connections for all proxies. */
  readonly owners: ConnectionOwners;
  private readonly entries = new Map<string, InstanceEntry>();
  private readonly accesses = new Map<string, InstanceAccess>();
  private readonly relayDependencies: RelayDependencies;

  constructor(private readonly dependencies: InstanceDirectoryDependencies) {
    const { runtime, ownAddress } = dependencies;
    this.owners = new ConnectionOwners(ownAddress);
    this.relayDependencies = {
      messenger: runtime.messenger,
      health: new OwnerHealth(runtime.clock, runtime.messenger),
    };
  }

  /** Number of instances. */
  get count(): number {
    return this.entries.size;
  }

  /** Connection pools of this process, for metrics. */
  get pools(): readonly InstancePool[] {
    return [...this.accesses.values()].map(({ localPool }) => localPool);
  }

  /** Access to an instance; undefined if it is unknown or not usable. */
  access(instance: string): InstanceAccess | undefined {
    return this.accesses.get(instance);
  }

  /** Applies a catalog update. */
  applyUpdate(update: whinyoke.ICatalogUpdate): void {
    if (update.isWhole) this.entries.clear();
    for (const instance of update.instances ?? []) {
      const id = instance.id ?? '';
      if (instance.state === InstanceState.GONE) this.entries.delete(id);
      else this.entries.set(id, instance);
    }
    const usable = this.usableEntries();
    for (const [id, access] of this.accesses) {
      const instance = usable.get(id);
      const isSame = instance && (instance.incarnation ?? 0) === access.incarnation;
      if (isSame) continue;
      if (instance) this.endIncarnation(access, instance);
      access.localPool.close();
      this.accesses.delete(id);
    }
    for (const [id, instance] of usable) {
      if (!this.accesses.has(id)) this.accesses.set(id, this.createAccess(instance));
    }
  }

  /** Entries of instances that may be used. No message is sent to the address of any other. */
  private usableEntries(): ReadonlyMap<string, InstanceEntry> {
    const table = this.dependencies.table();
    const usable = new Map<string, InstanceEntry>();
    for (const [id, instance] of this.entries) {
      const reason = unusableReason(instance, table);
      if (reason === undefined) usable.set(id, instance);
      else this.dependencies.log(Events.instanceUnused, { instance: id, reason });
    }
    return usable;
  }

  /** Evacuation stage of an instance's zone; undefined if it is not evacuated. */
  evacuationStageOf(instance: string): EvacuationStage | undefined {
    const zone = this.entries.get(instance)?.zone;
    return zone === undefined || zone === null
      ? undefined
      : this.dependencies.zoneEvacuationStage(zone);
  }

  /**
   * When this process last used a connection to an instance of a zone for a caller's statement;
   * -Infinity if never.
   */
  lastStatementIn(zone: string): number {
    const ofZone = [...this.entries].filter(([, entry]) => entry.zone === zone);
    return Math.max(
      ...ofZone.map(([id]) => this.accesses.get(id)?.localPool.lastStatementAt ?? -Infinity),
    );
  }

  /**
   * Instances of a group that accept new work. Excludes evacuated zones; includes cold instances
   * that have reached their slow-start limit.
   */
  instancesAcceptingWork(group: string): readonly string[] {
    const accepting = [...this.entries.values()].filter((instance) =>
      this.acceptsNewWork(instance, group),
    );
    return accepting.map(({ id }) => id ?? '');
  }

  /**
   * Instances of a group that a read may be sent to now. Cold ones are included only below their
   * slow-start limit.
   */
  readCandidates(group: string, primary: string): readonly ReadCandidate[] {
    const candidates: ReadCandidate[] = [];
    for (const [id, instance] of this.entries) {
      const access = this.accesses.get(id);
      if (!access || !this.acceptsNewWork(instance, group)) continue;
      const coldRoute = this.dependencies.slowStarts.routeTo(instance, false);
      if (coldRoute && !coldRoute.canSend) continue;
      const { load } = access;
      const zone = instance.zone ?? '';
      const isCold = coldRoute !== undefined;
      candidates.push({ id, zone, load, isPrimary: id === primary, isCold });
    }
    return candidates;
  }

  /** Zone of an instance; undefined if the catalog does not list it. */
  zoneOf(instance: string): string | undefined {
    const entry = this.entries.get(instance);
    return entry && (entry.zone ?? '');
  }

  /**
   * Registers a request that waits for a connection to an instance.
   * @returns a callback that ends the wait; undefined if the instance is cold and at its slow-start
   *   limit
   */
  beginWait(id: string, isUrgent: boolean): CancelReservation | undefined {
    const instance = this.entries.get(id);
    return this.dependencies.slowStarts.reserve(instance ?? {}, isUrgent);
  }

  /**
   * Counts a request that this process sends to an instance now.
   * @returns false if the instance is cold and must not receive the request
   */
  admit(id: string, isUrgent: boolean): boolean {
    const instance = this.entries.get(id);
    return this.dependencies.slowStarts.admit(instance ?? {}, isUrgent);
  }

  /** All instances of a group except its primary, in any state. */
  replicasOf(group: string, primary: string): readonly ConfirmingReplica[] {
    return [...this.entries]
      .filter(([id, instance]) => instance.group === group && id !== primary)
      .filter(([id]) => this.accesses.has(id))
      .map(([id]) => ({ instance: id, pool: this.accesses.get(id) }));
  }

  /**
   * Suspends and resumes pools according to the evacuation stage of their zones. Called after each
   * catalog update and periodically.
   */
  applyEvacuations(isPrimary: (instance: string, group: string) => boolean): void {
    for (const [id, { group, zone }] of this.entries) {
      const pool = this.accesses.get(id)?.localPool;
      if (!pool) continue;
      const stage = this.evacuationStageOf(id);
      const count = evacuatePool(pool, stage, isPrimary(id, group ?? ''));
      if (count === 0) continue;
      this.dependencies.log(Events.transactionsEvacuated, {
        instance: id,
        group: group ?? '',
        zone: zone ?? '',
        stage,
        count,
      });
    }
  }

  /** Opens spare connections and closes idle ones in all pools; called periodically. */
  maintain(): void {
    for (const { localPool } of this.accesses.values()) localPool.maintain();
  }

  /** Closes all pools and all connections in use; statements in flight end with an error. */
  closeInUse(): void {
    for (const access of this.accesses.values()) {
      access.localPool.close();
      access.closeInUse();
    }
  }

  /** Closes all pools. */
  close(): void {
    for (const { localPool } of this.accesses.values()) localPool.close();
  }

  private acceptsNewWork({ id, group, state }: InstanceEntry, wantedGroup: string): boolean {
    const isUsable = group === wantedGroup && state === InstanceState.READY;
    return (
      isUsable && this.evacuationStageOf(id ?? '') === undefined && this.accesses.has(id ?? '')
    );
  }

  /**
   * Closes all connections to the ended incarnation: no answer can arrive any more, and requests
   * that wait for one must fail now.
   */
  private endIncarnation(access: InstanceAccess, { id, group, incarnation }: InstanceEntry): void {
    this.dependencies.log(Events.instanceReplaced, {
      instance: id ?? '',
      group: group ?? '',
      former: access.incarnation,
      incarnation: incarnation ?? 0,
      connections: access.localPool.size,
    });
    access.closeInUse();
    this.dependencies.onInstanceRestarted(access.localPool.target, incarnation ?? 0);
  }

  private createAccess(instance: InstanceEntry): InstanceAccess {
    const pool = this.createPool(instance);
    const { ownAddress, regionByZone } = this.dependencies;
    const routing: InstanceRouting = {
      ownersFor: (tenant) => this.owners.ownersFor(this.ownedInstance(instance), tenant),
      isProxyAllowed: (address, allowedRegions) =>
        isWithinAllowedRegions(allowedRegions, this.owners.zoneOf(address), regionByZone),
      coldRoute: (isUrgent) => this.coldRoute(pool.target.id, isUrgent),
      recordSlowStartRefusal: () => this.recordSlowStartRefusal(pool.target.id),
    };
    return new InstanceAccess(pool, ownAddress, this.relayDependencies, routing);
  }

  private coldRoute(id: string, isUrgent: boolean): ColdInstanceRoute | undefined {
    const instance = this.entries.get(id);
    return instance && this.dependencies.slowStarts.routeTo(instance, isUrgent);
  }

  private recordSlowStartRefusal(id: string): void {
    const instance = this.entries.get(id);
    if (instance) this.dependencies.slowStarts.recordRefusal(instance);
  }

  private ownedInstance({ id, zone, group }: InstanceEntry): OwnedInstance {
    const connectionLimit = this.dependencies.connectionLimitOf(group ?? '');
    return { id: id ?? '', zone: zone ?? '', connectionLimit };
  }

  private createPool(instance: InstanceEntry): InstancePool {
    const { runtime, connector, liveProxies } = this.dependencies;
    const { id, group, address } = instance;
    const incarnation = instance.incarnation ?? 0;
    const target = { id: id ?? '', group: group ?? '', address: address ?? '', incarnation };
    const options: PoolOptions = {
      quota: () => this.owners.quotaOf(this.ownedInstance(instance), liveProxies()),
      slots: () => this.entries.get(target.id)?.slots || DEFAULT_SLOTS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      proxyCount: liveProxies,
      opensSpareConnections: () => this.opensSpareConnections(instance),
      weightOf: (tenant) => this.dependencies.tenantRate(tenant) ?? 1,
      random: runtime.random,
    };
    const load = new InstanceLoad();
    const listener = this.listenerFor(target);
    return new InstancePool(target, connector, runtime.clock, load, options, listener);
  }

  private listenerFor(target: InstanceTarget): PoolListener {
    const { log } = this.dependencies;
    return {
      onConnectFailed: (error) => this.onConnectFailed(target, error),
      onOpened: (position, startedAt) => this.dependencies.onOpened(target, position, startedAt),
      onBusy: ({ limit, pauseMs, waiting }) =>
        log(Events.instanceBusy, {
          instance: target.id,
          group: target.group,
          window: Math.floor(limit),
          pause_ms: Math.round(pauseMs),
          waiting,
        }),
      onDisplaced: ({ tenant, priority, waitedMs, waiting }) =>
        log(Events.waitingDisplaced, {
          instance: target.id,
          group: target.group,
          tenant,
          priority,
          waited_ms: Math.round(waitedMs),
          waiting,
        }),
    };
  }

  /**
   * Spare connections are opened only where their tenant is known and this proxy keeps connections
   * of its own.
   */
  private opensSpareConnections(instance: InstanceEntry): boolean {
    if (this.dependencies.hasTenants()) return false;
    return this.owners.ownersFor(this.ownedInstance(instance), NO_TENANT).length === 0;
  }

  private onConnectFailed(target: InstanceTarget, error: ConnectError): void {
    this.dependencies.log(Events.connectFailed, {
      instance: target.id,
      group: target.group,
      failure: error.failure,
      detail: error.message,
    });
    this.dependencies.onConnectFailed(target, error);
  }
}
