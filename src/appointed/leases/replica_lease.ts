/**
 * Decides whether the replicas of a group confirm a lease on its primary while control is unreachable.
 *
 * Proxies that lose control but still reach their instances keep using a primary as long as every other instance of the
 * group is a replica, follows no newer term and isn't fenced for one. A change of primary fences replicas before it
 * appoints one (`src/appointed/failover/appointment_fence.ts`). Used by proxies, which ask
 * (`src/appointed/trust/replica_lease_confirmer.ts`), and by control, which fences and waits. Pure.
 *
 * Design: docs/design/appointed-primaries.md.
 */
import type { InstanceStatus } from '../instance/instance_connection.js';

/**
 * Duration of a lease confirmed by replicas, from when they were asked: three rounds of 200 ms and a margin, so that one
 * or two may fail. A change of primary waits this long for unreachable proxies.
 */
export const REPLICA_LEASE_MS = 700;
/**
 * Longest time without control in which replicas are asked: a proxy that is cut off for longer knows too little of the
 * group's members. Less than the time after which control removes a silent proxy (20 s).
 */
export const MAX_REPLICA_LEASE_SILENCE_MS = 12_000;

/** Answer of one replica to a request to confirm a lease, or why there is none. */
export type ReplicaAnswer =
  | { readonly instance: string; readonly status: InstanceStatus }
  | { readonly instance: string; readonly problem: string };

/** Why an answer does not confirm the lease on a primary of `term`; undefined when it does. */
export function replicaLeaseObjection(answer: ReplicaAnswer, term: number): string | undefined {
  const { instance } = answer;
  if ('problem' in answer) return `${instance}: ${answer.problem}`;
  const { role, term: ownTerm, fencedTerm } = answer.status;
  if (role !== 'replica') return `${instance} is primary of term ${ownTerm}`;
  if (ownTerm > term) return `${instance} follows term ${ownTerm}`;
  if (fencedTerm > term) return `${instance} is fenced for term ${fencedTerm}`;
  return undefined;
}
