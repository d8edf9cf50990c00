/**
 * DECISION: when the replicas of a group confirm a lease on its primary while control is out of reach, and for how long.
 *
 * Answers: all control machines are cut off from proxies that still reach their instances; writes should go on.
 * Inputs: the state of each other instance of the group (role, term, term that it is held for), the term of the primary.
 * Rule: the lease holds when every one of them is a replica, follows no newer term and is not held for one.
 *   A change of primary holds replicas before it appoints one (`src/appointed/failover/appointment_fence.ts`).
 * Constants: below. See docs/design/appointed-primaries.md.
 *
 * Known to both sides: proxies ask (`src/appointed/trust/replica_lease_confirmer.ts`), control holds and waits. Pure.
 */
import type { InstanceStatus } from '../instance/instance_connection.js';

/**
 * Life of a lease that replicas confirm, from the moment when they were asked, in milliseconds: three rounds, so that
 * one or two may fail. A change of primary waits that long for proxies that are out of reach. Derived from the time between two rounds
 * (200 ms), not measured.
 */
export const REPLICA_LEASE_MS = 700;
/**
 * Longest silence of control in which replicas are asked, in milliseconds: a proxy that is cut off for longer knows too
 * little of the group's members. Less than the time after which control forgets a silent proxy (20 s). A guess, not
 * measured.
 */
export const MAX_REPLICA_LEASE_SILENCE_MS = 12_000;

/** Answer of one replica that was asked to confirm. */
export type ReplicaAnswer =
  | { readonly instance: string; readonly status: InstanceStatus }
  | { readonly instance: string; readonly problem: string };

/** Why an answer does not confirm a primary of `term`; undefined when it does. */
export function replicaLeaseObjection(answer: ReplicaAnswer, term: number): string | undefined {
  const { instance } = answer;
  if ('problem' in answer) return `${instance}: ${answer.problem}`;
  const { role, term: ownTerm, fencedTerm } = answer.status;
  if (role !== 'replica') return `${instance} is primary of term ${ownTerm}`;
  if (ownTerm > term) return `${instance} follows term ${ownTerm}`;
  if (fencedTerm > term) return `${instance} is held for term ${fencedTerm}`;
  return undefined;
}
