/**
 * A control machine for groups whose primary is appointed. Combines these parts and dispatches
 * messages to them:
 *
 * - `sync_service.ts`: registers proxies, grants leases, sends catalog updates
 * - `allowance_service.ts`: grants operations of rate-limited tenants
 * - `catalog_service.ts`: changes and reads of the catalog by operators and instances
 * - `primary_position_cache.ts`: newest known positions of the primaries
 * - `control_shutdown.ts`: graceful shutdown
 * - `cluster_contact.ts`: which other control machines reply
 * - `src/appointed/failover`: failed primaries, changes of primary, the appointment lease
 * - `src/consensus`: the replicated log and the cluster membership
 */
import { Catalog } from '../catalog/catalog.js';
import { NewestDocument } from '../catalog/newest_document.js';
import { isHeartbeatExpected } from '../catalog/usable_instance.js';
import { RaftLog } from '../../consensus/raft_log.js';
import type { RaftObserver } from '../../consensus/member_state.js';
import { RaftNode } from '../../consensus/raft_node.js';
import { DEFAULT_RAFT_OPTIONS, type RaftOptions } from '../../consensus/raft_options.js';
import { ClusterJoiner, loadIdentity } from '../../consensus/cluster_joiner.js';
import { AppointmentLease, type Proposer } from '../failover/appointment_lease.js';
import { AppointmentPermits } from '../failover/appointment_permits.js';
import { CaughtUpInstances } from '../failover/caught_up_instances.js';
import { CommitWatermarks } from '../failover/commit_watermarks.js';
import { DepartureMonitor } from '../failover/departure_monitor.js';
import { FailoverController } from '../failover/failover_controller.js';
import { InstanceAdministrator } from '../failover/instance_administrator.js';
import { InstanceMonitor } from '../failover/instance_monitor.js';
import { LeaseLedger } from '../failover/lease_ledger.js';
import type { PrimaryAppointer } from '../failover/primary_appointer.js';
import { PrimaryHealthReports } from '../failover/primary_health_reports.js';
import { PersistentConnections } from '../failover/persistent_connections.js';
import { LEASE_MS, STALE_LEADER_MS } from '../leases/lease_times.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { InstanceConnector } from '../instance/instance_connection.js';
import type { RoutingDocumentReader } from '../catalog/route_table.js';
import type { PlacementRules } from '../placement/placement_rules.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import { OperationsInFlight } from '../../runtime/operations_in_flight.js';
import type { Clock, MessageBody, Runtime, Timer } from '../../runtime/runtime.js';
import { AddressClaims } from './address_claim.js';
import { AllowanceService } from './allowance_service.js';
import { CatalogService } from './catalog_service.js';
import { isInTouch } from './cluster_contact.js';
import { PrimaryPositionCache } from './primary_position_cache.js';
import { SlowStartHolders } from './slow_start_holders.js';
import { SyncService } from './sync_service.js';

export interface AppointedControlOptions {
  /** Name under which this process holds the appointment lease. */
  readonly name: string;
  /** Address for messages of other processes. */
  readonly address: string;
  /** Addresses of the control machines to contact first. */
  readonly seeds: readonly string[];
  /**
   * Whether this is the very first start of the whole system, so that this machine may found the
   * cluster.
   */
  readonly isFirstStart: boolean;
  /** Number of voting members to maintain. */
  readonly voterCount: number;
  /** Opens connections to instances. */
  readonly connector: InstanceConnector;
  /** Calls the platform to appoint a primary. */
  readonly appointer: PrimaryAppointer;
  readonly log: DecisionLog;
  /** Parses routing documents. */
  readonly documents: RoutingDocumentReader;
  /** Rules for enforcing the operation limits of tenants. */
  readonly quotaRules: QuotaRules;
  /** Rules for where requests may go. */
  readonly placementRules: PlacementRules;
}

/**
 * Timing of control machines that appoint primaries. Election timeouts are shorter than the default
 * because proxies wait for leases. The values suit machines of one region and are tested with two
 * regions 30 ms apart in test/simulation/elections.test.ts.
 */
