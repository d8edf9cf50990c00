/**
 * State of one tenant at one proxy: its reserve of operations, the waiting requests and the expected load. The reserve is
 * sized so that usually no operation waits for a round trip to the leader.
 *
 * The reserve should last for the budget's `reserveDurationMs` at the smoothed rate of operations. It is renewed when a
 * quarter of it is used or a fifth of its lease has passed. The reserve of an issuer is larger, and a leased rate refills
 * it until it expires. Operations that are not expected to be used go back to the leader.
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

/** Result of a request for an operation. */
export type GrantResult =
  | { readonly isGranted: true }
  /** Refused; the caller should retry later. */
  | { readonly isGranted: false; readonly cause: RefusalCause };

/** A request that waits for a grant. */
export interface WaitingOperation {
  /** Whether it is still waiting. */
  readonly isOpen: boolean;
  /** Ends the wait; later calls have no effect. */
  settle(result: GrantResult): void;
}

/** Determines how long a reserve and a leased rate are valid. */
export interface ReserveLease {
  /** Expiry, on the proxy's clock, of a lease renewed by the request sent at `askedAt`. */
  expiresAt(askedAt: number): number;
}

type LeasedReserve = Pick<Allowance, 'added' | 'rate' | 'most'>;

/** Operations requested at one time. */
interface RequestedOperations {
  readonly count: number;
  /** Whether this proxy is the tenant's issuer, which holds the reserve of the whole zone. */
  readonly isIssuer: boolean;
}

export const GRANTED: GrantResult = { isGranted: true };

/** Time constant of the smoothed rate of operations. */
const RATE_SMOOTHING_MS = 2000;
/** A reserve is renewed when less than this fraction of its lease remains, so that it outlasts a failed leader by over 2 s. */
const RENEWAL_FRACTION = 0.8;
/** A reserve is refilled when at most this fraction of the wanted size is left: with less, more is refused without a leader. */
const LOW_RESERVE_FRACTION = 0.75;
/** At or below this fraction of the wanted size, requests use the shorter batch window. */
const SHORT_RESERVE_FRACTION = 0.5;
/** An issuer keeps no reserve below this number of expected operations. */
const MIN_EXPECTED_AT_ISSUER_COUNT = 0.3;
/** Same for other proxies: reserves of many proxies would leave too little for the issuers. */
const MIN_EXPECTED_AT_OTHERS_COUNT = 4;
/** Fraction of the reliably expected rate that an issuer leases: rate leased while the reserve is full is lost to other zones. */
const LEASED_FRACTION = 0.9;
/**
 * Safety margin of an issuer, in units of the square root of the expected rate or count. For random arrivals smoothed over
 * 2 s, the variance of the rate is a quarter of the rate, so one unit is two standard deviations.
 */
const DEVIATION_COUNT = 1;
/** An issuer's reserve covers this multiple of `reserveDurationMs`, because few tenants use their full rate. */
const ISSUER_HORIZON_FACTOR = 1.5;
const DEFAULT_RESERVE_LEASE: ReserveLease = { expiresAt: (askedAt) => askedAt + RESERVE_LEASE_MS };
const ONE_OPERATION_AT_ISSUER: RequestedOperations = { count: 1, isIssuer: true };

/** Reserve, waiting requests and expected load of one tenant at one proxy. */
export class TenantAllowance {
  /** Requests that wait for a grant of the leader. */
  readonly waiting = new Set<WaitingOperation>();
  private reserve = 0;
  private reserveExpiresAt = -Infinity;
  /** Maximum size of the reserve, as counted by the leader. */
  private maxReserve = 0;
  /** Rate that refills the reserve up to `maxReserve` until it expires, in operations/s. */
  private leasedRate = 0;
  private refilledAt = 0;
  /** Maximum rate that may be leased to all issuers together, in operations/s. */
  private leasableRate = 0;
  private operationsPerSecond = 0;
  private rateUpdatedAt = 0;
  /** When a refusal of this tenant was last logged. */
  refusalLoggedAt = -Infinity;
  /** Until when the leader has no operations for this tenant. */
  private exhaustedUntil = -Infinity;
  /** Capacity of the reserves of all proxies together. */
  private maxFleetReserve = 0;
  /** How long the reserve should last. */
  private horizonMs = 0;
  private isIssuer = true;
  /** Operations that were counted and will not run; they are returned to the leader. */
  private unused = 0;
  /** When the oldest unused operation was counted. */
  private oldestUnusedAt = Infinity;

  constructor(
    /** Tenant name. */
    readonly tenant: string,
    public lastRequestedAt: number,
    private readonly lease: ReserveLease = DEFAULT_RESERVE_LEASE,
  ) {}

  /** Updates the smoothed rate, and the budget from the limit in force. */
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

