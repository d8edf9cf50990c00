/**
 * DECISION: who wins an election, and whom a member votes for. When one begins: `election_timer.ts`.
 *
 * Answers: the leader crashed or was cut off, or all members start at once, also in regions that are far apart.
 * Inputs: the log's newest index and term, the stored vote (term and member), milliseconds since a leader was heard of,
 *   and how long the pre-vote and the sync of the own vote just took (milliseconds).
 * Rule: a member tries with a pre-vote, which changes nothing, and asks for votes in a new term only when a majority
 *   granted it. A voter grants one vote a term, to a candidate whose log is not behind its own, and no pre-vote while it
 *   hears of a leader or waits for one that it voted for. The candidate with the votes of a majority of voters leads.
 *   A candidate waits for its votes for twice the time of its pre-vote; a voter gives the winner the time that the
 *   candidate named in its request, at most an election timeout. No constants of its own. Both holds were measured over 200 returns
 *   of power: docs/design/control-over-regions.md, test/simulation/elections.test.ts.
 *
 * Owns when a leader was heard of last, and until when one is waited for. Relies on the disk (a vote counts once it is
 * synced; a disk that fails makes this member no candidate) and on the other voters' answers (any of them may be missing).
 */
import { whinyoke } from '../protocol/generated/messages.js';
import type { MessageBody } from '../runtime/runtime.js';
import { ElectionTimer } from './election_timer.js';
import type { MemberState, RaftRuntime } from './member_state.js';
import type { RaftOptions } from './raft_options.js';
import { collectVotes } from './vote_collector.js';

/** The leader's side of a member, as far as elections need it. */
export interface Leadership {
  /** Whether this leader is in contact with a majority. */
  readonly hasQuorum: boolean;
  /** Begins to lead in the present term. */
  startLeading(): void;
}

/** Elections as one member takes part in them. */
export class LeaderElection {
  private readonly timer: ElectionTimer;
  /** Clock reading of the newest message of a leader, in milliseconds. */
  private lastLeaderMessageAt = -Infinity;
  /** Until when a member that this one voted for may take to send its first message as a leader. */
  private awaitsWinnerUntil = -Infinity;
  /** Until when the votes of this candidate may be on their way: twice the time that its pre-vote took. */
  private awaitsVotesUntil = -Infinity;
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

  /** Waits one more election timeout before this member acts. */
  restartTimer(): void {
    this.timer.restart();
  }

  /** Ends for good. */
  stop(): void {
    this.isStopped = true;
    this.timer.stop();
  }

  /** Whether a leader was heard of within an election timeout. */
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

  /** Answers a candidate. */
  async onVoteRequest(request: whinyoke.IVoteRequest): Promise<MessageBody> {
    const { state } = this;
    const term = request.term ?? 0;
    if (request.receiver !== state.id) return this.voteReply(false);
    if (request.preVote) return this.voteReply(this.grantsPreVote(request));
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

  /** Whether the vote of a term is not given to another candidate. */
  private mayVoteFor(candidate: string, term: number): boolean {
    const { vote } = this.state.log;
    return vote.term < term || vote.votedFor === '' || vote.votedFor === candidate;
  }

  /** Leaves the candidate that gets this member's vote the time that it needs to win. */
  private deferToCandidate(requestedMs: number): void {
    const winningMs = Math.min(requestedMs, this.options.electionTimeoutMs);
    this.awaitsWinnerUntil = this.runtime.clock.now() + winningMs;
    this.timer.restart(winningMs);
  }

  /** Answer to a pre-vote: a cluster that has a leader, or a member that has voted, is not disturbed. */
  private grantsPreVote(request: whinyoke.IVoteRequest): boolean {
    const { state } = this;
    const term = request.term ?? 0;
    const isVoteAvailable = term > state.term || (term === state.term && state.votedFor === '');
    if (state.role === 'leader' && this.leadership.hasQuorum) return false;
    return isVoteAvailable && !this.expectsLeader && state.log.isCandidateUpToDate(request);
  }

  /** Whether a leader was heard of lately, or is about to be: this member has just voted for somebody. */
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
      // Check-quorum: a leader that was cut off stops accepting.
      if (!this.leadership.hasQuorum) state.stepDown(state.term);
      return;
    }
    // The votes of a candidate are still on their way: another term would only make them worthless.
    if (state.role === 'candidate' && this.runtime.clock.now() < this.awaitsVotesUntil) return;
    if (state.membership.isVoter(state.id)) void this.campaign();
  }

  private async campaign(): Promise<void> {
    const { state } = this;
    const { clock } = this.runtime;
    const term = state.term + 1;
    const startedAt = clock.now();
    state.leader = '';
    // Pre-vote: a member that can't win must not disturb the cluster with a higher term. Several may be under way, where
    // a trip takes longer than the time between two tries; the first that is granted counts.
    const isPreVoteGranted = await this.collectVotes(term, true, 0);
    const preVoteMs = clock.now() - startedAt;
    // In a term that began meanwhile another member is about to win, or this one is, or has won.
    if (!isPreVoteGranted || state.role === 'leader' || state.term !== term - 1) return;
    if (this.isStopped || this.expectsLeader) return;
    const hasWon = await this.requestVotes(term, preVoteMs);
    // A member that stepped down meanwhile, or is in another term, is a candidate no more.
    if (state.term !== term || state.role !== 'candidate') return;
    if (hasWon) {
      this.becomeLeader();
      return;
    }
    state.stepDown(term);
    this.timer.recordLostElection();
  }

  /** Stands in a new term; resolves with whether a majority voted for this member. */
  private async requestVotes(term: number, preVoteMs: number): Promise<boolean> {
    const { clock } = this.runtime;
    const candidateSince = clock.now();
    this.awaitsVotesUntil = candidateSince + 2 * preVoteMs;
    this.state.becomeCandidate(term);
    const isSaved = await this.saveOwnVote(term);
    // A round trip and a sync at the voter, as the pre-vote and the own vote took, then the way of the first message.
    const winningMs = 2 * preVoteMs + (clock.now() - candidateSince);
    return isSaved && (await this.collectVotes(term, false, winningMs));
  }

  /** Stores the vote of this member for itself; resolves with whether that succeeded. */
  private async saveOwnVote(term: number): Promise<boolean> {
    try {
      await this.state.log.saveVote({ term, votedFor: this.state.id });
      return true;
    } catch {
      // Nobody knows of this vote, so nothing is lost; the next election timeout tries again.
      return false;
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