export const APPOINTED_RAFT_OPTIONS: RaftOptions = {
  ...DEFAULT_RAFT_OPTIONS,
  heartbeatMs: 100,
  electionTimeoutMs: 300,
  initialElectionTimeoutMs: 120,
};

/**
 * Upkeep removes expired proxies, refreshes the proxy directory and assigns missing slow-start
 * holders.
 */
const UPKEEP_INTERVAL_MS = 500;
/** Interval of checks for primaries whose position is requested but not known. */
const POSITION_PROBE_INTERVAL_MS = 100;

/** Dependencies that most parts share. */
interface SharedDependencies {
  readonly clock: Clock;
  readonly node: RaftNode;
  readonly catalog: Catalog;
  readonly propose: Proposer;
  readonly log: DecisionLog;
}

export class AppointedControl {
  private readonly ledger = new LeaseLedger();
  private readonly monitor = new InstanceMonitor();
  private readonly health = new PrimaryHealthReports();
  private readonly document: NewestDocument;
  private readonly positions: PrimaryPositionCache;
  private readonly slowStarts: SlowStartHolders;
  private readonly syncService: SyncService;
  private readonly allowanceService: AllowanceService;
  private readonly catalogService: CatalogService;
  /** Decides when a call to the platform may be sent. */
  readonly permits: AppointmentPermits;
  private readonly appointmentLease: AppointmentLease;
  private readonly persistentConnections: PersistentConnections;
  private readonly caughtUp: CaughtUpInstances;
  private readonly departures: DepartureMonitor;
  /** Positions that account for lost evidence. */
  readonly watermarks: CommitWatermarks;
  private readonly controller: FailoverController;
  private readonly joiner: ClusterJoiner;
  private seeds: readonly string[];
  /** Requests of other processes that are being answered, without long polls. */
  private readonly requests = new OperationsInFlight();
  /** Whether this member serves proxies as the leader. */
  private isServing = false;
  private upkeepTimer: Timer | undefined;
  private positionTimer: Timer | undefined;

  private constructor(
    readonly node: RaftNode,
    readonly catalog: Catalog,
    private readonly runtime: Runtime,
    private readonly options: AppointedControlOptions,
  ) {
    const { clock } = runtime;
    const { connector, log, documents } = options;
    const { ledger, monitor, health } = this;
    const isLeading = (): boolean => node.isReadyLeader;
    const propose: Proposer = (command) => this.propose(command);
    const shared = { clock, node, catalog, propose, log };
    this.seeds = options.seeds;
    this.positions = new PrimaryPositionCache(clock, catalog, connector, isLeading);
    this.document = new NewestDocument(catalog, documents, log);
    this.slowStarts = this.makeSlowStarts(shared);
    const { positions, slowStarts } = this;
    this.syncService = new SyncService({ ...shared, ledger, health, positions, slowStarts });
    this.allowanceService = new AllowanceService({ ...shared, documents }, options.quotaRules);
    this.catalogService = this.makeCatalogService(shared);
    const holdsLeaderLease = (): boolean => node.holdsLeaderLease;
    this.permits = new AppointmentPermits({ clock, catalog, holdsLeaderLease });
    this.appointmentLease = this.makeAppointmentLease(propose);
    const { appointmentLease } = this;
    this.persistentConnections = new PersistentConnections({
      clock,
      catalog,
      connector,
      isLeading,
    });
    const administrator = new InstanceAdministrator(
      connector,
      this.persistentConnections,
      () => node.holdsLeaderLease,
    );
    this.caughtUp = new CaughtUpInstances({ ...shared, administrator, isLeading });
    this.departures = new DepartureMonitor({ ...shared, connector, isLeading });
    this.watermarks = new CommitWatermarks({
      ...shared,
      administrator,
      positionRequestedAfter: (group, epoch, time) => positions.requestedAfter(group, epoch, time),
      isLeading,
    });
    const { caughtUp, departures, watermarks, document } = this;
    const { regionByZone } = options.placementRules;
    const appointment = { administrator, appointmentLease, isLeading };
    const evidence = { ledger, monitor, caughtUp, departures, watermarks };
    const context = { ...shared, ...appointment, ...evidence, document, regionByZone };
    this.controller = new FailoverController(context, monitor, health);
    this.joiner = this.makeJoiner();
  }

