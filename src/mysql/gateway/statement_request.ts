/** Requests to a gateway and their outcomes, the same for local and forwarded sessions. */
import type { Completion, ResultSink } from '../wire/result.js';
import type { StatementClass } from '../routing/statement_class.js';
import type { Position } from '../../positions/position.js';

/** One statement of one session. */
export interface StatementRequest {
  readonly sql: string;
  readonly statementClass: StatementClass;
  /** Position that a read must cover; undefined when the session brought no token. */
  readonly position: Position | undefined;
  /** Key under which the statement runs at most once. */
  readonly onceKey: string | undefined;
}

/** What a statement led to. */
export interface StatementOutcome {
  readonly completion: Completion;
  /** Position that the session has now seen; undefined when the statement saw none. */
  readonly position: Position | undefined;
}

/** One session at a gateway. Statements run one after the other. */
export interface GroupSession {
  /**
   * Runs one statement.
   * @throws RequestError with a verdict
   * @throws DatabaseError as the instance answered it
   */
  run(request: StatementRequest, sink: ResultSink): Promise<StatementOutcome>;
  /** Whether a transaction is open. */
  readonly inTransaction: boolean;
  /** Rolls back an open transaction and forgets the session. */
  close(): void;
}

/** Completion of a statement that needed no instance. */
export function emptyCompletion(inTransaction: boolean): Completion {
  return { affectedRows: 0, insertId: 0, info: '', inTransaction };
}
