/**
 * Prepared statements of callers. The proxy keeps the text and the bound values and runs them as a text
 * statement, because a prepared statement of an instance would tie the caller to one connection.
 * Source: MySQL internals manual, "COM_STMT_PREPARE Response" and "COM_STMT_EXECUTE".
 */
import type { Value } from '../wire/result.js';
import { DatabaseError } from '../../errors/errors.js';
import { quoteString } from '../sql/tokenizer.js';
import type { Packet } from '../wire/packet.js';
import { FieldType } from '../wire/protocol.js';

/** Bit of a parameter type that marks an unsigned number. */
const UNSIGNED_FLAG = 0x80;

/** A prepared statement of one caller connection. */
export interface PreparedStatement {
  readonly id: number;
  /** The text, cut at its parameter markers. */
  readonly pieces: readonly string[];
  /** Types bound by the latest execution; clients may leave them out later. */
  parameterTypes: readonly number[];
}

const MARKER_PATTERN =
  /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"|`(?:[^`]|``)*`|--(?=\s)[^\n]*|#[^\n]*|\/\*[\s\S]*?\*\/|(\?)/g;

/** Cuts a statement's text at its parameter markers. */
export function splitAtMarkers(sql: string): string[] {
  const pieces: string[] = [];
  let from = 0;
  for (const match of sql.matchAll(MARKER_PATTERN)) {
    if (match[1] === undefined) continue;
    pieces.push(sql.slice(from, match.index));
    from = match.index + 1;
  }
  pieces.push(sql.slice(from));
  return pieces;
}

function literal(value: Value): string {
  if (value === null) return 'NULL';
  if (typeof value === 'number') return String(value);
  if (Buffer.isBuffer(value)) return `x'${value.toString('hex')}'`;
  return quoteString(value);
}

/** The statement's text with its values in place. */
export function bind(statement: PreparedStatement, values: readonly Value[]): string {
  return statement.pieces
    .map((piece, index) => (index < values.length ? piece + literal(values[index]!) : piece))
    .join('');
}

function readDateTime(packet: Packet): string {
  const length = packet.readInt8();
  const pad = (value: number, width = 2): string => String(value).padStart(width, '0');
  if (length === 0) return '0000-00-00 00:00:00';
  const date = `${pad(packet.readInt16(), 4)}-${pad(packet.readInt8())}-${pad(packet.readInt8())}`;
  if (length === 4) return date;
  const time = `${pad(packet.readInt8())}:${pad(packet.readInt8())}:${pad(packet.readInt8())}`;
  if (length === 7) return `${date} ${time}`;
  return `${date} ${time}.${pad(packet.readInt32(), 6)}`;
}

function readInteger(packet: Packet, bytes: 1 | 2 | 4, unsigned: boolean): number {
  const offset = packet.offset;
  packet.skip(bytes);
  return unsigned
    ? packet.buffer.readUIntLE(offset, bytes)
    : packet.buffer.readIntLE(offset, bytes);
}

function readLongLong(packet: Packet, unsigned: boolean): Value {
  const offset = packet.offset;
  packet.skip(8);
  const value = unsigned
    ? packet.buffer.readBigUInt64LE(offset)
    : packet.buffer.readBigInt64LE(offset);
  const isSafe = Number.isSafeInteger(Number(value));
  return isSafe ? Number(value) : value.toString();
}

function readParameter(packet: Packet, type: number, unsigned: boolean): Value {
  switch (type) {
    case FieldType.tiny:
      return readInteger(packet, 1, unsigned);
    case FieldType.short:
    case FieldType.year:
      return readInteger(packet, 2, unsigned);
    case FieldType.long:
    case FieldType.int24:
      return readInteger(packet, 4, unsigned);
    case FieldType.longLong:
      return readLongLong(packet, unsigned);
    case FieldType.float:
      packet.skip(4);
      return packet.buffer.readFloatLE(packet.offset - 4);
    case FieldType.double:
      packet.skip(8);
      return packet.buffer.readDoubleLE(packet.offset - 8);
    case FieldType.date:
    case FieldType.dateTime:
    case FieldType.timestamp:
      return readDateTime(packet);
    case FieldType.null:
      return null;
    default:
      return readBytes(packet, type);
  }
}

const BLOB_TYPES = new Set([249, 250, 251, 252]);

function readBytes(packet: Packet, type: number): Value {
  const bytes = packet.readLengthCodedBuffer() ?? Buffer.alloc(0);
  return BLOB_TYPES.has(type) ? Buffer.from(bytes) : bytes.toString('utf8');
}

/** Reads the bound values; the packet's offset stands after the statement identifier. */
export function readBoundValues(packet: Packet, statement: PreparedStatement): Value[] {
  const count = statement.pieces.length - 1;
  packet.skip(5); // cursor flags and iteration count
  if (count === 0) return [];
  const bitmapStart = packet.offset;
  packet.skip(Math.floor((count + 7) / 8));
  if (packet.readInt8() === 1) {
    statement.parameterTypes = Array.from({ length: count }, () => packet.readInt16());
  }
  const types = statement.parameterTypes;
  if (types.length !== count) {
    throw new DatabaseError('Incorrect arguments to EXECUTE', { code: 1210, sqlState: 'HY000' });
  }
  return types.map((type, index) => {
    const bits = packet.buffer[bitmapStart + (index >> 3)]!;
    if (bits & (1 << (index & 7))) return null;
    return readParameter(packet, type & 0xff, type >> 8 === UNSIGNED_FLAG);
  });
}

/** First packet of the answer to COM_STMT_PREPARE. */
export function prepareOkPayload(statement: PreparedStatement): Buffer {
  const payload = Buffer.alloc(12);
  payload.writeUInt32LE(statement.id, 1);
  payload.writeUInt16LE(statement.pieces.length - 1, 7);
  return payload;
}
