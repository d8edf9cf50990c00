/**
 * Serves proxies that request operations of rate-limited tenants, on the leader.
 * `src/appointed/tenancy/operation_ledger.ts` decides how many are granted.
 *
 * After a leader change, the new leader does not know which operations proxies still hold from
 * former leaders, so this service tracks which proxies have not reported theirs yet. Changing the
 * successor reserve needs a majority. If that fails, it is logged, and the tenant's callers wait
 * for the next request.
 */
import { inflateSource } from '../catalog/document_source.js';
import type { Catalog } from '../catalog/catalog.js';
import type { RaftNode } from '../../consensus/raft_node.js';
import { messageOf } from '../../errors/errors.js';
import type { Proposer } from '../failover/appointment_lease.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { RoutingDocumentReader } from '../catalog/route_table.js';
import type { Clock } from '../../runtime/runtime.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import {
  type AllowanceDemand,
  type SuccessorReserveChange,
  OperationLedger,
} from '../tenancy/operation_ledger.js';
import { type OperationLimit, TenantDirectory } from '../tenancy/tenant.js';
import { toLeasedWireRate, fromWireRate } from '../tenancy/wire_rate.js';

const REFUSAL: whinyoke.IAllowanceReply = { accepted: false };
/** The first change lowers a reserve to a part of the bucket, the second one to zero. */
const MAX_RESERVE_CHANGES = 2;

export interface AllowanceServiceDependencies {
  readonly clock: Clock;
  /** This machine's consensus member. */
  readonly node: RaftNode;
  /** The replicated state. */
  readonly catalog: Catalog;
  /** Parses routing documents. */
  readonly documents: RoutingDocumentReader;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
  readonly log: DecisionLog;
}

interface LimitedDemand extends AllowanceDemand {
  readonly tenant: string;
  readonly limit: OperationLimit;
}

export class AllowanceService {
  private readonly ledger: OperationLedger;
  /** Newest request sequence of each incarnation of a proxy. */
  private readonly sequences = new Map<string, number>();
  /**
   * Incarnation of each proxy that may hold operations granted by former leaders and has not
   * reported them; undefined until this leader's first request.
   */
  private unreportedIncarnations: Map<string, string> | undefined;
  /** Start, on this machine's clock, of each incarnation that holds no grants of former leaders. */
  private readonly freshSince = new Map<string, number>();
  private hasRecordedFreshStart = false;
  private leadershipStartedAt = 0;
  private pendingCommit: Promise<void> | undefined;
  private tenants = new TenantDirectory([]);
  private tenantsVersion = 0;

  constructor(
    private readonly dependencies: AllowanceServiceDependencies,
    rules: QuotaRules,
  ) {
    const { catalog } = dependencies;
    this.ledger = new OperationLedger(rules, (tenant) => catalog.successorReserveOf(tenant));
  }

  /** Starts a leadership. */
  begin(): void {
    this.leadershipStartedAt = this.dependencies.clock.now();
    this.ledger.beginLeadership(this.leadershipStartedAt);
    this.sequences.clear();
    this.freshSince.clear();
    this.hasRecordedFreshStart = false;
    this.unreportedIncarnations = undefined;
  }

  /** Answers one request. */
  async answer(request: whinyoke.IAllowanceRequest): Promise<whinyoke.IAllowanceReply> {
    const { node } = this.dependencies;
    const proxy = request.proxy ?? '';
    const incarnation = request.incarnation ?? '';
    const incarnationKey = incarnationKeyOf({ id: proxy, incarnation });
    if (!node.isReadyLeader || !this.isRegistered(proxy, incarnation)) return REFUSAL;
    const sequence = request.sequence ?? 0;
    if (sequence <= (this.sequences.get(incarnationKey) ?? 0)) return REFUSAL;
    this.sequences.set(incarnationKey, sequence);
    this.readTenants();
    const demands = (request.demands ?? []).flatMap((demand) => this.toLimitedDemands(demand));
    const term = node.currentTerm;
    await this.lowerSuccessorReserves(demands);
    if (!node.isReadyLeader || node.currentTerm !== term) return REFUSAL;
    this.recordReportedReserves(proxy, incarnation, request.complete ?? false);
    const needsFreshness = this.recordFreshness(incarnationKey, request, term);
    const now = this.dependencies.clock.now();
    const isWaitingOnly = request.waitingOnly ?? false;
    const allowances = demands.map((demand) => {
      const { tenant, limit } = demand;
      const allowance = isWaitingOnly
        ? this.ledger.answerWaiting(tenant, limit, demand.waiting, now)
        : this.ledger.answer(incarnationKey, tenant, limit, demand, now);
      return { tenant, ...allowance, rate: toLeasedWireRate(allowance.rate) };
    });
    void this.commitSuccessorReserves();
    const needsAll = this.unreportedIncarnations?.get(proxy) === incarnation || needsFreshness;
    return { accepted: true, allowances, term, needsAll };
  }

  /**
   * Only a registered incarnation may hold grants, so that a successor knows whose reports it
   * needs.
   */
  private isRegistered(proxy: string, incarnation: string): boolean {
    const entry = this.dependencies.catalog.proxy(proxy);
    return entry !== undefined && (entry.incarnation ?? '') === incarnation;
  }

