/**
 * Segment files of the log: `log-<first index>`, each a sequence of checksummed entries.
 *
 * A failed removal or truncation leaves files in an unknown state. The entries no longer count from the moment of the
 * request, and the change is completed before anything else is written, so the files never contain an entry after one that
 * it does not follow. The order of removals guarantees that a crash leaves either the start of the log, or entries that
 * continue the snapshot.
 */
import { StorageCorruptionError } from '../errors/errors.js';
import { whinyoke } from '../protocol/generated/messages.js';
import type { DataFolder } from '../runtime/runtime.js';
import { RECORD_HEADER_BYTES, type StoredRecord } from '../storage/record_codec.js';
import { RecordFile } from '../storage/record_file.js';
import { type EntryPosition, type LogEntry, entryFromMessage } from './log_entry.js';

const SEGMENT_PREFIX = 'log-';
/** Digits of an index in a file name; padding makes names sort by index. */
const INDEX_DIGITS = 12;

/** Size at which a new segment is started. Compaction deletes whole segments only. */
const SEGMENT_BYTES = 256 * 1024;

interface Segment {
  readonly firstIndex: number;
  readonly file: RecordFile;
  /** End offsets of the entries in the file, oldest first. */
  readonly ends: number[];
  /** Terms of the entries, oldest first. */
  readonly terms: number[];
}

function segmentName(firstIndex: number): string {
  return SEGMENT_PREFIX + String(firstIndex).padStart(INDEX_DIGITS, '0');
}

function lastIndexOf({ firstIndex, ends }: Segment): number {
  return firstIndex + ends.length - 1;
}

export class LogSegments {
  private readonly segments: Segment[] = [];
  /** Names of files that are to be removed before the next write, in this order. */
  private readonly removals: string[] = [];

  /** @param snapshotPosition - last entry that the snapshot on disk replaces */
  private constructor(
    private readonly folder: DataFolder,
    private snapshotPosition: EntryPosition,
  ) {}

  /**
   * Opens all segments; returns the entries after the snapshot as well.
   * @throws StorageCorruptionError when an entry is missing
   */
  static async open(
    folder: DataFolder,
    snapshotPosition: EntryPosition,
  ): Promise<{ files: LogSegments; entries: LogEntry[] }> {
    const files = new LogSegments(folder, snapshotPosition);
    const stored = await files.load();
    files.discardReplaced();
    const entries = stored.filter(({ index, term }) => files.contains({ index, term }));
    return { files, entries: entries.filter(({ index }) => index > snapshotPosition.index) };
  }

  /** Bytes of all segments. */
  get byteLength(): number {
    return this.segments.reduce((sum, segment) => sum + segment.file.byteLength, 0);
  }

  /** Whether this entry is in the files, or is the last one that the snapshot on disk replaces. */
  contains({ index, term }: EntryPosition): boolean {
    return this.termAt(index) === term;
  }

  /**
   * Durably appends entries after `previous`, in place of all entries after it. If it rejects, none of the entries counts as
   * stored.
   */
  async appendAfter(previous: EntryPosition, entries: readonly LogEntry[]): Promise<void> {
    this.scheduleTruncation(previous.index + 1);
    await this.completeRemovals();
    const segment = await this.segmentFor(previous.index + 1);
    const payloads = entries.map((entry) => whinyoke.LogEntry.encode(entry).finish());
    let end = segment.file.byteLength;
    await segment.file.append(payloads);
    for (const [position, payload] of payloads.entries()) {
      end += RECORD_HEADER_BYTES + payload.length;
      segment.ends.push(end);
      segment.terms.push(entries[position]!.term);
    }
  }

  /**
   * Deletes the segments that a snapshot replaces. The snapshot must be on disk.
   * @param snapshotPosition - last entry that the snapshot replaces
   */
  discardThrough(snapshotPosition: EntryPosition): Promise<void> {
    const isContinued = this.contains(snapshotPosition);
    this.snapshotPosition = snapshotPosition;
    if (isContinued) this.discardReplaced();
    else this.scheduleTruncation(0);
    return this.completeRemovals();
  }

