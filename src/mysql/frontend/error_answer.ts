/** Errors as callers see them: code, SQLSTATE and a text with verdict and retry-after. */
import {
  DatabaseError,
  ER_UNKNOWN_ERROR,
  ErrorCode,
  RequestError,
  SQL_STATE_GENERAL,
  mayHaveRun,
  messageOf,
  notRun,
} from '../../errors/errors.js';
import { RetryAfterMs } from '../routing/retry_policy.js';

/** An error packet's content. */
export interface ErrorAnswer {
  readonly code: number;
  readonly sqlState: string;
  readonly message: string;
}

/** Answer for anything that was thrown. */
export function errorAnswer(error: unknown): ErrorAnswer {
  if (error instanceof RequestError) {
    return { code: error.code, sqlState: error.sqlState, message: error.wireMessage };
  }
  if (error instanceof DatabaseError) {
    return { code: error.code, sqlState: error.sqlState, message: error.message };
  }
  return { code: ER_UNKNOWN_ERROR, sqlState: SQL_STATE_GENERAL, message: messageOf(error) };
}

/**
 * Last message on a connection that a planned stop closes while it is idle. A client that has just sent a
 * command takes it for the answer, so it learns that the command did not run; an idle client sees it as
 * the reason for the end of the connection, as with MySQL's ER_CLIENT_INTERACTION_TIMEOUT.
 */
export function stoppingAnswer(): ErrorAnswer {
  return errorAnswer(notRun('The proxy is stopping', ErrorCode.stopping, RetryAfterMs.stopping));
}

/**
 * Answer to a command that a planned stop ends before its outcome is known.
 * @param mayTakeEffect - whether it may have been run, or may be run by an instance that has it
 */
export function abandonedAnswer(mayTakeEffect: boolean): ErrorAnswer {
  if (!mayTakeEffect) return stoppingAnswer();
  return errorAnswer(mayHaveRun('The proxy stopped before the outcome of the statement was known'));
}
