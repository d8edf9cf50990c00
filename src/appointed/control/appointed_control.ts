/** A control machine for groups whose primary is appointed: catalog, leases, changes of primary. */
import { Catalog } from '../catalog/catalog.js';
import { RaftLog } from '../../consensus/raft_log.js';
import { RaftNode } from '../../consensus/raft_node.js';
import { DEFAULT_RAFT_OPTIONS, type RaftOptions } from '../../consensus/raft_options.js';
import { ClusterJoiner, loadIdentity } from '../../consensus/cluster_joiner.js';
import { AppointmentLease, type Proposer } from '../failover/appointment_lease.js';
import { FailoverController } from '../failover/failover_controller.js';
import { InstanceAdministrator } from '../failover/instance_administrator.js';
import { InstanceMonitor } from '../failover/instance_monitor.js';
import { LeaseLedger } from '../failover/lease_ledger.js';
import type { PrimaryAppointer } from '../failover/primary_appointer.js';
import { PrimaryHealthBoard } from '../failover/primary_health_board.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { InstanceConnector } from '../instance/instance_connection.js';
import type { RoutingDocumentReader } from '../catalog/route_table.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import type { MessageBody, Runtime, Timer } from '../../runtime/runtime.js';
import { StallDetector } from '../../runtime/stall_detector.js';
import { AddressClaims } from './address_claim.js';
import { AllowanceService } from './allowance_service.js';
import { CatalogService } from './catalog_service.js';
import { PositionBoard } from './position_board.js';
import { LEASE_MS, SyncService } from './sync_service.js';

/** Identity and surroundings of a control machine. */
export interface AppointedControlOptions {
  /** Name under which this process holds the appointment duty. */
  readonly name: string;
  /** Address for messages of other processes. */
  readonly address: string;
  /** Addresses of control machines to begin with. */
  readonly seeds: readonly string[];
  /** Whether this is the very first start of the whole system. */
  readonly isFirstStart: boolean;
  /** Number of voting members to keep. */
  readonly voters: number;
  readonly connector: InstanceConnector;
  readonly appointer: PrimaryAppointer;
  readonly log: DecisionLog;
  readonly documents: RoutingDocumentReader;
  /** How limits on operations of tenants are judged. */
  readonly quotaRules: QuotaRules;
  readonly raft?: Partial<RaftOptions>;
}

/** Timing of control machines that appoint primaries, in milliseconds. */
export const APPOINTED_RAFT_OPTIONS: RaftOptions = {
  ...DEFAULT_RAFT_OPTIONS,
  heartbeatMs: 100,
  electionTimeoutMs: 300,
  earlyElectionMs: 120,
};
const UPKEEP_MS = 500;
/** How often the leader looks for primaries whose position is wanted and not known, in milliseconds. */
const POSITIONS_MS = 100;
/** A former leader may go on granting leases for this long after it lost its majority; milliseconds. */
const STALE_LEADER_MS = 1000;
/**
 * After it stood still a member waits this long before it acts on what it knew, in milliseconds: a leader sends news every
 * 100 ms.
 */
const AFTER_STALL_MS = 1000;
/** A control machine that answered within this time is in touch, in milliseconds. */
const CONTACT_MS = 1000;

/** One control machine. */
export class AppointedControl {
  private readonly catalogService: CatalogService;
  private readonly syncService: SyncService;
  private readonly allowanceService: AllowanceService;
  private readonly controller: FailoverController;
  private readonly duty: AppointmentLease;
  private readonly ledger = new LeaseLedger();
  private readonly monitor = new InstanceMonitor();
  private readonly board = new PrimaryHealthBoard();
  private readonly positions: PositionBoard;
  private readonly joiner: ClusterJoiner;
  private seeds: readonly string[];
  /** Whether this member serves proxies as the leader. */
  private isServing = false;
  private readonly stalls: StallDetector;
  private upkeep: Timer | undefined;
  private positionTimer: Timer | undefined;

