/**
 * The end of a process that stops, as a time limit of its statements. Before a stop begins there is no limit. Statements end
 * somewhat before the process does, so that their answers can be delivered.
 */
import type { Clock } from '../../runtime/runtime.js';

/** Part of a stop that is reserved for the answers of the last statements. */
const CONCLUSION_FRACTION = 0.1;
/** Longest time that is reserved for the answers of the last statements. */
const MAX_CONCLUSION_MS = 500;
/** Part of a stop that a statement needs at least, if a COMMIT is to follow. */
const STATEMENT_FRACTION = 0.02;
/** Longest time that a statement needs at least. */
const MAX_STATEMENT_MS = 100;

/** Time limit that a planned stop sets. */
export class StopDeadline {
  private endsAt = Infinity;
  /** Time between the end of the statements and the end of the process, in milliseconds. */
  conclusionMs = 0;
  private statementMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Begins a stop that lasts at most `durationMs`. */
  begin(durationMs: number): void {
    this.conclusionMs = Math.min(durationMs * CONCLUSION_FRACTION, MAX_CONCLUSION_MS);
    this.statementMs = Math.min(durationMs * STATEMENT_FRACTION, MAX_STATEMENT_MS);
    this.endsAt = this.clock.now() + durationMs - this.conclusionMs;
  }

  /** Whether a stop has begun. */
  get hasBegun(): boolean {
    return this.endsAt !== Infinity;
  }

  /** Milliseconds until all statements are ended. */
  get remainingMs(): number {
    return Math.max(0, this.endsAt - this.clock.now());
  }

  /** Whether a statement may be started in a transaction that is open, because there is time left to end it. */
  get admitsStatement(): boolean {
    return this.remainingMs >= this.statementMs;
  }
}
