/**
 * Arithmetic of the limit on operations. In any window of `windowMs` all proxies together may run
 * (rate x window + burst) x (1 + overage) + tolerance operations of a tenant. Pure.
 *
 * All allowances of a tenant come out of one token bucket. A part of its size lies at the leader, the rest may lie with
 * proxies as reserves. So in a window there run at most rate x window and what lay in both parts at its begin. An
 * allowance for a request that waits is used within {@link WAITING_ALLOWANCE_MS}, or given back within
 * {@link GIVE_BACK_MS}: see docs/design/quota.md for the proof.
 */
import { LEADERSHIP_PROOF_MS } from '../../consensus/raft_options.js';
import type { OperationLimit } from './tenant.js';

/** How strictly the limit is judged, as the operator's settings tell. */
export interface QuotaRules {
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Part of the limit by which a window may exceed it. */
  readonly overage: number;
  /** Operations by which a window may exceed the limit besides. */
  readonly tolerance: number;
}

/** A proxy drops an allowance for a waiting request that arrives later than this after it asked, in milliseconds. */
export const WAITING_ALLOWANCE_MS = 200;
/** An operation that did not run is given back within this time or not at all, in milliseconds. */
export const GIVE_BACK_MS = 350;
/**
 * A former leader may go on granting for this long beside its successor, in milliseconds: the age of its proof that it
 * leads, and 50 ms for clocks that run at different speeds.
 */
export const LEADER_OVERLAP_MS = LEADERSHIP_PROOF_MS + 50;
/** A reserve that was not renewed ends after this time, in milliseconds: as long as leases on primaries. */
export const RESERVE_LIFE_MS = 3000;

const MILLISECONDS = 1000;

/** How the bucket of a tenant is divided. */
export interface QuotaBudget {
  /** Operations that the leader's part of the bucket holds. */
  readonly bucket: number;
  /** Operations that may lie with all proxies together as reserves. */
  readonly reserves: number;
  /** For how long the reserves last when the tenant uses all of its rate, in milliseconds. */
  readonly reserveMs: number;
}

/**
 * Part of the bucket that may lie with proxies. The other half lets a new leader grant for the 550 ms in which the rate adds
 * nothing for it (test/unit/tenancy.test.ts: 350 operations a second allowed, 220 used, none refused).
 */
const RESERVE_PART = 0.5;

/** Budget of one tenant. */
export function quotaBudget(limit: OperationLimit, rules: QuotaRules): QuotaBudget {
  const { ratePerSecond, burst } = limit;
  const perWindow = (ratePerSecond * rules.windowMs) / MILLISECONDS + burst;
  const onTheWay = (ratePerSecond * GIVE_BACK_MS) / MILLISECONDS;
  const headroom = Math.max(0, perWindow * rules.overage + rules.tolerance - onTheWay - 1);
  const size = Math.floor(burst + headroom);
  const reserves = Math.floor(size * RESERVE_PART);
  const reserveMs = Math.min(RESERVE_LIFE_MS, (reserves / ratePerSecond) * MILLISECONDS);
  return { bucket: size - reserves, reserves, reserveMs };
}