  /** Takes one operation from the reserve; returns false if it is empty. */
  takeFromReserve(now: number): boolean {
    if (this.grantedReserve(now) < 1) return false;
    this.reserve--;
    return true;
  }

  /** Whether there is an unexpired reserve or leased rate. */
  hasReserve(now: number): boolean {
    return this.grantedReserve(now) > 0 || this.grantedRate(now) > 0;
  }

  /** Records an operation that did not run. It must be returned before reuse, because the leader counts it as used. */
  recordUnused(countedAt: number): void {
    this.unused++;
    this.oldestUnusedAt = Math.min(this.oldestUnusedAt, countedAt);
  }

  /** Time until the leader may have operations again. */
  exhaustedForMs(now: number): number {
    return Math.max(0, this.exhaustedUntil - now);
  }

  /** Whether to send a request to the leader even if no caller waits. */
  shouldRequestReserve(now: number): boolean {
    const wanted = this.wantedReserve(now);
    // An excess reserve is missing at other proxies and is lost when it expires.
    if (this.unused > 0 || this.grantedReserve(now) > wanted) return true;
    if (wanted === 0 || this.exhaustedForMs(now) > 0) return false;
    const isLow = this.grantedReserve(now) <= wanted * LOW_RESERVE_FRACTION;
    return isLow || this.reserveExpiresAt - now < RESERVE_LEASE_MS * RENEWAL_FRACTION;
  }

  /** How long a request for the reserve may wait to be batched with others. */
  batchWindowMs(now: number): number {
    const isShort = this.grantedReserve(now) <= this.wantedReserve(now) * SHORT_RESERVE_FRACTION;
    return isShort ? SHORT_RESERVE_BATCH_WINDOW_MS : SUFFICIENT_RESERVE_BATCH_WINDOW_MS;
  }

  /** Demand for a request that is sent now. What it returns is no longer usable, whether or not the request arrives. */
  prepareDemand(now: number): AllowanceDemand {
    const wantedReserve = this.wantedReserve(now);
    const available = this.grantedReserve(now);
    const held = Math.min(Math.ceil(available), wantedReserve);
    const returned = this.takeUnused(now) + Math.max(0, Math.floor(available - held));
    this.reserve = Math.min(available, held);
    const wantedRate = this.wantedRate;
    const heldRate = Math.min(this.grantedRate(now), wantedRate);
    this.leasedRate = heldRate;
    // Without a leased rate the reserve cannot grow.
    const heldMost = heldRate > 0 ? Math.max(held, Math.min(this.maxReserve, wantedReserve)) : held;
    this.maxReserve = heldMost;
    const { size: waiting } = this.waiting;
    return { waiting, returned, held, wantedReserve, heldRate, wantedRate, heldMost };
  }

  /** Grants operations to waiting requests; returns how many were used. */
  grantWaiting(granted: number): number {
    // Surplus grants are lost: the requests timed out or were served by another reply.
    const served = [...this.waiting].slice(0, granted);
    for (const operation of served) operation.settle(GRANTED);
    return served.length;
  }

  /** Resets the expected load, so that the reserve is returned to the leader. */
  forgetDemand(): void {
    this.operationsPerSecond = 0;
  }

  /** Adds to the reserve and renews its lease after a request that was sent at `askedAt`. */
  addReserve({ added, rate, most }: LeasedReserve, askedAt: number, now: number): void {
    this.reserve = this.grantedReserve(now) + added;
    // Leaders of earlier versions neither lease a rate nor send `most`.
    this.maxReserve = Math.max(most, Math.ceil(this.reserve));
    this.leasedRate = rate;
    this.reserveExpiresAt = this.lease.expiresAt(askedAt);
  }

  /** Renews the lease without adding operations: another leader may count on the reserve reported to it. */
  renewReserve(askedAt: number, now: number): void {
    const { maxReserve: most } = this;
    this.addReserve({ added: 0, rate: this.grantedRate(now), most }, askedAt, now);
  }

  /** Records that the leader has no operations for this tenant until `until`. */
  recordExhausted(until: number): void {
    this.exhaustedUntil = until;
  }

  /** Resets and returns the unused operations; 0 if the oldest could no longer be returned in time. */
  private takeUnused(now: number): number {
    const isInTime = reachesLeaderInTime(now - this.oldestUnusedAt);
    const { unused } = this;
    this.unused = 0;
    this.oldestUnusedAt = Infinity;
    return isInTime ? unused : 0;
  }

  /** Current reserve, including what the leased rate added. */
  private grantedReserve(now: number): number {
    const accrued = (this.leasedRate * (now - this.refilledAt)) / MILLISECONDS_PER_SECOND;
    this.refilledAt = now;
    if (now >= this.reserveExpiresAt) this.maxReserve = 0;
    this.reserve = Math.min(this.maxReserve, this.reserve + accrued);
    return this.reserve;
  }

  private grantedRate(now: number): number {
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
