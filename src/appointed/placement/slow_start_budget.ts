/**
 * DECISION: how many requests may be sent to a cold instance, and when another proxy may send them. Pure: owns nothing, relies
 * on nothing that may fail.
 *
 * Answers: an instance that is new, or came back from an evacuation, before many proxies, some of which control can't reach.
 * Inputs: requests a second of the group's slow start, overage (factor) and tolerance (requests) of the settings; when control
 *   heard from the proxy that holds the instance (milliseconds on the leader's clock).
 * Rule: one proxy, the holder, sends all requests, rate x overage + tolerance in any {@link WINDOW_MS}; a part of them only to
 *   urgent ones. Another one may follow when the holder's lease has ended and a whole window has passed: then the windows of
 *   the two don't overlap, and no second holds requests of both.
 * Shown by: docs/design/slow-start.md (proof), test/unit/slow_start.test.ts (drawn schedules).
 */
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import type { SlowStart } from '../catalog/route_table.js';
import { LEASE_MS } from '../leases/lease_times.js';
import type { PlacementRules } from './placement_rules.js';

/**
 * Requests may arrive closer together than they were sent, by the difference of their trips, in milliseconds. One that travels
 * longer was sent before the second in which it arrives. Guess, not measured.
 */
const MAX_ARRIVAL_JITTER_MS = 100;
/** Length of the sliding window in which a holder counts, in milliseconds: the second of the bound, and the spread. */
export const SLOW_START_WINDOW_MS = MILLISECONDS_PER_SECOND + MAX_ARRIVAL_JITTER_MS;
/** Difference of clocks that run at different speeds while a lease lasts, in milliseconds. Guess, not measured. */
const CLOCK_MARGIN_MS = 100;
/** Fraction of the requests that is left to urgent ones. Guess, not measured. */
const URGENT_RESERVE_FRACTION = 0.25;

/** Bounds of the settings on cold instances. */
export type SlowStartRules = Pick<PlacementRules, 'slowStartOverage' | 'slowStartTolerance'>;

/** Requests that a cold instance may get in any second. */
export function maxColdInstanceRequests(
  { requestsPerSecond }: SlowStart,
  rules: SlowStartRules,
): number {
  return Math.floor(requestsPerSecond * rules.slowStartOverage + rules.slowStartTolerance);
}

/** Requests in a window up to which one more may be sent; urgent ones may use all. */
export function usableColdInstanceRequests(maxRequests: number, mayUseReserve: boolean): number {
  return mayUseReserve
    ? maxRequests
    : maxRequests - Math.ceil(maxRequests * URGENT_RESERVE_FRACTION);
}

/** Whether requests of a priority may use what is left to urgent ones; 0 is the most urgent. */
export function isUrgentPriority(priority: number): boolean {
  return priority === 0;
}

/** What control knows of a run of a proxy. */
export interface IncarnationContact {
  /** When its newest request came, or the latest moment when one may have come to a former leader. */
  readonly lastRequestAt: number;
  /** Whether it said with that request that it leaves: it has sent nothing to cold instances since. */
  readonly hasLeft: boolean;
}

/** When another run may send in place of this one. */
export function earliestSuccessorAt({ lastRequestAt, hasLeft }: IncarnationContact): number {
  return lastRequestAt + (hasLeft ? 0 : LEASE_MS) + CLOCK_MARGIN_MS + SLOW_START_WINDOW_MS;
}
