/** What a listener needs of the session behind each caller's connection. */
import type { Completion, ResultSink } from '../wire/result.js';

/** Facts about a caller known after its handshake. */
export interface CallerIdentity {
  /** Number of the connection, as told to the caller. */
  readonly connectionId: number;
  readonly user: string;
  readonly schema: string;
  readonly attributes: Readonly<Record<string, string>>;
}

/** One caller's session. */
export interface CallerSession {
  /** Runs one statement; the listener never starts a second one before the first ended. */
  execute(sql: string, sink: ResultSink): Promise<Completion>;
  /** Rolls back and clears session state. */
  reset(): Promise<void>;
  /** Changes the default schema. */
  useSchema(schema: string): Promise<Completion>;
  /** Whether the statement that runs may take effect although its outcome is not awaited any more. */
  readonly mayTakeEffect: boolean;
  /** Resolves when the connection must be closed from this side. */
  readonly ended?: Promise<void>;
  /** The caller is gone. */
  close(): void;
}
