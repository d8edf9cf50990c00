/**
 * DECISION: how long a proxy may trust a primary after an answer of control.
 *
 * Answers: a proxy that is cut off from control must stop using a primary before another one is appointed, and a restart of
 *   all control machines must stop no writes.
 * Inputs: when the proxy sent its request and when the leader answered (milliseconds on each one's own steady clock).
 * Rule: a lease lasts LEASE_MS from the request on the proxy and from the answer on the leader, so the leader's ledger errs
 *   towards longer leases (`src/appointed/failover/lease_ledger.ts`). A new leader waits LEASE_MS and STALE_LEADER_MS for
 *   leases that an earlier one may have granted. Pure.
 */

/**
 * Life of a lease on a primary, in milliseconds: longer than a restart of all control machines takes, so that
 * one stops no writes. A change of primary waits that long for proxies that are cut off. A guess, not measured; leases of
 * 10 s were weighed and are too long (docs/design/appointed-primaries.md).
 */
export const LEASE_MS = 3000;
/**
 * A former leader may go on granting leases for this long after it lost its majority, in milliseconds: it answers only with
 * proof that is at most LEADERSHIP_PROOF_MS (500 ms) old, and the rest is a margin. A guess, not measured.
 */
export const STALE_LEADER_MS = 1000;
