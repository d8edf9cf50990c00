/**
 * One connection to an emulated instance: its transaction, its end, and which part runs which statement. Rows are read
 * and written by RowStatements, names of expressions found by SessionScope.
 */
import { DatabaseError } from '../../src/errors/errors.js';
import { delay } from '../../src/runtime/runtime.js';
import { evaluate, matches } from './evaluate.js';
import { GROUP_UUID, memberRows } from './performance_schema.js';
import { type Select, project } from './projection.js';
import { ER_INTERRUPTED } from './row_locks.js';
import { RowStatements } from './row_statements.js';
import type { HostedSession, SessionHost } from './session_host.js';
import { SessionScope } from './session_scope.js';
import { parseStatement } from './sql/parser.js';
import type { Expression, Statement, Value } from './sql/syntax.js';
import { type RowChange, SCHEMA_TABLE, type TableDefinition } from './tables.js';
import { Transaction } from './transaction.js';

/** Answer to one statement. */
export interface StatementAnswer {
  /** Names of the output columns; undefined for statements without rows. */
  readonly columns?: readonly string[];
  readonly rows?: readonly (readonly Value[])[];
  readonly affectedRows: number;
  readonly insertId: number;
  /** GTID of the transaction that this statement committed. */
  readonly gtid?: string;
  readonly inTransaction: boolean;
}

interface Effect {
  readonly columns?: readonly string[];
  readonly rows?: readonly (readonly Value[])[];
  readonly affectedRows?: number;
  readonly insertId?: number;
}

/** Interval at which WAIT_FOR_EXECUTED_GTID_SET looks whether it is over, in milliseconds. */
const WAIT_POLL_MS = 2;
const PERFORMANCE_SCHEMA_PREFIX = 'performance_schema.';
const ER_READ_ONLY = { code: 1290, sqlState: 'HY000' };
const ER_TABLE_EXISTS = { code: 1050, sqlState: '42S01' };
const SHOW_VALUES: Readonly<Record<string, string>> = { VARIABLES: 'Variable_name' };

/** Reads of the server's own state need no slot. */
function isMonitoring(statement: Statement): boolean {
  if (['set', 'show', 'use', 'kill'].includes(statement.kind)) return true;
  if (statement.kind !== 'select') return false;
  return statement.tables.every((table) => table.startsWith(PERFORMANCE_SCHEMA_PREFIX));
}

/** Whether a statement takes a slot of the instance. */
export function takesSlot(sql: string): boolean {
  return !isMonitoring(parseStatement(sql));
}

/** A connection. Statements of one connection run one after the other. */
export class InstanceSession implements HostedSession {
  private transaction: Transaction | undefined;
  private explicit = false;
  private aborted = false;
  private closed = false;
  private end!: () => void;
  /** Resolves when the connection ends; a statement under way ends with it. */
  readonly ended = new Promise<void>((resolve) => {
    this.end = resolve;
  });

  private readonly scope: SessionScope;
  private readonly rows: RowStatements;

  constructor(
    private readonly host: SessionHost,
    readonly connectionId: number,
  ) {
    this.scope = new SessionScope(host, this);
    this.rows = new RowStatements(host.tables, this.scope, {
      currentTransaction: () => (this.transaction ??= new Transaction(host.locks)),
      requireWritable: () => this.requireWritable(),
    });
  }

  /** Whether a transaction was begun and not ended. */
  get isInTransaction(): boolean {
    return this.explicit;
  }

  /** Runs one statement. */
  async execute(sql: string): Promise<StatementAnswer> {
    this.requireOpen();
    const statement = parseStatement(sql);
    if (isMonitoring(statement)) return this.answer(await this.run(statement), undefined);
    return this.host.inSlot(this, () => this.runInTransaction(statement));
  }

  /** Rolls back and forgets all session state, as COM_RESET_CONNECTION does. */
  reset(): void {
    this.endTransaction();
    this.explicit = false;
    this.aborted = false;
    this.scope.reset();
  }

  /** Rolls back an open transaction because this instance is no longer the primary. */
  abortTransaction(): void {
    if (!this.explicit) return;
    this.endTransaction();
    this.aborted = true;
  }

  /** Ends the connection; an open transaction is rolled back. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.end();
    this.endTransaction();
    this.host.onSessionClosed(this);
  }

  private async runInTransaction(statement: Statement): Promise<StatementAnswer> {
    this.requireOpen();
    if (this.aborted) this.failAborted(statement);
    switch (statement.kind) {
      case 'begin':
        await this.commit();
        this.explicit = true;
        return this.answer({}, undefined);
      case 'commit':
        return this.answer({}, await this.commit());
      case 'rollback':
        this.endTransaction();
        this.explicit = false;
        return this.answer({}, undefined);
      default:
        return this.runStatement(statement);
    }
  }

  /** Every statement of an aborted transaction fails, until the transaction is ended. */
  private failAborted(statement: Statement): void {
    const ends = statement.kind === 'commit' || statement.kind === 'rollback';
    if (ends) {
      this.aborted = false;
      this.explicit = false;
    }
    if (statement.kind === 'rollback') return;
    throw new DatabaseError('The transaction was rolled back: not the primary', ER_READ_ONLY);
  }

  private async runStatement(statement: Statement): Promise<StatementAnswer> {
    try {
      const effect = await this.run(statement);
      const gtid = this.explicit ? undefined : await this.commit();
      return this.answer(effect, gtid);
    } catch (error) {
      if (!this.explicit) this.endTransaction();
      throw error;
    }
  }

