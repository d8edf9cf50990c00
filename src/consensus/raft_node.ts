/**
 * A member of a replicated log, after Raft (Ongaro and Ousterhout, "In Search of an Understandable
 * Consensus Algorithm", 2014; pre-vote, check-quorum and one-at-a-time membership change after Ongaro's
 * thesis, 2014, chapters 4, 6 and 9).
 */
import { whinyoke } from '../protocol/generated/messages.js';
import type { Clock, MessageBody, Messenger, RandomSource } from '../runtime/runtime.js';
import { collectVotes, saveOwnVote } from './election.js';
import { ElectionTimer } from './election_timer.js';
import { LogApplier, type StateMachine } from './log_applier.js';
import { type Member, Membership } from './membership.js';
import { PeerReplicator } from './peer_replicator.js';
import { LEADERSHIP_PROOF_MS, type RaftOptions } from './raft_options.js';
import { LeadershipLostError, NotDurableError, NotLeaderError } from './raft_errors.js';
import { type LogEntry, type RaftLog, type Snapshot, entryFromMessage } from './raft_log.js';

/** Role of a member. */
export type RaftRole = 'follower' | 'candidate' | 'leader';

interface PendingProposal {
  readonly term: number;
  resolve(result: Uint8Array): void;
  reject(error: Error): void;
}

/** What the node needs of its process. */
export interface RaftRuntime {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly messenger: Messenger;
}

/** Hears of changes, for logs. */
export interface RaftObserver {
  onRole?(role: RaftRole, term: number): void;
  /** Another leader is known, or this member now leads with all that was committed before. */
  onLeadership?(): void;
  onApplied?(index: number): void;
}

/** One member. */
export class RaftNode {
  role: RaftRole = 'follower';
  private term: number;
  private leader = '';
  private readonly applier: LogApplier;
  private membershipState: Membership;
  private readonly replicators = new Map<string, PeerReplicator>();
  private readonly proposals = new Map<number, PendingProposal>();
  private readonly electionTimer: ElectionTimer;
  /** When a leader was heard of last. */
  private heardLeaderAt = -Infinity;
  /** Until when a member that this one voted for may take to send its first message as a leader. */
  private leaderDueAt = -Infinity;
  /** Until when the votes of this candidate may be on their way: twice the time that its pre-vote took. */
  private votesDueAt = -Infinity;
  /** Index of the entry that began this member's newest leadership. */
  private leadershipIndex = Infinity;
  private stopped = false;

  constructor(
    readonly id: string,
    readonly address: string,
    readonly runtime: RaftRuntime,
    readonly log: RaftLog,
    machine: StateMachine,
    readonly options: RaftOptions,
    private readonly observer: RaftObserver = {},
  ) {
    this.term = log.vote.term;
    this.membershipState = Membership.fromMessage(log.membership);
    const { clock, random } = runtime;
    this.electionTimer = new ElectionTimer(
      clock,
      random,
      options,
      () => this.onElectionTimeout(),
      () => this.membershipState.rankOfVoter(id),
    );
    this.applier = new LogApplier(log, machine, options.snapshotEntries, {
      onEntry: (entry, result) => this.onEntryApplied(entry, result),
      onApplied: (index) => {
        observer.onApplied?.(index);
        if (this.role === 'leader' && index >= this.leadershipIndex) observer.onLeadership?.();
      },
    });
  }

  /** Starts to take part. */
  start(): void {
    this.electionTimer.restart();
  }

  /** Stops to take part. */
  stop(): void {
    this.stopped = true;
    this.electionTimer.stop();
    this.stepDown(this.term);
  }

  /** Current term. */
  get currentTerm(): number {
    return this.term;
  }

  /** Members as of the newest entry, committed or not. */
  get membership(): Membership {
    return this.membershipState;
  }

  /** Address of the leader; empty when unknown. */
  get leaderAddress(): string {
    return this.membershipState.find(this.leader)?.address ?? '';
  }

  /** Newest applied index. */
  get appliedIndex(): number {
    return this.applier.appliedIndex;
  }

  /** Whether a majority of voters was in contact within an election timeout. */
  get hasQuorum(): boolean {
    const oldest = this.runtime.clock.now() - this.options.electionTimeoutMs;
    if (this.role !== 'leader') return this.leader !== '' && this.heardLeaderRecently();
    return this.membershipState.isQuorum(this.peersThat((peer) => peer.lastContact >= oldest));
  }

