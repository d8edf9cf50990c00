/**
 * Decides whom a member votes for and which candidate wins. `election_timer.ts` decides when an
 * election starts.
 *
 * A member first runs a pre-vote, which changes no state, and starts a new term only if a majority
 * grants it. A voter grants one vote per term, to a candidate whose log is at least as up to date
 * as its own. It grants no vote while it receives messages of a leader, and no pre-vote while it
 * waits for a candidate that it voted for, either. A candidate with the votes of a majority of the voters becomes leader.
 *
 * Between distant regions votes arrive late, and on a slow disk they are stored late. A candidate
 * therefore waits for its votes while it stores its own, and then as long again and for twice the
 * duration of its pre-vote. A voter gives the candidate the time that the request asks for,
 * at most one election timeout. A vote counts once it is synced to disk; a member whose disk fails
 * does not become a candidate.
 */
import { whinyoke } from '../protocol/generated/messages.js';
import type { MessageBody } from '../runtime/runtime.js';
import { ElectionTimer } from './election_timer.js';
import type { MemberState, RaftRuntime } from './member_state.js';
import type { RaftOptions } from './raft_options.js';
import { collectVotes } from './vote_collector.js';

/** Leader functions of a member, as far as elections need them. */
export interface Leadership {
  /** Whether this leader is in contact with a majority. */
  readonly hasQuorum: boolean;
  /** Starts to lead in the current term. */
  startLeading(): void;
}

export class LeaderElection {
  private readonly timer: ElectionTimer;
  /** Clock reading of the newest message of a leader, in milliseconds. */
  private lastLeaderMessageAt = -Infinity;
  /**
   * Until when a candidate that this member voted for may take to send its first message as leader.
   */
  private awaitsWinnerUntil = -Infinity;
  /**
   * Until when votes for this candidate may still be in flight: twice the duration of its pre-vote, and that of storing its own.
   */
  private awaitsVotesUntil = -Infinity;
  /** Whether this candidate's own vote is being stored. */
  private isSavingOwnVote = false;
  private isStopped = false;

  constructor(
    private readonly state: MemberState,
    private readonly leadership: Leadership,
    private readonly runtime: RaftRuntime,
    private readonly options: RaftOptions,
  ) {
    this.timer = new ElectionTimer(
      runtime.clock,
      runtime.random,
      options,
      () => this.onTimeout(),
      () => state.membership.rankOfVoter(state.id),
    );
  }

  /** Restarts the wait for an election. */
  restartTimer(): void {
    this.timer.restart();
  }

  /** Stops permanently. */
  stop(): void {
    this.isStopped = true;
    this.timer.stop();
  }

  /** Whether a leader's message arrived within an election timeout. */
  get heardLeaderRecently(): boolean {
    return this.runtime.clock.now() - this.lastLeaderMessageAt < this.options.electionTimeoutMs;
  }

  /** Follows the sender of a leader's message. */
  followLeader(term: number, leader: string): void {
    const { state } = this;
    if (term > state.term || state.role !== 'follower') state.stepDown(term);
    const isNewLeader = leader !== state.leader;
    state.leader = leader;
    this.timer.recordLeader();
    if (isNewLeader) state.observer.onLeadership?.();
    this.lastLeaderMessageAt = this.runtime.clock.now();
    this.timer.restart();
  }

  /** Handles a vote or pre-vote request of a candidate. */
  async onVoteRequest(request: whinyoke.IVoteRequest): Promise<MessageBody> {
    const { state } = this;
    const term = request.term ?? 0;
    if (request.receiver !== state.id) return this.voteReply(false);
    if (request.preVote) return this.voteReply(this.grantsPreVote(request));
    // The leader may rely on this member's reply for an election timeout: a candidate whose pre-vote
    // was granted before that reply gets no vote.
    if (this.heardLeaderRecently) return this.voteReply(false);
    if (term < state.term) return this.voteReply(false);
    if (term > state.term) state.stepDown(term);
    const candidate = request.candidate ?? '';
    if (!this.mayVoteFor(candidate, term) || !state.log.isCandidateUpToDate(request)) {
      await state.log.saveVote({ term: state.term, votedFor: state.votedFor });
      return this.voteReply(false);
    }
    this.deferToCandidate(request.winningMs ?? 0);
    await state.log.saveVote({ term, votedFor: candidate });
    return this.voteReply(state.term === term);
  }

  /** Whether this member has not voted for another candidate in the term. */
  private mayVoteFor(candidate: string, term: number): boolean {
    const { vote } = this.state.log;
    return vote.term < term || vote.votedFor === '' || vote.votedFor === candidate;
  }

