/** When a member that hears of no leader tries to become one. */
import type { Clock, RandomSource, Timer } from '../runtime/runtime.js';
import type { RaftOptions } from './raft_options.js';

/** Most of the first wait that is left to chance, as a part of its length: equal ranks must not collide for ever. */
const FIRST_WAIT_SPREAD = 0.25;

/**
 * Each lost vote spreads the tries over so many times the usual time more. With 2 the longest of 200 returns of power to
 * two regions 30 ms apart took 903 ms until a leader stayed, with 1 and 3 1,007 and 1,204 ms (elections.test.ts).
 */
const SPREAD_BY_LOST_VOTE = 2;
/** Beyond so many lost votes the tries are not spread over more time. */
const MOST_LOST_VOTES = 3;

/** Timer of one member. */
export class ElectionTimer {
  private timer: Timer | undefined;
  private hasSeenLeader = false;
  private hasFired = false;
  /** Votes that this member lost since it knew a leader. */
  private lostVotes = 0;
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: RaftOptions,
    private readonly onTimeout: () => void,
    /** Position of this member among the voters, from 0; undefined while no voters are known. */
    private readonly rank: () => number | undefined,
  ) {}

  /** Begins to wait anew, for `moreMs` longer than usual. */
  restart(moreMs = 0): void {
    this.timer?.cancel();
    if (this.isStopped) return;
    const [shortest, longest] = this.range;
    const timeout = moreMs + this.random.integer(shortest, longest);
    this.timer = this.clock.setTimer(timeout, () => {
      this.hasFired = true;
      this.onTimeout();
    });
  }

  /** Notes that there was a leader since this member started: from now on silence is borne for longer. */
  noteLeader(): void {
    this.hasSeenLeader = true;
    this.lostVotes = 0;
  }

  /**
   * Notes that this member got too few votes: others wanted them at the same time. Candidates that collided once are a
   * trip apart at most, so their next tries are spread over more than that.
   */
  noteLostVote(): void {
    this.lostVotes = Math.min(this.lostVotes + 1, MOST_LOST_VOTES);
  }

  /** Stops to wait, for good. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Shortest and longest wait, in milliseconds. */
  private get range(): readonly [number, number] {
    const { earlyElectionMs, electionTimeoutMs } = this.options;
    if (earlyElectionMs === undefined || this.hasSeenLeader) {
      return [electionTimeoutMs, electionTimeoutMs * 2];
    }
    const third = Math.ceil(earlyElectionMs / 3);
    if (this.hasFired) return [third, earlyElectionMs * (1 + SPREAD_BY_LOST_VOTE * this.lostVotes)];
    const rank = this.rank();
    if (rank === undefined) return [Math.ceil(third / 3), third];
    // After a start of all members the first tries follow one another, so that they don't collide.
    const first = Math.ceil(third / 3) + rank * third;
    return [first, Math.ceil(first * (1 + FIRST_WAIT_SPREAD))];
  }
}
