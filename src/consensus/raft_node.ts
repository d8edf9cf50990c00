/**
 * A member of a replicated log that implements Raft (Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", 2014; pre-vote, check-quorum and one-at-a-time membership
 * changes after Ongaro's thesis, 2014, chapters 4, 6 and 9).
 *
 * Combines these modules:
 * - `member_state.ts`: role, term, leader and membership
 * - `leader_election.ts`, `election_timer.ts`, `vote_collector.ts`: elections
 * - `log_replication.ts`, `peer_replicator.ts`: the leader's side of the log
 * - `log_receiver.ts`: the follower's side of the log
 * - `log_applier.ts`: application of committed entries to the state machine
 * - `pending_proposals.ts`: callers that wait for their entries
 */
import { whinyoke } from '../protocol/generated/messages.js';
import type { MessageBody } from '../runtime/runtime.js';
import { LeaderElection } from './leader_election.js';
import { LogApplier, type StateMachine } from './log_applier.js';
import { LogReceiver } from './log_receiver.js';
import { LogReplication } from './log_replication.js';
import { type RaftObserver, type RaftRole, type RaftRuntime, MemberState } from './member_state.js';
import { type Member, Membership } from './membership.js';
import { PendingProposals } from './pending_proposals.js';
import { NotLeaderError } from './raft_errors.js';
import type { LogEntry } from './log_entry.js';
import type { RaftLog } from './raft_log.js';
import type { RaftOptions } from './raft_options.js';

export class RaftNode {
  private readonly state: MemberState;
  private readonly applier: LogApplier;
  private readonly replication: LogReplication;
  private readonly election: LeaderElection;
  private readonly receiver: LogReceiver;
  private readonly proposals = new PendingProposals();

  /**
   * @param id - identity of this member
   * @param address - address at which other members reach it
   */
  constructor(
    readonly id: string,
    readonly address: string,
    runtime: RaftRuntime,
    readonly log: RaftLog,
    machine: StateMachine,
    options: RaftOptions,
    observer: RaftObserver = {},
  ) {
    this.state = new MemberState(id, log, observer, {
      onLeadershipEnded: () => this.onLeadershipEnded(),
      onMembershipReloaded: () => this.replication.updateReplicators(),
    });
    this.applier = new LogApplier(log, machine, options.snapshotEntries, {
      onEntry: (entry, result) => this.onEntryApplied(entry, result),
      onApplied: (index) => {
        observer.onApplied?.(index);
        if (this.replication.hasAppliedLeadershipEntry(index)) observer.onLeadership?.();
      },
    });
    this.replication = new LogReplication(this.state, runtime, options, this.applier);
    this.election = new LeaderElection(this.state, this.replication, runtime, options);
    this.receiver = new LogReceiver(this.state, this.election, this.applier);
    log.onWriteFailed = () => this.onWriteFailed();
  }

  start(): void {
    this.election.restartTimer();
  }

  stop(): void {
    this.election.stop();
    this.state.stepDown(this.state.term);
  }

  get role(): RaftRole {
    return this.state.role;
  }

  get currentTerm(): number {
    return this.state.term;
  }

  /** Membership as of the newest entry, committed or not. */
  get membership(): Membership {
    return this.state.membership;
  }

  /** Address of the leader; empty if unknown. */
  get leaderAddress(): string {
    return this.state.leaderAddress;
  }

  get appliedIndex(): number {
    return this.applier.appliedIndex;
  }

  /**
   * Whether a leader is in contact with a majority. On a follower: whether a leader's message
   * arrived within an election timeout.
   */
  get hasQuorum(): boolean {
    if (this.state.role === 'leader') return this.replication.hasQuorum;
    return this.state.leader !== '' && this.election.heardLeaderRecently;
  }

  /**
   * Whether this member may serve requests from its state as the leader; see `log_replication.ts`.
   */
  get isReadyLeader(): boolean {
    return this.replication.isReadyLeader;
  }

