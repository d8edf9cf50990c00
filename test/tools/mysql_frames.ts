/** Raw packets of the MySQL protocol, for tests of what arrives in one piece, late or out of sequence. */
import { Command } from '../../src/mysql/wire/protocol.js';
import { framed } from '../../src/mysql/wire/packet.js';

/** A packet with its header. */
function frameOf(sequence: number, payload: Uint8Array): Buffer {
  const frame = framed(payload);
  frame[3] = sequence;
  return frame;
}

/** A text statement as a client sends it. */
export function queryFrame(sql: string): Buffer {
  return frameOf(0, Buffer.concat([Buffer.from([Command.query]), Buffer.from(sql)]));
}

/** An OK packet for one affected row. */
export function okFrame(sequence: number, statusFlags: number): Buffer {
  return frameOf(sequence, Buffer.from([0, 1, 0, statusFlags, 0, 0, 0]));
}
