/**
 * Derives the token bucket of a tenant from its limit. The bound to keep: in any window of `windowMs`, all proxies together
 * run at most (rate x window + burst) x (1 + overage) + tolerance operations of a tenant, also while leaders change.
 *
 * All operations of a tenant come from one bucket. Part of its capacity stays with the leader, the rest may be granted to
 * proxies as reserves. A window therefore runs at most rate x window plus what both parts contained when it began. A grant
 * to a waiting request is used within {@link GRANT_VALIDITY_MS} or returned within {@link RETURN_DEADLINE_MS}.
 * docs/design/quota.md contains the proof; test/unit/tenancy.test.ts checks it with generated schedules. Pure: no I/O, no clock.
 */
import { LEADERSHIP_PROOF_MAX_AGE_MS } from '../../consensus/raft_options.js';
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import type { OperationLimit } from './tenant.js';

/** Operator settings that define how far a window may exceed the limit. */
export interface QuotaRules {
  /** Length of the sliding window. */
  readonly windowMs: number;
  /** Fraction of the limit by which a window may exceed it. */
  readonly overage: number;
  /** Additional operations by which a window may exceed the limit. */
  readonly tolerance: number;
}

/** A proxy drops a grant for a waiting request that arrives later than this after its request (docs/design/quota.md). */
export const GRANT_VALIDITY_MS = 200;
/** An operation that did not run is returned to the leader within this time or not at all (docs/design/quota.md). */
const RETURN_DEADLINE_MS = 350;
/** Batch window of background requests when a reserve is at most half of the wanted size. */
export const SHORT_RESERVE_BATCH_WINDOW_MS = 150;
/** Batch window when the reserve is larger than that; with the short one, twice as many requests reach the leader. */
export const SUFFICIENT_RESERVE_BATCH_WINDOW_MS = 600;
/** Batch window of returned operations. A longer one leaves fewer operations returnable within {@link RETURN_DEADLINE_MS}. */
export const RETURN_BATCH_WINDOW_MS = 40;
/** Margin for clocks that drift apart while a former leader is still active. */
const CLOCK_DRIFT_MARGIN_MS = 50;
/** How long a former leader may keep granting beside its successor: the validity of its proof of leadership. */
export const LEADER_OVERLAP_MS = LEADERSHIP_PROOF_MAX_AGE_MS + CLOCK_DRIFT_MARGIN_MS;
/** A reserve that is not renewed expires after this time; as long as the leases on primaries. */
export const RESERVE_LEASE_MS = 3000;
/**
 * Fraction of the bucket that may be granted as reserves. A new leader grants from the rest until its bucket is refilled: for
 * {@link LEADER_OVERLAP_MS} the rate adds nothing to it.
 */
const RESERVE_FRACTION = 0.5;
/**
 * Fraction of the rate that may be leased to issuers if the reserves don't last for a whole lease. A new leader that does
 * not know the leases yet can grant only the rest of the rate; with half of it leased, it would refuse a tenant that is well
 * below its limit (test/unit/tenancy.test.ts).
 */
const LEASABLE_FRACTION = 0.3;
/** Margin for rounding: the proof holds for the tolerance less one operation. */
const ROUNDING_OPERATIONS = 1;

/** Division of a tenant's bucket between the leader and the proxies. */
export interface QuotaBudget {
  /** Capacity of the leader's part and of all reserves together. */
  readonly capacity: number;
  /** Capacity of the leader's part while reserves granted by former leaders are unknown; also the maximum successor reserve. */
  readonly leaderCapacity: number;
  /** Capacity of the reserves of all proxies together. */
  readonly reserveCapacity: number;
  /** How long the reserves last at the full rate of the tenant. */
  readonly reserveDurationMs: number;
  /** Maximum rate that may be leased to all issuers together, in operations/s. */
  readonly leasableRate: number;
}

export function quotaBudget(limit: OperationLimit, rules: QuotaRules): QuotaBudget {
  const { ratePerSecond, burst } = limit;
  const perWindow = (ratePerSecond * rules.windowMs) / MILLISECONDS_PER_SECOND + burst;
  const inFlight = (ratePerSecond * RETURN_DEADLINE_MS) / MILLISECONDS_PER_SECOND;
  const allowedExcess = perWindow * rules.overage + rules.tolerance;
  const headroom = Math.max(0, allowedExcess - inFlight - ROUNDING_OPERATIONS);
  const capacity = Math.floor(burst + headroom);
  const reserveCapacity = Math.floor(capacity * RESERVE_FRACTION);
  const fullRateDurationMs = (reserveCapacity / ratePerSecond) * MILLISECONDS_PER_SECOND;
  const reserveDurationMs = Math.min(RESERVE_LEASE_MS, fullRateDurationMs);
  const leasableRate = reserveDurationMs < RESERVE_LEASE_MS ? ratePerSecond * LEASABLE_FRACTION : 0;
  return {
    capacity,
    leaderCapacity: capacity - reserveCapacity,
    reserveCapacity,
    reserveDurationMs,
    leasableRate,
  };
}

/** Whether an unused operation that was counted `ageMs` ago reaches the leader in time if it is sent now. */
export function reachesLeaderInTime(ageMs: number): boolean {
  return ageMs <= RETURN_DEADLINE_MS - GRANT_VALIDITY_MS / 2;
}

/** Whether an unused operation that was counted `ageMs` ago may wait for the batch window and still be returned in time. */
export function isReturnable(ageMs: number): boolean {
  return reachesLeaderInTime(ageMs + RETURN_BATCH_WINDOW_MS);
}
