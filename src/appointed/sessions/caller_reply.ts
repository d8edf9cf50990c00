/** Answers to callers, independent of the protocol that carries them. */
import type { Position } from '../../positions/position.js';
import type { TransactionState } from '../instance/instance_connection.js';

/**
 * Kinds of errors told to callers. `busy`, `aborted`, `lagging`, `readOnly` and `unauthenticated` promise that nothing of the
 * caller's operation is kept (verdict `not_run`); `inDoubt`, `timeout` and `failed` do not.
 */
export type CallerErrorKind =
  | 'busy'
  | 'aborted'
  | 'lagging'
  | 'readOnly'
  | 'inDoubt'
  | 'timeout'
  | 'failed'
  | 'malformed'
  | 'unknownName'
  | 'noDatabase'
  | 'unauthenticated';

/** An error told to a caller. */
export interface CallerError {
  readonly kind: CallerErrorKind;
  readonly text: string;
}

/** A whole answer to a caller. */
export interface CallerReply {
  readonly rows: readonly string[];
  /** Signature of the instance, or `-` for what the router answered by itself. */
  readonly signature: string;
  readonly error?: CallerError;
  readonly state: TransactionState;
  readonly position?: Position;
}

/** Answer to the caller of a write or commit. */
export interface CommittedReply {
  readonly reply: CallerReply;
  /** Position of the commit, when there was one. */
  readonly committedAt?: Position;
}

/** Signature of answers that no instance gave. */
export const OWN_SIGNATURE = '-';

/** A success that the router answers by itself. */
export function completed(state: TransactionState): CallerReply {
  return { rows: [], signature: OWN_SIGNATURE, state };
}

/** An error. */
export function refused(kind: CallerErrorKind, text: string, state: TransactionState): CallerReply {
  return { rows: [], signature: OWN_SIGNATURE, error: { kind, text }, state };
}
