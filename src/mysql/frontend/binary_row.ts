/**
 * Conversion of text-protocol rows to binary-protocol rows, for callers that execute prepared
 * statements. Source: MySQL internals manual, "Binary Protocol Resultset Row".
 */
import { lengthEncodedString } from '../wire/packet.js';
import { FieldType } from '../wire/protocol.js';
import { splitTextRow } from '../wire/text_row.js';

/** Bits of a binary row's NULL bitmap that stand before the first column. */
const BITMAP_OFFSET = 2;

/** Column type in a column definition payload. */
export function columnType(definition: Buffer): number {
  let offset = 0;
  for (let skipped = 0; skipped < 6; skipped++) offset += 1 + definition[offset]!;
  // After six strings: length of the fixed part, character set (2), column length (4), type.
  return definition[offset + 7]!;
}

function integerBytes(text: string, size: number): Buffer {
  const bytes = Buffer.alloc(8);
  bytes.writeBigUInt64LE(BigInt.asUintN(64, BigInt(text)), 0);
  return bytes.subarray(0, size);
}

function dateBytes(text: string): Buffer {
  const parts = text.split(/[- :.]/).map(Number);
  const hasTime = parts.length > 3;
  const bytes = Buffer.alloc(hasTime ? 12 : 5);
  bytes[0] = bytes.length - 1;
  bytes.writeUInt16LE(parts[0]!, 1);
  bytes[3] = parts[1]!;
  bytes[4] = parts[2]!;
  if (!hasTime) return bytes;
  bytes.set(parts.slice(3, 6), 5);
  const fraction = text.split('.')[1] ?? '';
  bytes.writeUInt32LE(Number(fraction.padEnd(6, '0')), 8);
  return bytes;
}

function timeBytes(text: string): Buffer {
  const negative = text.startsWith('-');
  const [clock = '', fraction = ''] = text.replace('-', '').split('.');
  const [hours = 0, minutes = 0, seconds = 0] = clock.split(':').map(Number);
  const bytes = Buffer.alloc(13);
  bytes[0] = bytes.length - 1;
  bytes[1] = negative ? 1 : 0;
  bytes.writeUInt32LE(Math.floor(hours / 24), 2);
  bytes.set([hours % 24, minutes, seconds], 6);
  bytes.writeUInt32LE(Number(fraction.padEnd(6, '0')), 9);
  return bytes;
}

function binaryValue(type: number, value: Buffer): Buffer {
  switch (type) {
    case FieldType.tiny:
      return integerBytes(value.toString(), 1);
    case FieldType.short:
    case FieldType.year:
      return integerBytes(value.toString(), 2);
    case FieldType.long:
    case FieldType.int24:
      return integerBytes(value.toString(), 4);
    case FieldType.longLong:
      return integerBytes(value.toString(), 8);
    case FieldType.float: {
      const bytes = Buffer.alloc(4);
      bytes.writeFloatLE(Number(value.toString()));
      return bytes;
    }
    case FieldType.double: {
      const bytes = Buffer.alloc(8);
      bytes.writeDoubleLE(Number(value.toString()));
      return bytes;
    }
    case FieldType.date:
    case FieldType.dateTime:
    case FieldType.timestamp:
      return dateBytes(value.toString());
    case FieldType.time:
      return timeBytes(value.toString());
    default:
      return lengthEncodedString(value);
  }
}

/** Payload of a binary row with the values of a text row. */
export function toBinaryRow(textPayload: Buffer, types: readonly number[]): Buffer {
  const values = splitTextRow(textPayload);
  const bitmap = Buffer.alloc(Math.floor((types.length + 7 + BITMAP_OFFSET) / 8));
  const parts: Buffer[] = [Buffer.from([0]), bitmap];
  values.forEach((value, index) => {
    if (value === null) {
      const bit = index + BITMAP_OFFSET;
      bitmap[bit >> 3] = bitmap[bit >> 3]! | (1 << (bit & 7));
      return;
    }
    parts.push(binaryValue(types[index]!, value));
  });
  return Buffer.concat(parts);
}