  private constructor(
    readonly node: RaftNode,
    readonly catalog: Catalog,
    private readonly runtime: Runtime,
    private readonly options: AppointedControlOptions,
  ) {
    const { clock, messenger } = runtime;
    const propose: Proposer = (command) => this.propose(command);
    this.stalls = new StallDetector(clock);
    this.seeds = options.seeds;
    this.positions = new PositionBoard(
      clock,
      catalog,
      options.connector,
      () => node.leadsWithState,
    );
    this.syncService = new SyncService({
      clock,
      node,
      catalog,
      ledger: this.ledger,
      health: this.board,
      positions: this.positions,
      propose,
    });
    const { documents, log: decisionLog } = options;
    this.allowanceService = new AllowanceService(
      { clock, node, catalog, documents, propose, log: decisionLog },
      options.quotaRules,
    );
    this.catalogService = new CatalogService(
      clock,
      messenger,
      node,
      catalog,
      this.monitor,
      new AddressClaims(clock, catalog, this.monitor, options.connector),
      propose,
      options.log,
    );
    const { name, address, appointer, log, connector } = options;
    this.duty = new AppointmentLease(
      { name, address },
      catalog,
      messenger,
      appointer,
      propose,
      (other) => this.isInTouch(other),
      () => this.knowsDuty(),
    );
    const context = {
      clock,
      catalog,
      ledger: this.ledger,
      administrator: new InstanceAdministrator(connector),
      duty: this.duty,
      propose,
      log,
      isLeading: () => node.leadsWithState,
    };
    this.controller = new FailoverController(context, this.monitor, this.board);
    this.joiner = new ClusterJoiner(node, runtime, () => this.seeds, {
      recoverAlone: false,
      trustsAddresses: false,
      elastic: { mayFound: options.isFirstStart, voters: options.voters },
    });
  }

  /** Reads the durable state and prepares everything; nothing is sent before `start`. */
  static async open(runtime: Runtime, options: AppointedControlOptions): Promise<AppointedControl> {
    const identity = await loadIdentity(runtime);
    const log = await RaftLog.open(runtime.folder);
    const catalog = new Catalog();
    const raftOptions = { ...APPOINTED_RAFT_OPTIONS, ...options.raft };
    const node: RaftNode = new RaftNode(
      identity,
      options.address,
      runtime,
      log,
      catalog,
      raftOptions,
      {
        onRole: (role, term) => {
          options.log(Events.roleChanged, { role, term });
          if (role === 'leader') coordinator.beginLeadership();
        },
        onLeadership: () => coordinator.onLeadership(),
      },
    );
    const coordinator = new AppointedControl(node, catalog, runtime, options);
    return coordinator;
  }

  /** Joins the cluster and serves. */
  async start(): Promise<void> {
    this.runtime.messenger.serve((body) => this.handle(body));
    await this.joiner.prepare();
    this.node.start();
    this.stalls.start();
    this.joiner.start();
    this.controller.start();
    this.runUpkeep();
    this.askForPositions();
  }

  /** Stops serving. */
  stop(): void {
    this.upkeep?.cancel();
    this.positionTimer?.cancel();
    this.controller.stop();
    this.stalls.stop();
    this.joiner.stop();
    this.node.stop();
  }

  /** Takes over control machines of changed settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
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
      return { appointReply: await this.duty.onRequest(body.appointRequest) };
    }
    if (body.joinRequest) return { joinReply: await this.joiner.onJoin(body.joinRequest) };
    return this.node.handle(body);
  }

  private beginLeadership(): void {
    const now = this.runtime.clock.now();
    this.ledger.begin(now + LEASE_MS + STALE_LEADER_MS, now);
    this.monitor.begin(now);
    this.board.clear();
    this.positions.begin();
    this.allowanceService.begin();
    this.isServing = false;
  }

  private onLeadership(): void {
    const isFirst = this.node.leadsWithState && !this.isServing;
    if (isFirst) this.beginServing();
    this.syncService.leadershipChanged();
  }

  /** Everything that was committed before is applied. */
  private beginServing(): void {
    this.isServing = true;
    this.syncService.begin();
    // Proxies that have just started read nothing from replicas before they know positions of the primaries.
    this.positions.noteWanted();
    void this.positions.askMissing().then(() => this.syncService.tellAll());
  }

  private async propose(command: whinyoke.ICatalogCommand): Promise<whinyoke.CatalogResult> {
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return whinyoke.CatalogResult.decode(await this.node.propose(bytes));
  }

  /** A leader has proof; any other member must have run without a stall, and have heard of its leader lately. */
  private knowsDuty(): boolean {
    if (this.node.role === 'leader') return this.node.leadsWithState;
    const since = this.runtime.clock.now() - AFTER_STALL_MS;
    return this.node.hasQuorum && !this.stalls.hasStalledSince(since);
  }

  private isInTouch(address: string): boolean {
    const member = this.node.membership.members.findLast((item) => item.address === address);
    return member !== undefined && this.node.contactAge(member.id) < CONTACT_MS;
  }

  private runUpkeep(): void {
    this.upkeep = this.runtime.clock.setTimer(UPKEEP_MS, () => {
      // A removal that fails is tried again at the next upkeep, by whoever leads then.
      if (this.node.leadsWithState) this.syncService.maintain().catch(() => undefined);
      this.runUpkeep();
    });
  }

  private askForPositions(): void {
    this.positionTimer = this.runtime.clock.setTimer(POSITIONS_MS, () => {
      void this.positions.askMissing();
      this.askForPositions();
    });
  }
}
