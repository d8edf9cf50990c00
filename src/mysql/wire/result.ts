/**
 * Results of statements as they pass through the process: from an instance's connection, over a gateway on another proxy,
 * to the caller. Types only; who makes and who writes them stands in `backend` and `frontend`.
 */

/** A column value in decoded form. */
export type Value = string | number | null | Buffer;

/**
 * Columns of a result: names when this process made them, or column definition packets as an instance
 * sent them, to be passed on unread.
 */
export type ResultColumns =
  | { readonly kind: 'names'; readonly names: readonly string[] }
  | { readonly kind: 'packets'; readonly packets: readonly Buffer[] };

/** A row: decoded values, or a text-protocol row packet (header included) to be passed on unread. */
export type ResultRow = readonly Value[] | Buffer;

/** Receives a result while it arrives. */
export interface ResultSink {
  columns(columns: ResultColumns): void;
  row(row: ResultRow): void;
  /** Resolves when the receiver can take more; undefined when it can now. */
  readyForMore?(): Promise<void> | undefined;
}

/** How a statement ended. */
export interface Completion {
  readonly affectedRows: number;
  readonly insertId: number;
  /** Text for the caller's OK packet. */
  readonly info: string;
  /** GTID of the transaction that the statement committed, when the instance told it. */
  readonly gtid?: string;
  /** Whether a transaction is open after the statement. */
  readonly inTransaction: boolean;
}

/** A whole decoded result. */
export interface DecodedResult {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Value[])[];
  readonly completion: Completion;
}

/** Sink that drops everything. */
export const DISCARD: ResultSink = { columns: () => undefined, row: () => undefined };
