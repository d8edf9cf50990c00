/**
 * A TCP connection that withholds the end of what is written to it until it is released, so that a protocol library can
 * prepare a whole request before the caller decides whether to send it.
 *
 * The begin is sent at once: then the release is one write of prepared bytes on a path that has run before, with as little
 * time as possible between the caller's decision and the system call.
 */
import { type Socket } from 'node:net';
import { Duplex } from 'node:stream';

/** Bytes at the begin that are sent at once; too few for a request of any protocol to be complete. */
const BEGIN_BYTES = 8;

/** A connection that sends nothing beyond its first bytes before `release`. */
export class WithheldConnection extends Duplex {
  private withheld = Buffer.alloc(0);
  private isReleased = false;
  private sentBytes = 0;

  /** @param socket - connected, without Nagle's algorithm, which would hold the released bytes back */
  constructor(private readonly socket: Socket) {
    super();
    socket.on('data', (chunk) => this.push(chunk));
    socket.once('end', () => this.push(null));
    socket.once('error', (error) => this.destroy(error));
    socket.once('close', () => this.destroy());
  }

  /** Hands over to the operating system, before it returns, what was written so far. */
  release(): void {
    this.socket.write(this.withheld);
    this.isReleased = true;
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, onWritten: () => void): void {
    if (this.isReleased) this.socket.write(chunk);
    else this.withhold(chunk);
    onWritten();
  }

  override _read(): void {
    // The socket pushes whatever arrives.
  }

  /** Resets the connection, so that the operating system sends nothing of it later. */
  override _destroy(error: Error | null, onDestroyed: (error: Error | null) => void): void {
    this.socket.resetAndDestroy();
    onDestroyed(error);
  }

  private withhold(chunk: Buffer): void {
    const begin = chunk.subarray(0, BEGIN_BYTES - this.sentBytes);
    if (begin.length > 0) this.socket.write(begin);
    this.sentBytes += begin.length;
    this.withheld = Buffer.concat([this.withheld, chunk.subarray(begin.length)]);
  }
}
