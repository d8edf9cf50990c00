/** One connection to an emulated instance: transaction state and statement execution. */
import { DatabaseError } from '../../src/errors/errors.js';
import { delay } from '../../src/runtime/runtime.js';
import { covers } from '../../src/positions/position.js';
import { newestPosition } from '../../src/mysql/topology/gtid.js';
import { type Scope, evaluate, fixedValue, matches } from './evaluate.js';
import type { DatabaseInstance } from './instance.js';
import { GROUP_UUID, memberRows } from './performance_schema.js';
import { ER_INTERRUPTED } from './row_locks.js';
import { parseStatement } from './sql/parser.js';
import type { Expression, Statement, Value } from './sql/syntax.js';
import {
  type Row,
  type RowChange,
  SCHEMA_TABLE,
  type Table,
  type TableDefinition,
  keyOf,
} from './tables.js';
import { systemVariable } from './system_variables.js';
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

type Select = Extract<Statement, { kind: 'select' }>;

interface Effect {
  readonly columns?: readonly string[];
  readonly rows?: readonly (readonly Value[])[];
  readonly affectedRows?: number;
  readonly insertId?: number;
}

const WAIT_POLL_MS = 2;
const PERFORMANCE_SCHEMA_PREFIX = 'performance_schema.';
const ER_READ_ONLY = { code: 1290, sqlState: 'HY000' };
const ER_DUPLICATE_ENTRY = { code: 1062, sqlState: '23000' };
const ER_BAD_FIELD = { code: 1054, sqlState: '42S22' };
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
export class InstanceSession {
  private transaction: Transaction | undefined;
  private explicit = false;
  private userVariables = new Map<string, Value>();
  private lastInsertId = 0;
  private aborted = false;
  private closed = false;
  private end!: () => void;
  /** Resolves when the connection ends; a statement under way ends with it. */
  readonly ended = new Promise<void>((resolve) => {
    this.end = resolve;
  });

  constructor(
    private readonly instance: DatabaseInstance,
    readonly connectionId: number,
  ) {}

  /** Whether a transaction was begun and not ended. */
  get isInTransaction(): boolean {
    return this.explicit;
  }

  /** Runs one statement. */
  async execute(sql: string): Promise<StatementAnswer> {
    this.requireOpen();
    const statement = parseStatement(sql);
    if (isMonitoring(statement)) return this.answer(await this.run(statement), undefined);
    return this.instance.inSlot(this, sql, () => this.runInTransaction(statement));
  }

