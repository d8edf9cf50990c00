/**
 * Tracks the latency, failures and replication lag of one instance from the answers to this proxy's
 * own statements, so that reads avoid instances that are slow, failing, unreachable or behind.
 * Pure: the caller passes the time.
 *
 * - Slow: an answer that exceeds the smoothed latency by several mean deviations counts as lost.
 * - Failing: a moving fraction of refused or failed answers, which decays over time; the replica
 *   selector weighs it.
 * - Ejected: after a broken connection or a missing answer the instance is skipped, for longer with
 *   each consecutive failure.
 * - Behind: after the instance lacked a position, it is not asked for positions that it is not
 *   known to have, for longer with each consecutive miss.
 */
import { type Position, covers } from '../../positions/position.js';

/** Weight of the newest sample in latency and deviation, a fraction: about the last ten count. */
const LATENCY_WEIGHT = 0.1;
/** Latency and deviation assumed before the first answer. */
const INITIAL_LATENCY_MS = 10;
/**
 * Lower bound of the slow-answer threshold: a process pause or a lost packet must not count as a
 * failure.
 */
const MIN_SLOW_ANSWER_THRESHOLD_MS = 80;
/** Mean deviations above the latency at which an answer counts as lost. */
const SLOW_ANSWER_DEVIATIONS = 6;
const INITIAL_EJECTION_MS = 200;
/** Three doublings of the initial ejection. */
const MAX_EJECTION_MS = 1600;
/**
 * An instance that lacked a position is not asked for it for this time, doubled with each
 * consecutive miss: without the doubling, a replica that is far behind turns away many statements
 * (docs/incidents/toplina-inc-7036.md).
 */
const INITIAL_LAGGING_RECHECK_MS = 60;
const MAX_LAGGING_RECHECK_MS = 1000;
/** Keeps the power finite; the maximum is reached well before. */
const MAX_DOUBLINGS = 10;
/** Weight of the newest answer in the fraction of failures. */
const FAILURE_WEIGHT = 0.1;
/** Half-life of the fraction of failures, after which the instance is tried again. */
const FAILURE_HALF_LIFE_MS = 2000;

/** `initialMs` doubled `doublings` times, at most `maxMs`. */
function exponentialBackoffMs(initialMs: number, doublings: number, maxMs: number): number {
  return Math.min(initialMs * 2 ** Math.min(doublings, MAX_DOUBLINGS), maxMs);
}

/** Load and health of one instance. */
export class InstanceLoad {
  /** Number of requests that wait for a connection and of statements in flight. */
  outstanding = 0;
  private smoothedLatencyMs = INITIAL_LATENCY_MS;
  private deviationMs = INITIAL_LATENCY_MS;
  private consecutiveFailures = 0;
  private lastFailureFraction = 0;
  private lastFailureFractionAt = -Infinity;
  private ejectedUntil = -Infinity;
  private lastAppliedPosition: Position | undefined;
  private consecutiveLags = 0;
  private laggingUntil = -Infinity;

  /** Smoothed statement latency, in milliseconds. */
  get latencyMs(): number {
    return this.smoothedLatencyMs;
  }

  /** Time after which an answer is most likely lost, in milliseconds. */
  get slowAnswerThresholdMs(): number {
    const expectedMs = this.smoothedLatencyMs + SLOW_ANSWER_DEVIATIONS * this.deviationMs;
    return Math.max(MIN_SLOW_ANSWER_THRESHOLD_MS, expectedMs);
  }

  /**
   * Records an answer that took `durationMs`. Ends the ejection and resets the consecutive failures
   * and misses.
   */
  recordAnswer(durationMs: number, now: number): void {
    this.updateFailureFraction(0, now);
    const difference = durationMs - this.smoothedLatencyMs;
    this.smoothedLatencyMs += LATENCY_WEIGHT * difference;
    this.deviationMs += LATENCY_WEIGHT * (Math.abs(difference) - this.deviationMs);
    this.consecutiveFailures = 0;
    this.consecutiveLags = 0;
    this.ejectedUntil = -Infinity;
  }

  /** Records a broken connection or a missing answer, and ejects the instance for a while. */
  recordFailure(now: number): void {
    this.ejectedUntil =
      now + exponentialBackoffMs(INITIAL_EJECTION_MS, this.consecutiveFailures, MAX_EJECTION_MS);
    this.consecutiveFailures++;
  }

  /** Records that a reachable instance refused or failed a request. */
  recordRefusal(now: number): void {
    this.updateFailureFraction(1, now);
  }

  /** Fraction of recent answers that were refusals or failures, from 0 to 1; decays over time. */
  failureFraction(now: number): number {
    if (this.lastFailureFraction === 0) return 0;
    return (
      this.lastFailureFraction *
      2 ** (-Math.max(0, now - this.lastFailureFractionAt) / FAILURE_HALF_LIFE_MS)
    );
  }

  /** Whether the instance is skipped after a failure. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** Records the position that the instance reported as applied. */
  recordPosition(position: Position): void {
    this.lastAppliedPosition = position;
  }

  /** Records that the instance lacked the position that a read asked for. */
  recordLagging(now: number): void {
    const recheckMs = exponentialBackoffMs(
      INITIAL_LAGGING_RECHECK_MS,
      this.consecutiveLags,
      MAX_LAGGING_RECHECK_MS,
    );
    this.laggingUntil = now + recheckMs;
    this.consecutiveLags++;
  }

  /** Whether the instance recently lacked a position and is not known to have this one. */
  isBehind(wanted: Position, now: number): boolean {
    if (this.lastAppliedPosition && covers(this.lastAppliedPosition, wanted)) return false;
    return now < this.laggingUntil;
  }

  private updateFailureFraction(outcome: 0 | 1, now: number): void {
    const currentFraction = this.failureFraction(now);
    this.lastFailureFraction = currentFraction + FAILURE_WEIGHT * (outcome - currentFraction);
    this.lastFailureFractionAt = now;
  }
}
