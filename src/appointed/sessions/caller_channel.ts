/** Messages between callers and their sessions, independent of the protocol and the transport. */
import type { TransactionState } from '../instance/instance_connection.js';
import type { CallerStatement } from '../instance/statement.js';
import type { CallerErrorKind, CallerReply } from './caller_reply.js';

/** A request: one statement with the caller's identifier. */
export interface CallerQuery {
  readonly kind: 'query';
  readonly id: string;
  readonly statement: CallerStatement;
}

/** A message from a caller. */
export type CallerMessage =
  | { readonly kind: 'start'; readonly database: string; readonly credential: string }
  | CallerQuery
  | { readonly kind: 'terminate' }
  | { readonly kind: 'broken'; readonly problem: string };

/** The sending side of a caller's connection. Messages arrive in the order in which they were sent. */
export interface CallerChannel {
  /** Sends that the session is ready for a statement: after its start, or to complete the answer that `sendError` began. */
  sendReady(state: TransactionState): void;
  /** Sends an error: the answer to a start, the beginning of the answer to a statement, or an announcement of the close. */
  sendError(kind: CallerErrorKind, text: string): void;
  /** Sends the complete answer to a statement; `onDelivered` is called once the operating system has taken it over. */
  sendReply(reply: CallerReply, onDelivered: () => void): void;
  /** Closes the sending direction after everything that was sent. */
  end(): void;
  /** Closes the connection at once; what has not been delivered is lost. */
  destroy(): void;
}
