/**
 * The leader's side of the log: appends entries, sends them to the other members, and commits
 * entries that a majority has stored. A leader whose own disk write fails steps down.
 *
 * `isReadyLeader` decides whether the leader may serve requests from its state. It guards against a
 * leader that was partitioned or stalled and has a successor that it does not know of. The leader
 * must have applied the first entry of its term, and with it all entries committed before; a
 * majority must have replied within an election timeout; and a majority must have replied to
 * requests that were sent within the last `LEADERSHIP_PROOF_MAX_AGE_MS`.
 */
import { whinyoke } from '../protocol/generated/messages.js';
import type { LogApplier } from './log_applier.js';
import type { MemberState, RaftRuntime } from './member_state.js';
import { type AppendSource, PeerReplicator } from './peer_replicator.js';
import type { LogEntry } from './log_entry.js';
import {
  LEADERSHIP_PROOF_MAX_AGE_MS,
  LEADER_LEASE_FRACTION,
  type RaftOptions,
} from './raft_options.js';

export class LogReplication implements AppendSource {
  private readonly replicators = new Map<string, PeerReplicator>();
  /** Index of the first entry of this member's newest leadership. */
  private leadershipIndex = Infinity;

  constructor(
    readonly state: MemberState,
    readonly runtime: RaftRuntime,
    readonly options: RaftOptions,
    private readonly applier: LogApplier,
  ) {}

  /** Starts to lead. The first entry of the new term commits the entries of earlier leaders. */
  startLeading(): void {
    this.updateReplicators();
    this.leadershipIndex = this.state.log.lastIndex + 1;
    this.append(whinyoke.EntryKind.NO_OPERATION, new Uint8Array(0));
  }

  /** Stops all replicators. */
  stopLeading(): void {
    for (const replicator of this.replicators.values()) replicator.stop();
    this.replicators.clear();
  }

  /** Index of the next entry to be appended. */
  get nextIndex(): number {
    return this.state.log.lastIndex + 1;
  }

  /** Appends an entry in the current term and sends it to all members. */
  append(kind: whinyoke.EntryKind, command: Uint8Array, membership?: whinyoke.IMembership): void {
    const { state } = this;
    const { term } = state;
    const entry: LogEntry = { term, index: this.nextIndex, kind, command, membership };
    const durable = state.log.append([entry]);
    if (membership) state.reloadMembership();
    this.sendToAll();
    durable.then(
      () => {
        if (state.term === term) this.advanceCommit();
      },
      // The member has stepped down and the entry has left the log; see `RaftLog.onWriteFailed`.
      () => undefined,
    );
  }

  /** Commits the newest entry that a majority has stored. */
  advanceCommit(): void {
    const { state } = this;
    if (state.role !== 'leader') return;
    for (let index = state.log.lastIndex; index > this.applier.commitIndex; index--) {
      // Only entries of the current term are committed by counting replicas (Raft, section 5.4.2).
      if (state.log.termAt(index) !== state.term) return;
      if (!state.membership.isQuorum(this.membersWithEntry(index))) continue;
      this.applier.commitTo(index);
      this.sendToAll();
      return;
    }
  }

  /**
   * Builds an append request for a member whose next index is `nextIndex`; undefined if the member
   * needs a snapshot.
   */
  appendRequestFrom(nextIndex: number, limit: number): whinyoke.IAppendRequest | undefined {
    const { log, term, id } = this.state;
    const previousTerm = log.termAt(nextIndex - 1);
    if (previousTerm === undefined) return undefined;
    const entries = log.entriesFrom(nextIndex, limit);
    return {
      term,
      leader: id,
      previousIndex: nextIndex - 1,
      previousTerm,
      entries: entries.map((entry) => ({ ...entry })),
      commitIndex: this.applier.commitIndex,
    };
  }

  /** Starts and stops replicators so that each other member of the current membership has one. */
  updateReplicators(): void {
    const { state } = this;
    if (state.role !== 'leader') return;
    const members = state.membership.members.filter((member) => member.id !== state.id);
    for (const [id, replicator] of this.replicators) {
      if (members.some((member) => member.id === id)) continue;
      replicator.stop();
      this.replicators.delete(id);
    }
    for (const member of members) {
      if (this.replicators.has(member.id)) continue;
      const replicator = new PeerReplicator(this, member, state.term);
      this.replicators.set(member.id, replicator);
      replicator.start();
    }
  }

  /** Whether a majority of the voters replied within an election timeout. */
  get hasQuorum(): boolean {
    const oldest = this.runtime.clock.now() - this.options.electionTimeoutMs;
    return this.isQuorumOf((peer) => peer.lastContactAt >= oldest);
  }

  /**
   * Whether this member leads, is in contact with a majority, and has applied all entries that were
   * committed before. No other member led {@link LEADERSHIP_PROOF_MAX_AGE_MS} ago.
   */
  get isReadyLeader(): boolean {
    const isCurrent = this.applier.appliedIndex >= this.leadershipIndex && this.isLeadershipProven;
    return this.state.role === 'leader' && isCurrent && this.hasQuorum;
  }

  /**
   * Whether no other member leads now: this member leads, and a majority replied to requests that were sent within the
   * last `LEADER_LEASE_FRACTION` of an election timeout. Until that timeout has passed, none of them votes for another one.
   */
  get holdsLeaderLease(): boolean {
    const leaseMs = this.options.electionTimeoutMs * LEADER_LEASE_FRACTION;
    const oldest = this.runtime.clock.now() - leaseMs;
    return this.isReadyLeader && this.isQuorumOf((peer) => peer.lastAnsweredRequestAt >= oldest);
  }

  /** Whether the first entry of this member's newest leadership is applied at an index. */
  hasAppliedLeadershipEntry(appliedIndex: number): boolean {
    return this.state.role === 'leader' && appliedIndex >= this.leadershipIndex;
  }

  /**
   * Milliseconds since the newest reply of another member; infinite if this member does not lead.
   */
  contactAgeMs(id: string): number {
    const lastContactAt = this.replicators.get(id)?.lastContactAt ?? -Infinity;
    return this.runtime.clock.now() - lastContactAt;
  }

  /** Newest index at which a member's log is known to match; 0 if this member does not lead. */
  matchIndexOf(id: string): number {
    return this.replicators.get(id)?.matchIndex ?? 0;
  }

  private sendToAll(): void {
    for (const replicator of this.replicators.values()) replicator.trigger();
  }

  private membersWithEntry(index: number): ReadonlySet<string> {
    const members = new Set<string>();
    if (this.state.log.durableIndex >= index) members.add(this.state.id);
    for (const [id, replicator] of this.replicators) {
      if (replicator.matchIndex >= index) members.add(id);
    }
    return members;
  }

  /** Whether a majority replied to requests that were sent recently enough. */
  private get isLeadershipProven(): boolean {
    const oldest = this.runtime.clock.now() - LEADERSHIP_PROOF_MAX_AGE_MS;
    return this.isQuorumOf((peer) => peer.lastAnsweredRequestAt >= oldest);
  }

  /** Whether this member and the members with matching replicators are a majority of the voters. */
  private isQuorumOf(matches: (replicator: PeerReplicator) => boolean): boolean {
    const members = new Set([this.state.id]);
    for (const [id, replicator] of this.replicators) if (matches(replicator)) members.add(id);
    return this.state.membership.isQuorum(members);
  }
}
