/**
 * Durable log of a consensus member: checksummed segments and one snapshot.
 *
 * Files: `log-<first index>` for each segment, `snapshot` for the state that replaced older entries, `vote`
 * for term and vote, `identity` for the member's name. Nothing counts until it is synced.
 */
import { StorageCorruptionError } from '../errors/errors.js';
import { whinyoke } from '../protocol/generated/messages.js';
import type { DataFolder } from '../runtime/runtime.js';
import {
  RECORD_HEADER_BYTES,
  RecordFile,
  decodeRecords,
  encodeRecord,
} from '../storage/record_file.js';

/** An entry of the replicated log. */
export interface LogEntry {
  readonly term: number;
  readonly index: number;
  readonly kind: whinyoke.EntryKind;
  readonly command: Uint8Array;
  readonly membership: whinyoke.IMembership | undefined;
}

/** Term and vote that must survive a restart. */
export interface VoteState {
  readonly term: number;
  readonly votedFor: string;
}

/** State machine content that replaces all entries up to an index. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly membership: whinyoke.IMembership;
  readonly state: Uint8Array;
}

const SNAPSHOT_FILE = 'snapshot';
const VOTE_FILE = 'vote';
const SEGMENT_PREFIX = 'log-';
const INDEX_DIGITS = 12;

/** Bytes after which a new segment is begun. */
export const SEGMENT_BYTES = 256 * 1024;

interface Segment {
  readonly firstIndex: number;
  readonly file: RecordFile;
  /** End offsets of the entries, oldest first. */
  readonly ends: number[];
}

function segmentName(firstIndex: number): string {
  return SEGMENT_PREFIX + String(firstIndex).padStart(INDEX_DIGITS, '0');
}

function toEntry(decoded: whinyoke.LogEntry): LogEntry {
  return {
    term: decoded.term,
    index: decoded.index,
    kind: decoded.kind,
    command: decoded.command,
    membership: decoded.membership ?? undefined,
  };
}

/** Entry of a received message. */
export function entryFromMessage(message: whinyoke.ILogEntry): LogEntry {
  return {
    term: message.term ?? 0,
    index: message.index ?? 0,
    kind: message.kind ?? whinyoke.EntryKind.NO_OPERATION,
    command: message.command ?? new Uint8Array(0),
    membership: message.membership ?? undefined,
  };
}

/** The log of one member. Writes are ordered; entries are visible at once, durable when promised. */
export class RaftLog {
  private readonly segments: Segment[] = [];
  private entries: LogEntry[] = [];
  private snapshotState: Snapshot | undefined;
  private voteState: VoteState = { term: 0, votedFor: '' };
  private writing: Promise<void> = Promise.resolve();

  private constructor(private readonly folder: DataFolder) {}

  /** Reads the durable state. */
  static async open(folder: DataFolder): Promise<RaftLog> {
    const log = new RaftLog(folder);
    await log.loadVote();
    await log.loadSnapshot();
    await log.loadSegments();
    return log;
  }

  /** Term and vote. */
  get vote(): VoteState {
    return this.voteState;
  }

  /** Newest snapshot. */
  get snapshot(): Snapshot | undefined {
    return this.snapshotState;
  }

  /** Index of the newest entry. */
  get lastIndex(): number {
    return this.entries.at(-1)?.index ?? this.snapshotState?.lastIndex ?? 0;
  }

  /** Term of the newest entry. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshotState?.lastTerm ?? 0;
  }

  /** Bytes in all segments and the snapshot. */
  get byteLength(): number {
    const logBytes = this.segments.reduce((sum, segment) => sum + segment.file.byteLength, 0);
    return logBytes + (this.snapshotState?.state.length ?? 0);
  }

  /** Term of an entry; undefined when it is unknown or compacted away. */
  termAt(index: number): number | undefined {
    if (index === 0 && !this.snapshotState) return 0;
    if (index === this.snapshotState?.lastIndex) return this.snapshotState.lastTerm;
    return this.entryAt(index)?.term;
  }

