/**
 * Decides when a replica may be appointed beside proxies that did not confirm the end of their leases.
 *
 * Such a proxy may be cut off from control, still reach the instances, and use the old primary for as long as no replica
 * that it knows is fenced (`src/appointed/leases/replica_lease.ts`). So either it must have stopped asking replicas, or it
 * must know the replica, which must have been fenced for longer than a lease confirmed by replicas lasts. Times are
 * milliseconds on the leader's clock. Pure.
 *
 * Design: docs/design/appointed-primaries.md.
 */
import { MAX_REPLICA_LEASE_SILENCE_MS, REPLICA_LEASE_MS } from '../leases/replica_lease.js';

/** Allowance for monotonic clocks that run at different rates. */
const CLOCK_MARGIN_MS = 100;

/** A proxy may have its leases confirmed by replicas for this long after its last contact with control. */
export const MAX_REPLICA_LEASE_TRUST_MS =
  MAX_REPLICA_LEASE_SILENCE_MS + REPLICA_LEASE_MS + CLOCK_MARGIN_MS;

/** What control knows of the proxies that did not confirm. */
export interface UnconfirmedProxies {
  /** Catalog version that all of them are known to have reached. */
  readonly knownVersion: number;
  /** When the last of them stops asking replicas. */
  readonly trustUntil: number;
}

/** What control knows of the chosen replica. */
export interface FencedReplica {
  /**
   * Catalog version since which its group, address, state and incarnation are unchanged, so that a proxy that knows this
   * version finds it.
   */
  readonly placedSince: number;
  /** Since when it has been fenced, or has followed a newer term, without a break; undefined when it has not. */
  readonly fencedSince: number | undefined;
}

/** Why the replica may not be appointed yet; undefined when it may. */
export function appointmentObjection(
  replica: FencedReplica,
  proxies: UnconfirmedProxies,
  now: number,
): string | undefined {
  if (now > proxies.trustUntil) return undefined;
  if (replica.fencedSince === undefined) return 'the replica is not fenced';
  if (replica.placedSince > proxies.knownVersion)
    return 'an unreachable proxy may not know the replica';
  const fencedMs = now - replica.fencedSince;
  const isLongEnough = fencedMs > REPLICA_LEASE_MS + CLOCK_MARGIN_MS;
  return isLongEnough
    ? undefined
    : `the replica has been fenced for ${Math.round(fencedMs)} ms only`;
}
