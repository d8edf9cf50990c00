/**
 * A proxy in front of groups whose primary is appointed by the control service. Creates and connects the parts of the
 * proxy, starts and stops them, runs their periodic maintenance, and opens the sessions of callers.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import {
  type Clock,
  type MessageBody,
  type Runtime,
  type Timer,
  delay,
} from '../../runtime/runtime.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { RouteTable, RoutingDocumentReader } from '../catalog/route_table.js';
import type { InstancePool } from '../connections/instance_pool.js';
import type { InstanceConnector } from '../instance/instance_connection.js';
import { RelayServer } from '../relay/relay_server.js';
import { RoutedSession } from '../sessions/routed_session.js';
import { Admission } from '../tenancy/admission.js';
import { AllowanceClient } from '../tenancy/allowance_client.js';
import { EvacuatedZones } from '../placement/evacuated_zones.js';
import { SlowStartGate } from '../placement/slow_start_gate.js';
import { IssuerSelector } from '../tenancy/issuer_selector.js';
import type { PlacementRules } from '../placement/placement_rules.js';
import { ShutdownDeadline } from '../routing/shutdown_deadline.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import { PrimaryHealthTrackers } from '../trust/primary_health_trackers.js';
import { PrimaryLeases } from '../trust/primary_leases.js';
import { ReplicaLeaseConfirmer } from '../trust/replica_lease_confirmer.js';
import { ControlContact } from './control_contact.js';
import { ControlSynchronisation } from './control_synchronisation.js';
import { DocumentInForce } from './document_in_force.js';
import { FleetDirectory } from './fleet_directory.js';
import { PrimaryPositions } from './primary_positions.js';
import type { RequestCounters, ProxyContext } from './proxy_context.js';
import { ProxyInstances } from './proxy_instances.js';
import { RequestForwarder } from './request_forwarder.js';

/** Identity, settings and dependencies of a proxy. */
export interface AppointedProxyOptions {
  readonly id: string;
  readonly zone: string;
  /** Address at which the proxy receives messages of other processes. */
  readonly address: string;
  /** Initial addresses of control machines. */
  readonly seeds: readonly string[];
  readonly connector: InstanceConnector;
  readonly reader: RoutingDocumentReader;
  readonly log: DecisionLog;
  readonly counters: RequestCounters;
  /** How long a document confirmed by control is valid for checking credentials. */
  readonly credentialFreshnessMs: number;
  readonly quotaRules: QuotaRules;
  /** Rules for the placement of requests. */
  readonly placementRules: PlacementRules;
}

/** Shorter than the 150 ms between suspecting a primary (200 ms) and reporting it as unresponsive (350 ms). */
const MAINTENANCE_INTERVAL_MS = 100;

