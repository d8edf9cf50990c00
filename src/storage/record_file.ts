/**
 * An append-only file of checksummed records.
 *
 * A record is a 32-bit length, the CRC-32 of the payload, and the payload; both integers are big-endian. After a crash the
 * file may end in an incomplete record, which recovery truncates. An invalid record before a valid one can't result from a
 * crash, so recovery rejects the file as corrupt. Bytes left behind by a failed write are truncated before the next write.
 */
import { crc32 } from 'node:zlib';
import { StorageCorruptionError } from '../errors/errors.js';
import type { DataFolder } from '../runtime/runtime.js';

/** Bytes in front of each record's payload. */
export const RECORD_HEADER_BYTES = 8;
/** Longest payload; a greater length in a header marks the record as invalid. */
const MAX_RECORD_BYTES = 64 * 1024 * 1024;

/** A record and the offset of the byte after it. */
export interface StoredRecord {
  readonly payload: Buffer;
  /** Offset of the byte after the record. */
  readonly end: number;
}

/** Encodes a payload as a record. */
export function encodeRecord(payload: Uint8Array): Buffer {
  const bytes = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  bytes.writeUInt32BE(payload.length, 0);
  bytes.writeUInt32BE(crc32(payload), 4);
  bytes.set(payload, RECORD_HEADER_BYTES);
  return bytes;
}

/** Reads the record at `offset`; undefined if it is incomplete or invalid. */
function recordAt(bytes: Buffer, offset: number): StoredRecord | undefined {
  if (offset + RECORD_HEADER_BYTES > bytes.length) return undefined;
  const length = bytes.readUInt32BE(offset);
  const end = offset + RECORD_HEADER_BYTES + length;
  if (length > MAX_RECORD_BYTES || end > bytes.length) return undefined;
  const payload = bytes.subarray(offset + RECORD_HEADER_BYTES, end);
  if (crc32(payload) !== bytes.readUInt32BE(offset + 4)) return undefined;
  return { payload, end };
}

/** Whether a valid, non-empty record starts after `offset`. */
function hasValidRecordAfter(bytes: Buffer, offset: number): boolean {
  for (let candidate = offset + 1; candidate + RECORD_HEADER_BYTES < bytes.length; candidate++) {
    const record = recordAt(bytes, candidate);
    if (record && record.payload.length > 0) return true;
  }
  return false;
}

/**
 * Decodes records up to the first invalid one.
 * @throws StorageCorruptionError when a valid record follows the invalid one
 */
export function decodeRecords(bytes: Buffer, fileName: string): StoredRecord[] {
  const records: StoredRecord[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const record = recordAt(bytes, offset);
    if (!record) {
      if (hasValidRecordAfter(bytes, offset)) {
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

/** Encoded records of one `append` that are not yet durable. */
interface PendingAppend {
  readonly bytes: Buffer;
  resolve(): void;
  reject(error: unknown): void;
}

/** One file of records, open for appending. Concurrent appends share one fsync. */
export class RecordFile {
  private pending: PendingAppend[] = [];
  private flushing = false;
  private length = 0;
  private durableLength = 0;
  /** Whether a failed append may have left bytes after the last durable record. */
  private mayHavePartialWrite = false;

  private constructor(
    private readonly folder: DataFolder,
    readonly name: string,
  ) {}

  /**
   * Opens the file, truncates an incomplete record at its end and returns its records.
   * @throws StorageCorruptionError when the file is damaged elsewhere
   */
  static async open(
    folder: DataFolder,
    name: string,
  ): Promise<{ file: RecordFile; records: StoredRecord[] }> {
    const file = new RecordFile(folder, name);
    const bytes = (await folder.read(name)) ?? Buffer.alloc(0);
    const records = decodeRecords(bytes, name);
    file.length = records.at(-1)?.end ?? 0;
    file.durableLength = file.length;
    if (file.length < bytes.length) await folder.truncate(name, file.length);
    return { file, records };
  }

  /** Size of the file in bytes, including appends in flight. */
  get byteLength(): number {
    return this.length;
  }

  /**
   * Appends records; resolves after all are durable. If it rejects, none of them counts as appended: bytes left in the
   * file are truncated before the next write.
   */
  append(payloads: readonly Uint8Array[]): Promise<void> {
    const bytes = Buffer.concat(payloads.map(encodeRecord));
    this.length += bytes.length;
    return new Promise((resolve, reject) => {
      this.pending.push({ bytes, resolve, reject });
      if (!this.flushing) void this.flush();
    });
  }

  /** Durably truncates the file to `length` bytes. No append may be in flight. */
  async truncate(length: number): Promise<void> {
    await this.folder.truncate(this.name, length);
    this.length = length;
    this.durableLength = length;
    this.mayHavePartialWrite = false;
  }

  private async flush(): Promise<void> {
    this.flushing = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      try {
        await this.write(Buffer.concat(batch.map((item) => item.bytes)));
        for (const item of batch) item.resolve();
      } catch (error) {
        this.fail([...batch, ...this.pending.splice(0)], error);
      }
    }
    this.flushing = false;
  }

  private async write(bytes: Buffer): Promise<void> {
    if (this.mayHavePartialWrite) await this.folder.truncate(this.name, this.durableLength);
    this.mayHavePartialWrite = true;
    await this.folder.append(this.name, bytes);
    await this.folder.sync(this.name);
    this.mayHavePartialWrite = false;
    this.durableLength += bytes.length;
  }

  /** Rejects the failed appends and all queued ones, which would otherwise leave a gap in the sequence of records. */
  private fail(appends: readonly PendingAppend[], error: unknown): void {
    this.length = this.durableLength;
    for (const append of appends) append.reject(error);
  }
}
