/** What a router knows of one instance from its own statements: load, latency, position, failures. */
import { type Position, covers } from '../../positions/position.js';

const LATENCY_WEIGHT = 0.1;
const INITIAL_LATENCY_MS = 10;
const FIRST_EJECTION_MS = 200;
const LONGEST_EJECTION_MS = 1600;
/** An instance that lacked a position is asked again after this time, doubled with each time that it lacked. */
const LAGGING_RECHECK_MS = 60;
const LONGEST_LAGGING_RECHECK_MS = 1000;
/** Weight of one answer in the share of answers that failed. */
const FAILING_WEIGHT = 0.1;
/** An instance that is avoided for failing is tried more often again with time; in milliseconds. */
const FAILING_HALF_LIFE_MS = 2000;
const MINIMUM_PATIENCE_MS = 80;
const PATIENCE_DEVIATIONS = 6;

/** Observations of one instance. */
export class InstanceLoad {
  /** Statements under way. */
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

  /** Time after which an answer is unusually late, in milliseconds. */
  get patience(): number {
    const usual = this.latencyMs + PATIENCE_DEVIATIONS * this.deviationMs;
    return Math.max(MINIMUM_PATIENCE_MS, usual);
  }

  /** Notes an answer that took `durationMs`. */
  noteAnswer(durationMs: number, now: number): void {
    this.weighFailing(0, now);
    const difference = durationMs - this.latencyMs;
    this.latencyMs += LATENCY_WEIGHT * difference;
    this.deviationMs += LATENCY_WEIGHT * (Math.abs(difference) - this.deviationMs);
    this.failures = 0;
    this.laggingAnswers = 0;
    this.ejectedUntil = -Infinity;
  }

  /** Notes a broken connection or a missing answer: the instance is avoided for a while. */
  noteFailure(now: number): void {
    this.failures++;
    const ejection = FIRST_EJECTION_MS * 2 ** Math.min(this.failures - 1, 10);
    this.ejectedUntil = now + Math.min(ejection, LONGEST_EJECTION_MS);
  }

  /** Notes that the instance turned a request away, or failed it, although it could be reached. */
  noteRefusal(now: number): void {
    this.weighFailing(1, now);
  }

  /** Share of the latest answers that were refusals or failures, from 0 to 1; it fades with time. */
  failingShare(now: number): number {
    if (this.failing === 0) return 0;
    return this.failing * 2 ** (-Math.max(0, now - this.failingAt) / FAILING_HALF_LIFE_MS);
  }

  /** Whether the instance is avoided. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  private weighFailing(outcome: 0 | 1, now: number): void {
    const present = this.failingShare(now);
    this.failing = present + FAILING_WEIGHT * (outcome - present);
    this.failingAt = now;
  }

  /** Notes the position that the instance told. */
  notePosition(position: Position): void {
    this.applied = position;
  }

  /** Notes that the instance lacked a position that a read asked for. */
  noteLagging(now: number): void {
    const recheckMs = LAGGING_RECHECK_MS * 2 ** Math.min(this.laggingAnswers, 10);
    this.laggingAnswers++;
    this.laggingUntil = now + Math.min(recheckMs, LONGEST_LAGGING_RECHECK_MS);
  }

  /** Whether the instance lacked a position a short time ago, and is not known to have this one. */
  isBehind(wanted: Position, now: number): boolean {
    if (this.applied && covers(this.applied, wanted)) return false;
    return now < this.laggingUntil;
  }
}
