/**
 * Interfaces to the outside world: clock, random numbers, files and network.
 *
 * Routing, consensus, membership and storage depend on these interfaces only. The daemons use the real implementations in
 * this folder; the simulator in `lab/simulation` uses virtual ones, so both run the same code. When a file or network
 * operation fails, its promise is rejected.
 */
import type { whinyoke } from '../protocol/generated/messages.js';

/** A pending timer. */
export interface Timer {
  /** Cancels the timer; does nothing if it has already fired. */
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
 * The data folder of one process. Bytes are durable only after `sync` or `replace` has resolved; a crash may lose later
 * writes or leave them incomplete. An operation that rejects may have had its effect, a part of it, or none.
 */
export interface DataFolder {
  /** Reads a whole file; undefined if the file does not exist. */
  read(name: string): Promise<Buffer | undefined>;
  /** Appends to a file and creates it if it is missing; not durable until `sync`. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Makes all earlier appends to an existing file durable, also those of an earlier process. */
  sync(name: string): Promise<void>;
  /** Atomically and durably replaces the whole content of a file. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  /**
   * Durably shortens a file to `length` bytes; a missing file counts as an empty one. Rejects if the file is shorter.
   */
  truncate(name: string, length: number): Promise<void>;
  /** Durably removes a file; does nothing if it does not exist. */
  remove(name: string): Promise<void>;
  /** Names of all files, sorted. */
  list(): Promise<string[]>;
}

/** One message of the internal protocol: exactly one field is set. */
export type MessageBody = whinyoke.IBody;

/** Answers a request of another process; if the promise is rejected, no answer is sent. */
export type RequestHandler = (body: MessageBody, from: string) => Promise<MessageBody>;

/** Request and response messages between processes of the system. */
export interface Messenger {
  /**
   * Sends a request and resolves with its answer.
   * @param address - `host:port` of the peer
   * @param timeoutMs - longest time to wait for the answer
   * @param lane - requests of different lanes use separate connections, so a lost packet in one lane does not delay another
   * @throws PeerUnreachableError when no answer arrives in time or the connection fails
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

/** The outside world as one process uses it. */
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