  /**
   * Proposes a command and resolves with its result once it is committed and applied.
   * @throws NotLeaderError when it certainly had no effect
   * @throws LeadershipLostError when its outcome is unknown
   */
  propose(command: Uint8Array): Promise<Uint8Array> {
    return this.proposeEntry(whinyoke.EntryKind.COMMAND, command, undefined);
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
    await this.beginCluster(members, 1, 1);
    this.applier.skipTo(1);
  }

  /** Begins a new cluster from the state on this disk, accepted or not, with the given members. */
  async bootstrapFromState(members: readonly Member[]): Promise<void> {
    this.applier.commitTo(this.log.lastIndex);
    await this.beginCluster(members, this.appliedIndex, this.log.lastTerm);
  }

  private async beginCluster(
    members: readonly Member[],
    lastIndex: number,
    lastTerm: number,
  ): Promise<void> {
    const membership = new Membership(members).toMessage();
    const state = this.applier.serialize();
    await this.log.compact({ lastIndex, lastTerm, membership, state });
    this.adoptMembership();
  }

  /** Answers a message of another member. */
  handle(body: MessageBody): Promise<MessageBody> {
    if (body.voteRequest) return this.onVoteRequest(body.voteRequest);
    if (body.appendRequest) return this.onAppendRequest(body.appendRequest);
    if (body.snapshotRequest) return this.onSnapshotRequest(body.snapshotRequest);
    return Promise.resolve({ refusal: { reason: 'not a consensus message' } });
  }

  /**
   * Whether this member leads, is in contact with a majority, and has applied all that was committed before. No other
   * member led {@link LEADERSHIP_PROOF_MS} ago.
   */
  get leadsWithState(): boolean {
    const isCurrent = this.appliedIndex >= this.leadershipIndex && this.isConfirmed;
    return this.role === 'leader' && isCurrent && this.hasQuorum;
  }

  /** Milliseconds since a member answered; infinite when this is not the leader. */
  contactAge(id: string): number {
    if (id === this.id) return 0;
    const lastContact = this.replicators.get(id)?.lastContact ?? -Infinity;
    return this.runtime.clock.now() - lastContact;
  }

  /** How far a member's log is known to match; only on the leader. */
  matchIndexOf(id: string): number {
    return this.replicators.get(id)?.matchIndex ?? 0;
  }

  /** Steps down when a message shows a higher term; for replicators. */
  onHigherTerm(term: number): void {
    if (term > this.term) this.stepDown(term);
  }

  /** Recomputes the commit index after a member confirmed entries; for replicators. */
  advanceCommit(): void {
    if (this.role !== 'leader') return;
    for (let index = this.log.lastIndex; index > this.applier.commitIndex; index--) {
      // Only entries of the current term are committed by counting (Raft, section 5.4.2).
      if (this.log.termAt(index) !== this.term) return;
      if (!this.membershipState.isQuorum(this.holdersOf(index))) continue;
      this.applier.commitTo(index);
      this.replicateToAll();
      return;
    }
  }

  /** Content of an append message for a peer whose next index is `nextIndex`; for replicators. */
  appendRequestFrom(nextIndex: number, limit: number): whinyoke.IAppendRequest | undefined {
    const previousTerm = this.log.termAt(nextIndex - 1);
    if (previousTerm === undefined) return undefined;
    const entries = this.log.entriesFrom(nextIndex, limit);
    return {
      term: this.term,
      leader: this.id,
      previousIndex: nextIndex - 1,
      previousTerm,
      entries: entries.map((entry) => ({ ...entry })),
      commitIndex: this.applier.commitIndex,
    };
  }

  private async proposeEntry(
    kind: whinyoke.EntryKind,
    command: Uint8Array,
    membership: whinyoke.IMembership | undefined,
  ): Promise<Uint8Array> {
    if (this.role !== 'leader') throw new NotLeaderError('this member is not the leader');
    if (!this.hasQuorum) throw new NotLeaderError('no majority is in contact');
    const entry = { term: this.term, index: this.log.lastIndex + 1, kind, command, membership };
    const result = new Promise<Uint8Array>((resolve, reject) => {
      this.proposals.set(entry.index, { term: this.term, resolve, reject });
    });
    this.appendOwn(entry);
    return result;
  }

