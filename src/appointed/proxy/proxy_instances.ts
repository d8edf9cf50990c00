/**
 * The instances of the catalog in force as this proxy uses them. Owns the ways to them; tells the health trackers and the
 * position floors what opening a connection showed. Instances may refuse connections or not answer.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Position } from '../../positions/position.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { ConnectionSource } from '../connections/connection_source.js';
import { InstanceDirectory } from '../connections/instance_directory.js';
import type { InstancePool } from '../connections/instance_pool.js';
import type {
  ConnectError,
  InstanceConnector,
  InstanceTarget,
} from '../instance/instance_connection.js';
import type { EvacuatedZones, EvacuationStage } from '../placement/evacuated_zones.js';
import type { CancelReservation, SlowStartGate } from '../placement/slow_start_gate.js';
import type { ReadCandidate } from '../routing/replica_selector.js';
import { distrustOtherIncarnation, distrustShorterLog } from '../trust/primary_incarnation.js';
import type { ZoneProxies } from '../relay/connection_owners.js';
import type { PrimaryHealthTrackers } from '../trust/primary_health_trackers.js';
import type { PrimaryLeases } from '../trust/primary_leases.js';
import type { ConfirmingReplica } from '../trust/replica_lease_confirmer.js';
import type { DocumentInForce } from './document_in_force.js';
import type { FleetDirectory } from './fleet_directory.js';
import type { PrimaryPositions } from './primary_positions.js';
import type { SessionInstances } from './proxy_context.js';

const { PrimaryHealth } = whinyoke;

/** Parts of the proxy that its instances depend on. */
interface ProxyInstancesDependencies {
  readonly runtime: Runtime;
  /** Address for messages of other processes. */
  readonly ownAddress: string;
  /** Region of each zone that the settings name. */
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly connector: InstanceConnector;
  readonly log: DecisionLog;
  readonly document: DocumentInForce;
  readonly fleet: FleetDirectory;
  readonly leases: PrimaryLeases;
  readonly primaryHealth: PrimaryHealthTrackers;
  readonly positions: PrimaryPositions;
  readonly evacuatedZones: EvacuatedZones;
  readonly slowStarts: SlowStartGate;
}

/** Instances of one proxy. */
export class ProxyInstances implements SessionInstances {
  private readonly directory: InstanceDirectory;
  /** Whether a zone was evacuated at the last look, so that pools may have to serve again. */
  private wasEvacuating = false;

  constructor(private readonly dependencies: ProxyInstancesDependencies) {
    const { runtime, ownAddress, regionByZone, connector, log, document, fleet } = dependencies;
    const { evacuatedZones, slowStarts } = dependencies;
    const { clock } = runtime;
    this.directory = new InstanceDirectory({
      runtime,
      ownAddress,
      regionByZone,
      connector,
      log,
      slowStarts,
      connectionLimitOf: (group) => document.table?.limitsByGroup.get(group)?.connectionLimit ?? 0,
      table: () => document.table,
      hasTenants: () => document.table === undefined || document.table.tenants.size > 0,
      tenantRate: (tenant) => document.table?.tenants.findByName(tenant)?.limit?.ratePerSecond,
      // Asked for each instance of each read: the clock is read only where it decides.
      zoneEvacuationStage: (zone) =>
        evacuatedZones.hasAny ? evacuatedZones.stageOf(zone, runtime.clock.now()) : undefined,
      liveProxies: () => fleet.liveProxies,
      onConnectFailed: (target, error) => this.onConnectFailed(target, error),
      onInstanceRestarted: ({ id, group }, incarnation) =>
        distrustOtherIncarnation({ ...dependencies, clock }, group, id, incarnation),
      onOpened: (target, position, startedAt) => this.onOpened(target, position, startedAt),
    });
  }

  /** Number of instances in the catalog. */
  get count(): number {
    return this.directory.count;
  }

  /** Pools of connections of this process, for metrics. */
  get pools(): readonly InstancePool[] {
    return this.directory.pools;
  }

  /** Source of connections to an instance, here or through the owner of its connections. */
  connectionsTo(instance: string): ConnectionSource | undefined {
    return this.directory.access(instance);
  }

  /** Pool of this process's own connections to an instance. */
  localPool(instance: string): InstancePool | undefined {
    return this.directory.access(instance)?.localPool;
  }

