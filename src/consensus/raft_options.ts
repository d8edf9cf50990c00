/**
 * Timing and sizes of a consensus member. `election_timer.ts` and `leader_election.ts` use them for
 * elections, `log_replication.ts` for the check that a leader may serve requests.
 */

export interface RaftOptions {
  /** Interval of messages from a leader to a member that has all entries. */
  readonly heartbeatMs: number;
  /** Shortest time without messages of a leader before an election. */
  readonly electionTimeoutMs: number;
  /**
   * Longest wait before an election until this member has seen a leader since its start; the
   * shortest is a third of it. The first attempt comes after a ninth of it, plus a third for each
   * voter with a lower rank, so that members that start together do not collide. If there is a
   * leader, members refuse the pre-vote, so an early attempt does no harm, and a restart of all
   * members takes little time.
   */
  readonly initialElectionTimeoutMs?: number;
  /** Number of applied entries after which a snapshot replaces them. */
  readonly snapshotEntries: number;
}

/**
 * Defaults for machines a few milliseconds apart: five heartbeats fit into the shortest election
 * timeout.
 */
export const DEFAULT_RAFT_OPTIONS: RaftOptions = {
  heartbeatMs: 75,
  electionTimeoutMs: 400,
  snapshotEntries: 500,
};

/**
 * Maximum age of the proof on which a leader may serve requests. It must exceed a heartbeat round
 * trip on an overloaded machine. It also bounds for how long a leader can keep serving after a
 * successor was elected, and is part of the bound on operations beyond a tenant's limit
 * (docs/design/tenancy.md).
 */
export const LEADERSHIP_PROOF_MAX_AGE_MS = 500;

/**
 * Length of a leader lease, as a share of an election timeout. The rest allows for an effect shortly after the check, and
 * for clocks that run at different rates.
 */
export const LEADER_LEASE_FRACTION = 2 / 3;
