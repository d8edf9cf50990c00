/**
 * Duration of the leases under which proxies use a primary.
 *
 * A proxy counts its lease from when it sent the request, the leader from when it answered (each on its own monotonic
 * clock), so the leader's ledger never ends a lease before the proxy does. A new leader waits LEASE_MS + STALE_LEADER_MS
 * for leases that a former leader may have granted.
 */

/**
 * Duration of a lease on a primary. Longer than a restart of all control machines, so that such a restart stops no
 * writes. A change of primary waits this long for proxies that are cut off.
 */
export const LEASE_MS = 3000;
/**
 * A former leader may grant leases for this long after it lost its majority: its proof of leadership is at most
 * LEADERSHIP_PROOF_MS (500 ms) old, and the rest is a margin.
 */
export const STALE_LEADER_MS = 1000;
