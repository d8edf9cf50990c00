/**
 * Decides when a member that receives no messages of a leader starts an election.
 *
 * Once it has seen a leader, a member waits one to two election timeouts after the leader's newest
 * message. Before that, with `initialElectionTimeoutMs`, it starts earlier: the first attempt is
 * staggered by the member's rank among the voters, so that members that start together do not split
 * the vote, and later attempts are spread over a range that grows with each lost election. A vote
 * for another member adds the time that the candidate needs to win. See
 * docs/design/control-over-regions.md.
 */
import type { Clock, RandomSource, Timer } from '../runtime/runtime.js';
import type { RaftOptions } from './raft_options.js';

/**
 * Random part of the first wait, relative to its length, so that members with equal ranks do not
 * collide forever.
 */
const FIRST_WAIT_JITTER = 0.25;

/**
 * Each lost election widens the range of waits by this multiple of the initial election timeout.
 */
const BACKOFF_PER_LOST_ELECTION = 2;
/** Further lost elections do not widen the range. */
const MAX_COUNTED_LOST_ELECTIONS = 3;

export class ElectionTimer {
  private timer: Timer | undefined;
  private hasSeenLeader = false;
  private hasFired = false;
  /** Elections lost since a leader was last known. */
  private lostElections = 0;
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: RaftOptions,
    private readonly onTimeout: () => void,
    /** Rank of this member among the voters, from 0; undefined while no voters are known. */
    private readonly voterRank: () => number | undefined,
  ) {}

  /** Restarts the wait, extended by `extraDelayMs`. */
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

  /** Records that there is a leader: full election timeouts apply until the process restarts. */
  recordLeader(): void {
    this.hasSeenLeader = true;
    this.lostElections = 0;
  }

  /**
   * Records that this member got too few votes because other candidates ran at the same time.
   * Colliding candidates are at most one network delay apart, so spreading the next attempts over a
   * longer range separates them.
   */
  recordLostElection(): void {
    this.lostElections = Math.min(this.lostElections + 1, MAX_COUNTED_LOST_ELECTIONS);
  }

  /** Stops permanently. */
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
    // The first attempts are staggered by rank so that they do not collide.
    const first = Math.ceil(third / 3) + rank * third;
    return [first, Math.ceil(first * (1 + FIRST_WAIT_JITTER))];
  }
}