/** Core of one proxy. */
export class AppointedProxy implements ProxyContext {
  readonly clock: Clock;
  readonly zone: string;
  /** Region of each zone listed in the settings. */
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly log: DecisionLog;
  readonly counters: RequestCounters;
  /** Identity of this proxy process. */
  readonly self: whinyoke.IProxyEntry;
  readonly leases = new PrimaryLeases();
  /** Health of primaries, as observed by statements of this proxy. */
  readonly primaryHealth = new PrimaryHealthTrackers(this.leases);
  /** Log positions of primaries. */
  readonly positions: PrimaryPositions;
  /** Instances of the catalog in force. */
  readonly instances: ProxyInstances;
  /** Extends leases through replicas while control is unreachable. */
  readonly leaseConfirmer: ReplicaLeaseConfirmer;
  /** Checks credentials. */
  readonly admission: Admission;
  /** Operation limits of tenants. */
  readonly allowances: AllowanceClient;
  /** Zones that control reported as evacuated. */
  readonly evacuatedZones: EvacuatedZones;
  /** Limits requests to instances that are warming up. */
  readonly slowStarts: SlowStartGate;
  /** Time limit of all requests once the proxy shuts down. */
  readonly shutdown: ShutdownDeadline;
  private readonly document: DocumentInForce;
  private readonly contact: ControlContact;
  private readonly synchronisation: ControlSynchronisation;
  private readonly forwarder: RequestForwarder;
  private readonly relayServer: RelayServer;
  private maintenance: Timer | undefined;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: AppointedProxyOptions,
  ) {
    this.clock = runtime.clock;
    this.shutdown = new ShutdownDeadline(runtime.clock);
    this.zone = options.zone;
    this.regionByZone = options.placementRules.regionByZone;
    this.log = options.log;
    this.counters = options.counters;
    const incarnation = runtime.random.identifier();
    this.self = { id: options.id, incarnation, address: options.address, zone: options.zone };
    const fleet = new FleetDirectory();
    this.document = new DocumentInForce(this.clock, this.log, options.reader);
    this.contact = new ControlContact(this.clock, this.log);
    this.positions = new PrimaryPositions(this.clock, this.leases);
    this.evacuatedZones = new EvacuatedZones(options.placementRules.evacuationMs, this.log);
    this.slowStarts = this.createSlowStarts(incarnation);
    this.instances = this.createInstances(fleet);
    const issuers = new IssuerSelector(options.address, options.zone);
    this.synchronisation = this.createSynchronisation(fleet, issuers);
    const leaderAddress = (): string => this.synchronisation.leaderAddress;
    this.forwarder = new RequestForwarder(runtime.messenger, leaderAddress);
    const localPool = (instance: string): InstancePool | undefined =>
      this.instances.localPool(instance);
    this.relayServer = new RelayServer(this, localPool, incarnation);
    this.admission = this.createAdmission();
    this.allowances = new AllowanceClient({
      runtime,
      log: this.log,
      rules: options.quotaRules,
      proxy: options.id,
      incarnation,
      issuers,
      limitOf: (tenant) => this.table?.tenants.findByName(tenant)?.limit,
      leaderAddress,
    });
    this.leaseConfirmer = new ReplicaLeaseConfirmer({
      clock: this.clock,
      leases: this.leases,
      log: this.log,
      replicasOf: (group) => this.instances.replicasOf(group),
    });
  }

  /** Starts to serve messages and to synchronise with control. */
  start(): void {
    this.runtime.messenger.serve((body) => this.handle(body));
    this.synchronisation.start();
    this.maintain();
  }

  /** Stops all parts and closes all connections. */
  stop(): void {
    this.maintenance?.cancel();
    this.synchronisation.stop();
    this.allowances.stop();
    this.instances.close();
  }

  /** Reports to control that this proxy accepts no new callers, and returns its operation reserves. */
  startLeaving(): void {
    this.synchronisation.startLeaving();
    this.allowances.returnReserves();
  }

  /** Closes all connections to instances; statements in flight there end with an error. */
  closeInstances(): void {
    this.instances.closeInUse();
    this.relayServer.closePinnedConnections();
  }

  /** Updates the addresses of control machines after a change of settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.synchronisation.updateSeeds(seeds);
  }

  /** Whether new callers can be served: a document is in force and control answered recently. */
  get isReady(): boolean {
    return this.table !== undefined && !this.isLeaving && this.contact.isRecent;
  }

  /** Whether idle callers should move to another proxy: control is unreachable and no lease is valid. */
  get isIsolated(): boolean {
    const isCutOff = this.table !== undefined && this.contact.isCutOff;
    return isCutOff && !this.leases.hasLease(this.clock.now());
  }

  /** Whether this proxy is shutting down and accepts no new callers. */
  get isLeaving(): boolean {
    return this.synchronisation.isLeaving;
  }

  /** Time since the newest accepted reply of control. */
  get syncAgeMs(): number {
    return this.contact.replyAgeMs;
  }

  /** Log index of the newest catalog in force. */
  get knownVersion(): number {
    return this.synchronisation.knownVersion;
  }

  /** Routing document in force; undefined before the first. */
  get table(): RouteTable | undefined {
    return this.document.table;
  }

  /** Statements relayed by other proxies to this connection owner since the start, by outcome. */
  get relayCounts(): ReadonlyMap<string, number> {
    return this.relayServer.counts;
  }

  /** Relayed statements and transactions in flight. */
  get relayedCount(): number {
    return this.relayServer.openCount;
  }

  /** All connection pools, for metrics. */
  get allPools(): readonly InstancePool[] {
    return this.instances.pools;
  }

  /** Waits at most `timeoutMs` for the first document; resolves with whether one is in force. */
  awaitTable(timeoutMs: number): Promise<boolean> {
    return this.document.awaitFirst(timeoutMs);
  }

  /** Returns false if a credential certainly belongs to no tenant. Each operation checks again. */
  async isCredentialKnown(database: string, credential: string): Promise<boolean> {
    const route = this.table?.routeByDatabase.get(database);
    if (!route) return true;
    const { outcome } = await this.admission.checkWithRefresh(credential, route);
    return outcome !== 'unknown';
  }

  /** Whether the process ends before a new session could run a statement. */
  isTooLateFor(database: string): boolean {
    const route = this.table?.routeByDatabase.get(database);
    return route !== undefined && !this.shutdown.admits('read', route);
  }

  /** Opens the session of a caller; undefined if no route has that database. */
  openSession(database: string, credential = ''): RoutedSession | undefined {
    if (!this.table?.routeByDatabase.has(database)) return undefined;
    return new RoutedSession(this, database, credential);
  }

  private createInstances(fleet: FleetDirectory): ProxyInstances {
    const { runtime, document, leases, primaryHealth, positions, log } = this;
    const { evacuatedZones, slowStarts } = this;
    const { address: ownAddress, connector } = this.options;
    return new ProxyInstances({
      runtime,
      ownAddress,
      regionByZone: this.regionByZone,
      connector,
      log,
      document,
      fleet,
      leases,
      primaryHealth,
      positions,
      evacuatedZones,
      slowStarts,
    });
  }

  private createSlowStarts(incarnation: string): SlowStartGate {
    return new SlowStartGate({
      clock: this.clock,
      log: this.log,
      incarnation,
      rules: this.options.placementRules,
      slowStartOf: (group) => this.table?.limitsByGroup.get(group)?.slowStart,
      isLeaving: () => this.isLeaving,
    });
  }

  private createSynchronisation(
    fleet: FleetDirectory,
    issuers: IssuerSelector,
  ): ControlSynchronisation {
    const { self, log, contact, document, leases, primaryHealth, positions, instances } = this;
    const { evacuatedZones, slowStarts } = this;
    const parts = {
      self,
      log,
      contact,
      document,
      fleet,
      leases,
      primaryHealth,
      positions,
      instances,
      evacuatedZones,
      slowStarts,
      issuers,
    };
    return new ControlSynchronisation(this.runtime, parts, this.options.seeds);
  }

  private createAdmission(): Admission {
    const refresh = (timeoutMs: number): Promise<void> =>
      Promise.race([this.synchronisation.syncNow(), delay(this.clock, timeoutMs)]);
    return new Admission({
      clock: this.clock,
      log: this.log,
      table: () => this.table,
      confirmedAt: () => this.contact.confirmedAt,
      refresh,
      freshnessMs: this.options.credentialFreshnessMs,
    });
  }

  private maintain(): void {
    const now = this.clock.now();
    for (const primary of this.primaryHealth.suspects(now)) this.instances.probe(primary);
    this.instances.maintain();
    this.relayServer.maintain();
    this.synchronisation.logIfControlLost();
    this.leaseConfirmer.maintain(now - this.contact.confirmedAt);
    this.synchronisation.sendUpdates(now);
    if (this.table && this.table.tenants.size > 0) this.allowances.reportToNewLeader();
    this.maintenance = this.clock.setTimer(MAINTENANCE_INTERVAL_MS, () => this.maintain());
  }

  /**
   * Handles a message of another proxy: runs a relayed statement, grants operations as issuer, or forwards a sync request
   * to the leader for a proxy that cannot reach it.
   */
  private async handle(body: MessageBody): Promise<MessageBody> {
    const { syncRequest, relayRequest, allowanceRequest } = body;
    if (allowanceRequest) {
      return { allowanceReply: this.allowances.issuer.answer(allowanceRequest) };
    }
    if (!relayRequest) return this.forwarder.forward(syncRequest);
    return { relayReply: await this.relayServer.handle(relayRequest, this.isLeaving) };
  }
}