  /** Reads the durable state and creates all parts; nothing is sent before `start`. */
  static async open(runtime: Runtime, options: AppointedControlOptions): Promise<AppointedControl> {
    const identity = await loadIdentity(runtime);
    const log = await RaftLog.open(runtime.folder);
    const catalog = new Catalog();
    const observer: RaftObserver = {
      onRole: (role, term) => {
        options.log(Events.roleChanged, { role, term });
        if (role === 'leader') control.beginLeadership();
      },
      onLeadership: () => control.onLeadership(),
    };
    const raftOptions = APPOINTED_RAFT_OPTIONS;
    const { address } = options;
    const node = new RaftNode(identity, address, runtime, log, catalog, raftOptions, observer);
    const control = new AppointedControl(node, catalog, runtime, options);
    return control;
  }

  /** Joins the cluster and starts serving. */
  async start(): Promise<void> {
    this.runtime.messenger.serve((body) => this.handle(body));
    await this.joiner.prepare();
    this.node.start();
    this.joiner.start();
    this.controller.start();
    this.persistentConnections.start();
    this.caughtUp.start();
    this.departures.start();
    this.watermarks.start();
    this.scheduleUpkeep();
    this.schedulePositionProbes();
  }

  /** Resolves once the requests of other processes that were read are answered, except long polls. */
  drain(): Promise<void> {
    return this.requests.settled();
  }

  /** Stops all parts, and refuses the long polls of proxies. */
  stop(): void {
    this.upkeepTimer?.cancel();
    this.positionTimer?.cancel();
    this.controller.stop();
    this.caughtUp.stop();
    this.departures.stop();
    this.watermarks.stop();
    this.persistentConnections.stop();
    this.joiner.stop();
    this.node.stop();
    this.syncService.stop();
  }

  /** Replaces the control machine addresses after a change of settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /**
   * Whether a heartbeat of an instance of a service may change the catalog, as far as this machine
   * knows.
   */
  expectsHeartbeat(id: string, service: string): boolean {
    return isHeartbeatExpected(service, this.catalog.instance(id), this.document.table);
  }

  /**
   * Zones in the settings, zones of present instances, and zones for which an operator gave an
   * order.
   */
  get knownZones(): ReadonlySet<string> {
    const { presentInstances, evacuations } = this.catalog;
    const reportedZones = [...presentInstances, ...evacuations].map(({ zone }) => zone ?? '');
    const named = [...this.options.placementRules.regionByZone.keys(), ...reportedZones];
    return new Set(named.filter((zone) => zone !== ''));
  }

  /** Changes or reads the catalog, here or at the leader. */
  submit(request: whinyoke.ICatalogRequest): Promise<whinyoke.ICatalogReply> {
    return this.catalogService.submit(request);
  }

  /** Handles a message of another process. */
  async handle(body: MessageBody): Promise<MessageBody> {
    if (body.syncRequest) return { syncReply: await this.syncService.sync(body.syncRequest) };
    return this.requests.track(this.answer(body));
  }

  private async answer(body: MessageBody): Promise<MessageBody> {
    if (body.catalogRequest) {
      return { catalogReply: await this.catalogService.handle(body.catalogRequest) };
    }
    if (body.allowanceRequest) {
      return { allowanceReply: await this.allowanceService.answer(body.allowanceRequest) };
    }
    if (body.appointRequest) {
      return { appointReply: await this.appointmentLease.onRequest(body.appointRequest) };
    }
    if (body.appointPermitRequest) {
      const { appointPermitRequest } = body;
      return { appointPermitReply: this.appointmentLease.onPermitRequest(appointPermitRequest) };
    }
    if (body.appointCallEndRequest) {
      const { appointCallEndRequest } = body;
      return { appointCallEndReply: await this.appointmentLease.onCallEnd(appointCallEndRequest) };
    }
    if (body.joinRequest) return { joinReply: await this.joiner.onJoin(body.joinRequest) };
    return this.node.handle(body);
  }

