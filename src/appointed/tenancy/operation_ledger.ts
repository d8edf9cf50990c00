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
  RESERVE_LIFE_MS,
  quotaBudget,
} from './operation_budget.js';
import { loweredReserve, reviewedReserve } from './successor_reserve.js';
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
}

/** What a proxy may do. */
export interface Allowance {
  /** Waiting requests that may run. */
  readonly granted: number;
  /** Operations added to the reserve. */
  readonly added: number;
  /** When those that were not granted should come back, in milliseconds; 0 when all were granted. */
  readonly retryAfterMs: number;
}

/** A successor's reserve that the log should hold. */
export interface SuccessorReserveChange {
  readonly tenant: string;
  readonly operations: number;
}

/** Reads the successor's reserve of a tenant in the log; undefined while nothing was ever granted to the tenant. */
export type SuccessorReserveReader = (tenant: string) => number | undefined;

/** Fraction of the leader's bucket that proxies' reserves leave for requests that wait. Guess, not measured. */
const KEPT_FRACTION = 0.5;

/** Ledger of one leader. */
export class OperationLedger {
  private readonly accounts = new Map<string, TenantAccount>();
  private begunAt = 0;
  /** Whether former leaders may have granted reserves that this one does not know. */
  private hasUnknownReserves = false;
  private readonly wantedChanges = new Map<string, number>();

  constructor(
    private readonly rules: QuotaRules,
    private readonly committedReserve: SuccessorReserveReader,
  ) {}

  /**
   * Begins a leadership. The successor's reserve of a tenant is read with the first answer for it; all that was committed
   * before must be applied then.
   */
  begin(now: number): void {
    this.accounts.clear();
    this.wantedChanges.clear();
    this.begunAt = now;
    this.hasUnknownReserves = true;
  }

  /** All reserves of former leaders are known: each run that may hold some has reported it, or has ended. */
  noteAllKnown(): void {
    this.hasUnknownReserves = false;
  }

  /** Whether a demand has to wait until the successor's reserve of its tenant is lower. */
  needsLowerSuccessorReserve(
    tenant: string,
    limit: OperationLimit,
    waiting: number,
    now: number,
  ): boolean {
    const budget = quotaBudget(limit, this.rules);
    const account = this.refilled(tenant, limit, budget, now);
    if (account.successorReserve === 0 || account.free >= waiting) return false;
    this.wantedChanges.set(tenant, loweredReserve(account, budget.bucket));
    return true;
  }

  /** Successors' reserves that the log should hold, since the last call. Those that rise are in force from now on. */
  takeSuccessorReserveChanges(): readonly SuccessorReserveChange[] {
    const changes = [...this.wantedChanges].map(([tenant, operations]) => ({ tenant, operations }));
    this.wantedChanges.clear();
    return changes;
  }

  /** The log holds these reserves. */
  noteCommitted(changes: readonly SuccessorReserveChange[]): void {
    for (const { tenant, operations } of changes) {
      this.accounts.get(tenant)?.setSuccessorReserve(operations);
    }
  }

  /** Answers one run of a proxy for one tenant. */
  answer(
    run: string,
    tenant: string,
    limit: OperationLimit,
    demand: AllowanceDemand,
    now: number,
  ): Allowance {
    const budget = quotaBudget(limit, this.rules);
    const account = this.refilled(tenant, limit, budget, now);
    account.putBack(demand.returned, budget);
    const grant = this.grant(account, limit, demand.waiting);
    const added = this.addReserve(account, run, demand, budget, now);
    account.hold(run, demand.held + added, now);
    this.reviewSuccessorReserve(tenant, account, budget);
    return { ...grant, added };
  }

  /**
   * Answers requests that wait, and nothing else. Not an `answer` to a demand without reserves: that would record that the
   * run holds none, and would review the successor's reserve.
   */
  answerWaiting(tenant: string, limit: OperationLimit, waiting: number, now: number): Allowance {
    const budget = quotaBudget(limit, this.rules);
    const account = this.refilled(tenant, limit, budget, now);
    return { ...this.grant(account, limit, waiting), added: 0 };
  }

  private grant(
    account: TenantAccount,
    limit: OperationLimit,
    waiting: number,
  ): Omit<Allowance, 'added'> {
    const granted = account.take(waiting);
    const isShort = granted < waiting;
    const retryAfterMs = isShort ? Math.ceil(account.nextAfter(limit.ratePerSecond)) : 0;
    return { granted, retryAfterMs };
  }

  private refilled(
    tenant: string,
    limit: OperationLimit,
    budget: QuotaBudget,
    now: number,
  ): TenantAccount {
    let account = this.accounts.get(tenant);
    if (!account) {
      account = this.openAccount(tenant, budget);
      this.accounts.set(tenant, account);
    }
    account.refill(limit.ratePerSecond, budget, now);
    return account;
  }

  private openAccount(tenant: string, { bucket }: QuotaBudget): TenantAccount {
    // Nothing was ever granted to a tenant without a successor's reserve, so its bucket is full; but the log must hold one
    // before the first grant.
    const reserve = Math.min(this.committedReserve(tenant) ?? Infinity, bucket);
    // A former leader may go on for a moment, with what it has above the reserve and what the rate brings meanwhile.
    return new TenantAccount(reserve, this.begunAt + LEADER_OVERLAP_MS, reserve);
  }

  /**
   * Reserves are filled from the upper part of the bucket only, so that they take nothing from requests that wait. While
   * reserves of former leaders are unknown, those that proxies hold may be kept and none are added.
   */
  private addReserve(
    account: TenantAccount,
    run: string,
    { held, wantedReserve }: AllowanceDemand,
    { bucket, reserves }: QuotaBudget,
    now: number,
  ): number {
    const unknownUntil = this.begunAt + LEADER_OVERLAP_MS + RESERVE_LIFE_MS;
    if (this.hasUnknownReserves && now < unknownUntil) return 0;
    const most = reserves - account.heldByOthers(run, now) - held;
    return account.take(Math.min(wantedReserve - held, most), bucket * KEPT_FRACTION);
  }

  /** A higher successor's reserve is in force at once, a lower one when it is committed. */
  private reviewSuccessorReserve(
    tenant: string,
    account: TenantAccount,
    { bucket }: QuotaBudget,
  ): void {
    const wanted = reviewedReserve(account, bucket);
    if (wanted === undefined) return;
    if (wanted > account.successorReserve) account.setSuccessorReserve(wanted);
    this.wantedChanges.set(tenant, wanted);
  }
}
