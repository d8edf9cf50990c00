/**
 * DECISION: what one proxy may run for one tenant: its reserve, the requests that wait, and how many are to be expected. Owns these;
 * relies on nothing that may fail.
 *
 * Answers: operations of one tenant at one proxy, none of which should wait for a trip to the leader.
 * Inputs: times of operations (ms), the tenant's budget (operations, ms), grants of the leader (operations).
 * Rule: the reserve should last for the budget's `reserveMs` at the smoothed rate of operations; it is renewed when a quarter of
 * it is used or a fifth of its life is over. An issuer's is larger, and a leased rate fills it up again until its end. What nobody expects to use goes back to the leader.
 */
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import type { RefusalCause } from '../routing/refusal_cause.js';
import {
  SUFFICIENT_RESERVE_BATCH_WINDOW_MS,
  SHORT_RESERVE_BATCH_WINDOW_MS,
  type QuotaRules,
  RESERVE_LEASE_MS,
  reachesLeaderInTime,
  quotaBudget,
} from './operation_budget.js';
import type { Allowance, AllowanceDemand } from './operation_ledger.js';
import type { OperationLimit } from './tenant.js';

/** How a request for an operation ended. */
export type GrantResult =
  | { readonly isGranted: true }
  /** Nothing may run; the caller should come back later. */
  | { readonly isGranted: false; readonly cause: RefusalCause };

/** A request that waits for an allowance. */
export interface WaitingOperation {
  /** Whether it still waits. */
  readonly isOpen: boolean;
  /** Ends the wait; a second end changes nothing. */
  settle(result: GrantResult): void;
}

/** Until when a reserve, and a leased rate, may be used. */
export interface ReserveLease {
  /** End, on the clock of the proxy that sent the request at `askedAt` by which it was renewed. */
  expiresAt(askedAt: number): number;
}

/** What the leader adds to a reserve, and how it is filled up again. */
type LeasedReserve = Pick<Allowance, 'added' | 'rate' | 'most'>;

/** Operations that are asked for at one time. */
interface RequestedOperations {
  readonly count: number;
  /** Whether this proxy is the issuer of the tenant, which holds the reserve of its zone. */
  readonly isIssuer: boolean;
}

/** The operation may run. */
export const GRANTED: GrantResult = { isGranted: true };

/** Time over which the rate of operations is smoothed, in milliseconds. Guess, not measured. */
const RATE_SMOOTHING_MS = 2000;
/**
 * A reserve is renewed when less than this fraction of its life is left: it should outlast a leader by more than two seconds. With 0.5
 * as many requests were sent (docs/design/issuers.md).
 */
const RENEWAL_FRACTION = 0.8;
/**
 * A reserve is filled up when at most this fraction of the wanted operations is left. Of 0.5 and 0.75 the second refuses less without a
 * leader, for a tenth more requests (docs/design/issuers.md).
 */
const LOW_RESERVE_FRACTION = 0.75;
/** A reserve is short with at most this fraction of the wanted operations. Guess, not measured. */
const SHORT_RESERVE_FRACTION = 0.5;
/** Below so many expected operations an issuer keeps nothing in reserve. Guess, not measured. */
const MIN_EXPECTED_AT_ISSUER_COUNT = 0.3;
/**
 * Below so many expected operations a proxy that is not the issuer keeps nothing in reserve: the reserves of many proxies
 * would leave too little to the issuers. Guess, not measured.
 */
const MIN_EXPECTED_AT_OTHERS_COUNT = 4;
/**
 * Fraction of the rate that is sure to come which an issuer has leased: a leased rate that finds the reserve full is lost to the
 * other zones. Guess, not measured.
 */
const LEASED_FRACTION = 0.9;
/**
 * By so many standard deviations the rate that is sure to come is less than the smoothed one, and an issuer's reserve more than what is
 * expected. The smoothed rate of random arrivals has the variance rate / (2 x window), with the window of 2 s a quarter of the
 * rate; two of those are its square root.
 */
const DEVIATION_COUNT = 1;
/** An issuer's reserve should last so many times longer, since few tenants use all of their rate. Guess, not measured. */
const ISSUER_HORIZON_FACTOR = 1.5;
const DEFAULT_RESERVE_LEASE: ReserveLease = { expiresAt: (askedAt) => askedAt + RESERVE_LEASE_MS };
const ONE_OPERATION_AT_ISSUER: RequestedOperations = { count: 1, isIssuer: true };

