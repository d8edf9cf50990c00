/** Committed tables of an emulated instance, and the row changes that transactions replicate. */
import { DatabaseError } from '../../src/errors/errors.js';
import type { whinyoke } from '../../src/protocol/generated/messages.js';
import type { ColumnDefinition, Value } from './sql/syntax.js';

/** Values of one row, in the order of the table's columns. */
export type Row = readonly Value[];

/** A change of one row, or of a table definition when `table` is {@link SCHEMA_TABLE}. */
export type RowChange = whinyoke.IRowChange;

/** Pseudo table whose rows are the definitions of all tables. */
export const SCHEMA_TABLE = '#schema';

/** Definition of a table. */
export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly ColumnDefinition[];
  readonly primaryKey: readonly string[];
}

/** A table with its committed rows by primary key. */
export interface Table {
  readonly definition: TableDefinition;
  readonly rows: Map<string, Row>;
  nextAutoIncrement: number;
}

interface EncodedBuffer {
  readonly hex: string;
}

function encodeValue(value: Value): string | number | null | EncodedBuffer {
  return Buffer.isBuffer(value) ? { hex: value.toString('hex') } : value;
}

function decodeValue(value: string | number | null | EncodedBuffer): Value {
  const isEncoded = typeof value === 'object' && value !== null;
  return isEncoded ? Buffer.from(value.hex, 'hex') : value;
}

/** Text form of a row for replication. */
export function encodeRow(row: Row): string {
  return JSON.stringify(row.map(encodeValue));
}

function decodeRow(text: string): Row {
  return (JSON.parse(text) as (string | number | null | EncodedBuffer)[]).map(decodeValue);
}

/** Primary key of a row, as text. */
export function keyOf(definition: TableDefinition, row: Row): string {
  const parts = definition.primaryKey.map((name) => {
    const index = definition.columns.findIndex((column) => column.name === name);
    return row[index] ?? null;
  });
  return JSON.stringify(parts.map((part) => (Buffer.isBuffer(part) ? part.toString('hex') : part)));
}

/** All committed tables of one instance. */
export class Tables {
  private readonly tables = new Map<string, Table>();

  /** The table of that name; throws MySQL's "doesn't exist" error. */
  get(name: string): Table {
    const table = this.tables.get(name);
    if (!table) {
      throw new DatabaseError(`Table '${name}' doesn't exist`, { code: 1146, sqlState: '42S02' });
    }
    return table;
  }

  has(name: string): boolean {
    return this.tables.has(name);
  }

  /** Names of all tables. */
  names(): string[] {
    return [...this.tables.keys()].sort();
  }

  /** Forgets everything. */
  clear(): void {
    this.tables.clear();
  }

  /** Applies the changes of one committed transaction. */
  apply(changes: readonly RowChange[]): void {
    for (const change of changes) this.applyOne(change);
  }

  private applyOne(change: RowChange): void {
    const key = change.key ?? '';
    if (change.table === SCHEMA_TABLE) {
      this.applySchemaChange(key, change);
      return;
    }
    const table = this.tables.get(change.table ?? '');
    if (!table) return;
    if (change.removed) {
      table.rows.delete(key);
      return;
    }
    const row = decodeRow(change.row ?? '[]');
    table.rows.set(key, row);
    this.raiseAutoIncrement(table, row);
  }

  private applySchemaChange(name: string, change: RowChange): void {
    if (change.removed) {
      this.tables.delete(name);
      return;
    }
    if (this.tables.has(name)) return;
    const definition = JSON.parse(change.row ?? '{}') as TableDefinition;
    this.tables.set(name, { definition, rows: new Map(), nextAutoIncrement: 1 });
  }

  private raiseAutoIncrement(table: Table, row: Row): void {
    const index = table.definition.columns.findIndex((column) => column.autoIncrement);
    const value = index >= 0 ? row[index] : undefined;
    if (typeof value === 'number' && value >= table.nextAutoIncrement) {
      table.nextAutoIncrement = value + 1;
    }
  }
}
