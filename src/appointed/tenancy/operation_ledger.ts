/**
 * The leader's ledger of operations: one token bucket per tenant, part of which is granted to proxies as reserves. Waiting
 * requests are granted first, down to the successor reserve. Reserves of proxies are filled from the upper part of the
 * bucket only, so that they take nothing from waiting requests, and not at all while former leaders may have granted
 * reserves that this leader does not know.
 *
 * The successor reserve of each tenant is stored in the replicated log. If a lower value cannot be committed, nothing below
 * the committed one is granted. docs/design/quota.md contains the proof; test/unit/tenancy.test.ts checks it with generated
 * schedules.
 */
import {
  LEADER_OVERLAP_MS,
  type QuotaBudget,
  type QuotaRules,
  RESERVE_LEASE_MS,
  quotaBudget,
} from './operation_budget.js';
import { loweredReserve, adjustedReserve } from './successor_reserve.js';
import { TenantAccount } from './tenant_account.js';
import type { OperationLimit } from './tenant.js';

/** Demand of one proxy for one tenant. */
export interface AllowanceDemand {
  /** Number of waiting requests. */
  readonly waiting: number;
  /** Operations that were counted or granted and will not run. */
  readonly returned: number;
  /** Current reserve. */
  readonly held: number;
  /** Wanted reserve. */
  readonly wantedReserve: number;
  /** Leased rate that the proxy keeps, in operations/s. */
  readonly heldRate?: number;
  /** Wanted leased rate, in operations/s. */
  readonly wantedRate?: number;
  /** Maximum size to which the kept leased rate refills the reserve. */
  readonly heldMost?: number;
}

/** Reply to a demand. */
export interface Allowance {
  /** Number of waiting requests that may run. */
  readonly granted: number;
  /** Operations added to the reserve. */
  readonly added: number;
  /** When requests that were not granted should be retried; 0 if all were granted. */
  readonly retryAfterMs: number;
  /** Leased rate that refills the reserve until it expires, in operations/s. */
  readonly rate: number;
  /** Maximum size to which the leased rate refills the reserve. */
  readonly most: number;
}

/** A successor reserve to be written to the replicated log. */
export interface SuccessorReserveChange {
  readonly tenant: string;
  readonly operations: number;
}

/** Reads the committed successor reserve of a tenant; undefined if nothing was ever granted to the tenant. */
export type SuccessorReserveReader = (tenant: string) => number | undefined;

/** Fraction of the leader's part that is not granted as reserves, but kept for waiting requests. */
const KEPT_FOR_WAITING_FRACTION = 0.5;

/** Operation ledger of one leader. */
export class OperationLedger {
  private readonly accounts = new Map<string, TenantAccount>();
  private leadershipBeganAt = 0;
  /** Start of the refill of new accounts. */
  private refillsFrom = 0;
  /** Whether former leaders may have granted reserves that this leader does not know. */
  private hasUnknownReserves = false;
  private readonly pendingReserveChanges = new Map<string, number>();

  constructor(
    private readonly rules: QuotaRules,
    private readonly committedReserve: SuccessorReserveReader,
  ) {}

  /**
   * Resets the ledger for a new leadership. The successor reserve of a tenant is read on the first request for it; all
   * entries committed before must have been applied by then.
   */
  beginLeadership(now: number): void {
    this.accounts.clear();
    this.pendingReserveChanges.clear();
    this.leadershipBeganAt = now;
    // Until then a former leader may still grant what it has above the successor reserve, and its refill.
    this.refillsFrom = now + LEADER_OVERLAP_MS;
    this.hasUnknownReserves = true;
  }

  /** Every proxy process that may have a reserve granted by a former leader has reported it or has ended. */
  recordAllReservesKnown(): void {
    this.hasUnknownReserves = false;
  }

