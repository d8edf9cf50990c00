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
const SHORTEST_SLOW_ANSWER_MS = 80;
/**
 * Mean deviations above the latency (a count) from which an answer is unusually late: statements differ in length. Guess,
 * not measured.
 */
const SLOW_ANSWER_DEVIATIONS = 6;
/** Time that an instance is left out after its first failure, in milliseconds. Guess, not measured. */
const FIRST_EJECTION_MS = 200;
/** Longest time that it is left out, in milliseconds: three doublings of the first. Guess, not measured. */
const LONGEST_EJECTION_MS = 1600;
/**
 * An instance that lacked a position is not asked for it again for this time, in milliseconds, doubled with each time in a
 * row. Without the doubling 1,984 statements did not run in one play (docs/incidents/toplina-inc-7036.md); 60 ms itself
 * is a guess, not measured.
 */
const LAGGING_RECHECK_MS = 60;
/** Longest such time, in milliseconds. Guess, not measured. */
const LONGEST_LAGGING_RECHECK_MS = 1000;
/** Doublings (a count) after which the longest time is reached in any case; keeps the power finite. */
const MOST_DOUBLINGS = 10;
/** Weight of the newest answer in the fraction of answers that failed, a fraction. Guess, not measured. */
const FAILING_WEIGHT = 0.1;
/** The fraction of failures halves in this time, in milliseconds: the instance is tried again. Guess, not measured. */
const FAILING_HALF_LIFE_MS = 2000;

/** `firstMs`, doubled `times` times, `longestMs` at most. */
function doubled(firstMs: number, times: number, longestMs: number): number {
  return Math.min(firstMs * 2 ** Math.min(times, MOST_DOUBLINGS), longestMs);
}

/** Observations of one instance. */
export class InstanceLoad {
  /** Requests that wait for a connection, and statements under way. */
  outstanding = 0;
  private latencyMs = INITIAL_LATENCY_MS;
  private deviationMs = INITIAL_LATENCY_MS;
  private failures = 0;
  private failing = 0;
  private failingAt = -Infinity;
  private ejectedUntil = -Infinity;
  private applied: Position | undefined;
  private laggingAnswers = 0;
  private laggingUntil = -Infinity;

  /** Smoothed time of a statement, in milliseconds. */
  get latency(): number {
    return this.latencyMs;
  }

  /** Slow-answer threshold, in milliseconds: an answer that takes longer is most likely lost. */
  get slowAnswerThreshold(): number {
    const usual = this.latencyMs + SLOW_ANSWER_DEVIATIONS * this.deviationMs;
    return Math.max(SHORTEST_SLOW_ANSWER_MS, usual);
  }

  /** Records an answer that took `durationMs`: failures and missing positions are no longer in a row. */
  noteAnswer(durationMs: number, now: number): void {
    this.weighFailing(0, now);
    const difference = durationMs - this.latencyMs;
    this.latencyMs += LATENCY_WEIGHT * difference;
    this.deviationMs += LATENCY_WEIGHT * (Math.abs(difference) - this.deviationMs);
    this.failures = 0;
    this.laggingAnswers = 0;
    this.ejectedUntil = -Infinity;
  }

  /** Records a broken connection or a missing answer: the instance is left out for a while. */
  noteFailure(now: number): void {
    this.ejectedUntil = now + doubled(FIRST_EJECTION_MS, this.failures, LONGEST_EJECTION_MS);
    this.failures++;
  }

  /** Records that the instance turned a request away, or failed it, although it could be reached. */
  noteRefusal(now: number): void {
    this.weighFailing(1, now);
  }

  /** Fraction of the latest answers that were refusals or failures, from 0 to 1; it fades with time. */
  failingFraction(now: number): number {
    if (this.failing === 0) return 0;
    return this.failing * 2 ** (-Math.max(0, now - this.failingAt) / FAILING_HALF_LIFE_MS);
  }

  /** Whether the instance is left out after a failure. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** Records the position that the instance named as applied. */
  notePosition(position: Position): void {
    this.applied = position;
  }

  /** Records that the instance lacked a position that a read asked for. */
  noteLagging(now: number): void {
    const recheckMs = doubled(LAGGING_RECHECK_MS, this.laggingAnswers, LONGEST_LAGGING_RECHECK_MS);
    this.laggingUntil = now + recheckMs;
    this.laggingAnswers++;
  }

  /** Whether the instance lacked a position a short time ago, and is not known to have this one. */
  isBehind(wanted: Position, now: number): boolean {
    if (this.applied && covers(this.applied, wanted)) return false;
    return now < this.laggingUntil;
  }

  private weighFailing(outcome: 0 | 1, now: number): void {
    const present = this.failingFraction(now);
    this.failing = present + FAILING_WEIGHT * (outcome - present);
    this.failingAt = now;
  }
}