  private makeCatalogService(shared: SharedDependencies): CatalogService {
    const { monitor, runtime, catalog } = this;
    const { clock, messenger } = runtime;
    const claims = new AddressClaims(clock, catalog, monitor, this.options.connector);
    return new CatalogService({ ...shared, messenger, monitor, claims });
  }

  private makeSlowStarts(shared: SharedDependencies): SlowStartHolders {
    const { node } = shared;
    const { document } = this;
    const { placementRules } = this.options;
    return new SlowStartHolders({
      ...shared,
      isLeading: () => node.isReadyLeader,
      regionOf: (zone) => placementRules.regionByZone.get(zone),
      slowStartOf: (group) => document.table?.limitsByGroup.get(group)?.slowStart,
    });
  }

  private makeAppointmentLease(propose: Proposer): AppointmentLease {
    const { catalog, node, options, permits } = this;
    const { name, address, appointer, log } = options;
    const { messenger, clock } = this.runtime;
    return new AppointmentLease({
      self: { name, address },
      clock,
      catalog,
      messenger,
      appointer,
      propose,
      permits,
      term: () => node.currentTerm,
      isLeading: () => node.role === 'leader',
      leaderAddress: () => node.leaderAddress,
      isInTouch: (holder) => isInTouch(node, holder),
      log,
    });
  }

  private makeJoiner(): ClusterJoiner {
    const { isFirstStart: mayBootstrap, voterCount } = this.options;
    return new ClusterJoiner(this.node, this.runtime, () => this.seeds, {
      recoversAsSingleMember: false,
      usesAddressesAsIds: false,
      elastic: { mayBootstrap, voterCount },
    });
  }

  private beginLeadership(): void {
    const now = this.runtime.clock.now();
    this.ledger.beginLeadership(now + LEASE_MS + STALE_LEADER_MS, now);
    this.monitor.beginLeadership(now);
    this.controller.beginLeadership();
    this.appointmentLease.beginLeadership();
    this.health.clear();
    this.positions.begin();
    this.allowanceService.begin();
    this.slowStarts.begin();
    this.isServing = false;
  }

  private onLeadership(): void {
    const startsServing = this.node.isReadyLeader && !this.isServing;
    if (startsServing) this.beginServing();
    this.syncService.onLeadershipChanged();
  }

  /** Called once all entries committed by former leaders are applied. */
  private beginServing(): void {
    this.isServing = true;
    this.syncService.begin();
    // Proxies that have just started can't read from replicas before they know positions of the
    // primaries.
    this.positions.recordDemand();
    void this.positions.probeMissing().then(() => this.syncService.answerAllWaiting());
  }

  private async propose(command: whinyoke.ICatalogCommand): Promise<whinyoke.CatalogResult> {
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return whinyoke.CatalogResult.decode(await this.node.propose(bytes));
  }

  private scheduleUpkeep(): void {
    this.upkeepTimer = this.runtime.clock.setTimer(UPKEEP_INTERVAL_MS, () => {
      // A removal that fails changes nothing; the next upkeep on the current leader proposes it
      // again.
      if (this.node.isReadyLeader) this.syncService.maintain().catch(() => undefined);
      this.slowStarts.assignMissingHolders();
      this.scheduleUpkeep();
    });
  }

  private schedulePositionProbes(): void {
    this.positionTimer = this.runtime.clock.setTimer(POSITION_PROBE_INTERVAL_MS, () => {
      void this.positions.probeMissing();
      this.schedulePositionProbes();
    });
  }
}