  /** When this process last took a connection to an instance of a zone for a caller's statement; -Infinity: never. */
  lastStatementIn(zone: string): number {
    return this.directory.lastStatementIn(zone);
  }

  /** How far the evacuation of an instance's zone has come; undefined when it is not evacuated. */
  evacuationStageOf(instance: string): EvacuationStage | undefined {
    return this.directory.evacuationStageOf(instance);
  }

  /** Instances of a group that may be sent a read now. */
  readCandidates(group: string): readonly ReadCandidate[] {
    return this.directory.readCandidates(group, this.primaryOf(group));
  }

  /** Instances of a group that take new work, cold ones without room for more included. */
  instancesAcceptingWork(group: string): readonly string[] {
    return this.directory.instancesAcceptingWork(group);
  }

  /** Zone of an instance; undefined when the catalog does not list it. */
  zoneOf(instance: string): string | undefined {
    return this.directory.zoneOf(instance);
  }

  /** Begins the wait of a request for a connection to an instance; undefined when that is cold and has no room for it. */
  enter(instance: string, isUrgent: boolean): CancelReservation | undefined {
    return this.directory.beginWait(instance, isUrgent);
  }

  /** Counts a request that this process sends to an instance now; false when the instance is cold and must not get it. */
  admit(instance: string, isUrgent: boolean): boolean {
    return this.directory.admit(instance, isUrgent);
  }

  /** All instances of a group but its primary, whatever their state. */
  replicasOf(group: string): readonly ConfirmingReplica[] {
    return this.directory.replicasOf(group, this.primaryOf(group));
  }

  /** Takes over what changed in the catalog. */
  adopt(update: whinyoke.ICatalogUpdate): void {
    this.directory.applyUpdate(update);
    this.updateEvacuations();
  }

  /** Takes over which proxies may own connections, by zone. */
  adoptOwners(zones: readonly ZoneProxies[]): void {
    this.directory.owners.updateProxies(zones);
  }

  /** Ends the wait of all statements for an answer of the old primary of a group that changes its primary. */
  abandonPrimary(group: string): void {
    this.directory.access(this.primaryOf(group))?.closeInUse();
  }

  /** Opens another connection to an instance that leaves statements unanswered. */
  probe(instance: string): void {
    this.localPool(instance)?.probeByConnecting();
  }

  /** Looks after all pools; called often. */
  maintain(): void {
    this.updateEvacuations();
    this.directory.maintain();
  }

  /** Ends all connections. */
  close(): void {
    this.directory.close();
  }

  private updateEvacuations(): void {
    const { hasAny } = this.dependencies.evacuatedZones;
    if (!hasAny && !this.wasEvacuating) return;
    this.wasEvacuating = hasAny;
    this.directory.applyEvacuations((instance, group) => this.primaryOf(group) === instance);
  }

  private primaryOf(group: string): string {
    return this.dependencies.leases.entryOf(group)?.primary ?? '';
  }

  /** The position that a leased primary sends when a connection opens is as good as that of an answer. */
  private onOpened(
    { id: instance, group }: InstanceTarget,
    position: Position,
    startedAt: number,
  ): void {
    const { leases, primaryHealth, positions, runtime } = this.dependencies;
    const { epoch, primary } = leases.entryOf(group) ?? {};
    if (primary !== instance || epoch === undefined || epoch === null) return;
    const { clock } = runtime;
    const trust = { ...this.dependencies, clock };
    if (distrustShorterLog(trust, { group, epoch }, position, undefined)) return;
    if (!leases.accepts(group, epoch, clock.now())) return;
    primaryHealth.of(group, epoch).onConnectionOpened(clock.now());
    positions.recordFromPrimary(group, epoch, startedAt, position);
  }

  private onConnectFailed({ id: instance, group }: InstanceTarget, error: ConnectError): void {
    const { leases, primaryHealth, runtime } = this.dependencies;
    const entry = leases.entryOf(group);
    if (entry?.primary !== instance) return;
    const tracker = primaryHealth.of(group, entry.epoch ?? 0);
    // A primary that turns connections away because it is full is alive.
    if (error.failure === 'connectionLimit' || error.failure === 'busy') {
      tracker.onConnectionOpened(runtime.clock.now());
      return;
    }
    const health = error.failure === 'silent' ? PrimaryHealth.SILENT : PrimaryHealth.REFUSING;
    tracker.onFailure(health, runtime.clock.now());
  }
}
