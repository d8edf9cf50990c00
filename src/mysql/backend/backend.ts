/** What the proxy needs of a connection to a database instance, whatever carries it. */

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

/** One connection to an instance. */
export interface BackendConnection {
  /** Number by which the instance knows the connection (`CONNECTION_ID()`). */
  readonly sessionId: number;
  /**
   * Runs one statement; only one at a time.
   * @throws DatabaseError as the instance answered it
   * @throws BackendConnectionLostError when the connection broke; it is unusable afterwards
   */
  execute(sql: string, sink: ResultSink): Promise<Completion>;
  /** Rolls back and clears all session state (COM_RESET_CONNECTION). */
  reset(): Promise<void>;
  /** Ends the connection at once; a statement under way fails. */
  close(): void;
  /** Whether the connection can't be used any more. */
  readonly closed: boolean;
  /** Called once when the connection breaks or is closed. */
  onClosed: (() => void) | undefined;
}

/** Opens connections to instances. */
export interface BackendConnector {
  /**
   * Opens a connection.
   * @param address - `host:port` of the instance
   * @throws BackendConnectionLostError when it can't be opened in time
   */
  connect(address: string, timeoutMs: number): Promise<BackendConnection>;
}

/** A whole decoded result. */
export interface DecodedResult {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Value[])[];
  readonly completion: Completion;
}

/** Sink that drops everything. */
export const DISCARD: ResultSink = { columns: () => undefined, row: () => undefined };