  private appendOwn(entry: LogEntry): void {
    const term = this.term;
    const durable = this.log.append([entry]);
    if (entry.membership) this.adoptMembership();
    this.replicateToAll();
    durable.then(
      () => {
        if (this.term === term) this.advanceCommit();
      },
      // A leader whose disk fails must not stay leader.
      () => {
        this.stepDown(this.term);
        this.adoptMembership();
      },
    );
  }

  private holdersOf(index: number): ReadonlySet<string> {
    const holders = new Set<string>();
    if (this.log.durableIndex >= index) holders.add(this.id);
    for (const [id, replicator] of this.replicators) {
      if (replicator.matchIndex >= index) holders.add(id);
    }
    return holders;
  }

  /** Whether a majority answered messages that were sent a short time ago. */
  private get isConfirmed(): boolean {
    const oldest = this.runtime.clock.now() - LEADERSHIP_PROOF_MS;
    return this.membershipState.isQuorum(this.peersThat((peer) => peer.confirmedAt >= oldest));
  }

  /** This member and the peers whose replicators fit. */
  private peersThat(fits: (replicator: PeerReplicator) => boolean): ReadonlySet<string> {
    const peers = new Set([this.id]);
    for (const [id, replicator] of this.replicators) if (fits(replicator)) peers.add(id);
    return peers;
  }

  private adoptMembership(): void {
    this.membershipState = Membership.fromMessage(this.log.membership);
    if (this.role === 'leader') this.updateReplicators();
  }

  private updateReplicators(): void {
    const members = this.membershipState.members.filter((member) => member.id !== this.id);
    for (const [id, replicator] of this.replicators) {
      if (members.some((member) => member.id === id)) continue;
      replicator.stop();
      this.replicators.delete(id);
    }
    for (const member of members) {
      if (this.replicators.has(member.id)) continue;
      const replicator = new PeerReplicator(this, member, this.term);
      this.replicators.set(member.id, replicator);
      replicator.start();
    }
  }

  private replicateToAll(): void {
    for (const replicator of this.replicators.values()) replicator.trigger();
  }

  // ---- elections ----

  private heardLeaderRecently(): boolean {
    return this.runtime.clock.now() - this.heardLeaderAt < this.options.electionTimeoutMs;
  }

  private onElectionTimeout(): void {
    this.electionTimer.restart();
    if (this.role === 'leader') {
      // Check-quorum: a leader that was cut off stops accepting.
      if (!this.hasQuorum) this.stepDown(this.term);
      return;
    }
    // The votes of a candidate are still on their way: another term would only make them worthless.
    if (this.role === 'candidate' && this.runtime.clock.now() < this.votesDueAt) return;
    if (this.membershipState.isVoter(this.id)) void this.campaign();
  }

  private async campaign(): Promise<void> {
    const term = this.term + 1;
    const { clock } = this.runtime;
    const begunAt = clock.now();
    this.leader = '';
    // Pre-vote: a member that can't win must not disturb the cluster with a higher term. Several may be under way, where
    // a trip takes longer than the time between two tries; the first that is granted counts.
    const mayWin = await this.collectVotes(term, true, 0);
    const votedAt = clock.now();
    // In a term that began meanwhile another member is about to win, or this one is, or has won.
    if (!mayWin || this.role === 'leader' || this.term !== term - 1) return;
    if (this.stopped || this.expectsLeader) return;
    this.term = term;
    this.votesDueAt = votedAt + 2 * (votedAt - begunAt);
    this.setRole('candidate');
    const isSaved = await saveOwnVote(this, term);
    // A round trip and a sync at the voter, as the pre-vote and the own vote took, then the way of the first message.
    const winningMs = 2 * (votedAt - begunAt) + (clock.now() - votedAt);
    const hasWon = isSaved && (await this.collectVotes(term, false, winningMs));
    // A member that stepped down meanwhile, or is in another term, is a candidate no more.
    if (this.term !== term || this.role !== 'candidate') return;
    if (hasWon) {
      this.becomeLeader();
      return;
    }
    this.setRole('follower');
    this.electionTimer.noteLostVote();
  }

