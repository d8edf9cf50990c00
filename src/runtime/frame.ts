/**
 * Length-prefixed frames on a byte stream. Owns the bytes of a frame that is not complete yet; relies on the peer, which may
 * send anything.
 */
import type { Socket } from 'node:net';

/** Length of the prefix of each frame, in bytes. */
export const FRAME_HEADER_BYTES = 4;

/** Largest accepted frame, in bytes; anything longer ends the connection. Guess, not measured. */
const MAXIMUM_FRAME_BYTES = 32 * 1024 * 1024;

/** A payload with its length in front. */
export function frame(payload: Uint8Array): Buffer {
  const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  bytes.writeUInt32BE(payload.length, 0);
  bytes.set(payload, FRAME_HEADER_BYTES);
  return bytes;
}

/** Cuts a byte stream into frames. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private buffered = 0;

  /** Adds bytes and returns the payloads that are now complete; throws on an oversized frame. */
  push(chunk: Buffer): Buffer[] {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    const payloads: Buffer[] = [];
    let payload = this.shift();
    while (payload) {
      payloads.push(payload);
      payload = this.shift();
    }
    return payloads;
  }

  /** Delivers all further frames of a socket to `receive`; ends the connection on bad input. */
  start(socket: Socket, receive: (payload: Buffer) => void): void {
    const deliver = (chunk: Buffer): void => {
      try {
        for (const payload of this.push(chunk)) receive(payload);
      } catch {
        // The peer sees the closed connection: its requests fail, and it logs them. A line here for whatever a stranger
        // sends would let him fill the log.
        socket.destroy();
      }
    };
    deliver(Buffer.alloc(0));
    socket.on('data', deliver);
  }

  private shift(): Buffer | undefined {
    if (this.buffered < FRAME_HEADER_BYTES) return undefined;
    const bytes = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
    const length = bytes.readUInt32BE(0);
    if (length > MAXIMUM_FRAME_BYTES) throw new RangeError(`frame of ${length} bytes`);
    const end = FRAME_HEADER_BYTES + length;
    const complete = bytes.length >= end;
    this.chunks = [complete ? bytes.subarray(end) : bytes];
    this.buffered = this.chunks[0]!.length;
    return complete ? bytes.subarray(FRAME_HEADER_BYTES, end) : undefined;
  }
}
