/**
 * An append-only file of checksummed records (`record_codec.ts`).
 *
 * A failed append or truncation may leave bytes after the last record that counts. They are truncated before the next
 * write, so a failure never shows in the records of a later one.
 */
import type { DataFolder } from '../runtime/runtime.js';
import {
  RECORD_HEADER_BYTES,
  type StoredRecord,
  decodeRecords,
  encodeBatch,
} from './record_codec.js';

interface PendingAppend {
  readonly payloads: readonly Uint8Array[];
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/** An append-only file. Concurrent appends share one fsync. */
export class RecordFile {
  private pending: PendingAppend[] = [];
  private flushing = false;
  private length = 0;
  private durableLength = 0;
  /** Whether the file may contain bytes after the last durable record. */
  private mayHaveTail = false;

  private constructor(
    private readonly folder: DataFolder,
    readonly name: string,
  ) {}

  /**
   * Opens the file and returns its records, which are durable. Bytes of an incomplete write at its end are ignored.
   * @throws StorageCorruptionError when the file is damaged elsewhere
   */
  static async open(
    folder: DataFolder,
    name: string,
  ): Promise<{ file: RecordFile; records: StoredRecord[] }> {
    const file = new RecordFile(folder, name);
    const bytes = await folder.read(name);
    if (!bytes) return { file, records: [] };
    const records = decodeRecords(bytes, name);
    // A process that ended before its sync may have left records in the cache of the operating system only.
    await folder.sync(name);
    file.length = records.at(-1)?.end ?? 0;
    file.durableLength = file.length;
    file.mayHaveTail = file.length < bytes.length;
    return { file, records };
  }

  /** Size of the file in bytes, including appends in flight. */
  get byteLength(): number {
    return this.length;
  }

  /** Appends records; resolves after all are durable. If it rejects, none of them counts as appended. */
  append(payloads: readonly Uint8Array[]): Promise<void> {
    for (const payload of payloads) this.length += RECORD_HEADER_BYTES + payload.length;
    return new Promise((resolve, reject) => {
      this.pending.push({ payloads, resolve, reject });
      if (!this.flushing) void this.flush();
    });
  }

  /** Durably truncates the file to `length` bytes. No append may be in flight. */
  truncate(length: number): Promise<void> {
    this.scheduleTruncation(length);
    return this.removeTail();
  }

  /**
   * Truncates the file to `length` bytes before the next append, or when `removeTail` is called. No append may be in
   * flight.
   */
  scheduleTruncation(length: number): void {
    this.length = length;
    this.durableLength = length;
    this.mayHaveTail = true;
  }

  /** Durably removes bytes that failed writes and scheduled truncations left. No append may be in flight. */
  async removeTail(): Promise<void> {
    if (!this.mayHaveTail) return;
    await this.folder.truncate(this.name, this.durableLength);
    this.mayHaveTail = false;
  }

  private async flush(): Promise<void> {
    this.flushing = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      try {
        await this.write(encodeBatch(batch.flatMap((item) => item.payloads)));
        for (const item of batch) item.resolve();
      } catch (error) {
        this.fail([...batch, ...this.pending.splice(0)], error);
      }
    }
    this.flushing = false;
  }

  private async write(bytes: Buffer): Promise<void> {
    await this.removeTail();
    this.mayHaveTail = true;
    await this.folder.append(this.name, bytes);
    await this.folder.sync(this.name);
    this.mayHaveTail = false;
    this.durableLength += bytes.length;
  }

  /** Rejects the failed appends and all queued ones, which would otherwise leave a gap in the sequence of records. */
  private fail(appends: readonly PendingAppend[], error: unknown): void {
    this.length = this.durableLength;
    for (const append of appends) append.reject(error);
  }
}
