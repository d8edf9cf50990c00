/** What the proxy needs of a connection to a database instance, whatever carries it. */
import type { Completion, ResultSink } from '../wire/result.js';

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
  /**
   * Ends the connection at once; a statement under way fails.
   * @param reason - why, for the error of that statement
   */
  close(reason: string): void;
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
