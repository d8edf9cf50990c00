/**
 * A control machine for groups whose primary is appointed: puts its parts together and hands messages to them.
 *
 * - `sync_service.ts`: registers proxies, grants leases, sends what is new
 * - `allowance_service.ts`: grants operations of limited tenants
 * - `catalog_service.ts`: changes and reads of the catalog by operators and instances
 * - `primary_position_cache.ts`: newest positions of the primaries
 * - `cluster_contact.ts`: which other control machines answer
 * - `src/appointed/failover`: failed primaries, changes of primary, the appointment lease
 * - `src/consensus`: the replicated log and the place of this machine in the cluster
 *
 * Owns the timers of upkeep and whether this machine serves as the leader. Relies on the other control machines, the disk,
 * the instances and the platform's appointment call; any of them may fail.
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
import { CaughtUpInstances } from '../failover/caught_up_instances.js';
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
import type { Clock, MessageBody, Runtime, Timer } from '../../runtime/runtime.js';
import { AddressClaims } from './address_claim.js';
import { AllowanceService } from './allowance_service.js';
import { CatalogService } from './catalog_service.js';
import { ClusterContact } from './cluster_contact.js';
import { PrimaryPositionCache } from './primary_position_cache.js';
import { SlowStartHolders } from './slow_start_holders.js';
import { SyncService } from './sync_service.js';

/** Identity and surroundings of a control machine. */
export interface AppointedControlOptions {
  /** Name under which this process holds the appointment lease. */
  readonly name: string;
  /** Address for messages of other processes. */
  readonly address: string;
  /** Addresses of control machines to begin with. */
  readonly seeds: readonly string[];
  /** Whether this is the very first start of the whole system. */
  readonly isFirstStart: boolean;
  /** Number of voting members to keep. */
  readonly voterCount: number;
  /** Opens connections to instances. */
  readonly connector: InstanceConnector;
  /** Calls the platform to appoint a primary. */
  readonly appointer: PrimaryAppointer;
  /** Takes log lines of decisions. */
  readonly log: DecisionLog;
  /** Reads routing documents. */
  readonly documents: RoutingDocumentReader;
  /** How limits on operations of tenants are judged. */
  readonly quotaRules: QuotaRules;
  /** Bounds on where requests go. */
  readonly placementRules: PlacementRules;
}

/**
 * Timing of control machines that appoint primaries, in milliseconds; see `src/consensus/election_timer.ts`. Shorter election
 * timeouts than the default, since proxies wait for leases. Guesses for machines of one region; held against two regions
 * 30 ms apart in test/simulation/elections.test.ts.
 */
export const APPOINTED_RAFT_OPTIONS: RaftOptions = {
  ...DEFAULT_RAFT_OPTIONS,
  heartbeatMs: 100,
  electionTimeoutMs: 300,
  initialElectionTimeoutMs: 120,
};
/** Time between two rounds of upkeep (removal of silent proxies, the directory), in milliseconds. A guess, not measured. */
const UPKEEP_INTERVAL_MS = 500;
/** Time between two looks for primaries whose position is wanted and not known, in milliseconds. A guess, not measured. */
const POSITION_PROBE_INTERVAL_MS = 100;
/** What most parts need of the machine. */
interface SharedDependencies {
  readonly clock: Clock;
  readonly node: RaftNode;
  readonly catalog: Catalog;
  readonly propose: Proposer;
  readonly log: DecisionLog;
}

