/**
 * The instances of the catalog in force, as used by this proxy. Creates their connection pools, and reports the outcome of
 * opening connections to the health trackers and the minimum positions.
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

interface ProxyInstancesDependencies {
  readonly runtime: Runtime;
  /** Address at which this proxy receives messages of other processes. */
  readonly ownAddress: string;
  /** Region of each zone listed in the settings. */
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

export class ProxyInstances implements SessionInstances {
  private readonly directory: InstanceDirectory;
  /** Whether a zone was evacuated at the last check: its pools must resume service after the evacuation ends. */
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
      // Called for each instance of each read, so the clock is read only if a zone is evacuated.
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

  /** Connection pools of this process, for metrics. */
  get pools(): readonly InstancePool[] {
    return this.directory.pools;
  }

  /** Source of connections to an instance, either local or through the connection owner. */
  connectionsTo(instance: string): ConnectionSource | undefined {
    return this.directory.access(instance);
  }

  /** Pool of this process's own connections to an instance. */
  localPool(instance: string): InstancePool | undefined {
    return this.directory.access(instance)?.localPool;
  }

  /** When this process last used a connection to a zone for a caller's statement; -Infinity if never. */
  lastStatementIn(zone: string): number {
    return this.directory.lastStatementIn(zone);
  }

  /** Stage of the evacuation of an instance's zone; undefined if the zone is not being evacuated. */
  evacuationStageOf(instance: string): EvacuationStage | undefined {
    return this.directory.evacuationStageOf(instance);
  }

  /** Instances of a group that may serve a read now. */
  readCandidates(group: string): readonly ReadCandidate[] {
    return this.directory.readCandidates(group, this.primaryOf(group));
  }

  /** Instances of a group that accept new work, including warming-up ones that are at their limit. */
  instancesAcceptingWork(group: string): readonly string[] {
    return this.directory.instancesAcceptingWork(group);
  }

  /** Zone of an instance; undefined if the catalog does not list it. */
  zoneOf(instance: string): string | undefined {
    return this.directory.zoneOf(instance);
  }

  /** Starts the wait of a request for a connection; undefined if the instance is warming up and at its limit. */
  enter(instance: string, isUrgent: boolean): CancelReservation | undefined {
    return this.directory.beginWait(instance, isUrgent);
  }

  /** Counts a request about to be sent to an instance; false if the instance is warming up and must not get it. */
  admit(instance: string, isUrgent: boolean): boolean {
    return this.directory.admit(instance, isUrgent);
  }

  /** All instances of a group except its primary, in any state. */
  replicasOf(group: string): readonly ConfirmingReplica[] {
    return this.directory.replicasOf(group, this.primaryOf(group));
  }

  /** Applies changes of the catalog. */
  adopt(update: whinyoke.ICatalogUpdate): void {
    this.directory.applyUpdate(update);
    this.updateEvacuations();
  }

  /** Updates the proxies that may own connections, by zone. */
  adoptOwners(zones: readonly ZoneProxies[]): void {
    this.directory.owners.updateProxies(zones);
  }

  /** Ends the wait of all statements for the old primary of a group whose primary is being replaced. */
  abandonPrimary(group: string): void {
    this.directory.access(this.primaryOf(group))?.closeInUse();
  }

  /** Opens another connection to an instance that does not answer statements. */
  probe(instance: string): void {
    this.localPool(instance)?.probeByConnecting();
  }

  /** Maintains all pools. Called periodically. */
  maintain(): void {
    this.updateEvacuations();
    this.directory.maintain();
  }

  /** Closes all connections, those in use included: their statements end with an error, and no other one can be sent. */
  closeInUse(): void {
    this.directory.closeInUse();
  }

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

  /** The position that a leased primary sends when a connection opens counts like that of a reply. */
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
    // A primary that rejects connections because it is at its limit is alive.
    if (error.failure === 'connectionLimit' || error.failure === 'busy') {
      tracker.onConnectionOpened(runtime.clock.now());
      return;
    }
    const health = error.failure === 'silent' ? PrimaryHealth.SILENT : PrimaryHealth.REFUSING;
    tracker.onFailure(health, runtime.clock.now());
  }
}
