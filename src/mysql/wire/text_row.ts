/** Rows of the text protocol. Source: MySQL internals manual, "Text Resultset Row". */
import { lengthEncodedString } from './packet.js';
import { NULL_MARKER } from './protocol.js';
import type { Value } from './result.js';

const NULL_VALUE = Buffer.from([NULL_MARKER]);

/** Payload of a text row. */
export function textRow(values: readonly Value[]): Buffer {
  const parts = values.map((value) => {
    if (value === null) return NULL_VALUE;
    return lengthEncodedString(Buffer.isBuffer(value) ? value : String(value));
  });
  return Buffer.concat(parts);
}

/** Values of a text row payload, undecoded; null for SQL NULL. */
export function splitTextRow(payload: Buffer): (Buffer | null)[] {
  const values: (Buffer | null)[] = [];
  let offset = 0;
  while (offset < payload.length) {
    const first = payload[offset]!;
    if (first === NULL_MARKER) {
      values.push(null);
      offset += 1;
      continue;
    }
    const { length, size } = lengthAt(payload, offset, first);
    values.push(payload.subarray(offset + size, offset + size + length));
    offset += size + length;
  }
  return values;
}

function lengthAt(
  payload: Buffer,
  offset: number,
  first: number,
): { length: number; size: number } {
  switch (first) {
    case 0xfc:
      return { length: payload.readUInt16LE(offset + 1), size: 3 };
    case 0xfd:
      return { length: payload.readUIntLE(offset + 1, 3), size: 4 };
    case 0xfe:
      return { length: Number(payload.readBigUInt64LE(offset + 1)), size: 9 };
    default:
      return { length: first, size: 1 };
  }
}
