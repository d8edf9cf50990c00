/**
 * What the system needs of a connection to a database instance, whatever protocol carries it.
 *
 * Owns: the kinds of errors of instances, and of attempts to connect. Relies on nothing; the implementations are in platform/
 * and, for connections of other proxies, in relay/.
 */
import type { InstanceOptions } from 'modern-errors';
import { WhinyokeError } from '../../errors/errors.js';
import type { Position } from '../../positions/position.js';
import type { InstanceCommand } from './statement.js';

/** Transaction state of a connection: none, open, or open and failed. */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Kinds of errors that an instance answers. All up to `slowStart` promise that the statement did not run; the others promise
 * nothing. `slowStart` is the answer of the proxy that holds a cold instance: it sent nothing.
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

/** An error that an instance answered. */
export interface InstanceError {
  /** Kind, which decides whether the statement ran. */
  readonly kind: InstanceErrorKind;
  /** The instance's own text, passed on to the caller. */
  readonly text: string;
}

/** A whole answer of an instance. */
export interface InstanceAnswer {
  /** Rows of the result, unread. */
  readonly rows: readonly string[];
  /** The instance's own proof that it ran the statement. */
  readonly signature: string;
  /** The error; undefined when the command succeeded. */
  readonly error?: InstanceError;
  /** State of the connection after the command. */
  readonly state: TransactionState;
  /** Position of the instance's log after the statement. */
  readonly position?: Position;
  /** The instance's state, in answers to administrative commands. */
  readonly status?: InstanceStatus;
}

/** One connection to an instance. */
export interface InstanceConnection {
  /**
   * Runs one command. Commands run in the order in which they were sent; several may be under way.
   * @throws BackendConnectionLostError when the connection broke or `timeoutMs` passed; it is unusable then
   */
  run(command: InstanceCommand, timeoutMs: number): Promise<InstanceAnswer>;
  /** Ends the connection at once. */
  close(): void;
  /** Whether it has ended. */
  readonly closed: boolean;
  /** Called once when the connection ends. */
  onClosed: (() => void) | undefined;
}

/** Instance to connect to. */
export interface InstanceTarget {
  /** Identifier that the instance must have; another one at the address refuses with `wrongInstance`. */
  readonly id: string;
  /** Group that it belongs to. */
  readonly group: string;
  /** Host and port. */
  readonly address: string;
  /** Number of the incarnation that is meant, in the catalog; the first one when left out. The wire does not tell it. */
  readonly incarnation?: number;
}

/** How a connection attempt failed. */
export type ConnectFailure = 'refused' | 'silent' | 'connectionLimit' | 'wrongInstance' | 'busy';

/** A connection could not be opened. Nothing ran. */
export const ConnectError = WhinyokeError.subclass('ConnectError', {
  custom: class extends WhinyokeError {
    /** How the attempt failed. */
    readonly failure: ConnectFailure;

    constructor(message: string, options?: InstanceOptions & { failure?: ConnectFailure }) {
      super(message);
      this.failure = options?.failure ?? 'refused';
    }
  },
});

/** See {@link ConnectError}. */
export type ConnectError = InstanceType<typeof ConnectError>;

/** An open connection and the position that the instance answered at its start. */
export interface OpenedConnection {
  /** The connection. */
  readonly connection: InstanceConnection;
  /** Position of the instance's log; undefined when it named none. */
  readonly position?: Position;
}

/** Opens connections to instances. */
export interface InstanceConnector {
  /**
   * @param tenant - whose statements it will carry; left out for those of the system itself
   * @throws ConnectError when it can't be opened in time
   */
  connect(target: InstanceTarget, timeoutMs: number, tenant?: string): Promise<OpenedConnection>;
}

/** State of an instance as it answers itself. */
export interface InstanceStatus {
  /** Whether it leads its group. */
  readonly role: 'primary' | 'replica';
  /** Newest term that it knows. */
  readonly term: number;
  /** Newest position that it received. */
  readonly received: Position;
  /** Term up to which it refuses to receive; 0 when it does not. */
  readonly fencedTerm: number;
  /** Time by which it is behind the primary, in milliseconds. */
  readonly lagMs: number;
  /** Since when the connection was open on which it answered; undefined where that was opened for the question. */
  readonly connectedSince?: number | undefined;
}
