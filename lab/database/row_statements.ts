/**
 * Statements on rows: finding and locking them, INSERT, UPDATE, DELETE. Relies on the session for its present
 * transaction and for whether the instance still takes writes.
 */
import { DatabaseError } from '../../src/errors/errors.js';
import { evaluate, fixedValue, matches } from './evaluate.js';
import type { SessionScope } from './session_scope.js';
import type { Expression, Statement } from './sql/syntax.js';
import { type Row, type Table, type Tables, keyOf } from './tables.js';
import type { Transaction } from './transaction.js';

const ER_DUPLICATE_ENTRY = { code: 1062, sqlState: '23000' };

/** What a statement on rows changed. */
export interface RowEffect {
  readonly affectedRows: number;
  readonly insertId?: number;
}

/** What these statements use of their session. */
export interface TransactionSource {
  /** Present transaction; begun when there is none. */
  currentTransaction(): Transaction;
  /** @throws DatabaseError when the instance takes no writes */
  requireWritable(): void;
}

/** Statements of one session. */
export class RowStatements {
  constructor(
    private readonly tables: Tables,
    private readonly scope: SessionScope,
    private readonly source: TransactionSource,
  ) {}

  /** Rows that a condition selects, with their keys. */
  find(table: Table, where: Expression | undefined): [string, Row][] {
    const transaction = this.source.currentTransaction();
    const fixed = table.definition.primaryKey.map((column) =>
      fixedValue(where, column, this.scope.withoutRow()),
    );
    if (fixed.length > 0 && fixed.every((value) => value !== undefined)) {
      const key = JSON.stringify(fixed);
      const row = transaction.read(table, key);
      return row && matches(where, this.scope.ofRow(table, row)) ? [[key, row]] : [];
    }
    const found: [string, Row][] = [];
    for (const [key, row] of transaction.scan(table)) {
      if (matches(where, this.scope.ofRow(table, row))) found.push([key, row]);
    }
    return found;
  }

  /** Locks the found rows and reads them again, since they may have changed during the wait. */
  async lockAndFindAgain(
    table: Table,
    where: Expression | undefined,
    found: readonly (readonly [string, Row])[],
  ): Promise<[string, Row][]> {
    const transaction = this.source.currentTransaction();
    for (const [key] of found) await transaction.lock(table, key);
    const current: [string, Row][] = [];
    for (const [key] of found) {
      const row = transaction.read(table, key);
      if (row && matches(where, this.scope.ofRow(table, row))) current.push([key, row]);
    }
    return current;
  }

  /** INSERT: each row takes the lock of its key. */
  async insert(statement: Extract<Statement, { kind: 'insert' }>): Promise<RowEffect> {
    this.source.requireWritable();
    const table = this.tables.get(statement.table);
    const transaction = this.source.currentTransaction();
    let insertId = 0;
    for (const values of statement.rows) {
      const row = table.definition.columns.map((column) => {
        const index = statement.columns.indexOf(column.name);
        const value = index >= 0 ? evaluate(values[index]!, this.scope.withoutRow()) : null;
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
    this.source.requireWritable();
    this.scope.lastInsertId = insertId;
    return { affectedRows: statement.rows.length, insertId };
  }

  /** UPDATE: rows are found, locked, and found again. */
  async update(statement: Extract<Statement, { kind: 'update' }>): Promise<RowEffect> {
    this.source.requireWritable();
    const table = this.tables.get(statement.table);
    const candidates = this.find(table, statement.where);
    const found = await this.lockAndFindAgain(table, statement.where, candidates);
    this.source.requireWritable();
    const transaction = this.source.currentTransaction();
    for (const [key, row] of found) {
      const scope = this.scope.ofRow(table, row);
      const changed = table.definition.columns.map((column, index) => {
        const assignment = statement.assignments.find((item) => item.column === column.name);
        return assignment ? evaluate(assignment.value, scope) : row[index]!;
      });
      transaction.write(table, key, changed);
    }
    return { affectedRows: found.length };
  }

  /** DELETE: rows are found, locked, and found again. */
  async delete(statement: Extract<Statement, { kind: 'delete' }>): Promise<RowEffect> {
    this.source.requireWritable();
    const table = this.tables.get(statement.table);
    const candidates = this.find(table, statement.where);
    const found = await this.lockAndFindAgain(table, statement.where, candidates);
    this.source.requireWritable();
    for (const [key] of found) this.source.currentTransaction().write(table, key, undefined);
    return { affectedRows: found.length };
  }
}
