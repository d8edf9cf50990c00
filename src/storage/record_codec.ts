/**
 * Checksummed records: encoding, decoding and recovery after a crash.
 *
 * A record is a 32-bit length, the CRC-32 of the payload, and the payload; both integers are big-endian. Records that are
 * written together form a batch: all but the first have the highest bit of the length set. After a crash the file may end in
 * an incomplete batch whose parts reached the disk in any order; recovery drops it from its first invalid record on. An
 * invalid record before a later batch can't result from a crash, since a batch is written only after the one before it is
 * durable; recovery rejects the file as corrupt.
 */
import { crc32 } from 'node:zlib';
import { StorageCorruptionError } from '../errors/errors.js';

/** Bytes in front of each record's payload. */
export const RECORD_HEADER_BYTES = 8;
/** Longest payload; a greater length in a header marks the record as invalid. */
const MAX_RECORD_BYTES = 64 * 1024 * 1024;
/** Bit of the length field that marks all records of a batch but the first. */
const SAME_BATCH_FLAG = 2 ** 31;

/** A record and the offset of the byte after it. */
export interface StoredRecord {
  readonly payload: Buffer;
  /** Offset of the byte after the record. */
  readonly end: number;
}

interface DecodedRecord extends StoredRecord {
  readonly startsBatch: boolean;
}

/**
 * Encodes a payload as a record that is a batch of its own.
 * @throws RangeError for an empty payload: zeros that a crash leaves would decode as one
 */
export function encodeRecord(payload: Uint8Array): Buffer {
  return encodeInBatch(payload, true);
}

/** Encodes payloads as one batch of records. */
export function encodeBatch(payloads: readonly Uint8Array[]): Buffer {
  return Buffer.concat(payloads.map((payload, index) => encodeInBatch(payload, index === 0)));
}

function encodeInBatch(payload: Uint8Array, startsBatch: boolean): Buffer {
  if (payload.length === 0) throw new RangeError('a record cannot be empty');
  const bytes = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  bytes.writeUInt32BE(payload.length + (startsBatch ? 0 : SAME_BATCH_FLAG), 0);
  bytes.writeUInt32BE(crc32(payload), 4);
  bytes.set(payload, RECORD_HEADER_BYTES);
  return bytes;
}

/** Reads the record at `offset`; undefined if it is incomplete or invalid. */
function recordAt(bytes: Buffer, offset: number): DecodedRecord | undefined {
  if (offset + RECORD_HEADER_BYTES > bytes.length) return undefined;
  const lengthField = bytes.readUInt32BE(offset);
  const startsBatch = lengthField < SAME_BATCH_FLAG;
  const length = startsBatch ? lengthField : lengthField - SAME_BATCH_FLAG;
  const end = offset + RECORD_HEADER_BYTES + length;
  if (length === 0 || length > MAX_RECORD_BYTES || end > bytes.length) return undefined;
  const payload = bytes.subarray(offset + RECORD_HEADER_BYTES, end);
  if (crc32(payload) !== bytes.readUInt32BE(offset + 4)) return undefined;
  return { payload, end, startsBatch };
}

/** Whether a valid batch starts after `offset`. */
function hasBatchAfter(bytes: Buffer, offset: number): boolean {
  for (let candidate = offset + 1; candidate + RECORD_HEADER_BYTES < bytes.length; candidate++) {
    if (recordAt(bytes, candidate)?.startsBatch) return true;
  }
  return false;
}

/**
 * Decodes records up to the first invalid one.
 * @throws StorageCorruptionError when a valid batch follows the invalid record
 */
export function decodeRecords(bytes: Buffer, fileName: string): StoredRecord[] {
  const records: StoredRecord[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const record = recordAt(bytes, offset);
    if (!record) {
      if (hasBatchAfter(bytes, offset)) {
        throw new StorageCorruptionError(
          `${fileName}: damaged record at byte ${offset} with good records after it`,
        );
      }
      break;
    }
    records.push(record);
    offset = record.end;
  }
  return records;
}