  private async commit(): Promise<string | undefined> {
    const transaction = this.transaction;
    this.explicit = false;
    if (!transaction || transaction.isEmpty) {
      this.endTransaction();
      return undefined;
    }
    this.requireWritable();
    try {
      return await this.commitChanges(transaction.rowChanges());
    } finally {
      this.endTransaction();
    }
  }

  private async commitChanges(changes: readonly RowChange[]): Promise<string> {
    const position = await this.host.member.commit(changes);
    return `${GROUP_UUID}:t${position.term}:${position.sequence}`;
  }

  private endTransaction(): void {
    this.transaction?.end();
    this.transaction = undefined;
  }

  private requireOpen(): void {
    if (this.closed) throw new DatabaseError('Connection was killed', ER_INTERRUPTED);
  }

  private requireWritable(): void {
    this.requireOpen();
    if (this.host.member.isWritable) return;
    this.endTransaction();
    throw new DatabaseError(
      'The MySQL server is running with the --super-read-only option',
      ER_READ_ONLY,
    );
  }

  private answer(effect: Effect, gtid: string | undefined): StatementAnswer {
    return {
      columns: effect.columns,
      rows: effect.rows,
      affectedRows: effect.affectedRows ?? 0,
      insertId: effect.insertId ?? 0,
      gtid,
      inTransaction: this.explicit,
    };
  }

  private async run(statement: Statement): Promise<Effect> {
    switch (statement.kind) {
      case 'select':
        return this.select(statement);
      case 'insert':
        return this.rows.insert(statement);
      case 'update':
        return this.rows.update(statement);
      case 'delete':
        return this.rows.delete(statement);
      case 'create_table':
      case 'drop_table':
        return this.changeSchema(statement);
      case 'set':
        for (const { name, value } of statement.assignments) {
          if (name.startsWith('@') && !name.startsWith('@@')) {
            this.scope.setUserVariable(name, evaluate(value, this.scope.withoutRow()));
          }
        }
        return {};
      case 'show':
        return this.show(statement.what);
      case 'kill':
        this.host.killSession(statement.connectionId);
        return {};
      default:
        return {};
    }
  }

  private show(what: string): Effect {
    if (what === 'TABLES') {
      return { columns: ['Tables'], rows: this.host.tables.names().map((name) => [name]) };
    }
    if (SHOW_VALUES[what.split(' ')[0] ?? '']) {
      return { columns: ['Variable_name', 'Value'], rows: [] };
    }
    return { columns: ['Value'], rows: [] };
  }

  private async select(statement: Select): Promise<Effect> {
    if (statement.tables.length === 0) return this.selectWithoutTable(statement);
    if (statement.tables[0]!.startsWith(PERFORMANCE_SCHEMA_PREFIX)) {
      return this.selectMembers(statement);
    }
    const table = this.host.tables.get(statement.tables[0]!);
    let found = this.rows.find(table, statement.where);
    if (statement.forUpdate) {
      this.requireWritable();
      found = await this.rows.lockAndFindAgain(table, statement.where, found);
    }
    const names = table.definition.columns.map((column) => column.name);
    return project(
      statement,
      found.map(([, row]) => this.scope.ofRow(table, row)),
      names,
    );
  }

  private async selectWithoutTable(statement: Select): Promise<Effect> {
    for (const item of statement.items) await this.runBlockingCall(item.expression);
    return project(statement, [this.scope.withoutRow()], []);
  }

  private selectMembers(statement: Select): Effect {
    const { member, serverUuid, options } = this.host;
    const rows = memberRows(member, serverUuid, options.group.members);
    const scopes = rows.map((row) => this.scope.ofColumns((name) => row.get(name.toUpperCase())));
    const selected = scopes.filter((scope) => matches(statement.where, scope));
    return project(statement, selected, [...(rows[0]?.keys() ?? [])]);
  }

  /** SLEEP and WAIT_FOR_EXECUTED_GTID_SET are the only calls that take time. */
  private async runBlockingCall(expression: Expression): Promise<void> {
    if (expression.kind !== 'call') return;
    const parameters = expression.parameters.map((item) => evaluate(item, this.scope.withoutRow()));
    const { clock } = this.host.runtime;
    if (expression.name === 'SLEEP') await delay(clock, Number(parameters[0]) * 1000);
    if (expression.name !== 'WAIT_FOR_EXECUTED_GTID_SET') return;
    const seconds = parameters[1] === undefined ? Infinity : Number(parameters[1]);
    const deadline = clock.now() + seconds * 1000;
    while (!this.scope.hasExecuted(parameters[0]) && clock.now() < deadline && !this.closed) {
      await delay(clock, WAIT_POLL_MS);
    }
  }

  private async changeSchema(
    statement: Extract<Statement, { kind: 'create_table' | 'drop_table' }>,
  ): Promise<Effect> {
    this.requireWritable();
    const exists = this.host.tables.has(statement.table);
    if (statement.kind === 'drop_table') {
      if (!exists && !statement.ifExists) this.host.tables.get(statement.table);
      await this.commitChanges([{ table: SCHEMA_TABLE, key: statement.table, removed: true }]);
      return {};
    }
    if (exists) {
      if (statement.ifNotExists) return {};
      throw new DatabaseError(`Table '${statement.table}' already exists`, ER_TABLE_EXISTS);
    }
    const definition: TableDefinition = {
      name: statement.table,
      columns: statement.columns,
      primaryKey: statement.primaryKey,
    };
    const row = JSON.stringify(definition);
    await this.commitChanges([{ table: SCHEMA_TABLE, key: statement.table, row }]);
    return {};
  }
}