  /**
   * Records the report of an incarnation, complete or partial. Once all proxies have reported, the
   * ledger grants reserves again, which proxies may use without a request.
   */
  private recordReportedReserves(proxy: string, incarnation: string, isComplete: boolean): void {
    const { catalog, clock, log, node } = this.dependencies;
    if (!this.unreportedIncarnations) {
      const registeredIncarnations = catalog.proxies.map(
        (entry) => [entry.id ?? '', entry.incarnation ?? ''] as const,
      );
      this.unreportedIncarnations = new Map(registeredIncarnations);
      log(Events.allowancesBegun, { term: node.currentTerm, runs: registeredIncarnations.length });
    }
    if (this.unreportedIncarnations.size === 0) return;
    const isCurrentIncarnation = this.unreportedIncarnations.get(proxy) === incarnation;
    if (isComplete && isCurrentIncarnation) this.unreportedIncarnations.delete(proxy);
    for (const [other, otherIncarnation] of this.unreportedIncarnations) {
      if (!this.isRegistered(other, otherIncarnation)) this.unreportedIncarnations.delete(other);
    }
    if (this.unreportedIncarnations.size > 0) return;
    this.ledger.recordAllReservesKnown();
    log(Events.allowancesKnown, {
      term: node.currentTerm,
      after_ms: Math.round(clock.now() - this.leadershipStartedAt),
    });
  }

  /**
   * Records the age of an incarnation that accepts only replies of this leader. Returns whether the
   * incarnation must repeat it, because it did not know this leader yet and might have accepted a
   * reply of a former one.
   */
  private recordFreshness(
    incarnationKey: string,
    request: whinyoke.IAllowanceRequest,
    term: number,
  ): boolean {
    const { freshMs, freshTerm } = request;
    if (!freshMs || this.hasRecordedFreshStart) return false;
    if (freshTerm === term) this.recordFreshStart(incarnationKey, freshMs - 1);
    return freshTerm === 0;
  }

  /**
   * If all incarnations started without grants, as after a total power loss, only this leader's
   * grants count since then.
   */
  private recordFreshStart(incarnationKey: string, ageMs: number): void {
    const { catalog, clock, log, node } = this.dependencies;
    this.freshSince.set(incarnationKey, clock.now() - ageMs);
    const startTimes = catalog.proxies.map((entry) => this.freshSince.get(incarnationKeyOf(entry)));
    if (startTimes.includes(undefined)) return;
    this.hasRecordedFreshStart = true;
    const since = Math.max(...startTimes.map((begin) => begin ?? Infinity));
    this.ledger.recordOnlyOwnGrantsSince(since);
    log(Events.allowancesFresh, {
      term: node.currentTerm,
      runs: startTimes.length,
      before_ms: Math.round(this.leadershipStartedAt - since),
    });
  }

  private toLimitedDemands(demand: whinyoke.ITenantDemand): LimitedDemand[] {
    const tenant = demand.tenant ?? '';
    const limit = this.tenants.findByName(tenant)?.limit;
    // The proxy and this machine know different documents; the proxy asks again.
    if (!limit) return [];
    const { waiting, returned, held, wantedReserve, heldRate, wantedRate, heldMost } = demand;
    return [
      {
        tenant,
        limit,
        waiting: waiting ?? 0,
        returned: returned ?? 0,
        held: held ?? 0,
        wantedReserve: wantedReserve ?? 0,
        heldRate: fromWireRate(heldRate),
        wantedRate: fromWireRate(wantedRate),
        heldMost: heldMost ?? 0,
      },
    ];
  }

  private async lowerSuccessorReserves(demands: readonly LimitedDemand[]): Promise<void> {
    for (let change = 0; change < MAX_RESERVE_CHANGES; change++) {
      const now = this.dependencies.clock.now();
      const blocked = demands.filter(({ tenant, limit, waiting }) =>
        this.ledger.needsLowerSuccessorReserve(tenant, limit, waiting, now),
      );
      if (blocked.length === 0) return;
      await this.commitSuccessorReserves();
    }
  }

  /** Commits all pending changes of successor reserves in one log entry; one entry at a time. */
  private async commitSuccessorReserves(): Promise<void> {
    while (this.pendingCommit) await this.pendingCommit;
    const changes = this.ledger.takeSuccessorReserveChanges();
    if (changes.length === 0) return;
    this.pendingCommit = this.write(changes);
    await this.pendingCommit;
  }

  private async write(changes: readonly SuccessorReserveChange[]): Promise<void> {
    const { propose, log } = this.dependencies;
    try {
      await propose({ putFloors: { floors: [...changes] } });
      this.ledger.recordCommitted(changes);
    } catch (error) {
      log(Events.catalogChangeFailed, { kind: 'floors', reason: messageOf(error) });
    } finally {
      this.pendingCommit = undefined;
    }
  }

  /** Parses the tenants of the newest document, once per version. */
  private readTenants(): void {
    const { catalog, documents } = this.dependencies;
    const { document, documentVersion } = catalog;
    if (!document || documentVersion === this.tenantsVersion) return;
    this.tenants = documents.read(inflateSource(document)).tenants;
    this.tenantsVersion = documentVersion;
  }
}

/** Key of one incarnation of a proxy. */
function incarnationKeyOf({ id, incarnation }: whinyoke.IProxyEntry): string {
  return `${id ?? ''}\n${incarnation ?? ''}`;
}
