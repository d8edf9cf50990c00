/**
 * Length-prefixed frames on a byte stream. The reader buffers an incomplete frame until the rest arrives. A frame above
 * the size limit ends the connection, so that a faulty peer can't exhaust the memory of this process.
 */
import type { Socket } from 'node:net';

/** Size of the length prefix. */
export const FRAME_HEADER_BYTES = 4;

const MAX_FRAME_BYTES = 32 * 1024 * 1024;

/** Encodes a payload with its length prefix. */
export function frame(payload: Uint8Array): Buffer {
  const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  bytes.writeUInt32BE(payload.length, 0);
  bytes.set(payload, FRAME_HEADER_BYTES);
  return bytes;
}

/** Splits a byte stream into frames. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private buffered = 0;

  /**
   * Adds bytes and returns the payloads that are now complete.
   * @throws RangeError when a frame exceeds the size limit
   */
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

  /** Passes all further frames of a socket to `receive`; closes the socket if decoding or `receive` throws. */
  start(socket: Socket, receive: (payload: Buffer) => void): void {
    const deliver = (chunk: Buffer): void => {
      try {
        for (const payload of this.push(chunk)) receive(payload);
      } catch {
        // Not logged: an unauthenticated client could fill the log with invalid input. The peer's requests fail, and the
        // peer logs them.
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
    if (length > MAX_FRAME_BYTES)
      throw new RangeError(`frame of ${length} bytes exceeds the limit of ${MAX_FRAME_BYTES}`);
    const end = FRAME_HEADER_BYTES + length;
    const complete = bytes.length >= end;
    this.chunks = [complete ? bytes.subarray(end) : bytes];
    this.buffered = this.chunks[0]!.length;
    return complete ? bytes.subarray(FRAME_HEADER_BYTES, end) : undefined;
  }
}
