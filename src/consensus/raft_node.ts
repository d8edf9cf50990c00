/**
 * A member of a replicated log, after Raft (Ongaro and Ousterhout, "In Search of an Understandable
 * Consensus Algorithm", 2014; pre-vote, check-quorum and one-at-a-time membership change after Ongaro's
 * thesis, 2014, chapters 4, 6 and 9).
 *
 * Puts the parts together; each has its own module:
 * - `member_state.ts`: role, term, leader and members
 * - `leader_election.ts`, `election_timer.ts`, `vote_collector.ts`: who becomes leader, and when a member tries
 * - `log_replication.ts`, `peer_replicator.ts`: the leader's side of the log
 * - `log_receiver.ts`: the follower's side of the log
 * - `log_applier.ts`: committed entries reach the state machine
 * - `proposals.ts`: callers that wait for their entries
 *
 * Relies on the disk below `log` and on the other members, either of which may fail.
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
import type { LogEntry, RaftLog } from './raft_log.js';
import type { RaftOptions } from './raft_options.js';

/** One member. */
export class RaftNode {
  private readonly state: MemberState;
  private readonly applier: LogApplier;
  private readonly replication: LogReplication;
  private readonly election: LeaderElection;
  private readonly receiver: LogReceiver;
  private readonly proposals = new PendingProposals();

  /**
   * @param id - identity of this member
   * @param address - where other members reach it
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
  }

  /** Starts to take part. */
  start(): void {
    this.election.restartTimer();
  }

  /** Stops to take part. */
  stop(): void {
    this.election.stop();
    this.state.stepDown(this.state.term);
  }

  /** Present role. */
  get role(): RaftRole {
    return this.state.role;
  }

  /** Present term. */
  get currentTerm(): number {
    return this.state.term;
  }

  /** Members as of the newest entry, committed or not. */
  get membership(): Membership {
    return this.state.membership;
  }

  /** Address of the leader; empty when unknown. */
  get leaderAddress(): string {
    return this.state.leaderAddress;
  }

  /** Newest applied index. */
  get appliedIndex(): number {
    return this.applier.appliedIndex;
  }

  /** Whether a leader is in contact with a majority, as far as this member knows: within an election timeout. */
  get hasQuorum(): boolean {
    if (this.state.role === 'leader') return this.replication.hasQuorum;
    return this.state.leader !== '' && this.election.heardLeaderRecently;
  }

  /** Whether this member may answer callers from its state: see `log_replication.ts`. */
  get isReadyLeader(): boolean {
    return this.replication.isReadyLeader;
  }

  /** Milliseconds since a member answered; infinite when this is not the leader. */
  contactAgeMs(id: string): number {
    return id === this.id ? 0 : this.replication.contactAgeMs(id);
  }

  /** How far a member's log is known to match; 0 when this is not the leader. */
  matchIndexOf(id: string): number {
    return this.replication.matchIndexOf(id);
  }

  /**
   * Proposes a command and resolves with its result once it is committed and applied.
   * @throws NotLeaderError when it certainly had no effect
   * @throws LeadershipLostError when its outcome is unknown
   */
  propose(command: Uint8Array): Promise<Uint8Array> {
    return this.proposeEntry(whinyoke.EntryKind.COMMAND, command);
  }

  /** Proposes a membership that differs from the present one by one member. */
  changeMembership(next: Membership): Promise<Uint8Array> {
    if (this.log.hasMembershipAfter(this.applier.commitIndex)) {
      return Promise.reject(new NotLeaderError('a membership change is under way'));
    }
    const { MEMBERSHIP } = whinyoke.EntryKind;
    return this.proposeEntry(MEMBERSHIP, new Uint8Array(0), next.toMessage());
  }

  /** Begins a new cluster with the given members. Only for a member without any state. */
  async bootstrap(members: readonly Member[]): Promise<void> {
    await this.initializeCluster(members, 1, 1);
    this.applier.markApplied(1);
  }

  /** Begins a new cluster from the state on this disk, accepted or not, with the given members. */
  async bootstrapFromState(members: readonly Member[]): Promise<void> {
    this.applier.commitTo(this.log.lastIndex);
    await this.initializeCluster(members, this.appliedIndex, this.log.lastTerm);
  }

  /** Answers a message of another member. */
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
    if (this.role !== 'leader') throw new NotLeaderError('this member is not the leader');
    if (!this.hasQuorum) throw new NotLeaderError('no majority is in contact');
    const result = this.proposals.wait(this.replication.nextIndex, this.state.term);
    this.replication.append(kind, command, membership);
    return result;
  }

  private onEntryApplied(entry: LogEntry, result: Uint8Array): void {
    this.proposals.onApplied(entry, result);
    const wasRemoved = entry.membership && !this.membership.find(this.id);
    if (wasRemoved && this.role === 'leader') this.state.stepDown(this.state.term);
  }

  private onLeadershipEnded(): void {
    this.replication.stopLeading();
    this.proposals.rejectAll();
    this.election.restartTimer();
  }
}
