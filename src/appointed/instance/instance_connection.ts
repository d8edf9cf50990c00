/** What the router needs of a connection to a database instance, whatever protocol carries it. */
import type { Position } from '../../positions/position.js';
import type { InstanceCommand } from './statement.js';

/** Transaction state of a connection: none, open, or open and failed. */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Kinds of errors that an instance answers. All up to `connectionLimit` promise that the statement did not
 * run; the others promise nothing.
 */
export type InstanceErrorKind =
  | 'busy'
  | 'unknownName'
  | 'lagging'
  | 'readOnly'
  | 'wrongInstance'
  | 'connectionLimit'
  | 'malformed'
  | 'failed'
  | 'timeout'
  | 'other';

/** An error that an instance answered. */
export interface InstanceError {
  readonly kind: InstanceErrorKind;
  readonly text: string;
}

/** A whole answer of an instance. */
export interface InstanceAnswer {
  readonly rows: readonly string[];
  /** The instance's own proof that it ran the statement. */
  readonly signature: string;
  readonly error?: InstanceError;
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
  readonly closed: boolean;
  /** Called once when the connection ends. */
  onClosed: (() => void) | undefined;
}

/** Whom to connect to. */
export interface InstanceTarget {
  readonly id: string;
  readonly group: string;
  readonly address: string;
}

/** How a connection attempt failed. */
export type ConnectFailure = 'refused' | 'silent' | 'connectionLimit' | 'wrongInstance' | 'busy';

/** A connection could not be opened. Nothing ran. */
export class ConnectError extends Error {
  constructor(
    readonly failure: ConnectFailure,
    message: string,
  ) {
    super(message);
  }
}

/** An open connection and the position that the instance told at its start. */
export interface OpenedConnection {
  readonly connection: InstanceConnection;
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

/** State of an instance as it tells it. */
export interface InstanceStatus {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  /** Newest position that it received. */
  readonly received: Position;
  /** Term up to which it refuses to receive; 0 when it does not. */
  readonly heldTerm: number;
  readonly lagMs: number;
}