  /** Completes removals and truncations that failed or were not attempted yet. */
  async completeRemovals(): Promise<void> {
    for (let name = this.removals[0]; name !== undefined; name = this.removals[0]) {
      await this.folder.remove(name);
      this.removals.shift();
    }
    await this.segments.at(-1)?.file.removeTail();
  }

  /** Term of an entry in the files, or of the last one that the snapshot replaces. */
  private termAt(index: number): number | undefined {
    if (index === this.snapshotPosition.index) return this.snapshotPosition.term;
    const segment = this.segments.findLast(({ firstIndex }) => firstIndex <= index);
    return segment?.terms[index - segment.firstIndex];
  }

  private async load(): Promise<LogEntry[]> {
    const names = (await this.folder.list()).filter((name) => name.startsWith(SEGMENT_PREFIX));
    const entries: LogEntry[] = [];
    for (const name of names) {
      const { file, records } = await RecordFile.open(this.folder, name);
      const stored = this.decodeEntries(name, records);
      const firstIndex = Number(name.slice(SEGMENT_PREFIX.length));
      const ends = records.map((record) => record.end);
      this.segments.push({ firstIndex, file, ends, terms: stored.map(({ term }) => term) });
      entries.push(...stored);
    }
    return entries;
  }

  /** Decodes a segment; its entries must continue those loaded before or the snapshot. */
  private decodeEntries(name: string, records: readonly StoredRecord[]): LogEntry[] {
    const last = this.segments.at(-1);
    let expected = Number(name.slice(SEGMENT_PREFIX.length));
    const isContinued = last
      ? lastIndexOf(last) + 1 === expected
      : expected <= this.snapshotPosition.index + 1;
    const entries = records.map(({ payload }) =>
      entryFromMessage(whinyoke.LogEntry.decode(payload)),
    );
    if (!isContinued) throw this.gapError(name, expected, last && lastIndexOf(last) + 1);
    for (const { index } of entries) {
      if (index !== expected) throw this.gapError(name, index, expected);
      expected++;
    }
    return entries;
  }

  private gapError(name: string, found: number, expected: number | undefined): Error {
    const wanted = expected ?? this.snapshotPosition.index + 1;
    return new StorageCorruptionError(`${name}: found entry ${found}, expected ${wanted}`);
  }

  /** Schedules the removal of segments without entries after the snapshot. */
  private discardReplaced(): void {
    const { index, term } = this.snapshotPosition;
    // Entries that conflict with the snapshot are the rest of a log that it replaced entirely.
    const holder = this.segments.find(
      (item) => item.firstIndex <= index && lastIndexOf(item) >= index,
    );
    if (holder && holder.terms[index - holder.firstIndex] !== term) this.scheduleTruncation(0);
    // Oldest first: a crash in between leaves entries that continue the snapshot.
    while (this.segments[0] && lastIndexOf(this.segments[0]) <= index) {
      this.removals.push(this.segments.shift()!.file.name);
    }
  }

  /** Schedules the removal of all entries from `index` on, newest first. */
  private scheduleTruncation(index: number): void {
    let last = this.segments.at(-1);
    for (; last && last.firstIndex >= index; last = this.segments.at(-1)) {
      this.removals.push(last.file.name);
      this.segments.pop();
    }
    const keptCount = last ? index - last.firstIndex : 0;
    if (!last || keptCount >= last.ends.length) return;
    last.ends.length = keptCount;
    last.terms.length = keptCount;
    last.file.scheduleTruncation(last.ends.at(-1)!);
  }

  private async segmentFor(nextIndex: number): Promise<Segment> {
    const last = this.segments.at(-1);
    if (last && last.file.byteLength < SEGMENT_BYTES) return last;
    const { file } = await RecordFile.open(this.folder, segmentName(nextIndex));
    const segment: Segment = { firstIndex: nextIndex, file, ends: [], terms: [] };
    this.segments.push(segment);
    return segment;
  }
}
