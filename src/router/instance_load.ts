/** What a router knows of one instance from its own statements: load, latency, position, failures. */
import { type Position, covers } from '../session/position.js';

const LATENCY_WEIGHT = 0.1;
const INITIAL_LATENCY_MS = 10;
const FIRST_EJECTION_MS = 200;
const LONGEST_EJECTION_MS = 1600;
/** An instance that lacked a position is asked again after this time, doubled with each time that it lacked. */
const LAGGING_RECHECK_MS = 60;
const LONGEST_LAGGING_RECHECK_MS = 480;
const MINIMUM_PATIENCE_MS = 80;
const PATIENCE_DEVIATIONS = 6;

/** Observations of one instance. */
export class InstanceLoad {
  /** Statements under way. */
  outstanding = 0;
  private latencyMs = INITIAL_LATENCY_MS;
  private deviationMs = INITIAL_LATENCY_MS;
  private failures = 0;
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
  noteAnswer(durationMs: number): void {
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

  /** Whether the instance is avoided. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
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