/** Allowance of one tenant at one proxy. */
export class TenantAllowance {
  /** Requests that wait for the leader. */
  readonly waiting = new Set<WaitingOperation>();
  private reserve = 0;
  private reserveExpiresAt = -Infinity;
  /** Most that the reserve may hold, as the leader counts it. */
  private maxReserve = 0;
  /** Rate that fills the reserve up to that again until it ends, in operations a second. */
  private leasedRate = 0;
  private refilledAt = 0;
  /** Most of the tenant's rate that may be leased to all. */
  private leasableRate = 0;
  private operationsPerSecond = 0;
  private rateUpdatedAt = 0;
  /** When a log line last reported that the tenant is over its limit. */
  refusalLoggedAt = -Infinity;
  /** Until when the leader has nothing for this tenant. */
  private exhaustedUntil = -Infinity;
  /** Most that all proxies together may hold. */
  private maxFleetReserve = 0;
  /** For how long a reserve should last, in milliseconds. */
  private horizonMs = 0;
  private isIssuer = true;
  /** Operations that were counted, or held, and will not run; the leader takes them back. */
  private unused = 0;
  /** When the oldest of them was counted. */
  private oldestUnusedAt = Infinity;

  constructor(
    /** Name of the tenant. */
    readonly tenant: string,
    /** When an operation was asked for last. */
    public lastRequestedAt: number,
    private readonly lease: ReserveLease = DEFAULT_RESERVE_LEASE,
  ) {}

  /** Notes operations that are asked for, with the limit in force. */
  recordRequests(
    limit: OperationLimit,
    rules: QuotaRules,
    now: number,
    { count, isIssuer }: RequestedOperations = ONE_OPERATION_AT_ISSUER,
  ): void {
    this.lastRequestedAt = now;
    this.isIssuer = isIssuer;
    this.decayRate(now);
    this.operationsPerSecond += (count * MILLISECONDS_PER_SECOND) / RATE_SMOOTHING_MS;
    const { reserveCapacity, reserveDurationMs, leasableRate } = quotaBudget(limit, rules);
    this.leasableRate = leasableRate;
    this.maxFleetReserve = reserveCapacity;
    const factor = isIssuer ? ISSUER_HORIZON_FACTOR : 1;
    this.horizonMs = Math.min(RESERVE_LEASE_MS, reserveDurationMs * factor);
  }

  /** Takes one operation out of the reserve; false when there is none. */
  takeFromReserve(now: number): boolean {
    if (this.grantedReserve(now) < 1) return false;
    this.reserve--;
    return true;
  }

  /** Whether a reserve is held that has not ended. */
  hasReserve(now: number): boolean {
    return this.grantedReserve(now) > 0 || this.heldRate(now) > 0;
  }

  /** Notes an operation that did not run. It can't be used here, since the leader counts it as used. */
  recordUnused(countedAt: number): void {
    this.unused++;
    this.oldestUnusedAt = Math.min(this.oldestUnusedAt, countedAt);
  }

  /** Milliseconds until the leader may have something again. */
  exhaustedForMs(now: number): number {
    return Math.max(0, this.exhaustedUntil - now);
  }

  /** Whether the leader should be asked, also when nothing waits. */
  shouldRequestReserve(now: number): boolean {
    const wanted = this.wantedReserve(now);
    // What nobody expects to use here would be missing elsewhere, and would be lost when it ends.
    if (this.unused > 0 || this.grantedReserve(now) > wanted) return true;
    if (wanted === 0 || this.exhaustedForMs(now) > 0) return false;
    const isLow = this.grantedReserve(now) <= wanted * LOW_RESERVE_FRACTION;
    return isLow || this.reserveExpiresAt - now < RESERVE_LEASE_MS * RENEWAL_FRACTION;
  }

  /** How long a request for the reserve may be gathered with others, in milliseconds. */
  batchWindowMs(now: number): number {
    const isShort = this.grantedReserve(now) <= this.wantedReserve(now) * SHORT_RESERVE_FRACTION;
    return isShort ? SHORT_RESERVE_BATCH_WINDOW_MS : SUFFICIENT_RESERVE_BATCH_WINDOW_MS;
  }

