/**
 * DECISION: when a replica may be appointed beside proxies that did not confirm the end of their leases.
 *
 * Answers: a change of primary while some proxies are cut off from control but reach the instances.
 * Inputs: since when the replica has been held, the catalog version that names it, the oldest catalog version that such a
 *   proxy knows, and until when such a proxy asks replicas (milliseconds on the leader's clock).
 * Rule: such a proxy may trust the old primary for as long as no replica that it knows is held
 *   (`src/appointed/leases/replica_lease.ts`). So the replica must be known to it, and must have been held for longer than a
 *   lease that replicas confirm; or the proxy must have stopped asking.
 * Constants: below, and those of `replica_lease.ts`. See docs/design/appointed-primaries.md. Pure.
 */
import { MAX_REPLICA_LEASE_SILENCE_MS, REPLICA_LEASE_MS } from '../leases/replica_lease.js';

/** Allowance for steady clocks that run differently, in milliseconds. A guess, not measured. */
const CLOCK_MARGIN_MS = 100;

/** From its last contact on, a proxy may have its leases confirmed by replicas for that long, in milliseconds. */
export const MAX_REPLICA_LEASE_TRUST_MS =
  MAX_REPLICA_LEASE_SILENCE_MS + REPLICA_LEASE_MS + CLOCK_MARGIN_MS;

/** What is known of the proxies that did not confirm. */
export interface UnconfirmedProxies {
  /** Version of the catalog that all of them know at least. */
  readonly knownVersion: number;
  /** When the last of them stops to ask replicas. */
  readonly trustUntil: number;
}

/** What is known of the chosen replica. */
export interface FencedReplica {
  /** Version of the catalog since which it is where it is; it may be cold, or have another holder, since a later one. */
  readonly placedSince: number;
  /** Since when it has been held, or has followed a newer term, without a break; undefined when it has not. */
  readonly fencedSince: number | undefined;
}

/** Why the replica may not be appointed yet; undefined when it may. */
export function appointmentObjection(
  replica: FencedReplica,
  proxies: UnconfirmedProxies,
  now: number,
): string | undefined {
  if (now > proxies.trustUntil) return undefined;
  if (replica.fencedSince === undefined) return 'it is not held';
  if (replica.placedSince > proxies.knownVersion) return 'a proxy out of reach may not know it';
  const fencedMs = now - replica.fencedSince;
  const isLongEnough = fencedMs > REPLICA_LEASE_MS + CLOCK_MARGIN_MS;
  return isLongEnough ? undefined : `it has been held for ${Math.round(fencedMs)} ms only`;
}