  private collectVotes(term: number, preVote: boolean, winningMs: number): Promise<boolean> {
    const voteRequest: whinyoke.IVoteRequest = {
      term,
      candidate: this.id,
      lastIndex: this.log.lastIndex,
      lastTerm: this.log.lastTerm,
      preVote,
      winningMs: Math.ceil(winningMs),
    };
    return collectVotes(this, voteRequest);
  }

  private async onVoteRequest(request: whinyoke.IVoteRequest): Promise<MessageBody> {
    const term = request.term ?? 0;
    if (request.receiver !== this.id) return this.voteReply(false);
    if (request.preVote) return this.voteReply(this.wouldVoteFor(request));
    if (term < this.term) return this.voteReply(false);
    if (term > this.term) this.stepDown(term);
    const candidate = request.candidate ?? '';
    const { vote } = this.log;
    const isFree = vote.term < term || vote.votedFor === '' || vote.votedFor === candidate;
    if (!isFree || !this.log.isCoveredBy(request)) {
      await this.log.saveVote({ term: this.term, votedFor: this.votedFor() });
      return this.voteReply(false);
    }
    const winningMs = Math.min(request.winningMs ?? 0, this.options.electionTimeoutMs);
    this.leaderDueAt = this.runtime.clock.now() + winningMs;
    this.electionTimer.restart(winningMs);
    await this.log.saveVote({ term, votedFor: candidate });
    return this.voteReply(this.term === term);
  }

  /** Answer to a pre-vote: a cluster that has a leader, or a member that has voted, is not disturbed. */
  private wouldVoteFor(request: whinyoke.IVoteRequest): boolean {
    const term = request.term ?? 0;
    const isFree = term > this.term || (term === this.term && this.votedFor() === '');
    if (this.role === 'leader' && this.hasQuorum) return false;
    return isFree && !this.expectsLeader && this.log.isCoveredBy(request);
  }

  /** Whether a leader was heard of lately, or is about to be: this member has just voted for somebody. */
  private get expectsLeader(): boolean {
    return this.heardLeaderRecently() || this.runtime.clock.now() < this.leaderDueAt;
  }

  /** Vote of the current term. */
  private votedFor(): string {
    const { vote } = this.log;
    return vote.term === this.term ? vote.votedFor : '';
  }

  private voteReply(granted: boolean): MessageBody {
    return { voteReply: { term: this.term, granted, voter: this.id } };
  }

  private setRole(role: RaftRole): void {
    if (this.role === role) return;
    this.role = role;
    this.observer.onRole?.(role, this.term);
  }

  private becomeLeader(): void {
    this.setRole('leader');
    this.leader = this.id;
    this.electionTimer.noteLeader();
    this.electionTimer.restart();
    const term = this.term;
    this.updateReplicators();
    this.leadershipIndex = this.log.lastIndex + 1;
    this.appendOwn({
      term,
      index: this.log.lastIndex + 1,
      kind: whinyoke.EntryKind.NO_OPERATION,
      command: new Uint8Array(0),
      membership: undefined,
    });
  }

  private stepDown(term: number): void {
    const wasLeader = this.role === 'leader';
    if (term > this.term) {
      this.term = term;
      this.leader = '';
    }
    this.setRole('follower');
    if (!wasLeader) return;
    this.leader = '';
    for (const replicator of this.replicators.values()) replicator.stop();
    this.replicators.clear();
    for (const proposal of this.proposals.values()) {
      proposal.reject(new LeadershipLostError('leadership was lost'));
    }
    this.proposals.clear();
    this.electionTimer.restart();
  }

  // ---- replication, receiving side ----

