/**
 * The boundary between decisions and the outside world.
 *
 * Everything that decides (routing, consensus, membership, storage) is written against these
 * interfaces only. The daemons use the real implementations beside this file; the simulator under
 * `lab/simulation` uses virtual ones, so both run the same code. Owns nothing. Of the parts the folder and the messenger may
 * fail: their promises are rejected then.
 */
import type { whinyoke } from '../protocol/generated/messages.js';

/** A pending timer. */
export interface Timer {
  /** Cancels the timer; does nothing when it has already fired. */
  cancel(): void;
}

/** A monotonic clock local to one process. Readings of two processes must never be compared. */
export interface Clock {
  /** Milliseconds since an arbitrary origin; never goes backwards. */
  now(): number;
  /** Calls `callback` once, `delayMs` milliseconds from now. */
  setTimer(delayMs: number, callback: () => void): Timer;
}

/** A source of uniformly distributed random numbers. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [minimum, maximum], both included. */
  integer(minimum: number, maximum: number): number;
  /** A random identifier of 16 hexadecimal digits. */
  identifier(): string;
}

/**
 * The data folder of one process. Bytes count as durable only after `sync` or `replace` resolved;
 * a crash may drop or tear anything later.
 */
export interface DataFolder {
  /** Whole content of a file, or undefined when there is no such file. */
  read(name: string): Promise<Buffer | undefined>;
  /** Appends to a file, creating it when needed. Not durable until `sync`. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Makes everything appended to the file so far durable. */
  sync(name: string): Promise<void>;
  /** Atomically and durably replaces the whole content of a file. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  /** Durably shortens a file to `length` bytes. */
  truncate(name: string, length: number): Promise<void>;
  /** Durably removes a file; does nothing when there is no such file. */
  remove(name: string): Promise<void>;
  /** Names of all files, sorted. */
  list(): Promise<string[]>;
}

/** One message of the internal protocol: exactly one field is set. */
export type MessageBody = whinyoke.IBody;

/** Answers a request of another process; a rejected promise drops the request without an answer. */
export type RequestHandler = (body: MessageBody, from: string) => Promise<MessageBody>;

/** Request and response messages between processes of the system. */
export interface Messenger {
  /**
   * Sends a request and resolves with its answer.
   * @param address - `host:port` of the peer
   * @param timeoutMs - how long to wait for the answer, in milliseconds
   * @param lane - requests of different lanes share no connection, so none waits behind a lost packet of another
   * @throws PeerUnreachableError when no answer came in time
   */
  request(
    address: string,
    body: MessageBody,
    timeoutMs: number,
    lane?: number,
  ): Promise<MessageBody>;
  /** Sets the handler for requests of other processes. */
  serve(handler: RequestHandler): void;
}

/** Everything a process needs from the outside world. */
export interface Runtime {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly folder: DataFolder;
  readonly messenger: Messenger;
}

/** Resolves after `delayMs` milliseconds of the given clock. */
export function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.setTimer(delayMs, resolve));
}
