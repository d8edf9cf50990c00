/** A caller's connection over a socket, with the encoding of its protocol. */
import type { Socket } from 'node:net';
import type { TransactionState } from '../instance/instance_connection.js';
import type { CallerChannel, CallerMessage } from './caller_channel.js';
import type { CallerConnection } from './caller_connection.js';
import type { CallerErrorKind, CallerReply } from './caller_reply.js';

/** Decoder of one caller's bytes. */
export interface CallerMessageReader {
  /** Returns the messages that are now complete. Input that can't be decoded ends with one `broken` message. */
  push(chunk: Buffer): CallerMessage[];
}

/** Encoder and decoder of the protocol for callers, without I/O. */
export interface CallerCodec {
  /** Decoder for a new connection. */
  newReader(): CallerMessageReader;
  /** Message that a session is ready for a statement. */
  encodeReady(state: TransactionState): string;
  /** Error message without an end of the answer. */
  encodeError(kind: CallerErrorKind, text: string): string;
  /** Complete reply to a statement. */
  encodeReply(reply: CallerReply): string;
}

/** Idle time of a caller's connection before the first TCP keep-alive probe. */
const KEEP_ALIVE_MS = 2000;
/** Time for the caller to close its direction once everything was sent to it; then the connection is destroyed. */
const LINGER_MS = 2000;

export class SocketChannel implements CallerChannel {
  constructor(
    private readonly socket: Socket,
    private readonly codec: CallerCodec,
  ) {}

  /** Passes what the caller sends to its connection. */
  serve(connection: CallerConnection): void {
    const { socket } = this;
    const reader = this.codec.newReader();
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.on('data', (chunk) => connection.receive(reader.push(chunk)));
    // The close that follows ends the connection; a caller may disconnect at any time.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => connection.handleClose());
  }

  sendReady(state: TransactionState): void {
    this.socket.write(this.codec.encodeReady(state), 'latin1');
  }

  sendError(kind: CallerErrorKind, text: string): void {
    this.socket.write(this.codec.encodeError(kind, text), 'latin1');
  }

  sendReply(reply: CallerReply, onDelivered: () => void): void {
    this.socket.write(this.codec.encodeReply(reply), 'latin1', () => onDelivered());
  }

  end(): void {
    const { socket } = this;
    socket.end(() => setTimeout(() => socket.destroy(), LINGER_MS).unref());
  }

  destroy(): void {
    this.socket.destroy();
  }
}