  /**
   * Only operations granted by this leader ran after `since`: all proxies started later and were granted nothing by
   * another leader. The refill therefore counts from `since`.
   */
  recordOnlyOwnGrantsSince(since: number): void {
    const gainedMs = Math.max(0, this.refillsFrom - since);
    this.refillsFrom -= gainedMs;
    for (const account of this.accounts.values()) account.extendRefill(gainedMs);
  }

  /** Whether a demand must wait until a lower successor reserve of its tenant is committed. */
  needsLowerSuccessorReserve(
    tenant: string,
    limit: OperationLimit,
    waiting: number,
    now: number,
  ): boolean {
    const budget = quotaBudget(limit, this.rules);
    const account = this.refilledAccount(tenant, limit, budget, now);
    if (account.successorReserve === 0 || account.free >= waiting) return false;
    this.pendingReserveChanges.set(tenant, loweredReserve(account, waiting, budget.leaderCapacity));
    return true;
  }

  /** Successor reserves to write to the log, since the last call. Raised ones are already in force. */
  takeSuccessorReserveChanges(): readonly SuccessorReserveChange[] {
    const changes = [...this.pendingReserveChanges].map(([tenant, operations]) => ({
      tenant,
      operations,
    }));
    this.pendingReserveChanges.clear();
    return changes;
  }

  /** Applies successor reserves that were committed. */
  recordCommitted(changes: readonly SuccessorReserveChange[]): void {
    for (const { tenant, operations } of changes) {
      this.accounts.get(tenant)?.setSuccessorReserve(operations);
    }
  }

  /** Answers the demand of one proxy process for one tenant. */
  answer(
    proxyIncarnation: string,
    tenant: string,
    limit: OperationLimit,
    demand: AllowanceDemand,
    now: number,
  ): Allowance {
    const budget = quotaBudget(limit, this.rules);
    const account = this.refilledAccount(tenant, limit, budget, now);
    account.add(demand.returned, this.maxAtLeader(account, budget, now));
    const grant = this.grant(account, demand.waiting);
    const added = this.addReserve(account, proxyIncarnation, demand, budget, now);
    const rate = this.leaseRate(account, proxyIncarnation, demand, budget, now);
    const most = this.maxGranted(account, proxyIncarnation, demand, added, rate, budget, now);
    account.recordReserve(proxyIncarnation, { count: most, rate }, now);
    account.setRate(this.unleasedRate(account, limit, budget, now));
    this.adjustSuccessorReserve(tenant, account, budget);
    return { ...grant, added, rate, most };
  }

  /**
   * Grants waiting requests only. Unlike `answer` with an empty reserve, it neither records that the proxy has no reserve
   * nor adjusts the successor reserve.
   */
  answerWaiting(tenant: string, limit: OperationLimit, waiting: number, now: number): Allowance {
    const budget = quotaBudget(limit, this.rules);
    const account = this.refilledAccount(tenant, limit, budget, now);
    return { ...this.grant(account, waiting), added: 0, rate: 0, most: 0 };
  }

  private grant(
    account: TenantAccount,
    waiting: number,
  ): Pick<Allowance, 'granted' | 'retryAfterMs'> {
    const granted = account.withdraw(waiting);
    const isShort = granted < waiting;
    const retryAfterMs = isShort ? Math.ceil(account.nextOperationAfterMs()) : 0;
    return { granted, retryAfterMs };
  }

  private refilledAccount(
    tenant: string,
    limit: OperationLimit,
    budget: QuotaBudget,
    now: number,
  ): TenantAccount {
    let account = this.accounts.get(tenant);
    if (!account) {
      account = this.openAccount(tenant, limit, budget);
      this.accounts.set(tenant, account);
    }
    account.refill(this.maxAtLeader(account, budget, now), now);
    account.setRate(this.unleasedRate(account, limit, budget, now));
    return account;
  }

  /** Rate that is not leased, in operations/s; while leases are unknown, assumes that all leasable rate is leased. */
  private unleasedRate(
    account: TenantAccount,
    { ratePerSecond }: OperationLimit,
    { leasableRate }: QuotaBudget,
    now: number,
  ): number {
    if (!this.knowsAllReserves(now)) return ratePerSecond - leasableRate;
    return Math.max(0, ratePerSecond - account.grantedExcept(undefined, now).rate);
  }

