/** A caller's connection to a proxy, real or simulated. */
import type { Verdict } from '../../src/errors/errors.js';

/** Answer to a statement. */
export interface CallerAnswer {
  readonly rows: readonly (readonly (string | null)[])[];
  readonly affectedRows: number;
  /** Text of the OK packet, which holds the session token. */
  readonly info: string;
}

const TOKEN_PATTERN = /whinyoke_position=(\S+)/;

/** Session token that an answer tells; empty when it tells none. */
export function tokenOf(answer: CallerAnswer): string {
  return TOKEN_PATTERN.exec(answer.info)?.[1] ?? '';
}

/** An error as a caller sees it. */
export class CallerError extends Error {
  constructor(
    message: string,
    readonly verdict: Verdict,
    readonly code: number,
    readonly retryAfterMs: number | undefined,
    /** Whether the connection broke in place of an answer. */
    readonly connectionLost: boolean,
  ) {
    super(message);
  }
}

/** One connection. */
export interface CallerConnection {
  /** @throws CallerError */
  execute(sql: string): Promise<CallerAnswer>;
  close(): void;
}

/** Opens connections to proxies. */
export interface CallerConnector {
  /** Names of the proxies. */
  readonly proxies: readonly string[];
  /** @throws CallerError */
  connect(proxy: string, schema: string): Promise<CallerConnection>;
}

const VERDICT_PATTERN = /\[verdict=(not_run|ran|may_have_run)(?: retry_after_ms=(\d+))?\]/;

/** Reads verdict and retry-after from an error message of a proxy. */
export function callerError(message: string, code: number): CallerError {
  const match = VERDICT_PATTERN.exec(message);
  // An error of the database itself means that the statement had no effect.
  const verdict = (match?.[1] ?? 'not_run') as Verdict;
  const retryAfterMs = match?.[2] === undefined ? undefined : Number(match[2]);
  return new CallerError(message, verdict, code, retryAfterMs, false);
}
