/**
 * A proxy in front of groups whose primary is appointed by control: composes the parts, starts and stops them, and opens
 * sessions. Owns nothing but the parts. Control and instances may fail; the parts say what then happens.
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

/** Identity and surroundings of a proxy. */
export interface AppointedProxyOptions {
  readonly id: string;
  readonly zone: string;
  /** Address for messages of other processes. */
  readonly address: string;
  /** Addresses of control machines to begin with. */
  readonly seeds: readonly string[];
  readonly connector: InstanceConnector;
  readonly reader: RoutingDocumentReader;
  readonly log: DecisionLog;
  readonly counters: RequestCounters;
  /** How long a document counts that control confirmed, in milliseconds, where callers need credentials. */
  readonly credentialFreshnessMs: number;
  readonly quotaRules: QuotaRules;
  /** Bounds on where requests go. */
  readonly placementRules: PlacementRules;
}

/**
 * Time between two rounds of upkeep, in milliseconds: the shortest time that upkeep must tell apart is that from a suspect
 * primary (200 ms) to a silent one (350 ms).
 */
const MAINTENANCE_INTERVAL_MS = 100;

/** Core of one proxy. */
export class AppointedProxy implements ProxyContext {
  /** Clock of this process. */
  readonly clock: Clock;
  /** Zone of this process. */
  readonly zone: string;
  /** Region of each zone that the settings name. */
  readonly regionByZone: ReadonlyMap<string, string>;
  /** Log of decisions. */
  readonly log: DecisionLog;
  /** Counters of requests. */
  readonly counters: RequestCounters;
  /** Identity of this run. */
  readonly self: whinyoke.IProxyEntry;
  /** Leases on primaries. */
  readonly leases = new PrimaryLeases();
  /** Health of primaries, as statements of this proxy show it. */
  readonly primaryHealth = new PrimaryHealthTrackers(this.leases);
  /** Positions of primaries. */
  readonly positions: PrimaryPositions;
  /** Instances of the catalog in force. */
  readonly instances: ProxyInstances;
  /** Extends leases while control is out of reach. */
  readonly leaseConfirmer: ReplicaLeaseConfirmer;
  /** Decides what a credential allows. */
  readonly admission: Admission;
  /** Limits on the operations of tenants. */
  readonly allowances: AllowanceClient;
  /** Evacuated zones, as far as control told of them. */
  readonly evacuatedZones: EvacuatedZones;
  /** Bounds what cold instances get. */
  readonly slowStarts: SlowStartGate;
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

  /** Starts to synchronise with the control machines. */
  start(): void {
    this.runtime.messenger.serve((body) => this.handle(body));
    this.synchronisation.start();
    this.maintain();
  }

  /** Ends all connections. */
  stop(): void {
    this.maintenance?.cancel();
    this.synchronisation.stop();
    this.allowances.stop();
    this.instances.close();
  }

  /** Tells control that this proxy takes no new callers. */
  startLeaving(): void {
    this.synchronisation.startLeaving();
    this.allowances.returnReserves();
  }

  /** Takes over control machines of changed settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.synchronisation.updateSeeds(seeds);
  }

  /** Whether callers can be served: control was in touch lately and a configuration is in force. */
  get isReady(): boolean {
    return this.table !== undefined && !this.isLeaving && this.contact.isRecent;
  }

  /** Whether control has been out of reach for so long that callers are better served by another proxy. */
  get isIsolated(): boolean {
    const isCutOff = this.table !== undefined && this.contact.isCutOff;
    return isCutOff && !this.leases.hasLease(this.clock.now());
  }

  /** Whether this proxy takes no new callers. */
  get isLeaving(): boolean {
    return this.synchronisation.isLeaving;
  }

  /** Milliseconds since the newest accepted reply of control. */
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

  /** Statements that other proxies sent to this connection owner since the start, by outcome. */
  get relayCounts(): ReadonlyMap<string, number> {
    return this.relayServer.counts;
  }

  /** Statements and transactions of other proxies that are under way here. */
  get relayedCount(): number {
    return this.relayServer.openCount;
  }

  /** All pools, for metrics. */
  get allPools(): readonly InstancePool[] {
    return this.instances.pools;
  }

  /** Resolves with whether a configuration is in force, after `timeoutMs` at the latest. */
  awaitTable(timeoutMs: number): Promise<boolean> {
    return this.document.awaitFirst(timeoutMs);
  }

  /** Whether a credential may be held by a tenant; each operation checks again. */
  async isCredentialKnown(database: string, credential: string): Promise<boolean> {
    const route = this.table?.routeByDatabase.get(database);
    if (!route) return true;
    const { outcome } = await this.admission.checkWithRefresh(credential, route);
    return outcome !== 'unknown';
  }

  /** Opens the session of a caller; undefined when no route has that database. */
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

  /** One round of upkeep. */
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
   * Runs a statement of another proxy, grants it operations, or forwards a request of one that is cut off from control to the
   * leader.
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
