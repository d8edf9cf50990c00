/**
 * The leader's account of what each tenant may run: one token bucket a tenant, a part of which lies with proxies as
 * reserves. See docs/design/quota.md for the bound and its proof.
 *
 * For each tenant the replicated log holds a floor: the leader leaves so many operations in the bucket. A successor begins
 * with them, so it grants at once and needs to know nothing of what was granted before.
 */
import {
  LEADER_OVERLAP_MS,
  type QuotaBudget,
  type QuotaRules,
  RESERVE_LIFE_MS,
  quotaBudget,
} from './operation_budget.js';
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

/** A floor that the log should hold. */
export interface FloorChange {
  readonly tenant: string;
  readonly operations: number;
}

/** Part of the leader's bucket that is not used for reserves. */
const KEPT_PART = 0.5;
/**
 * Part of the leader's bucket that a successor finds, as long as the tenant is below its limit: enough for the time in which
 * its rate adds nothing, since the former leader may go on ({@link LEADER_OVERLAP_MS}).
 */
const FLOOR_PART = 0.6;
/** A bucket that is filled above this part gets its floor back. */
const FULL_PART = 0.9;
/** A floor ends before requests have to wait for that: when so little above it is free, as a part of the bucket. */
const EARLY_PART = 0.1;

/** Reads the floor of a tenant in the log; undefined while nothing was ever granted to it. */
export type FloorReader = (tenant: string) => number | undefined;

/** Ledger of one leader. */
export class OperationLedger {
  private readonly accounts = new Map<string, TenantAccount>();
  private begunAt = 0;
  /** Whether former leaders may have granted reserves that this one does not know. */
  private hasUnknownReserves = false;
  private readonly wantedFloors = new Map<string, number>();

  constructor(
    private readonly rules: QuotaRules,
    private readonly committedFloor: FloorReader,
  ) {}

  /** Begins a leadership. Floors are read with the first answer for a tenant; all that was committed before must be applied then. */
  begin(now: number): void {
    this.accounts.clear();
    this.wantedFloors.clear();
    this.begunAt = now;
    this.hasUnknownReserves = true;
  }

  /** All reserves of former leaders are known: each run that may hold some has told it, or has ended. */
  noteAllKnown(): void {
    this.hasUnknownReserves = false;
  }

  /** Whether a demand has to wait until the floor of its tenant is lower. */
  needsLowerFloor(tenant: string, limit: OperationLimit, waiting: number, now: number): boolean {
    const budget = quotaBudget(limit, this.rules);
    const account = this.refilled(tenant, limit, budget, now);
    if (account.floor === 0 || account.free >= waiting) return false;
    this.wantedFloors.set(tenant, this.lowerFloor(account, budget));
    return true;
  }

  /** Floors that the log should hold, since the last call. Those that rise are in force from now on. */
  takeFloorChanges(): readonly FloorChange[] {
    const changes = [...this.wantedFloors].map(([tenant, operations]) => ({ tenant, operations }));
    this.wantedFloors.clear();
    return changes;
  }

  /** The log holds these floors. */
  noteCommitted(changes: readonly FloorChange[]): void {
    for (const { tenant, operations } of changes) this.accounts.get(tenant)?.setFloor(operations);
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
    this.reviewFloor(tenant, account, budget);
    return { ...grant, added };
  }

  /** Answers requests that wait, and nothing else. */
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
      // Nobody ever granted anything to a tenant without a floor, so its bucket is full; but the log must tell first
      // that this has changed.
      const floor = Math.min(this.committedFloor(tenant) ?? Infinity, budget.bucket);
      // A former leader may go on for a moment, with what it has above the floor and what the rate brings meanwhile.
      account = new TenantAccount(floor, this.begunAt + LEADER_OVERLAP_MS, floor);
      this.accounts.set(tenant, account);
    }
    account.refill(limit.ratePerSecond, budget, now);
    return account;
  }

  /**
   * Reserves are filled from the upper half of the bucket only, so that they take nothing from requests that wait. While
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
    return account.take(Math.min(wantedReserve - held, most), bucket * KEPT_PART);
  }

  /** Lowers the floor before somebody has to wait for that, and raises it when the bucket is full again. */
  private reviewFloor(tenant: string, account: TenantAccount, budget: QuotaBudget): void {
    const { bucket } = budget;
    const usual = Math.floor(bucket * FLOOR_PART);
    if (account.floor > 0 && account.free < bucket * EARLY_PART) {
      this.wantedFloors.set(tenant, this.lowerFloor(account, budget));
    } else if (account.floor < usual && account.operations >= bucket * FULL_PART) {
      account.setFloor(usual);
      this.wantedFloors.set(tenant, usual);
    }
  }

  /** The usual floor where the bucket holds enough above it, none otherwise. */
  private lowerFloor(account: TenantAccount, { bucket }: QuotaBudget): number {
    const usual = Math.floor(bucket * FLOOR_PART);
    const isAmple = account.operations - usual >= bucket * EARLY_PART && account.floor > usual;
    return isAmple ? usual : 0;
  }
}
