/**
 * DECISION: the leader's account of what each tenant may run: one token bucket a tenant, a part of which lies with proxies as
 * reserves. Owns the accounts of one leadership; relies on the replicated log for the successor's reserve of each tenant,
 * which may fail to be committed: then nothing below the present one is granted.
 *
 * Answers: the operations of all tenants through all proxies, with one answer a trip and proxy.
 * Inputs: a proxy's demands (operations), the limit and the budget of the tenant, the leader's clock (ms).
 * Rule: requests that wait are granted first, down to the successor's reserve. Proxies' reserves are filled from the upper
 * part of the bucket only, so that they take nothing from requests that wait, and not at all while former leaders may have
 * granted reserves that this one does not know.
 * Shown by: docs/design/quota.md, and 1,000 drawn schedules in test/unit/tenancy.test.ts.
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

/** What one proxy asks for one tenant. */
export interface AllowanceDemand {
  /** Requests that wait. */
  readonly waiting: number;
  /** Operations that were counted or held and will not run. */
  readonly returned: number;
  /** Reserve that it holds now. */
  readonly held: number;
  /** Reserve that it would like to hold. */
  readonly wantedReserve: number;
  /** Leased rate that it keeps, in operations a second. */
  readonly heldRate?: number;
  /** Rate that it would like to have leased, in operations a second. */
  readonly wantedRate?: number;
  /** Operations up to which a leased rate that it keeps fills the reserve. */
  readonly heldMost?: number;
}

/** What a proxy may do. */
export interface Allowance {
  /** Waiting requests that may run. */
  readonly granted: number;
  /** Operations added to the reserve. */
  readonly added: number;
  /** When those that were not granted should come back, in milliseconds; 0 when all were granted. */
  readonly retryAfterMs: number;
  /** Rate that fills the reserve up again until it ends, in operations a second. */
  readonly rate: number;
  /** Operations up to which it does. */
  readonly most: number;
}

/** A successor's reserve that the log should hold. */
export interface SuccessorReserveChange {
  readonly tenant: string;
  readonly operations: number;
}

/** Reads the successor's reserve of a tenant in the log; undefined while nothing was ever granted to the tenant. */
export type SuccessorReserveReader = (tenant: string) => number | undefined;

/** Fraction of the leader's bucket that proxies' reserves leave for requests that wait. Guess, not measured. */
const KEPT_FOR_WAITING_FRACTION = 0.5;

/** Ledger of one leader. */
export class OperationLedger {
  private readonly accounts = new Map<string, TenantAccount>();
  private leadershipBeganAt = 0;
  /** From when on the rate adds to the buckets. */
  private refillsFrom = 0;
  /** Whether former leaders may have granted reserves that this one does not know. */
  private hasUnknownReserves = false;
  private readonly pendingReserveChanges = new Map<string, number>();

  constructor(
    private readonly rules: QuotaRules,
    private readonly committedReserve: SuccessorReserveReader,
  ) {}

  /**
   * Begins a leadership. The successor's reserve of a tenant is read with the first answer for it; all that was committed
   * before must be applied then.
   */
  beginLeadership(now: number): void {
    this.accounts.clear();
    this.pendingReserveChanges.clear();
    this.leadershipBeganAt = now;
    // A former leader may go on for a moment, with what it has above the reserve and what the rate brings meanwhile.
    this.refillsFrom = now + LEADER_OVERLAP_MS;
    this.hasUnknownReserves = true;
  }

  /** All reserves of former leaders are known: each run that may hold some has reported it, or has ended. */
  recordAllReservesKnown(): void {
    this.hasUnknownReserves = false;
  }

  /**
   * Only operations that this leader granted ran since `since`: all proxies have started after that, and none was granted anything by
   * another leader. So the rate adds from then on.
   */
  recordOnlyOwnGrantsSince(since: number): void {
    const gainedMs = Math.max(0, this.refillsFrom - since);
    this.refillsFrom -= gainedMs;
    for (const account of this.accounts.values()) account.extendRefill(gainedMs);
  }

  /** Whether a demand has to wait until the successor's reserve of its tenant is lower. */
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

  /** Successors' reserves that the log should hold, since the last call. Those that rise are in force from now on. */
  takeSuccessorReserveChanges(): readonly SuccessorReserveChange[] {
    const changes = [...this.pendingReserveChanges].map(([tenant, operations]) => ({
      tenant,
      operations,
    }));
    this.pendingReserveChanges.clear();
    return changes;
  }

  /** The log holds these reserves. */
  recordCommitted(changes: readonly SuccessorReserveChange[]): void {
    for (const { tenant, operations } of changes) {
      this.accounts.get(tenant)?.setSuccessorReserve(operations);
    }
  }

  /** Answers one run of a proxy for one tenant. */
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
   * Answers requests that wait, and nothing else. Not an `answer` to a demand without reserves: that would record that the
   * run holds none, and would review the successor's reserve.
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

  /** The part of the rate that is not leased, in operations a second; no more than that while leases are unknown. */
  private unleasedRate(
    account: TenantAccount,
    { ratePerSecond }: OperationLimit,
    { leasableRate }: QuotaBudget,
    now: number,
  ): number {
    if (!this.knowsAllReserves(now)) return ratePerSecond - leasableRate;
    return Math.max(0, ratePerSecond - account.grantedExcept(undefined, now).rate);
  }

  /** Once all reserves are known, the leader's part may grow into what no proxy holds. */
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
    // Nothing was ever granted to a tenant without a successor's reserve, so its bucket is full; but the log must hold one
    // before the first grant.
    const reserve = Math.min(this.committedReserve(tenant) ?? Infinity, leaderCapacity);
    return new TenantAccount(reserve, this.refillsFrom, reserve, ratePerSecond - leasableRate);
  }

  /**
   * Reserves are filled from the upper part of the bucket only, so that they take nothing from requests that wait. While
   * reserves of former leaders are unknown, those that proxies hold may be kept and none are added.
   */
  private addReserve(
    account: TenantAccount,
    proxyIncarnation: string,
    { held, wantedReserve }: AllowanceDemand,
    { leaderCapacity, reserveCapacity }: QuotaBudget,
    now: number,
  ): number {
    if (!this.knowsAllReserves(now)) return 0;
    const most = reserveCapacity - account.grantedExcept(proxyIncarnation, now).count - held;
    return account.withdraw(
      Math.min(wantedReserve - held, most),
      leaderCapacity * KEPT_FOR_WAITING_FRACTION,
    );
  }

  /** What a run has leased is never taken away before its end; more is leased only once all leases are known. */
  private leaseRate(
    account: TenantAccount,
    proxyIncarnation: string,
    { heldRate = 0, wantedRate = 0 }: AllowanceDemand,
    { leasableRate }: QuotaBudget,
    now: number,
  ): number {
    if (!this.knowsAllReserves(now)) return heldRate;
    const most = leasableRate - account.grantedExcept(proxyIncarnation, now).rate;
    return Math.max(heldRate, Math.min(wantedRate, most));
  }

  /**
   * Operations up to which a run's reserve counts. A leased rate that finds no room in the reserve is lost, so there is room
   * beside what the leader has left, also where that is nothing.
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

  /** A higher successor's reserve is in force at once, a lower one when it is committed. */
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
