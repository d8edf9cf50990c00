/**
 * Interface to a connection to a database instance, independent of the wire protocol. Implemented
 * in `platform/`, and in `relay/` for connections of other proxies.
 */
import type { InstanceOptions } from 'modern-errors';
import { WhinyokeError } from '../../errors/errors.js';
import type { Position } from '../../positions/position.js';
import type { InstanceCommand } from './statement.js';

/** Transaction state of a connection: none, open, or open and failed. */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Kinds of errors that an instance answers. The kinds up to and including `slowStart` guarantee
 * that the statement did not run; the others guarantee nothing. `slowStart` is answered by the
 * proxy that holds the slow start of a cold instance, which sent nothing.
 */
export type InstanceErrorKind =
  | 'busy'
  | 'unknownName'
  | 'lagging'
  | 'readOnly'
  | 'wrongInstance'
  | 'connectionLimit'
  | 'slowStart'
  | 'malformed'
  | 'failed'
  | 'timeout'
  | 'other';

export interface InstanceError {
  /** Kind, which determines whether the statement may have run. */
  readonly kind: InstanceErrorKind;
  /** Error text of the instance, passed to the caller unchanged. */
  readonly text: string;
}

/** A complete answer of an instance. */
export interface InstanceAnswer {
  /** Rows of the result, not parsed. */
  readonly rows: readonly string[];
  /** Signature of the instance, which proves that it ran the statement. */
  readonly signature: string;
  /** Undefined if the command succeeded. */
  readonly error?: InstanceError;
  /** State of the connection after the command. */
  readonly state: TransactionState;
  /** Log position of the instance after the statement. */
  readonly position?: Position;
  /** Status of the instance, in answers to administrative commands. */
  readonly status?: InstanceStatus;
}

export interface InstanceConnection {
  /**
   * Runs one command. Commands run in the order in which they were sent; several may be in flight.
   * @throws BackendConnectionLostError if the connection broke or `timeoutMs` passed; the
   *   connection is unusable then
   * @throws UnsendableCommandError if the wire can't carry the command; nothing was sent
   */
  run(command: InstanceCommand, timeoutMs: number): Promise<InstanceAnswer>;
  /** Closes the connection at once. */
  close(): void;
  readonly closed: boolean;
  /** Called once when the connection ends. */
  onClosed: (() => void) | undefined;
}

/** Instance to connect to. */
export interface InstanceTarget {
  /**
   * Identifier that the instance must have; another instance at the address refuses with
   * `wrongInstance`.
   */
  readonly id: string;
  /** Replication group that it belongs to. */
  readonly group: string;
  /** Host and port. */
  readonly address: string;
  /** Incarnation in the catalog; the first one if left out. It is not sent to the instance. */
  readonly incarnation?: number;
}

/** Why a connection could not be opened. With `notListening`, no process listens at the address. */
export type ConnectFailure =
  'notListening' | 'refused' | 'silent' | 'connectionLimit' | 'wrongInstance' | 'busy';

/** A connection could not be opened. Nothing ran. */
export const ConnectError = WhinyokeError.subclass('ConnectError', {
  custom: class extends WhinyokeError {
    readonly failure: ConnectFailure;

    constructor(message: string, options?: InstanceOptions & { failure?: ConnectFailure }) {
      super(message);
      this.failure = options?.failure ?? 'refused';
    }
  },
});

/** See {@link ConnectError}. */
export type ConnectError = InstanceType<typeof ConnectError>;

/** An open connection and the log position that the instance reported at its start. */
export interface OpenedConnection {
  readonly connection: InstanceConnection;
  /** Undefined if the instance reported none. */
  readonly position?: Position;
}

/** Opens connections to instances. */
export interface InstanceConnector {
  /**
   * @param tenant - tenant whose statements the connection will serve; left out for internal ones
   * @throws ConnectError if the connection cannot be opened in time
   */
  connect(target: InstanceTarget, timeoutMs: number, tenant?: string): Promise<OpenedConnection>;
}

/** Status of an instance as it reports it. */
export interface InstanceStatus {
  /** Whether the instance leads its group. */
  readonly role: 'primary' | 'replica';
  /** Newest replication term that the instance knows. */
  readonly term: number;
  /** Newest log position that the instance received. */
  readonly received: Position;
  /** Highest fenced term: the instance receives no log of lower terms; 0 if it is not fenced. */
  readonly fencedTerm: number;
  /** Replication lag behind the primary. */
  readonly lagMs: number;
  /** When the connection that answered was opened; undefined if it was opened for this request. */
  readonly connectedSince?: number | undefined;
}
