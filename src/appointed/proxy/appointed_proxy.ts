/** A proxy in front of groups whose primary is appointed by the control plane. */
import { whinyoke } from '../../protocol/generated/messages.js';
import { inflateSource } from '../catalog/document_source.js';
import { Events } from '../../observability/events.js';
import {
  type Clock,
  type MessageBody,
  type Runtime,
  type Timer,
  delay,
} from '../../runtime/runtime.js';
import type { ConnectionSource } from '../connections/connection_source.js';
import { ControlClient, type SyncContent, type SyncParticipant } from './control_client.js';
import type {
  ConnectError,
  InstanceConnector,
  InstanceTarget,
} from '../instance/instance_connection.js';
import { InstanceDirectory } from '../connections/instance_directory.js';
import type { InstancePool } from '../connections/instance_pool.js';
import type { Position } from '../../positions/position.js';
import { PositionFloor } from '../routing/position_floor.js';
import type { PrimaryObserver } from '../trust/primary_observer.js';
import { PrimaryObservers } from '../trust/primary_observers.js';
import { PrimaryTrust } from '../trust/primary_trust.js';
import type { ReadCandidate } from '../routing/replica_selector.js';
import { SharedPositions, toldPositions } from './shared_positions.js';
import { RelayServer } from '../relay/relay_server.js';
import { ReplicaLeaseConfirmer, type ConfirmingReplica } from '../trust/replica_lease_confirmer.js';
import type { RouteTable, RoutingDocumentReader } from '../catalog/route_table.js';
import { RoutedSession } from '../sessions/routed_session.js';
import { Admission } from '../tenancy/admission.js';
import { AllowanceClient } from '../tenancy/allowance_client.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { RequestCounters, ProxyContext } from './proxy_context.js';

const { PrimaryHealth } = whinyoke;

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
}

const NO_BYTES = new Uint8Array(0);
/**
 * How long after its first catalog a proxy waits for the positions of primaries, in milliseconds: a new leader asks for
 * them at once, which takes as long as opening a connection (12 to 30 ms) and two trips.
 */
const FIRST_POSITIONS_MS = 50;
const MAINTENANCE_MS = 100;
/** Age of the newest answer of control beyond which it counts as lost, in milliseconds. */
const CONTROL_LOST_MS = 800;
/** Age of the newest answer of control beyond which new callers are sent elsewhere, in milliseconds. */
const READY_SYNC_AGE_MS = 1200;
/** Age beyond which idle callers are sent elsewhere too; new ones have stopped to come by then. */
const ISOLATED_SYNC_AGE_MS = 3300;
/** Time for the leader to answer a request that is passed on, in milliseconds. */
const RELAY_TIMEOUT_MS = 400;

