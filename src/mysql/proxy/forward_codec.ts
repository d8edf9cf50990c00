/** Translation between statements and the messages that forward them to a gateway. */
import type { Completion } from '../wire/result.js';
import {
  DatabaseError,
  ErrorCode,
  RequestError,
  type Verdict,
  messageOf,
} from '../../errors/errors.js';
import type { StatementOutcome, StatementRequest } from '../gateway/statement_request.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { classifyStatement } from '../routing/statement_class.js';
import { formatPosition, parsePosition } from '../../positions/position.js';

const VERDICTS: readonly Verdict[] = ['not_run', 'ran', 'may_have_run'];

/** Who a forwarded session belongs to. */
export interface ForwardedSessionName {
  /** Run of the forwarding proxy. */
  readonly proxy: string;
  /** Number of the session within that run. */
  readonly session: string;
}

/** Message for one statement. */
export function encodeRequest(
  group: string,
  session: ForwardedSessionName,
  request: StatementRequest,
  inTransaction: boolean,
): whinyoke.IForwardRequest {
  return {
    kind: whinyoke.ForwardKind.RUN,
    group,
    ...session,
    inTransaction,
    statement: request.sql,
    hasPosition: request.position !== undefined,
    position: request.position ? formatPosition(request.position) : '',
    onceKey: request.onceKey ?? '',
  };
}

/** Statement of a message. */
export function decodeRequest(message: whinyoke.IForwardRequest): StatementRequest {
  const sql = message.statement ?? '';
  return {
    sql,
    statementClass: classifyStatement(sql),
    position: message.hasPosition ? parsePosition(message.position ?? '') : undefined,
    onceKey: message.onceKey ? message.onceKey : undefined,
  };
}

/** Message for an outcome. */
export function encodeOutcome(outcome: StatementOutcome): whinyoke.IForwardCompletion {
  const { completion, position } = outcome;
  return {
    affectedRows: completion.affectedRows,
    insertId: completion.insertId,
    info: completion.info,
    inTransaction: completion.inTransaction,
    hasPosition: position !== undefined,
    position: position ? formatPosition(position) : '',
  };
}

/** Outcome of a message. */
export function decodeOutcome(message: whinyoke.IForwardCompletion): StatementOutcome {
  const completion: Completion = {
    affectedRows: message.affectedRows ?? 0,
    insertId: message.insertId ?? 0,
    info: message.info ?? '',
    inTransaction: message.inTransaction ?? false,
  };
  const position = message.hasPosition ? parsePosition(message.position ?? '') : undefined;
  return { completion, position };
}

/** Message for an error. */
export function encodeError(error: unknown, inTransaction: boolean): whinyoke.IForwardError {
  if (error instanceof RequestError) {
    return {
      code: error.code,
      sqlState: error.sqlState,
      message: error.message,
      verdict: VERDICTS.indexOf(error.verdict),
      hasRetryAfter: error.retryAfterMs !== undefined,
      retryAfterMs: error.retryAfterMs ?? 0,
      inTransaction,
    };
  }
  if (error instanceof DatabaseError) {
    const { code, sqlState, message } = error;
    return { code, sqlState, message, fromDatabase: true, inTransaction };
  }
  return {
    code: ErrorCode.outcomeUnknown,
    sqlState: 'HY000',
    message: messageOf(error),
    verdict: whinyoke.Verdict.MAY_HAVE_RUN,
    inTransaction,
  };
}

/** Error of a message. */
export function decodeError(message: whinyoke.IForwardError): Error {
  const text = message.message ?? '';
  const code = message.code ?? 0;
  const sqlState = message.sqlState ?? 'HY000';
  if (message.fromDatabase) return new DatabaseError(text, { code, sqlState });
  return new RequestError(text, {
    verdict: VERDICTS[message.verdict ?? 0] ?? 'may_have_run',
    code,
    sqlState,
    retryAfterMs: message.hasRetryAfter ? (message.retryAfterMs ?? 0) : undefined,
  });
}