  /** Rolls back and forgets all session state, as COM_RESET_CONNECTION does. */
  reset(): void {
    this.endTransaction();
    this.explicit = false;
    this.aborted = false;
    this.userVariables = new Map();
    this.lastInsertId = 0;
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
    this.instance.onSessionClosed(this);
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
    const position = await this.instance.member.commit(changes);
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
    if (this.instance.member.isWritable) return;
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
        return this.insert(statement);
      case 'update':
        return this.update(statement);
      case 'delete':
        return this.delete(statement);
      case 'create_table':
      case 'drop_table':
        return this.changeSchema(statement);
      case 'set':
        for (const { name, value } of statement.assignments) {
          if (name.startsWith('@') && !name.startsWith('@@')) {
            this.userVariables.set(name, evaluate(value, this.scope()));
          }
        }
        return {};
      case 'show':
        return this.show(statement.what);
      case 'kill':
        this.instance.killSession(statement.connectionId);
        return {};
      default:
        return {};
    }
  }

  private show(what: string): Effect {
    if (what === 'TABLES') {
      return { columns: ['Tables'], rows: this.instance.tables.names().map((name) => [name]) };
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
    const table = this.instance.tables.get(statement.tables[0]!);
    let found = this.find(table, statement.where);
    if (statement.forUpdate) {
      this.requireWritable();
      found = await this.lockAndFindAgain(table, statement.where, found);
    }
    const names = table.definition.columns.map((column) => column.name);
    return this.project(
      statement,
      found.map(([, row]) => this.rowScope(table, row)),
      names,
    );
  }

  private async selectWithoutTable(statement: Select): Promise<Effect> {
    for (const item of statement.items) await this.runBlockingCall(item.expression);
    return this.project(statement, [this.scope()], []);
  }

  private selectMembers(statement: Select): Effect {
    const { member, serverUuid, options } = this.instance;
    const rows = memberRows(member, serverUuid, options.group.members);
    const scopes = rows.map((row) => this.scope((name) => row.get(name.toUpperCase())));
    const selected = scopes.filter((scope) => matches(statement.where, scope));
    return this.project(statement, selected, [...(rows[0]?.keys() ?? [])]);
  }

  /** SLEEP and WAIT_FOR_EXECUTED_GTID_SET are the only calls that take time. */
  private async runBlockingCall(expression: Expression): Promise<void> {
    if (expression.kind !== 'call') return;
    const parameters = expression.parameters.map((item) => evaluate(item, this.scope()));
    const { clock } = this.instance.runtime;
    if (expression.name === 'SLEEP') await delay(clock, Number(parameters[0]) * 1000);
    if (expression.name !== 'WAIT_FOR_EXECUTED_GTID_SET') return;
    const seconds = parameters[1] === undefined ? Infinity : Number(parameters[1]);
    const deadline = clock.now() + seconds * 1000;
    while (!this.hasExecuted(parameters[0]) && clock.now() < deadline && !this.closed) {
      await delay(clock, WAIT_POLL_MS);
    }
  }

  /** Whether all transactions of a GTID set are executed here. */
  private hasExecuted(gtidSet: Value | undefined): boolean {
    return covers(this.instance.member.executedPosition, newestPosition(String(gtidSet ?? '')));
  }

  private project(statement: Select, scopes: readonly Scope[], names: readonly string[]): Effect {
    const ordered = this.order(statement, scopes);
    const limited = statement.limit === undefined ? ordered : ordered.slice(0, statement.limit);
    const columns = statement.items.flatMap((item) =>
      item.expression.kind === 'star' ? [...names] : [item.alias],
    );
    const isCount = statement.items.some(
      (item) => item.expression.kind === 'call' && item.expression.name === 'COUNT',
    );
    if (isCount) return { columns, rows: [columns.map(() => scopes.length)] };
    const rows = limited.map((scope) =>
      statement.items.flatMap((item) =>
        item.expression.kind === 'star'
          ? names.map((name) => scope.column(name))
          : [evaluate(item.expression, scope)],
      ),
    );
    return { columns, rows };
  }

  private order(statement: Select, scopes: readonly Scope[]): readonly Scope[] {
    const orderBy = statement.orderBy;
    if (!orderBy) return scopes;
    const direction = orderBy.descending ? -1 : 1;
    return [...scopes].sort((left, right) => {
      const a = left.column(orderBy.column);
      const b = right.column(orderBy.column);
      if (a === b) return 0;
      return (a === null || (b !== null && a < b) ? -1 : 1) * direction;
    });
  }

  private currentTransaction(): Transaction {
    this.transaction ??= new Transaction(this.instance.locks);
    return this.transaction;
  }

  private find(table: Table, where: Expression | undefined): [string, Row][] {
    const transaction = this.currentTransaction();
    const fixed = table.definition.primaryKey.map((column) =>
      fixedValue(where, column, this.scope()),
    );
    if (fixed.length > 0 && fixed.every((value) => value !== undefined)) {
      const key = JSON.stringify(fixed);
      const row = transaction.read(table, key);
      return row && matches(where, this.rowScope(table, row)) ? [[key, row]] : [];
    }
    const found: [string, Row][] = [];
    for (const [key, row] of transaction.scan(table)) {
      if (matches(where, this.rowScope(table, row))) found.push([key, row]);
    }
    return found;
  }

  /** Locks the found rows and reads them again, since they may have changed during the wait. */
  private async lockAndFindAgain(
    table: Table,
    where: Expression | undefined,
    found: readonly (readonly [string, Row])[],
  ): Promise<[string, Row][]> {
    const transaction = this.currentTransaction();
    for (const [key] of found) await transaction.lock(table, key);
    const current: [string, Row][] = [];
    for (const [key] of found) {
      const row = transaction.read(table, key);
      if (row && matches(where, this.rowScope(table, row))) current.push([key, row]);
    }
    return current;
  }

  private async insert(statement: Extract<Statement, { kind: 'insert' }>): Promise<Effect> {
    this.requireWritable();
    const table = this.instance.tables.get(statement.table);
    const transaction = this.currentTransaction();
    let insertId = 0;
    for (const values of statement.rows) {
      const row = table.definition.columns.map((column) => {
        const index = statement.columns.indexOf(column.name);
        const value = index >= 0 ? evaluate(values[index]!, this.scope()) : null;
        if (!column.autoIncrement || value !== null) return value;
        insertId ||= table.nextAutoIncrement;
        return table.nextAutoIncrement++;
      });
      const key = keyOf(table.definition, row);
      await transaction.lock(table, key);
      if (transaction.read(table, key)) {
        const text = `Duplicate entry '${key}' for key '${statement.table}.PRIMARY'`;
        throw new DatabaseError(text, ER_DUPLICATE_ENTRY);
      }
      transaction.write(table, key, row);
    }
    this.requireWritable();
    this.lastInsertId = insertId;
    return { affectedRows: statement.rows.length, insertId };
  }

  private async update(statement: Extract<Statement, { kind: 'update' }>): Promise<Effect> {
    this.requireWritable();
    const table = this.instance.tables.get(statement.table);
    const candidates = this.find(table, statement.where);
    const found = await this.lockAndFindAgain(table, statement.where, candidates);
    this.requireWritable();
    const transaction = this.currentTransaction();
    for (const [key, row] of found) {
      const scope = this.rowScope(table, row);
      const changed = table.definition.columns.map((column, index) => {
        const assignment = statement.assignments.find((item) => item.column === column.name);
        return assignment ? evaluate(assignment.value, scope) : row[index]!;
      });
      transaction.write(table, key, changed);
    }
    return { affectedRows: found.length };
  }

  private async delete(statement: Extract<Statement, { kind: 'delete' }>): Promise<Effect> {
    this.requireWritable();
    const table = this.instance.tables.get(statement.table);
    const candidates = this.find(table, statement.where);
    const found = await this.lockAndFindAgain(table, statement.where, candidates);
    this.requireWritable();
    for (const [key] of found) this.currentTransaction().write(table, key, undefined);
    return { affectedRows: found.length };
  }

  private async changeSchema(
    statement: Extract<Statement, { kind: 'create_table' | 'drop_table' }>,
  ): Promise<Effect> {
    this.requireWritable();
    const exists = this.instance.tables.has(statement.table);
    if (statement.kind === 'drop_table') {
      if (!exists && !statement.ifExists) this.instance.tables.get(statement.table);
      await this.commitChanges([{ table: SCHEMA_TABLE, key: statement.table, removed: true }]);
      return {};
    }
    if (exists) {
      if (statement.ifNotExists) return {};
      throw new DatabaseError(`Table '${statement.table}' already exists`, {
        code: 1050,
        sqlState: '42S01',
      });
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

  private rowScope(table: Table, row: Row): Scope {
    return this.scope((name) => {
      const index = table.definition.columns.findIndex((column) => column.name === name);
      return index < 0 ? undefined : row[index];
    });
  }

  private scope(column: (name: string) => Value | undefined = () => undefined): Scope {
    return {
      column: (name) => {
        const value = column(name);
        if (value === undefined) {
          throw new DatabaseError(`Unknown column '${name}' in 'field list'`, ER_BAD_FIELD);
        }
        return value;
      },
      systemVariable: (name) => systemVariable(this.instance, name),
      userVariable: (name) => this.userVariables.get(name) ?? null,
      call: (name, parameters) => this.call(name, parameters),
    };
  }

  private call(name: string, parameters: readonly Value[]): Value {
    switch (name) {
      case 'GET_LOCK':
        return this.instance.takeNamedLock(String(parameters[0]), this);
      case 'RELEASE_LOCK':
        return this.instance.releaseNamedLock(String(parameters[0]), this);
      case 'CONNECTION_ID':
        return this.connectionId;
      case 'LAST_INSERT_ID':
        return this.lastInsertId;
      case 'VERSION':
        return systemVariable(this.instance, 'version');
      case 'DATABASE':
        return null;
      case 'REPEAT':
        return String(parameters[0]).repeat(Number(parameters[1]));
      case 'WAIT_FOR_EXECUTED_GTID_SET':
        return this.hasExecuted(parameters[0]) ? 0 : 1;
      case 'SLEEP':
        return 0;
      case 'COUNT':
        return 0;
      default:
        throw new DatabaseError(`FUNCTION ${name} does not exist`, {
          code: 1305,
          sqlState: '42000',
        });
    }
  }
}