/** One control machine. */
export class AppointedControl {
  private readonly ledger = new LeaseLedger();
  private readonly monitor = new InstanceMonitor();
  private readonly health = new PrimaryHealthReports();
  private readonly contact: ClusterContact;
  private readonly document: NewestDocument;
  private readonly positions: PrimaryPositionCache;
  private readonly slowStarts: SlowStartHolders;
  private readonly syncService: SyncService;
  private readonly allowanceService: AllowanceService;
  private readonly catalogService: CatalogService;
  private readonly appointmentLease: AppointmentLease;
  private readonly standing: PersistentConnections;
  private readonly caughtUp: CaughtUpInstances;
  private readonly controller: FailoverController;
  private readonly joiner: ClusterJoiner;
  private seeds: readonly string[];
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
    this.contact = new ClusterContact(node, clock);
    this.positions = new PrimaryPositionCache(clock, catalog, connector, isLeading);
    this.document = new NewestDocument(catalog, documents, log);
    this.slowStarts = this.makeSlowStarts(shared);
    const { positions, slowStarts } = this;
    this.syncService = new SyncService({ ...shared, ledger, health, positions, slowStarts });
    this.allowanceService = new AllowanceService({ ...shared, documents }, options.quotaRules);
    this.catalogService = this.makeCatalogService(shared);
    this.appointmentLease = this.makeAppointmentLease(propose);
    const { appointmentLease } = this;
    this.standing = new PersistentConnections({ clock, catalog, connector, isLeading });
    const administrator = new InstanceAdministrator(connector, this.standing);
    this.caughtUp = new CaughtUpInstances({ ...shared, administrator, isLeading });
    const { caughtUp, document } = this;
    const { regionByZone } = options.placementRules;
    const appointment = { administrator, appointmentLease, isLeading };
    const evidence = { ledger, monitor, caughtUp };
    const context = { ...shared, ...appointment, ...evidence, document, regionByZone };
    this.controller = new FailoverController(context, monitor, health);
    this.joiner = this.makeJoiner();
  }

  /** Reads the durable state and prepares everything; nothing is sent before `start`. */
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

  /** Joins the cluster and serves. */
  async start(): Promise<void> {
    this.runtime.messenger.serve((body) => this.handle(body));
    await this.joiner.prepare();
    this.node.start();
    this.contact.start();
    this.joiner.start();
    this.controller.start();
    this.standing.start();
    this.caughtUp.start();
    this.scheduleUpkeep();
    this.schedulePositionProbes();
  }

  /** Stops serving. */
  stop(): void {
    this.upkeepTimer?.cancel();
    this.positionTimer?.cancel();
    this.controller.stop();
    this.caughtUp.stop();
    this.standing.stop();
    this.contact.stop();
    this.joiner.stop();
    this.node.stop();
  }

  /** Takes over control machines of changed settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Whether a heartbeat of an instance of a service may change the catalog, as far as this machine knows. */
  expectsHeartbeat(id: string, service: string): boolean {
    return isHeartbeatExpected(service, this.catalog.instance(id), this.document.table);
  }

  /** Zones of the settings, of present instances, and those on which an operator gave an order. */
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

  /** Answers a message of another process. */
  async handle(body: MessageBody): Promise<MessageBody> {
    if (body.syncRequest) return { syncReply: await this.syncService.sync(body.syncRequest) };
    if (body.catalogRequest) {
      return { catalogReply: await this.catalogService.handle(body.catalogRequest) };
    }
    if (body.allowanceRequest) {
      return { allowanceReply: await this.allowanceService.answer(body.allowanceRequest) };
    }
    if (body.appointRequest) {
      return { appointReply: await this.appointmentLease.onRequest(body.appointRequest) };
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
    const { catalog, contact, options } = this;
    const { name, address, appointer } = options;
    const { messenger } = this.runtime;
    const self = { name, address };
    return new AppointmentLease({ self, catalog, messenger, appointer, propose, contact });
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

  /** Everything that was committed before is applied. */
  private beginServing(): void {
    this.isServing = true;
    this.syncService.begin();
    // Proxies that have just started read nothing from replicas before they know positions of the primaries.
    this.positions.recordDemand();
    void this.positions.probeMissing().then(() => this.syncService.answerAllWaiting());
  }

  private async propose(command: whinyoke.ICatalogCommand): Promise<whinyoke.CatalogResult> {
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return whinyoke.CatalogResult.decode(await this.node.propose(bytes));
  }

  private scheduleUpkeep(): void {
    this.upkeepTimer = this.runtime.clock.setTimer(UPKEEP_INTERVAL_MS, () => {
      // A removal that fails changes nothing; the next upkeep proposes it again, on the machine that leads then.
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