  /** Content of a request that is sent now. What it gives up may not be used any more, whether the request arrives or not. */
  prepareDemand(now: number): AllowanceDemand {
    const wantedReserve = this.wantedReserve(now);
    const available = this.grantedReserve(now);
    const held = Math.min(Math.ceil(available), wantedReserve);
    const returned = this.takeUnused(now) + Math.max(0, Math.floor(available - held));
    this.reserve = Math.min(available, held);
    const wantedRate = this.wantedRate;
    const heldRate = Math.min(this.heldRate(now), wantedRate);
    this.leasedRate = heldRate;
    // Without a leased rate the reserve only falls.
    const heldMost = heldRate > 0 ? Math.max(held, Math.min(this.maxReserve, wantedReserve)) : held;
    this.maxReserve = heldMost;
    const { size: waiting } = this.waiting;
    return { waiting, returned, held, wantedReserve, heldRate, wantedRate, heldMost };
  }

  /** Lets waiting requests run; returns how many. */
  grantWaiting(granted: number): number {
    // What is left over is lost: those who waited have gone, or were served by the answer to another request.
    const served = [...this.waiting].slice(0, granted);
    for (const operation of served) operation.settle(GRANTED);
    return served.length;
  }

  /** Expects no more operations, so that the reserve goes back to the leader. */
  forgetDemand(): void {
    this.operationsPerSecond = 0;
  }

  /** Adds to the reserve, and renews it, after a request that was sent at `askedAt`. */
  addReserve({ added, rate, most }: LeasedReserve, askedAt: number, now: number): void {
    this.reserve = this.grantedReserve(now) + added;
    // A leader of an earlier version leases nothing, and tells no most.
    this.maxReserve = Math.max(most, Math.ceil(this.reserve));
    this.leasedRate = rate;
    this.reserveExpiresAt = this.lease.expiresAt(askedAt);
  }

  /** Renews the reserve without adding to it: another leader may count on what this proxy told it. */
  renewReserve(askedAt: number, now: number): void {
    const { maxReserve: most } = this;
    this.addReserve({ added: 0, rate: this.heldRate(now), most }, askedAt, now);
  }

  /** Notes that the leader has nothing for this tenant until then. */
  recordExhausted(until: number): void {
    this.exhaustedUntil = until;
  }

  /** Operations to give back; none where one would come back later than the bound allows for. */
  private takeUnused(now: number): number {
    const isInTime = reachesLeaderInTime(now - this.oldestUnusedAt);
    const { unused } = this;
    this.unused = 0;
    this.oldestUnusedAt = Infinity;
    return isInTime ? unused : 0;
  }

  /** The reserve, with what the leased rate brought. */
  private grantedReserve(now: number): number {
    const earned = (this.leasedRate * (now - this.refilledAt)) / MILLISECONDS_PER_SECOND;
    this.refilledAt = now;
    if (now >= this.reserveExpiresAt) this.maxReserve = 0;
    this.reserve = Math.min(this.maxReserve, this.reserve + earned);
    return this.reserve;
  }

  private heldRate(now: number): number {
    return now < this.reserveExpiresAt ? this.leasedRate : 0;
  }

  private get wantedRate(): number {
    if (!this.isIssuer) return 0;
    const { operationsPerSecond } = this;
    const lowerBoundRate = operationsPerSecond - DEVIATION_COUNT * Math.sqrt(operationsPerSecond);
    return Math.min(this.leasableRate, Math.max(0, lowerBoundRate) * LEASED_FRACTION);
  }

  private wantedReserve(now: number): number {
    this.decayRate(now);
    const expected = (this.operationsPerSecond * this.horizonMs) / MILLISECONDS_PER_SECOND;
    const minExpected = this.isIssuer ? MIN_EXPECTED_AT_ISSUER_COUNT : MIN_EXPECTED_AT_OTHERS_COUNT;
    const margin = this.isIssuer ? DEVIATION_COUNT * Math.sqrt(expected) : 0;
    return expected < minExpected
      ? 0
      : Math.min(this.maxFleetReserve, Math.ceil(expected + margin));
  }

  private decayRate(now: number): void {
    this.operationsPerSecond *= Math.exp(-(now - this.rateUpdatedAt) / RATE_SMOOTHING_MS);
    this.rateUpdatedAt = now;
  }
}
