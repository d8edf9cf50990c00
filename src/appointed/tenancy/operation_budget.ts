/**
 * DECISION: how the limit of a tenant becomes a token bucket. Pure: owns nothing, relies on nothing that may fail.
 *
 * Answers: tenants that send more than their limit through many proxies, while leaders change. In any window
 * of `windowMs` all proxies together may run (rate x window + burst) x (1 + overage) + tolerance operations of a tenant.
 * Inputs: rate (operations/s), burst (operations), window (ms), overage (fraction of the limit), tolerance (operations).
 * Rule: all allowances of a tenant come out of one bucket. A part of its size lies at the leader, the rest may lie with
 * proxies as reserves. So in a window there run at most rate x window and what lay in both parts at its begin. An
 * allowance for a request that waits is used within {@link WAITING_ALLOWANCE_MS}, or given back within
 * {@link GIVE_BACK_MS}: see docs/design/quota.md for the proof, test/unit/tenancy.test.ts for drawn schedules.
 */
import { LEADERSHIP_PROOF_MAX_AGE_MS } from '../../consensus/raft_options.js';
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import type { OperationLimit } from './tenant.js';

/** How strictly the limit is judged, as the operator's settings tell. */
export interface QuotaRules {
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Fraction of the limit by which a window may exceed it. */
  readonly overage: number;
  /** Operations by which a window may exceed the limit besides. */
  readonly tolerance: number;
}

/**
 * A proxy drops an allowance for a waiting request that arrives later than this after it asked, in milliseconds. It is part
 * of the proof in docs/design/quota.md. Guess, not measured.
 */
export const GRANT_VALIDITY_MS = 200;
/**
 * An operation that did not run is given back within this time or not at all, in milliseconds. It is part of the proof in
 * docs/design/quota.md. Guess, not measured.
 */
const RETURN_DEADLINE_MS = 350;
/** How long a proxy gathers requests for reserves that are short, in milliseconds: no caller waits for them. Guess, not measured. */
export const SHORT_RESERVE_BATCH_WINDOW_MS = 150;
/**
 * How long it gathers those for reserves that hold more than half of what is wanted, in milliseconds. With 150 twice as many
 * requests went to the leader (docs/design/issuers.md).
 */
export const SUFFICIENT_RESERVE_BATCH_WINDOW_MS = 600;
/**
 * How long a proxy gathers operations that it gives back, in milliseconds: the longer, the fewer it may give back of those that
 * waited for a connection in vain, for a quarter of their objective. Guess, not measured.
 */
export const RETURN_BATCH_WINDOW_MS = 40;
/** Difference of clocks that run at different speeds while a former leader goes on, in milliseconds. Guess, not measured. */
const CLOCK_DRIFT_MARGIN_MS = 50;
/** A former leader may go on granting for this long beside its successor, in milliseconds: the age of its proof that it leads. */
export const LEADER_OVERLAP_MS = LEADERSHIP_PROOF_MAX_AGE_MS + CLOCK_DRIFT_MARGIN_MS;
/**
 * A reserve that was not renewed ends after this time, in milliseconds: as long as leases on primaries. Guess, not measured.
 */
export const RESERVE_LEASE_MS = 3000;
/**
 * Fraction of the bucket that may lie with proxies. The other half lets a new leader grant for the 550 ms in which the rate
 * adds nothing for it (test/unit/tenancy.test.ts: 350 operations a second allowed, 220 used, none refused).
 */
const RESERVE_FRACTION = 0.5;
/**
 * Fraction of a tenant's rate that may be leased to issuers, where its reserves don't last for a lease. A successor that doesn't know
 * who has leased what gets the rest only: with 0.5 a new leader refuses a tenant that uses 220 of 350 operations a second
 * (test/unit/tenancy.test.ts).
 */
const LEASABLE_FRACTION = 0.3;
/** Operations that the bound keeps for rounding: the proof ends at the tolerance less one. */
const ROUNDING_OPERATIONS = 1;

/** How the bucket of a tenant is divided. */
export interface QuotaBudget {
  /** Operations of the leader's part and of all reserves together. */
  readonly capacity: number;
  /** Operations of the leader's part while reserves of former leaders are unknown, and most that a successor is left. */
  readonly leaderCapacity: number;
  /** Operations that may lie with all proxies together as reserves. */
  readonly reserveCapacity: number;
  /** For how long the reserves last when the tenant uses all of its rate, in milliseconds. */
  readonly reserveDurationMs: number;
  /** Most of the rate that may be leased to all issuers together, in operations a second. */
  readonly leasableRate: number;
}

/** Budget of one tenant. */
export function quotaBudget(limit: OperationLimit, rules: QuotaRules): QuotaBudget {
  const { ratePerSecond, burst } = limit;
  const perWindow = (ratePerSecond * rules.windowMs) / MILLISECONDS_PER_SECOND + burst;
  const inFlight = (ratePerSecond * RETURN_DEADLINE_MS) / MILLISECONDS_PER_SECOND;
  const allowedExcess = perWindow * rules.overage + rules.tolerance;
  const headroom = Math.max(0, allowedExcess - inFlight - ROUNDING_OPERATIONS);
  const capacity = Math.floor(burst + headroom);
  const reserveCapacity = Math.floor(capacity * RESERVE_FRACTION);
  const lastsMs = (reserveCapacity / ratePerSecond) * MILLISECONDS_PER_SECOND;
  const reserveDurationMs = Math.min(RESERVE_LEASE_MS, lastsMs);
  const leasableRate = reserveDurationMs < RESERVE_LEASE_MS ? ratePerSecond * LEASABLE_FRACTION : 0;
  return {
    capacity,
    leaderCapacity: capacity - reserveCapacity,
    reserveCapacity,
    reserveDurationMs,
    leasableRate,
  };
}

/** Whether an operation that was counted `ageMs` milliseconds ago and did not run reaches the leader in time, if it is sent now. */
export function reachesLeaderInTime(ageMs: number): boolean {
  return ageMs <= RETURN_DEADLINE_MS - GRANT_VALIDITY_MS / 2;
}

/** Whether an operation that was counted `ageMs` milliseconds ago and did not run may be gathered to be given back. */
export function isReturnable(ageMs: number): boolean {
  return reachesLeaderInTime(ageMs + RETURN_BATCH_WINDOW_MS);
}