  /** Whether this member leads and no other member leads at the same time; see `log_replication.ts`. */
  get holdsLeaderLease(): boolean {
    return this.replication.holdsLeaderLease;
  }

  /** Milliseconds since the newest reply of a member; infinite if this member does not lead. */
  contactAgeMs(id: string): number {
    return id === this.id ? 0 : this.replication.contactAgeMs(id);
  }

  /** Newest index at which a member's log is known to match; 0 if this member does not lead. */
  matchIndexOf(id: string): number {
    return this.replication.matchIndexOf(id);
  }

  /**
   * Proposes a command and resolves with its result once it is committed and applied.
   * @throws NotLeaderError if it certainly had no effect
   * @throws LeadershipLostError if its outcome is unknown
   */
  propose(command: Uint8Array): Promise<Uint8Array> {
    return this.proposeEntry(whinyoke.EntryKind.COMMAND, command);
  }

  /** Proposes a membership that differs from the current one by one member. */
  changeMembership(next: Membership): Promise<Uint8Array> {
    if (this.log.hasMembershipAfter(this.applier.commitIndex)) {
      return Promise.reject(
        new NotLeaderError('cannot change the membership: an earlier change is not committed yet'),
      );
    }
    const { MEMBERSHIP } = whinyoke.EntryKind;
    return this.proposeEntry(MEMBERSHIP, new Uint8Array(0), next.toMessage());
  }

  /** Founds a new cluster with the given members. Only for a member without any state. */
  async bootstrap(members: readonly Member[]): Promise<void> {
    await this.initializeCluster(members, 1, 1);
    this.applier.markApplied(1);
  }

  /**
   * Founds a new cluster with the given members from the local state, including entries that were
   * not committed.
   */
  async bootstrapFromState(members: readonly Member[]): Promise<void> {
    this.applier.commitTo(this.log.lastIndex);
    await this.initializeCluster(members, this.appliedIndex, this.log.lastTerm);
  }

  /** Handles a message of another member. */
  handle(body: MessageBody): Promise<MessageBody> {
    if (body.voteRequest) return this.election.onVoteRequest(body.voteRequest);
    if (body.appendRequest) return this.receiver.onAppendRequest(body.appendRequest);
    if (body.snapshotRequest) return this.receiver.onSnapshotRequest(body.snapshotRequest);
    return Promise.resolve({ refusal: { reason: 'not a consensus message' } });
  }

  private async initializeCluster(
    members: readonly Member[],
    lastIndex: number,
    lastTerm: number,
  ): Promise<void> {
    const membership = new Membership(members).toMessage();
    const state = this.applier.serialize();
    await this.log.compact({ lastIndex, lastTerm, membership, state });
    this.state.reloadMembership();
  }

  private async proposeEntry(
    kind: whinyoke.EntryKind,
    command: Uint8Array,
    membership?: whinyoke.IMembership,
  ): Promise<Uint8Array> {
    if (this.role !== 'leader')
      throw new NotLeaderError('proposal rejected: this member is not the leader');
    if (!this.hasQuorum)
      throw new NotLeaderError('proposal rejected: this leader is not in contact with a majority');
    const result = this.proposals.wait(this.replication.nextIndex, this.state.term);
    this.replication.append(kind, command, membership);
    return result;
  }

  private onEntryApplied(entry: LogEntry, result: Uint8Array): void {
    this.proposals.onApplied(entry, result);
    const wasRemoved = entry.membership && !this.membership.find(this.id);
    if (wasRemoved && this.role === 'leader') this.state.stepDown(this.state.term);
  }

  /**
   * A leader that lost entries steps down before it can give their indices to other commands: in
   * one term, an index stands for one command.
   */
  private onWriteFailed(): void {
    if (this.role === 'leader') this.state.stepDown(this.state.term);
    this.state.reloadMembership();
  }

  private onLeadershipEnded(): void {
    this.replication.stopLeading();
    this.proposals.rejectAll();
    this.election.restartTimer();
  }
}