  private async onAppendRequest(request: whinyoke.IAppendRequest): Promise<MessageBody> {
    const term = request.term ?? 0;
    if (request.receiver !== this.id || term < this.term) return this.appendReply(false, 0);
    this.followLeader(term, request.leader ?? '');
    const previousIndex = request.previousIndex ?? 0;
    const previousTerm = request.previousTerm ?? 0;
    if (!this.matches(previousIndex, previousTerm)) {
      await this.persistTerm();
      return this.appendReply(false, Math.min(previousIndex - 1, this.log.lastIndex));
    }
    const entries = (request.entries ?? []).map(entryFromMessage);
    const durable = this.store(entries);
    const matchIndex = previousIndex + entries.length;
    await Promise.all([this.persistTerm(), durable]);
    if (this.term !== term) return this.appendReply(false, 0);
    if (this.log.durableIndex < matchIndex) {
      throw new NotDurableError(`entries up to ${matchIndex} are not on disk`);
    }
    this.applier.commitTo(Math.min(request.commitIndex ?? 0, matchIndex));
    return this.appendReply(true, matchIndex);
  }

  /** Entries that a snapshot replaced are committed, so they match. */
  private matches(previousIndex: number, previousTerm: number): boolean {
    const snapshotIndex = this.log.snapshot?.lastIndex ?? 0;
    if (previousIndex < snapshotIndex) return true;
    return this.log.termAt(previousIndex) === previousTerm;
  }

  private store(entries: readonly LogEntry[]): Promise<void> {
    const snapshotIndex = this.log.snapshot?.lastIndex ?? 0;
    const unknown = entries.filter(
      (entry) => entry.index > snapshotIndex && this.log.termAt(entry.index) !== entry.term,
    );
    const first = unknown[0];
    if (!first) return this.log.settled();
    if (first.index <= this.log.lastIndex) this.log.truncateFrom(first.index);
    const durable = this.log.append(entries.filter((entry) => entry.index >= first.index));
    this.adoptMembership();
    return durable.catch((error: unknown) => {
      this.adoptMembership();
      throw error;
    });
  }

  private followLeader(term: number, leader: string): void {
    if (term > this.term || this.role !== 'follower') this.stepDown(term);
    const isNews = leader !== this.leader;
    this.leader = leader;
    this.electionTimer.noteLeader();
    if (isNews) this.observer.onLeadership?.();
    this.heardLeaderAt = this.runtime.clock.now();
    this.electionTimer.restart();
  }

  /** A term must be durable before any answer in it. */
  private persistTerm(): Promise<void> {
    if (this.log.durableTerm >= this.term) return Promise.resolve();
    return this.log.saveVote({ term: this.term, votedFor: this.votedFor() });
  }

  private appendReply(success: boolean, matchIndex: number): MessageBody {
    return { appendReply: { term: this.term, success, matchIndex, follower: this.id } };
  }

  private async onSnapshotRequest(request: whinyoke.ISnapshotRequest): Promise<MessageBody> {
    const term = request.term ?? 0;
    const lastIndex = request.lastIndex ?? 0;
    const refused = { snapshotReply: { term: this.term, installed: false, matchIndex: 0 } };
    if (request.receiver !== this.id || term < this.term) return refused;
    this.followLeader(term, request.leader ?? '');
    await this.persistTerm();
    const held = Math.min(this.applier.commitIndex, this.log.durableIndex);
    if (lastIndex > held) await this.installSnapshot(lastIndex, request);
    return { snapshotReply: { term: this.term, installed: true, matchIndex: lastIndex } };
  }

  private async installSnapshot(
    lastIndex: number,
    request: whinyoke.ISnapshotRequest,
  ): Promise<void> {
    if (lastIndex > (this.log.snapshot?.lastIndex ?? 0)) {
      const snapshot: Snapshot = {
        lastIndex,
        lastTerm: request.lastTerm ?? 0,
        membership: request.membership ?? {},
        state: request.state ?? new Uint8Array(0),
      };
      const stored = this.log.compact(snapshot);
      if (lastIndex > this.applier.commitIndex) {
        this.applier.restore(lastIndex, snapshot.state);
      }
      this.adoptMembership();
      await stored;
    }
    // An earlier try may have left the snapshot in memory only.
    await this.log.persistSnapshot();
  }

  // ---- applying ----

  private onEntryApplied(entry: LogEntry, result: Uint8Array): void {
    const proposal = this.proposals.get(entry.index);
    this.proposals.delete(entry.index);
    if (proposal?.term === entry.term) proposal.resolve(result);
    else proposal?.reject(new LeadershipLostError('another entry took this place'));
    const wasRemoved = entry.membership && !this.membershipState.find(this.id);
    if (wasRemoved && this.role === 'leader') this.stepDown(this.term);
  }
}
