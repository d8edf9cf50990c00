/**
 * Typed view of the few `mysql2` packet methods that both ends use. The library does not export its
 * packet class, so the class is taken from a received packet.
 */

import { MAXIMUM_PAYLOAD_BYTES } from './protocol.js';

/** A packet of the MySQL client/server protocol. */
export interface Packet {
  readonly buffer: Buffer;
  /** Offset of the header in `buffer`. */
  readonly start: number;
  readonly end: number;
  /** Number of the packet within its command and answer, modulo 256. */
  readonly sequenceId: number;
  offset: number;
  readInt8(): number;
  readInt16(): number;
  readInt32(): number;
  readInt64(): number;
  readDouble(): number;
  readFloat(): number;
  skip(bytes: number): void;
  readString(length: number | undefined, encoding: string): string;
  readLengthCodedNumber(): number | null;
  readLengthCodedString(encoding: string): string | null;
  readLengthCodedBuffer(): Buffer | null;
  readBuffer(length: number): Buffer;
  isError(): boolean;
  isEOF(): boolean;
  length(): number;
  /** A copy that stays as it is: the library reads the next packet into the same object. */
  clone(): Packet;
}

/** Bytes in front of each packet: three of length, one of sequence. */
export const PACKET_HEADER_BYTES = 4;

/** Payload of a packet, without its header. */
export function payloadOf(packet: Packet): Buffer {
  return packet.buffer.subarray(packet.start + PACKET_HEADER_BYTES, packet.end);
}

/** A packet with a blank header, ready for {@link PacketWriter.writeFramed}. */
export function framed(payload: Uint8Array): Buffer {
  const bytes = Buffer.allocUnsafe(PACKET_HEADER_BYTES + payload.length);
  bytes.writeUIntLE(Math.min(payload.length, MAXIMUM_PAYLOAD_BYTES), 0, 3);
  bytes.set(payload, PACKET_HEADER_BYTES);
  return bytes;
}

/** Length-encoded integer of the protocol. */
export function lengthEncodedInteger(value: number): Buffer {
  if (value < 251) return Buffer.from([value]);
  const bytes = Buffer.alloc(9);
  if (value < 0x10000) {
    bytes[0] = 0xfc;
    bytes.writeUInt16LE(value, 1);
    return bytes.subarray(0, 3);
  }
  if (value < 0x1000000) {
    bytes[0] = 0xfd;
    bytes.writeUIntLE(value, 1, 3);
    return bytes.subarray(0, 4);
  }
  bytes[0] = 0xfe;
  bytes.writeBigUInt64LE(BigInt(value), 1);
  return bytes;
}

/** Length-encoded string of the protocol. */
export function lengthEncodedString(value: string | Buffer): Buffer {
  const bytes = Buffer.isBuffer(value) ? value : Buffer.from(value, 'utf8');
  return Buffer.concat([lengthEncodedInteger(bytes.length), bytes]);
}
