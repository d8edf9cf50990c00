/** When a member that hears of no leader tries to become one. */
import type { Clock, RandomSource, Timer } from '../runtime/runtime.js';
import type { RaftOptions } from './raft_options.js';

/** Timer of one member. */
export class ElectionTimer {
  private timer: Timer | undefined;
  private hasSeenLeader = false;
  private hasFired = false;
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: RaftOptions,
    private readonly onTimeout: () => void,
  ) {}

  /** Begins to wait anew. */
  restart(): void {
    this.timer?.cancel();
    if (this.isStopped) return;
    const [shortest, longest] = this.range;
    const timeout = this.random.integer(shortest, longest);
    this.timer = this.clock.setTimer(timeout, () => {
      this.hasFired = true;
      this.onTimeout();
    });
  }

  /** Notes that there was a leader since this member started: from now on silence is borne for longer. */
  noteLeader(): void {
    this.hasSeenLeader = true;
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
    return this.hasFired ? [third, earlyElectionMs] : [Math.ceil(third / 3), third];
  }
}
