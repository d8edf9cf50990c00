/** One caller's session at a proxy: marks, session token, default schema, choice of group. */
import { RetryAfterMs } from '../routing/retry_policy.js';
import type { Completion, ResultSink } from '../wire/result.js';
import { ErrorCode, notRun } from '../../errors/errors.js';
import type { CallerIdentity, CallerSession } from '../frontend/caller_session.js';
import {
  type GroupSession,
  type StatementRequest,
  emptyCompletion,
} from '../gateway/statement_request.js';
import { type Marks, readMarks, readToken } from '../routing/marks.js';
import { type StatementClass, classifyStatement, schemaOfUse } from '../routing/statement_class.js';
import { SessionToken } from '../session/token.js';
import type { GroupDirectory } from './group_directory.js';

/** What a session needs of its proxy. */
export interface ProxySessionContext {
  /** Groups of the configuration in force. */
  readonly directory: () => GroupDirectory;
  /** Opens a session at a gateway of the group, here or elsewhere. */
  readonly openGroupSession: (group: string) => GroupSession;
  /** Whether the proxy is stopping and takes no new transactions. */
  readonly isStopping: () => boolean;
  /** Whether an open transaction has time for another statement. */
  readonly admitsStatement: () => boolean;
}

const TOKEN_ATTRIBUTE = 'whinyoke_position';
const GROUP_ATTRIBUTE = 'whinyoke_group';

/** Prefix of the session token in the text of an OK packet. */
export const TOKEN_INFO_PREFIX = 'whinyoke_position=';

/** A caller's session. */
export class ProxySession implements CallerSession {
  private token = SessionToken.empty;
  /** Whether the caller gave a token for the whole connection. */
  private hasConnectionToken = false;
  private schema: string;
  private readonly defaultGroup: string | undefined;
  /** Class of the statement that was started last. */
  private lastClass: StatementClass = 'empty';
  private current: { readonly group: string; readonly session: GroupSession } | undefined;

  constructor(
    private readonly context: ProxySessionContext,
    identity: CallerIdentity,
  ) {
    this.schema = identity.schema;
    this.defaultGroup = identity.attributes[GROUP_ATTRIBUTE];
    const token = identity.attributes[TOKEN_ATTRIBUTE];
    if (token === undefined) return;
    this.hasConnectionToken = true;
    this.token = readToken(token);
  }

  async execute(sql: string, sink: ResultSink): Promise<Completion> {
    const marks = readMarks(sql);
    if (marks.token) this.token = this.token.merge(marks.token);
    const statementClass = classifyStatement(sql);
    this.lastClass = statementClass;
    switch (statementClass) {
      case 'empty':
      case 'session_default':
        return emptyCompletion(this.inTransaction);
      case 'use':
        return this.useSchema(schemaOfUse(sql));
      case 'show_token':
        return this.showToken(sink);
      default:
        return this.executeInGroup({ sql, statementClass, marks }, sink);
    }
  }

  reset(): Promise<void> {
    this.closeGroupSession();
    return Promise.resolve();
  }

  useSchema(schema: string): Promise<Completion> {
    this.schema = schema;
    return Promise.resolve(emptyCompletion(this.inTransaction));
  }

  close(): void {
    this.closeGroupSession();
  }

  get mayTakeEffect(): boolean {
    // The end of the connection rolls an open transaction back.
    if (this.inTransaction) return !['read', 'write', 'rollback'].includes(this.lastClass);
    return !['read', 'begin', 'begin_read_only', 'rollback'].includes(this.lastClass);
  }

  private get inTransaction(): boolean {
    return this.current?.session.inTransaction ?? false;
  }

  private async executeInGroup(
    statement: Pick<StatementRequest, 'sql' | 'statementClass'> & { marks: Marks },
    sink: ResultSink,
  ): Promise<Completion> {
    const { sql, statementClass, marks } = statement;
    const group = this.groupFor(marks);
    const session = this.sessionFor(group, statementClass);
    // A mark speaks for its statement only: a pooled connection serves many sessions in turn.
    const hasToken = this.hasConnectionToken || marks.token !== undefined;
    const position = hasToken ? this.token.positionOf(group) : undefined;
    const request: StatementRequest = { sql, statementClass, position, onceKey: marks.onceKey };
    const { completion, position: seen } = await session.run(request, sink);
    if (!seen) return completion;
    this.token = this.token.advance(group, seen);
    const info = [completion.info, TOKEN_INFO_PREFIX + this.token.format()];
    return { ...completion, info: info.filter((text) => text !== '').join(' ') };
  }

  private showToken(sink: ResultSink): Completion {
    sink.columns({ kind: 'names', names: ['whinyoke_position'] });
    sink.row([this.token.format()]);
    return emptyCompletion(this.inTransaction);
  }

  private groupFor(marks: Marks): string {
    const named = marks.group ?? this.defaultGroup;
    const directory = this.context.directory();
    const group = named === undefined ? directory.forSchema(this.schema) : directory.find(named);
    if (group) return group.name;
    const what = named === undefined ? `schema '${this.schema}'` : `group '${named}'`;
    throw notRun(`No database group is configured for ${what}`, ErrorCode.unknownGroup);
  }

  private sessionFor(group: string, statementClass: StatementClass): GroupSession {
    const current = this.current;
    if (current?.session.inTransaction) {
      if (current.group !== group) {
        throw notRun('A transaction can not span two database groups', ErrorCode.unsupported);
      }
      if (statementClass !== 'rollback' && !this.context.admitsStatement()) this.endTransaction();
      return current.session;
    }
    if (this.context.isStopping()) {
      throw notRun('The proxy is stopping', ErrorCode.stopping, RetryAfterMs.stopping);
    }
    const session = this.context.openGroupSession(group);
    this.current = { group, session };
    return session;
  }

  /** Ends a transaction that the end of the process would cut off. */
  private endTransaction(): never {
    this.closeGroupSession();
    const message = 'The transaction was rolled back: the proxy is stopping';
    throw notRun(message, ErrorCode.transactionLost, RetryAfterMs.stopping);
  }

  private closeGroupSession(): void {
    this.current?.session.close();
    this.current = undefined;
  }
}
