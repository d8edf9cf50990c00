/**
 * DECISION: when a member that hears of no leader tries to become one.
 *
 * Answers: a leader that is lost; a start of all members at once; candidates that collide, also in regions far apart.
 * Inputs: election timeouts of the options (milliseconds), whether a leader was seen since the start, the place of this
 *   member among the voters, votes lost since a leader was known, and a random draw for each wait.
 * Rule: with a leader seen, one to two election timeouts after its newest message. Before that, with early elections: the
 *   first try after a ninth of the early timeout and a third more for each voter with a lesser name; later ones between a
 *   third of it and a multiple that grows with each lost vote. A vote for another member adds the time that it needs to win.
 * Constants: below; docs/design/control-over-regions.md shows the ways weighed.
 *
 * Owns one timer. Relies on the clock and on random numbers, neither of which fails.
 */
import type { Clock, RandomSource, Timer } from '../runtime/runtime.js';
import type { RaftOptions } from './raft_options.js';

/**
 * Most of the first wait that is left to chance, as a part of its length: equal ranks must not collide for ever. A guess, not
 * measured.
 */
const FIRST_WAIT_JITTER = 0.25;

/**
 * Each lost vote spreads the tries over so many times the usual time more. With 2 the longest of 200 returns of power to
 * two regions 30 ms apart took 903 ms until a leader stayed, with 1 and 3 1,007 and 1,204 ms (elections.test.ts).
 */
const BACKOFF_PER_LOST_ELECTION = 2;
/** Beyond so many lost votes the tries are not spread over more time. A guess, not measured. */
const MAX_COUNTED_LOST_ELECTIONS = 3;

/** Timer of one member. */
export class ElectionTimer {
  private timer: Timer | undefined;
  private hasSeenLeader = false;
  private hasFired = false;
  /** Votes that this member lost since it knew a leader. */
  private lostElections = 0;
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: RaftOptions,
    private readonly onTimeout: () => void,
    /** Position of this member among the voters, from 0; undefined while no voters are known. */
    private readonly voterRank: () => number | undefined,
  ) {}

  /** Begins to wait anew, for `moreMs` longer than usual. */
  restart(extraDelayMs = 0): void {
    this.timer?.cancel();
    if (this.isStopped) return;
    const [shortest, longest] = this.timeoutRangeMs;
    const timeout = extraDelayMs + this.random.integer(shortest, longest);
    this.timer = this.clock.setTimer(timeout, () => {
      this.hasFired = true;
      this.onTimeout();
    });
  }

  /** There is a leader: from now on this member tries only after whole election timeouts, until it restarts. */
  recordLeader(): void {
    this.hasSeenLeader = true;
    this.lostElections = 0;
  }

  /**
   * This member got too few votes: others wanted them at the same time. Candidates that collided once are a
   * trip apart at most, so their next tries are spread over more than that.
   */
  recordLostElection(): void {
    this.lostElections = Math.min(this.lostElections + 1, MAX_COUNTED_LOST_ELECTIONS);
  }

  /** Stops to wait, for good. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Shortest and longest wait, in milliseconds. */
  private get timeoutRangeMs(): readonly [number, number] {
    const { initialElectionTimeoutMs, electionTimeoutMs } = this.options;
    if (initialElectionTimeoutMs === undefined || this.hasSeenLeader) {
      return [electionTimeoutMs, electionTimeoutMs * 2];
    }
    const third = Math.ceil(initialElectionTimeoutMs / 3);
    if (this.hasFired)
      return [
        third,
        initialElectionTimeoutMs * (1 + BACKOFF_PER_LOST_ELECTION * this.lostElections),
      ];
    const rank = this.voterRank();
    if (rank === undefined) return [Math.ceil(third / 3), third];
    // After a start of all members the first tries follow one another, so that they don't collide.
    const first = Math.ceil(third / 3) + rank * third;
    return [first, Math.ceil(first * (1 + FIRST_WAIT_JITTER))];
  }
}
