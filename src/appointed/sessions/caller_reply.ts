/**
 * Answers to callers, independent of the protocol that carries them, and the verdict of each kind of error.
 * Relies on nothing.
 */
import type { Verdict } from '../../errors/errors.js';
import type { Position } from '../../positions/position.js';
import type { TransactionState } from '../instance/instance_connection.js';

/**
 * Kinds of errors told to callers, and what each tells of the caller's operation. `not_run` is a promise that nothing of
 * it is kept. See docs/operations/errors.md.
 */
const VERDICT_OF_KIND = {
  busy: 'not_run',
  aborted: 'not_run',
  lagging: 'not_run',
  readOnly: 'not_run',
  unauthenticated: 'not_run',
  noDatabase: 'not_run',
  unknownName: 'not_run',
  // Instances promise nothing with this answer, and it is passed on.
  malformed: 'may_have_run',
  inDoubt: 'may_have_run',
  timeout: 'may_have_run',
  failed: 'may_have_run',
} as const satisfies Record<string, Verdict>;

/** Kind of an error told to a caller. */
export type CallerErrorKind = keyof typeof VERDICT_OF_KIND;

/** Kinds that promise that nothing of the caller's operation is kept. */
export type NotRunErrorKind = {
  [Kind in CallerErrorKind]: (typeof VERDICT_OF_KIND)[Kind] extends 'not_run' ? Kind : never;
}[CallerErrorKind];

/** What a kind of error tells of the caller's operation. */
export function verdictOf(kind: CallerErrorKind): Verdict {
  return VERDICT_OF_KIND[kind];
}

/** An error told to a caller. */
interface CallerError {
  /** Kind, which has a verdict. */
  readonly kind: CallerErrorKind;
  /** Text for people; that of a refusal ends in the time to come back. */
  readonly text: string;
}

/** A whole answer to a caller. */
export interface CallerReply {
  /** Rows of the result, as the instance answered them. */
  readonly rows: readonly string[];
  /** Signature of the instance, or `-` for what the proxy answers by itself. */
  readonly signature: string;
  /** The error; undefined when the statement succeeded. */
  readonly error?: CallerError;
  /** State of the caller's transaction after the statement. */
  readonly state: TransactionState;
  /** Position of the instance's log after the statement. */
  readonly position?: Position;
}

/** Answer to the caller of a write or commit. */
export interface WriteReply {
  /** The answer itself. */
  readonly reply: CallerReply;
  /** Position of the commit, when there was one. */
  readonly commitPosition?: Position;
}

/** Signature of answers that no instance gave. */
const PROXY_SIGNATURE = '-';

/** A success that the proxy answers by itself. */
export function successReply(state: TransactionState): CallerReply {
  return { rows: [], signature: PROXY_SIGNATURE, state };
}

/** An answer of the proxy that tells an error. */
export function errorReply(
  kind: CallerErrorKind,
  text: string,
  state: TransactionState,
): CallerReply {
  return { rows: [], signature: PROXY_SIGNATURE, error: { kind, text }, state };
}