  /** Entry of an index. */
  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.firstIndex];
  }

  /** At most `limit` entries from `index` on. */
  entriesFrom(index: number, limit: number): LogEntry[] {
    const start = index - this.firstIndex;
    return start < 0 ? [] : this.entries.slice(start, start + limit);
  }

  /** Membership of the newest entry that holds one, else of the snapshot. */
  get membership(): whinyoke.IMembership | undefined {
    return this.membershipAt(this.lastIndex);
  }

  /** Membership as of an entry. */
  membershipAt(index: number): whinyoke.IMembership | undefined {
    const entry = this.entries.findLast((item) => item.index <= index && item.membership);
    return entry?.membership ?? this.snapshotState?.membership;
  }

  /** Whether an entry after `index` changes the membership. */
  hasMembershipAfter(index: number): boolean {
    return this.entries.some((entry) => entry.index > index && entry.membership !== undefined);
  }

  /** Durably stores term and vote. */
  saveVote(vote: VoteState): Promise<void> {
    this.voteState = vote;
    const bytes = encodeRecord(Buffer.from(JSON.stringify(vote)));
    return this.inOrder(() => this.folder.replace(VOTE_FILE, bytes));
  }

  /** Appends entries; resolves once they are durable. */
  append(entries: readonly LogEntry[]): Promise<void> {
    if (entries.length === 0) return this.writing;
    this.entries.push(...entries);
    return this.inOrder(() => this.write(entries));
  }

  /** Drops all entries from `index` on. */
  truncateFrom(index: number): Promise<void> {
    this.entries = this.entries.slice(0, Math.max(0, index - this.firstIndex));
    return this.inOrder(() => this.truncateSegments(index));
  }

  /** Stores a snapshot and drops the segments that it replaces. */
  compact(snapshot: Snapshot): Promise<void> {
    const keep = this.termAt(snapshot.lastIndex) === snapshot.lastTerm;
    this.entries = keep ? this.entriesFrom(snapshot.lastIndex + 1, Infinity) : [];
    this.snapshotState = snapshot;
    return this.inOrder(() => this.writeSnapshot(snapshot, keep));
  }

  private get firstIndex(): number {
    return this.entries[0]?.index ?? this.lastIndex + 1;
  }

  private inOrder(work: () => Promise<void>): Promise<void> {
    const done = this.writing.then(work);
    this.writing = done.catch(() => undefined);
    return done;
  }

  private async write(entries: readonly LogEntry[]): Promise<void> {
    const segment = await this.currentSegment(entries[0]!.index);
    const payloads = entries.map((entry) => whinyoke.LogEntry.encode(entry).finish());
    let end = segment.file.byteLength;
    for (const payload of payloads) {
      end += RECORD_HEADER_BYTES + payload.length;
      segment.ends.push(end);
    }
    await segment.file.append(payloads);
  }

  private async currentSegment(nextIndex: number): Promise<Segment> {
    const last = this.segments.at(-1);
    if (last && last.file.byteLength < SEGMENT_BYTES) return last;
    const { file } = await RecordFile.open(this.folder, segmentName(nextIndex));
    const segment: Segment = { firstIndex: nextIndex, file, ends: [] };
    this.segments.push(segment);
    return segment;
  }

  private async truncateSegments(index: number): Promise<void> {
    for (let last = this.segments.at(-1); last; last = this.segments.at(-1)) {
      if (last.firstIndex < index) {
        const kept = index - last.firstIndex;
        if (kept < last.ends.length) {
          last.ends.length = kept;
          await last.file.truncate(last.ends.at(-1) ?? 0);
        }
        return;
      }
      this.segments.pop();
      await this.folder.remove(last.file.name);
    }
  }

  /** A segment goes only when the snapshot that replaces it is durable. */
  private async writeSnapshot(snapshot: Snapshot, keep: boolean): Promise<void> {
    const message: whinyoke.ISnapshotRequest = {
      lastIndex: snapshot.lastIndex,
      lastTerm: snapshot.lastTerm,
      membership: snapshot.membership,
      state: snapshot.state,
    };
    const bytes = encodeRecord(whinyoke.SnapshotRequest.encode(message).finish());
    await this.folder.replace(SNAPSHOT_FILE, bytes);
    while (this.segments.length > 0) {
      const [oldest] = this.segments;
      const lastIndex = oldest!.firstIndex + oldest!.ends.length - 1;
      const isReplaced = !keep || lastIndex <= snapshot.lastIndex;
      if (!isReplaced) return;
      this.segments.shift();
      await this.folder.remove(oldest!.file.name);
    }
  }

  private async loadVote(): Promise<void> {
    const bytes = await this.folder.read(VOTE_FILE);
    const record = bytes && decodeRecords(bytes, VOTE_FILE)[0];
    if (bytes && !record) throw new StorageCorruptionError(`${VOTE_FILE}: damaged`);
    if (record) this.voteState = JSON.parse(record.payload.toString()) as VoteState;
  }

  private async loadSnapshot(): Promise<void> {
    const bytes = await this.folder.read(SNAPSHOT_FILE);
    const record = bytes && decodeRecords(bytes, SNAPSHOT_FILE)[0];
    if (bytes && !record) throw new StorageCorruptionError(`${SNAPSHOT_FILE}: damaged`);
    if (!record) return;
    const decoded = whinyoke.SnapshotRequest.decode(record.payload);
    this.snapshotState = {
      lastIndex: decoded.lastIndex,
      lastTerm: decoded.lastTerm,
      membership: decoded.membership ?? {},
      state: decoded.state,
    };
  }

  private async loadSegments(): Promise<void> {
    const names = (await this.folder.list()).filter((name) => name.startsWith(SEGMENT_PREFIX));
    for (const [position, name] of names.entries()) {
      const { file, records } = await RecordFile.open(this.folder, name);
      const firstIndex = Number(name.slice(SEGMENT_PREFIX.length));
      const segment: Segment = { firstIndex, file, ends: records.map((record) => record.end) };
      const isLast = position === names.length - 1;
      if (records.length === 0 && !isLast) {
        throw new StorageCorruptionError(`${name}: empty segment before a later one`);
      }
      this.segments.push(segment);
      for (const record of records) this.loadEntry(name, record.payload);
    }
  }

  private loadEntry(segmentName: string, payload: Buffer): void {
    const entry = toEntry(whinyoke.LogEntry.decode(payload));
    const covered = this.snapshotState?.lastIndex ?? 0;
    const expected = this.lastIndex + 1;
    if (entry.index <= covered) return;
    if (entry.index !== expected) {
      throw new StorageCorruptionError(
        `${segmentName}: entry ${entry.index} where ${expected} was expected`,
      );
    }
    this.entries.push(entry);
  }
}
