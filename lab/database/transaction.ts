/** One transaction of an emulated instance: private changes over the committed tables. */
import type { RowLocks } from './row_locks.js';
import { type Row, type RowChange, type Table, encodeRow } from './tables.js';

/** Reads committed rows and its own changes; writes take row locks. */
export class Transaction {
  private readonly changes = new Map<string, Map<string, Row | undefined>>();

  constructor(private readonly locks: RowLocks) {}

  /** Whether anything was written. */
  get isEmpty(): boolean {
    return this.changes.size === 0;
  }

  /** The row of that key as this transaction sees it. */
  read(table: Table, key: string): Row | undefined {
    const own = this.changes.get(table.definition.name);
    return own?.has(key) ? own.get(key) : table.rows.get(key);
  }

  /** All rows of a table as this transaction sees them. */
  *scan(table: Table): Iterable<readonly [string, Row]> {
    const own = this.changes.get(table.definition.name);
    for (const [key, row] of table.rows) {
      if (!own?.has(key)) yield [key, row];
    }
    for (const [key, row] of own ?? []) {
      if (row) yield [key, row];
    }
  }

  /** Takes the lock of a row. */
  lock(table: Table, key: string): Promise<void> {
    return this.locks.acquire(this, `${table.definition.name}\n${key}`);
  }

  /** Writes a row, or removes it when `row` is undefined; the caller holds its lock. */
  write(table: Table, key: string, row: Row | undefined): void {
    const name = table.definition.name;
    let own = this.changes.get(name);
    if (!own) {
      own = new Map();
      this.changes.set(name, own);
    }
    own.set(key, row);
  }

  /** The changes to commit, in the order of first writes. */
  rowChanges(): RowChange[] {
    const changes: RowChange[] = [];
    for (const [table, rows] of this.changes) {
      for (const [key, row] of rows) {
        changes.push(row ? { table, key, row: encodeRow(row) } : { table, key, removed: true });
      }
    }
    return changes;
  }

  /** Ends the transaction; its locks go to the next waiters. */
  end(): void {
    this.changes.clear();
    this.locks.releaseAll(this);
  }
}
