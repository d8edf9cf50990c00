/**
 * Decision: when an instance counts as slow, failing, out of reach or behind, from the answers to one proxy's own
 * statements. Pure: each call is told the time.
 *
 * Load that it answers: instances that answer late, refuse a part of their requests, break connections, or have not yet
 * applied the positions that reads ask for. Reads go to the others meanwhile, and no statement waits for long for an
 * answer that is lost.
 *
 * Inputs: duration of each answer, time of each failure, refusal and missing position (milliseconds), positions that the
 * instance named.
 *
 * Rules:
 * - Slow: an answer later than the smoothed latency and several mean deviations is taken for lost.
 * - Failing: the fraction of the latest answers that were refusals, which fades with time; see the replica selector for what
 *   it costs.
 * - Out of reach: after a broken connection or a missing answer it is left out, for longer with each one in a row.
 * - Behind: after it lacked a position it is not asked for one that it is not known to have, for longer each time.
 *
 * docs/measurements/pieraksts.md says that ejection and the slow-answer threshold were not measured alone.
 * test/unit/router.test.ts holds the rules for failing, out of reach and behind.
 */
import { type Position, covers } from '../../positions/position.js';

/** Weight of the newest answer in latency and deviation, a fraction: about the last ten count. Guess, not measured. */
const LATENCY_WEIGHT = 0.1;
/** Latency and deviation that are assumed before the first answer, in milliseconds. Guess, not measured. */
const INITIAL_LATENCY_MS = 10;
/**
 * Shortest slow-answer threshold, in milliseconds: a pause of a process or a lost packet is no trouble yet. Guess, not
 * measured.
 */
const MIN_SLOW_ANSWER_THRESHOLD_MS = 80;
/**
 * Mean deviations above the latency (a count) from which an answer is unusually late: statements differ in length. Guess,
 * not measured.
 */
const SLOW_ANSWER_DEVIATIONS = 6;
/** Time that an instance is left out after its first failure, in milliseconds. Guess, not measured. */
const INITIAL_EJECTION_MS = 200;
/** Longest time that it is left out, in milliseconds: three doublings of the first. Guess, not measured. */
const MAX_EJECTION_MS = 1600;
/**
 * An instance that lacked a position is not asked for it again for this time, in milliseconds, doubled with each time in a
 * row. Without the doubling 1,984 statements did not run in one play (docs/incidents/toplina-inc-7036.md); 60 ms itself
 * is a guess, not measured.
 */
const INITIAL_LAGGING_RECHECK_MS = 60;
/** Longest such time, in milliseconds. Guess, not measured. */
const MAX_LAGGING_RECHECK_MS = 1000;
/** Doublings (a count) after which the longest time is reached in any case; keeps the power finite. */
const MAX_DOUBLINGS = 10;
/** Weight of the newest answer in the fraction of answers that failed, a fraction. Guess, not measured. */
const FAILURE_WEIGHT = 0.1;
/** The fraction of failures halves in this time, in milliseconds: the instance is tried again. Guess, not measured. */
const FAILURE_HALF_LIFE_MS = 2000;

/** `firstMs`, doubled `times` times, `longestMs` at most. */
function exponentialBackoffMs(initialMs: number, doublings: number, maxMs: number): number {
  return Math.min(initialMs * 2 ** Math.min(doublings, MAX_DOUBLINGS), maxMs);
}

/** Observations of one instance. */
export class InstanceLoad {
  /** Requests that wait for a connection, and statements under way. */
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

  /** Smoothed time of a statement, in milliseconds. */
  get latencyMs(): number {
    return this.smoothedLatencyMs;
  }

  /** Slow-answer threshold, in milliseconds: an answer that takes longer is most likely lost. */
  get slowAnswerThresholdMs(): number {
    const expectedMs = this.smoothedLatencyMs + SLOW_ANSWER_DEVIATIONS * this.deviationMs;
    return Math.max(MIN_SLOW_ANSWER_THRESHOLD_MS, expectedMs);
  }

  /** Records an answer that took `durationMs`: failures and missing positions are no longer in a row. */
  recordAnswer(durationMs: number, now: number): void {
    this.updateFailureFraction(0, now);
    const difference = durationMs - this.smoothedLatencyMs;
    this.smoothedLatencyMs += LATENCY_WEIGHT * difference;
    this.deviationMs += LATENCY_WEIGHT * (Math.abs(difference) - this.deviationMs);
    this.consecutiveFailures = 0;
    this.consecutiveLags = 0;
    this.ejectedUntil = -Infinity;
  }

  /** Records a broken connection or a missing answer: the instance is left out for a while. */
  recordFailure(now: number): void {
    this.ejectedUntil =
      now + exponentialBackoffMs(INITIAL_EJECTION_MS, this.consecutiveFailures, MAX_EJECTION_MS);
    this.consecutiveFailures++;
  }

  /** Records that the instance turned a request away, or failed it, although it could be reached. */
  recordRefusal(now: number): void {
    this.updateFailureFraction(1, now);
  }

  /** Fraction of the latest answers that were refusals or failures, from 0 to 1; it fades with time. */
  failureFraction(now: number): number {
    if (this.lastFailureFraction === 0) return 0;
    return (
      this.lastFailureFraction *
      2 ** (-Math.max(0, now - this.lastFailureFractionAt) / FAILURE_HALF_LIFE_MS)
    );
  }

  /** Whether the instance is left out after a failure. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** Records the position that the instance named as applied. */
  recordPosition(position: Position): void {
    this.lastAppliedPosition = position;
  }

  /** Records that the instance lacked a position that a read asked for. */
  recordLagging(now: number): void {
    const recheckMs = exponentialBackoffMs(
      INITIAL_LAGGING_RECHECK_MS,
      this.consecutiveLags,
      MAX_LAGGING_RECHECK_MS,
    );
    this.laggingUntil = now + recheckMs;
    this.consecutiveLags++;
  }

  /** Whether the instance lacked a position a short time ago, and is not known to have this one. */
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
