/**
 * Connection to an instance below the matching of answers with commands: it encodes commands and hands over complete messages
 * in the order of their arrival. Implemented in `platform/`.
 */
import type { InstanceAnswer, InstanceError, InstanceTarget } from './instance_connection.js';
import type { InstanceCommand } from './statement.js';
import type { Position } from '../../positions/position.js';
import { WhinyokeError } from '../../errors/errors.js';

/** A command that the wire can't carry unchanged, or only as a message that is too long. It was not sent. */
export const UnsendableCommandError = WhinyokeError.subclass('UnsendableCommandError');

/** A message of an instance. */
export type InstanceMessage =
  /** Answer to the start of a connection. */
  | { readonly kind: 'greeting'; readonly position: Position | undefined }
  | { readonly kind: 'answer'; readonly answer: InstanceAnswer }
  /** An error without the rest of its answer, at the end of the connection. */
  | { readonly kind: 'brokenOff'; readonly error: InstanceError }
  /** Bytes that are no message. */
  | { readonly kind: 'violation'; readonly problem: string };

/** An open channel. */
export interface InstanceChannel {
  /** Sends the start of the connection, for a tenant. @throws UnsendableCommandError */
  sendStart(target: InstanceTarget, tenant: string): void;
  /** @throws UnsendableCommandError */
  send(command: InstanceCommand): void;
  /** Closes at once. With `discardsUnsent`, nothing that the other side has not received is delivered any more. */
  close(discardsUnsent: boolean): void;
  readonly closed: boolean;
  /** Whether a part of a message has arrived, and the rest has not. */
  readonly isReceiving: boolean;
  onMessage: (message: InstanceMessage) => void;
  /** Called once when the channel was closed by the other side or failed; not after `close`. */
  onClosed: (reason: string) => void;
}

/** Opens channels. */
export interface InstanceChannelConnector {
  /** @throws ConnectError if the channel can't be opened in time */
  open(address: string, timeoutMs: number): Promise<InstanceChannel>;
}
