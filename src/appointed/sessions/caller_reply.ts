/** Replies to callers, independent of their protocol, and the verdict of each kind of error. */
import type { Verdict } from '../../errors/errors.js';
import type { Position } from '../../positions/position.js';
import type { TransactionState } from '../instance/instance_connection.js';

/**
 * Verdict of each kind of error on the caller's operation. `not_run` guarantees that none of its effects are kept. See
 * docs/operations/errors.md.
 */
const VERDICT_OF_KIND = {
  busy: 'not_run',
  aborted: 'not_run',
  lagging: 'not_run',
  readOnly: 'not_run',
  unauthenticated: 'not_run',
  noDatabase: 'not_run',
  unknownName: 'not_run',
  // Passed on from the instance, which doesn't guarantee that the statement did not run.
  malformed: 'may_have_run',
  inDoubt: 'may_have_run',
  timeout: 'may_have_run',
  failed: 'may_have_run',
} as const satisfies Record<string, Verdict>;

/** Kind of an error that is returned to a caller. */
export type CallerErrorKind = keyof typeof VERDICT_OF_KIND;

/** Kinds that guarantee that none of the operation's effects are kept. */
export type NotRunErrorKind = {
  [Kind in CallerErrorKind]: (typeof VERDICT_OF_KIND)[Kind] extends 'not_run' ? Kind : never;
}[CallerErrorKind];

/** Whether an operation with this kind of error may have run. */
export function verdictOf(kind: CallerErrorKind): Verdict {
  return VERDICT_OF_KIND[kind];
}

/** An error returned to a caller. */
interface CallerError {
  readonly kind: CallerErrorKind;
  /** Human-readable text; that of a refusal ends with the retry delay. */
  readonly text: string;
}

/** A complete reply to a caller. */
export interface CallerReply {
  /** Result rows as returned by the instance. */
  readonly rows: readonly string[];
  /** Signature of the instance, or `-` for a reply of the proxy itself. */
  readonly signature: string;
  /** Undefined if the statement succeeded. */
  readonly error?: CallerError;
  /** State of the caller's transaction after the statement. */
  readonly state: TransactionState;
  /** Position of the instance's log after the statement. */
  readonly position?: Position;
}

/** Reply to a write or commit. */
export interface WriteReply {
  readonly reply: CallerReply;
  /** Position of the commit, if data was committed. */
  readonly commitPosition?: Position;
}

/** Signature of replies that no instance produced. */
const PROXY_SIGNATURE = '-';

/** Success reply of the proxy itself. */
export function successReply(state: TransactionState): CallerReply {
  return { rows: [], signature: PROXY_SIGNATURE, state };
}

/** Error reply of the proxy. */
export function errorReply(
  kind: CallerErrorKind,
  text: string,
  state: TransactionState,
): CallerReply {
  return { rows: [], signature: PROXY_SIGNATURE, error: { kind, text }, state };
}
