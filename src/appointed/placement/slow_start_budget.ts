/**
 * Bounds the request rate of a cold instance, that is, one that is new or returns from an evacuation.
 *
 * One proxy, the slow-start lease holder, sends all requests to the instance: at most rate × overage + tolerance in any
 * {@link SLOW_START_WINDOW_MS}, a part of them reserved for urgent requests. Another proxy may take over once the holder's lease
 * has expired and a whole window has passed, so that the windows of the two never overlap and no second contains requests of
 * both. The proof is in docs/design/slow-start.md. Pure: no I/O, no clock.
 */
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import type { SlowStart } from '../catalog/route_table.js';
import { LEASE_MS } from '../leases/lease_times.js';
import type { PlacementRules } from './placement_rules.js';

/** Maximum difference of network delays, by which requests may arrive closer together than they were sent. */
const MAX_ARRIVAL_JITTER_MS = 100;
/** Sliding window in which the holder counts requests: the one second of the rate limit plus the arrival jitter. */
export const SLOW_START_WINDOW_MS = MILLISECONDS_PER_SECOND + MAX_ARRIVAL_JITTER_MS;
/** Allowance for clock drift between control and the holder during a lease. */
const CLOCK_MARGIN_MS = 100;
/** Fraction of the requests that is reserved for urgent ones. */
const URGENT_RESERVE_FRACTION = 0.25;

/** Settings that bound the request rate of cold instances. */
export type SlowStartRules = Pick<PlacementRules, 'slowStartOverage' | 'slowStartTolerance'>;

/** Maximum number of requests that a cold instance may receive in any second. */
export function maxColdInstanceRequests(
  { requestsPerSecond }: SlowStart,
  rules: SlowStartRules,
): number {
  return Math.floor(requestsPerSecond * rules.slowStartOverage + rules.slowStartTolerance);
}

/** Part of `maxRequests` that a request may use; only urgent requests may use the reserve. */
export function usableColdInstanceRequests(maxRequests: number, mayUseReserve: boolean): number {
  return mayUseReserve
    ? maxRequests
    : maxRequests - Math.ceil(maxRequests * URGENT_RESERVE_FRACTION);
}

/** Whether requests of a priority may use the reserve for urgent ones; 0 is the most urgent priority. */
export function isUrgentPriority(priority: number): boolean {
  return priority === 0;
}

/** Last contact of control with one incarnation of a proxy. */
export interface IncarnationContact {
  /** When its newest request arrived, or the latest time at which one may have reached a former leader. */
  readonly lastRequestAt: number;
  /** Whether that request announced a shutdown, after which the proxy sends nothing to cold instances. */
  readonly hasLeft: boolean;
}

/** Earliest time at which another incarnation may become the lease holder. */
export function earliestSuccessorAt({ lastRequestAt, hasLeft }: IncarnationContact): number {
  return lastRequestAt + (hasLeft ? 0 : LEASE_MS) + CLOCK_MARGIN_MS + SLOW_START_WINDOW_MS;
}