  /** Delays this member's own election by the time that the candidate needs to win. */
  private deferToCandidate(requestedMs: number): void {
    const winningMs = Math.min(requestedMs, this.options.electionTimeoutMs);
    this.awaitsWinnerUntil = this.runtime.clock.now() + winningMs;
    this.timer.restart(winningMs);
  }

  /**
   * Refuses while the cluster has a leader, or after this member has voted, so that elections do
   * not disturb it.
   */
  private grantsPreVote(request: whinyoke.IVoteRequest): boolean {
    const { state } = this;
    const term = request.term ?? 0;
    const isVoteAvailable = term > state.term || (term === state.term && state.votedFor === '');
    if (state.role === 'leader' && this.leadership.hasQuorum) return false;
    return isVoteAvailable && !this.expectsLeader && state.log.isCandidateUpToDate(request);
  }

  /**
   * Whether a leader's message arrived recently, or is expected because this member has just voted.
   */
  private get expectsLeader(): boolean {
    return this.heardLeaderRecently || this.runtime.clock.now() < this.awaitsWinnerUntil;
  }

  private voteReply(granted: boolean): MessageBody {
    return { voteReply: { term: this.state.term, granted, voter: this.state.id } };
  }

  private onTimeout(): void {
    const { state } = this;
    this.timer.restart();
    if (state.role === 'leader') {
      // Check-quorum: a leader that was partitioned from the majority stops accepting.
      if (!this.leadership.hasQuorum) state.stepDown(state.term);
      return;
    }
    // Votes for this candidate are still in flight; another term would make them worthless.
    if (state.role === 'candidate' && this.awaitsVotes) return;
    if (state.membership.isVoter(state.id)) void this.campaign();
  }

  private get awaitsVotes(): boolean {
    return this.isSavingOwnVote || this.runtime.clock.now() < this.awaitsVotesUntil;
  }

  private async campaign(): Promise<void> {
    const { state } = this;
    const { clock } = this.runtime;
    const term = state.term + 1;
    const startedAt = clock.now();
    state.leader = '';
    // Pre-vote: a member that can't win must not disturb the cluster with a higher term. Several
    // can be in flight if a round trip takes longer than the wait between attempts; the first one
    // granted counts.
    const isPreVoteGranted = await this.collectVotes(term, true, 0);
    const preVoteMs = clock.now() - startedAt;
    // If a term began in the meantime, its candidate is about to win, possibly this member.
    if (!isPreVoteGranted || state.role === 'leader' || state.term !== term - 1) return;
    if (this.isStopped || this.expectsLeader) return;
    const hasWon = await this.requestVotes(term, preVoteMs);
    // This member stepped down or entered another term in the meantime, so it is no longer a
    // candidate.
    if (state.term !== term || state.role !== 'candidate') return;
    if (hasWon) {
      this.becomeLeader();
      return;
    }
    state.stepDown(term);
    this.timer.recordLostElection();
  }

  /** Becomes a candidate in a new term; resolves with whether a majority voted for this member. */
  private async requestVotes(term: number, preVoteMs: number): Promise<boolean> {
    const { clock } = this.runtime;
    const candidateSince = clock.now();
    this.state.becomeCandidate(term);
    const isSaved = await this.saveOwnVote(term);
    const savingMs = clock.now() - candidateSince;
    // A round trip and a sync at the voter, estimated from the pre-vote and this member's own vote,
    // plus the network delay of the first leader message.
    const winningMs = 2 * preVoteMs + savingMs;
    this.awaitsVotesUntil = clock.now() + winningMs;
    return isSaved && (await this.collectVotes(term, false, winningMs));
  }

  /** Stores this member's vote for itself; resolves with whether that succeeded. */
  private async saveOwnVote(term: number): Promise<boolean> {
    this.isSavingOwnVote = true;
    try {
      await this.state.log.saveVote({ term, votedFor: this.state.id });
      return true;
    } catch {
      // The vote was not sent to any other member, so it has no effect; the next election timeout
      // retries.
      return false;
    } finally {
      this.isSavingOwnVote = false;
    }
  }

  private collectVotes(term: number, preVote: boolean, winningMs: number): Promise<boolean> {
    const { state, options, runtime } = this;
    const request: whinyoke.IVoteRequest = {
      term,
      candidate: state.id,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
      preVote,
      winningMs: Math.ceil(winningMs),
    };
    const { messenger } = runtime;
    return collectVotes({ state, messenger, timeoutMs: options.electionTimeoutMs }, request);
  }

  private becomeLeader(): void {
    this.state.becomeLeader();
    this.timer.recordLeader();
    this.timer.restart();
    this.leadership.startLeading();
  }
}
