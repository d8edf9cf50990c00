/**
 * Model of a leader's ledger, its replicated log, and issuers that use grants as unfavourably as the protocol permits. Used
 * to test the bound on the operations of one tenant.
 */
import {
  LEADER_OVERLAP_MS,
  RESERVE_LEASE_MS,
  GRANT_VALIDITY_MS,
} from '../../src/appointed/tenancy/operation_budget.js';
import {
  type Allowance,
  type AllowanceDemand,
  OperationLedger,
} from '../../src/appointed/tenancy/operation_ledger.js';
import type { OperationLimit } from '../../src/appointed/tenancy/tenant.js';

/** Rules of the modelled deployment. */
export const RULES = { windowMs: 5000, overage: 0.1, tolerance: 20 };
/** Number of issuers. */
export const PROXY_COUNT = 5;

/** A leader that writes the successor reserve of one tenant to the replicated log. */
export class QuotaLeader {
  /** The ledger under test. */
  readonly ledger: OperationLedger;
  /** Proxies that have reported their reserves. */
  readonly reportedProxies = new Set<number>();

  constructor(
    private readonly log: Map<string, number>,
    readonly beganAt: number,
  ) {
    this.ledger = new OperationLedger(RULES, (tenant) => log.get(tenant));
    this.ledger.beginLeadership(beganAt);
  }

  /** Answers as the service does. A change of the successor reserve that is not committed has no effect. */
  answer(
    proxy: number,
    limit: OperationLimit,
    demand: AllowanceDemand,
    now: number,
    commits: boolean,
  ): Allowance {
    if (this.ledger.needsLowerSuccessorReserve('ana', limit, demand.waiting, now))
      this.write(commits);
    const allowance = this.ledger.answer(`p${proxy}`, 'ana', limit, demand, now);
    this.write(commits);
    return allowance;
  }

  /** Records that a proxy has reported its reserves. */
  recordReport(proxy: number): void {
    this.reportedProxies.add(proxy);
    if (this.reportedProxies.size === PROXY_COUNT) this.ledger.recordAllReservesKnown();
  }

  private write(commits: boolean): void {
    const changes = this.ledger.takeSuccessorReserveChanges();
    if (!commits) return;
    for (const { tenant, operations } of changes) this.log.set(tenant, operations);
    this.ledger.recordCommitted(changes);
  }
}

/** Reserve and leased rate of one issuer. */
interface ModelReserve {
  readonly count: number;
  readonly most: number;
  readonly rate: number;
  readonly at: number;
  readonly until: number;
}

const NOTHING_HELD: ModelReserve = { count: 0, most: 0, rate: 0, at: 0, until: 0 };

/** One request of an issuer, and how it uses its reserve. */
export interface QuotaStep {
  readonly proxy: number;
  readonly waiting: number;
  readonly wantedReserve: number;
  readonly wantedRate: number;
  /** The whole reserve is used immediately after the reply. */
  readonly usesWholeReserve: boolean;
  /** All operations that accrued from the leased rate since the last request were used as they accrued. */
  readonly usesLeasedRate: boolean;
  readonly asksFormerLeader: boolean;
  readonly isReplyLost: boolean;
  readonly commits: boolean;
}

/** Issuers, leaders and the times at which operations ran. */
export class QuotaFleet {
  /** Current time in milliseconds. */
  now = 10_000;
  private runs: number[] = [];
  private readonly reserves = new Map<number, ModelReserve>();
  private readonly log = new Map<string, number>();
  private leader = new QuotaLeader(this.log, this.now);
  private formerLeader: QuotaLeader | undefined;

  constructor(private readonly limit: OperationLimit) {}

  /** Elects another leader. The former one may still answer for a while. */
  elect(): void {
    this.formerLeader = this.leader;
    this.leader = new QuotaLeader(this.log, this.now);
  }

  /** Restarts all processes; a leader is elected `forMs` later. */
  losePower(forMs: number): void {
    const lostAt = this.now;
    this.now += forMs;
    this.elect();
    this.formerLeader = undefined;
    this.reserves.clear();
    this.runs = this.runs.map((ranAt) => Math.min(ranAt, lostAt));
    for (let each = 0; each < PROXY_COUNT; each++) this.leader.recordReport(each);
    this.leader.ledger.recordOnlyOwnGrantsSince(lostAt);
  }