/** Core of one proxy. */
export class AppointedProxy implements ProxyContext, SyncParticipant {
  readonly trust = new PrimaryTrust();
  readonly clock: Clock;
  readonly zone: string;
  readonly log: DecisionLog;
  readonly counters: RequestCounters;
  readonly self: whinyoke.IProxyEntry;
  isLeaving = false;
  table: RouteTable | undefined;
  private readonly floors = new Map<string, PositionFloor>();
  private readonly sharedPositions = new SharedPositions();
  private readonly observers = new PrimaryObservers(this.trust);
  private readonly instances: InstanceDirectory;
  relays: readonly string[] = [];
  private liveProxies = 1;
  private directoryVersion = 0;
  /** Until when the first positions of primaries are expected from control. */
  private positionsExpectedUntil = -Infinity;
  private notePositionsTold: () => void = () => undefined;
  private readonly positionsTold = new Promise<void>((resolve) => {
    this.notePositionsTold = resolve;
  });
  private readonly tableWaiters: (() => void)[] = [];
  private version = 0;
  private lastSyncAt = -Infinity;
  /** When the newest request was sent that control answered: what is known of the catalog is that old. */
  private answeredRequestAt = -Infinity;
  private isControlLost = false;
  private maintenance: Timer | undefined;
  private readonly client: ControlClient;
  /** Keeps leases while control is out of reach. */
  readonly witness: ReplicaLeaseConfirmer;
  readonly admission: Admission;
  readonly allowances: AllowanceClient;
  private readonly relayServer: RelayServer;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: AppointedProxyOptions,
  ) {
    this.clock = runtime.clock;
    this.zone = options.zone;
    this.log = options.log;
    this.counters = options.counters;
    this.self = {
      id: options.id,
      incarnation: runtime.random.identifier(),
      address: options.address,
      zone: options.zone,
    };
    this.client = new ControlClient(runtime, this, options.seeds);
    this.instances = new InstanceDirectory({
      runtime,
      ownAddress: options.address,
      connector: options.connector,
      log: this.log,
      connectionLimitOf: (group) => this.table?.limitsByGroup.get(group)?.connectionLimit ?? 0,
      hasTenants: () => this.table === undefined || this.table.tenants.size > 0,
      tenantRate: (tenant) => this.table?.tenants.named(tenant)?.limit?.ratePerSecond,
      liveProxies: () => this.liveProxies,
      onConnectFailed: (target, error) => this.onConnectFailed(target, error),
      onOpened: (target, position, startedAt) => this.notePosition(target, position, startedAt),
    });
    this.relayServer = new RelayServer(
      this,
      (instance) => this.instances.access(instance)?.local,
      this.self.incarnation ?? '',
    );
    this.admission = new Admission({
      clock: this.clock,
      log: this.log,
      table: () => this.table,
      provenAt: () => this.answeredRequestAt,
      refresh: (timeoutMs) => Promise.race([this.client.syncNow(), delay(this.clock, timeoutMs)]),
      freshnessMs: options.credentialFreshnessMs,
    });
    this.allowances = new AllowanceClient({
      runtime,
      log: this.log,
      rules: options.quotaRules,
      proxy: options.id,
      incarnation: this.self.incarnation ?? '',
      leaderAddress: () => this.client.leaderAddress,
    });
    this.witness = new ReplicaLeaseConfirmer({
      clock: this.clock,
      trust: this.trust,
      log: this.log,
      replicasOf: (group) => this.replicasOf(group),
    });
  }

  /** Starts to synchronise with the control machines. */
  start(): void {
    this.runtime.messenger.serve((body) => this.handle(body));
    this.client.start();
    this.maintain();
  }

  /** Ends all connections. */
  stop(): void {
    this.maintenance?.cancel();
    this.client.stop();
    this.allowances.stop();
    this.instances.close();
  }

  /** Tells control that this proxy takes no new callers. */
  beginLeave(): void {
    this.isLeaving = true;
    void this.client.syncNow();
  }

  /** Takes over control machines of changed settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.client.updateSeeds(seeds);
  }

  /** Whether callers can be served: control was in touch lately and a configuration is in force. */
  get isReady(): boolean {
    return this.table !== undefined && !this.isLeaving && this.syncAge < READY_SYNC_AGE_MS;
  }

  /** Whether control has been out of reach for so long that callers are better served by another proxy. */
  get isIsolated(): boolean {
    const isCutOff = this.table !== undefined && this.syncAge > ISOLATED_SYNC_AGE_MS;
    return isCutOff && !this.trust.hasLease(this.clock.now());
  }

  /** Milliseconds since the newest accepted reply of control. */
  get syncAge(): number {
    return this.clock.now() - this.lastSyncAt;
  }

  /** Log index of the newest catalog in force. */
  get knownVersion(): number {
    return this.version;
  }

  /** Requests of other proxies since the start, by outcome. */
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
    if (this.table) return Promise.resolve(true);
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(timeoutMs, () => resolve(this.table !== undefined));
      this.tableWaiters.push(() => {
        timer.cancel();
        resolve(true);
      });
    });
  }

  /** Whether a credential may be held by a tenant; each operation checks again. */
  async isCredentialKnown(database: string, credential: string): Promise<boolean> {
    const route = this.table?.routeByDatabase.get(database);
    if (!route) return true;
    const { outcome } = await this.admission.checkNewest(credential, route);
    return outcome !== 'unknown';
  }

  /** Opens the session of a caller; undefined when no route has that database. */
  openSession(database: string, credential = ''): RoutedSession | undefined {
    if (!this.table?.routeByDatabase.has(database)) return undefined;
    return new RoutedSession(this, database, credential);
  }

  floorOf(group: string): PositionFloor {
    let floor = this.floors.get(group);
    if (!floor) {
      floor = new PositionFloor();
      this.floors.set(group, floor);
    }
    return floor;
  }

  notePrimaryPosition(group: string, epoch: number, askedAt: number, position: Position): void {
    this.floorOf(group).note(epoch, askedAt, position);
    this.sharedPositions.noteOwn(group, epoch, askedAt, position);
  }

  async awaitFloor(group: string): Promise<void> {
    const isMissing = (): boolean => this.floorOf(group).newestSentAt === undefined;
    const remainingMs = this.positionsExpectedUntil - this.clock.now();
    if (remainingMs <= 0 || !isMissing()) return;
    await Promise.race([this.positionsTold, delay(this.clock, remainingMs)]);
  }

  notePrimaryWanted(group: string): void {
    this.witness.noteWanted(group);
  }

  noteReplicaRead(group: string): void {
    this.sharedPositions.noteRead(group, this.clock.now());
  }

  observerOf(group: string, epoch: number): PrimaryObserver {
    return this.observers.of(group, epoch);
  }

  poolOf(instance: string): ConnectionSource | undefined {
    return this.instances.access(instance);
  }

  readCandidates(group: string): readonly ReadCandidate[] {
    return this.instances.readCandidates(group, this.trust.entryOf(group)?.primary ?? '');
  }

  private replicasOf(group: string): readonly ConfirmingReplica[] {
    return this.instances.replicasOf(group, this.trust.entryOf(group)?.primary ?? '');
  }

  // ---- synchronisation ----

  syncContent(): SyncContent {
    const now = this.clock.now();
    for (const group of this.trust.endRevokedEpochs(now)) this.abandonPrimary(group);
    const revocations = this.trust.confirmations().map(({ group, epoch, position }) => ({
      group,
      epoch,
      hasPosition: position !== undefined,
      position,
    }));
    return {
      knownDocument: this.table?.version ?? 0,
      knownDirectory: this.directoryVersion,
      revocations,
      reports: this.observers.takeReports(now),
      wantsPositions: this.expectsPositions(now) || this.sharedPositions.isWanting(now),
      clockTerm: this.sharedPositions.clockTerm,
      positions: this.sharedPositions.takeReports(now),
    };
  }

  /** Whether the first positions of primaries are still to come. */
  private expectsPositions(now: number): boolean {
    return this.version === 0 || now < this.positionsExpectedUntil;
  }

  /** Whoever still waits for an answer of the old primary of a changing group is told at once. */
  private abandonPrimary(group: string): void {
    this.instances.access(this.trust.entryOf(group)?.primary ?? '')?.abandonInUse();
  }

  onSync(reply: whinyoke.ISyncReply, content: SyncContent, sentAt: number): void {
    const now = this.clock.now();
    this.noteControl(now);
    for (const { group, epoch } of content.revocations)
      this.trust.confirmed(group ?? '', epoch ?? 0);
    this.sharedPositions.noteClock(reply, now);
    if (reply.directory) this.adoptDirectory(reply.directory);
    const version = reply.version ?? 0;
    const update = whinyoke.CatalogUpdate.decode(reply.update ?? NO_BYTES);
    if (update.document) this.adoptDocument(update.document);
    this.answeredRequestAt = Math.max(this.answeredRequestAt, sentAt);
    this.trust.update(update.groups, now);
    if (version > this.version) this.adoptCatalog(version, update);
    // A reply that was overtaken grants leases on epochs that may be over.
    if (version === this.version) {
      this.trust.extendAll(sentAt + (reply.leaseMs ?? 0));
      this.adoptPositions(reply, sentAt);
    }
    if (this.trust.hasDueRevocation(now)) void this.client.syncNow();
  }

  private adoptDirectory(directory: whinyoke.IProxyDirectory): void {
    this.directoryVersion = directory.version ?? 0;
    this.relays = directory.relays ?? [];
    this.liveProxies = Math.max(1, directory.liveProxies ?? 1);
    this.instances.owners.update(
      (directory.zones ?? []).map(({ zone, addresses }) => ({
        zone: zone ?? '',
        addresses: addresses ?? [],
      })),
    );
  }

  private adoptPositions(reply: whinyoke.ISyncReply, sentAt: number): void {
    const positions = toldPositions(reply, this.trust.groupNames, sentAt);
    for (const { group, askedAt, position } of positions) {
      const { epoch } = this.trust.entryOf(group) ?? {};
      this.floorOf(group).note(epoch ?? 0, askedAt, position);
    }
    if (positions.length > 0) this.notePositionsTold();
  }

  private adoptDocument(document: whinyoke.IRoutingDocument): void {
    if ((document.version ?? 0) <= (this.table?.version ?? 0)) return;
    this.table = this.options.reader.read(inflateSource(document));
    for (const waiter of this.tableWaiters.splice(0)) waiter();
    this.log(Events.documentInForce, {
      version: this.table.version,
      routes: this.table.routeByDatabase.size,
    });
  }

  private adoptCatalog(version: number, update: whinyoke.CatalogUpdate): void {
    if (this.version === 0) {
      this.positionsExpectedUntil = this.clock.now() + FIRST_POSITIONS_MS;
    }
    this.version = version;
    this.instances.adopt(update);
    this.log(Events.catalogInForce, {
      version: this.version,
      instances: this.instances.count,
      proxies: this.liveProxies,
    });
  }

  /** The position that a trusted primary tells at the start of a connection is as good as that of an answer. */
  private notePosition(
    { id: instance, group }: InstanceTarget,
    position: Position,
    startedAt: number,
  ): void {
    const { epoch, primary } = this.trust.entryOf(group) ?? {};
    if (primary !== instance || epoch === undefined || epoch === null) return;
    if (!this.trust.accepts(group, epoch, this.clock.now())) return;
    this.observerOf(group, epoch).opened(this.clock.now());
    this.notePrimaryPosition(group, epoch, startedAt, position);
  }

  private onConnectFailed({ id: instance, group }: InstanceTarget, error: ConnectError): void {
    const entry = this.trust.entryOf(group);
    if (entry?.primary !== instance) return;
    const observer = this.observerOf(group, entry.epoch ?? 0);
    if (error.failure === 'connectionLimit' || error.failure === 'busy') {
      observer.opened(this.clock.now());
      return;
    }
    const health = error.failure === 'silent' ? PrimaryHealth.SILENT : PrimaryHealth.REFUSING;
    observer.failed(health, this.clock.now());
  }

  private maintain(): void {
    const now = this.clock.now();
    for (const primary of this.observers.suspects(now)) {
      this.instances.access(primary)?.local.probe();
    }
    this.instances.maintain();
    this.relayServer.maintain();
    this.noteLostControl();
    this.witness.maintain(now - this.answeredRequestAt);
    if (this.observers.hasNews(now)) void this.client.syncNow();
    if (this.trust.hasDueRevocation(now)) void this.client.syncNow();
    this.maintenance = this.clock.setTimer(MAINTENANCE_MS, () => this.maintain());
  }

  onControlFailure(address: string, reason: string): void {
    this.log(Events.controlRequestFailed, { address, reason });
  }

  private noteControl(now: number): void {
    if (this.isControlLost) {
      this.log(Events.controlRegained, { after_ms: Math.round(this.syncAge) });
    }
    this.isControlLost = false;
    this.lastSyncAt = now;
  }

  private noteLostControl(): void {
    const isLost = this.table !== undefined && this.syncAge > CONTROL_LOST_MS;
    if (!isLost || this.isControlLost) return;
    this.isControlLost = true;
    this.log(Events.controlLost, {
      leader: this.client.leaderAddress,
      failed_requests: this.client.failedRequests,
      sync_age_ms: Math.round(this.syncAge),
    });
  }

  // ---- requests of other processes ----

  /** Runs a statement of another proxy, or passes a request of one that is cut off from control on to the leader. */
  private async handle(body: MessageBody): Promise<MessageBody> {
    const { syncRequest, relayRequest } = body;
    if (relayRequest) {
      return { relayReply: await this.relayServer.handle(relayRequest, this.isLeaving) };
    }
    if (!syncRequest || syncRequest.relayed) return { refusal: { reason: 'not for a proxy' } };
    const { leaderAddress } = this.client;
    if (leaderAddress === '') return { refusal: { reason: 'no leader is known' } };
    const relayed = { syncRequest: { ...syncRequest, relayed: true, waitMs: 0 } };
    return this.runtime.messenger.request(leaderAddress, relayed, RELAY_TIMEOUT_MS);
  }
}
