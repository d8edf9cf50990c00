/**
 * Timing and sizes of a consensus member. What follows from them: `election_timer.ts` (when an election begins),
 * `leader_election.ts` (who wins it), `log_replication.ts` (when a leader may answer). Pure.
 */

/** Timing, in milliseconds, and sizes. */
export interface RaftOptions {
  /** Time between two messages of a leader to a member that lacks nothing. */
  readonly heartbeatMs: number;
  /** Shortest silence of a leader before an election. */
  readonly electionTimeoutMs: number;
  /**
   * Longest time between elections until this member has seen a leader since it started; the shortest is a
   * third of it. The first one comes after a ninth of it and a third more for each voter before this one in the
   * order of their names, so that members that start together don't collide. A cluster that has a leader refuses
   * the pre-vote, so an early try costs nothing and a restart of all members is short.
   */
  readonly initialElectionTimeoutMs?: number;
  /** Entries after which a snapshot replaces them. */
  readonly snapshotEntries: number;
}

/**
 * Defaults for machines a few milliseconds apart: five heartbeats fit into the shortest silence before an election. Guesses,
 * not measured.
 */
export const DEFAULT_RAFT_OPTIONS: RaftOptions = {
  heartbeatMs: 75,
  electionTimeoutMs: 400,
  snapshotEntries: 500,
};

/**
 * A leader answers others only with proof that is at most this old, in milliseconds: longer than heartbeats and their
 * answers take on a machine that is short of processor time, and a bound for how long a leader that has a successor may
 * go on. A guess, not measured. Part of the bounds on operations that tenants may run too many (docs/design/tenancy.md).
 */
export const LEADERSHIP_PROOF_MAX_AGE_MS = 500;