  /** Once all reserves are known, the leader's part may use the capacity that no proxy uses. */
  private maxAtLeader(
    account: TenantAccount,
    { capacity, leaderCapacity }: QuotaBudget,
    now: number,
  ): number {
    return this.knowsAllReserves(now)
      ? capacity - account.grantedExcept(undefined, now).count
      : leaderCapacity;
  }

  private knowsAllReserves(now: number): boolean {
    const unknownUntil = this.leadershipBeganAt + LEADER_OVERLAP_MS + RESERVE_LEASE_MS;
    return !this.hasUnknownReserves || now >= unknownUntil;
  }

  private openAccount(
    tenant: string,
    { ratePerSecond }: OperationLimit,
    { leaderCapacity, leasableRate }: QuotaBudget,
  ): TenantAccount {
    // Without a committed successor reserve nothing was ever granted, so the bucket is full; but one must be committed
    // before the first grant.
    const reserve = Math.min(this.committedReserve(tenant) ?? Infinity, leaderCapacity);
    return new TenantAccount(reserve, this.refillsFrom, reserve, ratePerSecond - leasableRate);
  }

  /**
   * Fills a reserve from the upper part of the bucket only, so that it takes nothing from waiting requests. While reserves
   * of former leaders are unknown, proxies keep theirs and nothing is added.
   */
  private addReserve(
    account: TenantAccount,
    proxyIncarnation: string,
    { held, wantedReserve }: AllowanceDemand,
    { leaderCapacity, reserveCapacity }: QuotaBudget,
    now: number,
  ): number {
    if (!this.knowsAllReserves(now)) return 0;
    const maxAdded = reserveCapacity - account.grantedExcept(proxyIncarnation, now).count - held;
    return account.withdraw(
      Math.min(wantedReserve - held, maxAdded),
      leaderCapacity * KEPT_FOR_WAITING_FRACTION,
    );
  }

  /** A leased rate is never reduced before it expires, and is raised only once all leases are known. */
  private leaseRate(
    account: TenantAccount,
    proxyIncarnation: string,
    { heldRate = 0, wantedRate = 0 }: AllowanceDemand,
    { leasableRate }: QuotaBudget,
    now: number,
  ): number {
    if (!this.knowsAllReserves(now)) return heldRate;
    const maxLeased = leasableRate - account.grantedExcept(proxyIncarnation, now).rate;
    return Math.max(heldRate, Math.min(wantedRate, maxLeased));
  }

  /**
   * Maximum size of a proxy's reserve. It leaves room for the leased rate, which is lost while the reserve is full, even if
   * the leader has nothing to add.
   */
  private maxGranted(
    account: TenantAccount,
    proxyIncarnation: string,
    demand: AllowanceDemand,
    added: number,
    rate: number,
    { capacity, reserveCapacity }: QuotaBudget,
    now: number,
  ): number {
    const minGranted = Math.max(demand.held + added, demand.heldMost ?? 0);
    if (rate === 0 || !this.knowsAllReserves(now)) return minGranted;
    const { count } = account.grantedExcept(proxyIncarnation, now);
    const room = Math.min(
      reserveCapacity - count,
      Math.floor(capacity - count - account.operations),
    );
    return Math.max(minGranted, Math.min(demand.wantedReserve, room));
  }

  /** A raised successor reserve takes effect immediately, a lowered one once it is committed. */
  private adjustSuccessorReserve(
    tenant: string,
    account: TenantAccount,
    { leaderCapacity }: QuotaBudget,
  ): void {
    const wanted = adjustedReserve(account, leaderCapacity);
    if (wanted === undefined) return;
    if (wanted > account.successorReserve) account.setSuccessorReserve(wanted);
    this.pendingReserveChanges.set(tenant, wanted);
  }
}