  /** Sends a request of an issuer, and uses its reserve. */
  ask(step: QuotaStep): void {
    const { now, limit, leader } = this;
    const { proxy, waiting, wantedReserve, wantedRate } = step;
    const own = this.useRate(proxy, step.usesLeasedRate);
    const available = availableOf(own, now);
    const held = Math.min(Math.ceil(available), wantedReserve);
    const heldRate = Math.min(own.until > now ? own.rate : 0, wantedRate);
    const returned = Math.max(0, Math.floor(available - held));
    const heldMost = heldRate > 0 ? Math.max(held, Math.min(own.most, wantedReserve)) : held;
    const rates = { heldRate, wantedRate, heldMost };
    const demand = { waiting, returned, held, wantedReserve, ...rates };
    const asked = this.leaderAskedBy(step);
    if (asked === leader) leader.recordReport(proxy);
    const answer = asked.answer(proxy, limit, demand, now, step.commits && asked === leader);
    const kept = {
      count: Math.min(available, held),
      most: heldMost,
      rate: heldRate,
      at: now,
    };
    if (step.isReplyLost) {
      this.reserves.set(proxy, { ...kept, until: own.until });
      return;
    }
    this.recordRuns(answer.granted);
    const count = kept.count + answer.added;
    const spent = step.usesWholeReserve ? Math.floor(count) : 0;
    this.recordRuns(spent);
    const lease = { rate: answer.rate, at: now, until: now + RESERVE_LEASE_MS };
    this.reserves.set(proxy, { count: count - spent, most: answer.most, ...lease });
  }

  /** Lets an issuer that reaches no leader use its whole reserve. */
  useAll(proxy: number): void {
    const own = this.useRate(proxy, true);
    const count = Math.floor(availableOf(own, this.now));
    this.recordRuns(count);
    this.reserves.set(proxy, { ...own, count: own.count - count, at: this.now });
  }

  /** Whether any window contains more operations than allowed. */
  get exceedsLimit(): boolean {
    const { ratePerSecond, burst } = this.limit;
    const perWindow = (ratePerSecond * RULES.windowMs) / 1000 + burst;
    const maxOperations = perWindow * (1 + RULES.overage) + RULES.tolerance;
    const times = this.runs.sort((left, right) => left - right);
    return times.some((begin, index) => {
      const end = times.findLastIndex((time) => time < begin + RULES.windowMs);
      return end - index + 1 > maxOperations;
    });
  }

  /** A former leader may still answer for a while, but cannot commit, and proxies that reported to the new one never ask it. */
  private leaderAskedBy({ proxy, asksFormerLeader }: QuotaStep): QuotaLeader {
    const { leader, formerLeader, now } = this;
    const mayAskFormer =
      now - leader.beganAt < LEADER_OVERLAP_MS && !leader.reportedProxies.has(proxy);
    return asksFormerLeader && mayAskFormer && formerLeader ? formerLeader : leader;
  }

  /** Operations run immediately, or at the latest time at which a grant to a waiting request is valid. */
  private recordRuns(count: number): void {
    for (let index = 0; index < count; index++) {
      this.runs.push(this.now + (index % 2) * GRANT_VALIDITY_MS);
    }
  }

  private useRate(proxy: number, usesLeasedRate: boolean): ModelReserve {
    const own = this.reserves.get(proxy) ?? NOTHING_HELD;
    if (!usesLeasedRate) return own;
    const usedMs = Math.max(0, Math.min(this.now, own.until) - own.at);
    const count = own.most < 1 ? 0 : Math.floor((own.rate * usedMs) / 1000);
    for (let index = 1; index <= count; index++) this.runs.push(own.at + (index * 1000) / own.rate);
    return { ...own, at: this.now };
  }
}

function availableOf({ count, most, rate, at, until }: ModelReserve, now: number): number {
  return now < until ? Math.min(most, count + (rate * (now - at)) / 1000) : 0;
}
