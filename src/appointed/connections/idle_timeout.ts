/**
 * How long an idle connection is kept. Grows with each connection that could be opened, and is halved when the
 * instance had none left: all proxies together keep about as many as the instance takes, without a word
 * between them (additive increase, multiplicative decrease).
 */

const SHORTEST_MS = 50;
const INCREASE_MS = 10;
const DECREASE_FACTOR = 0.5;

/** Patience of one pool. */
export class IdleTimeout {
  /** Without a bound of its own until the instance first had no connection left. */
  private patienceMs = Infinity;

  /** Notes a connection that was opened. */
  noteOpened(): void {
    this.patienceMs += INCREASE_MS;
  }

  /** Notes that the instance had no connection left. */
  noteLimit(longestMs: number): void {
    const present = Math.min(this.patienceMs, longestMs);
    this.patienceMs = Math.max(SHORTEST_MS, present * DECREASE_FACTOR);
  }

  /** Time after which an idle connection is closed, in milliseconds. */
  current(longestMs: number): number {
    return Math.min(this.patienceMs, longestMs);
  }
}
