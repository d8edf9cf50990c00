/** What a router knows of one instance from its own statements: load, latency, position, failures. */
import { type Position, covers } from '../session/position.js';

const LATENCY_WEIGHT = 0.1;
const INITIAL_LATENCY_MS = 10;
const FIRST_EJECTION_MS = 200;
const LONGEST_EJECTION_MS = 1600;
const LAGGING_RECHECK_MS = 60;
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
  private appliedAt = -Infinity;

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
  notePosition(position: Position, now: number): void {
    this.applied = position;
    this.appliedAt = now;
  }

  /** Whether the instance recently lacked a position. An old observation says nothing. */
  isBehind(wanted: Position, now: number): boolean {
    if (!this.applied || now - this.appliedAt > LAGGING_RECHECK_MS) return false;
    return !covers(this.applied, wanted);
  }
}
