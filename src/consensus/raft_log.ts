/**
 * Durable log of a consensus member: checksummed segments and one snapshot.
 *
 * Files: `log-<first index>` for each segment, `snapshot` for the state that replaced older
 * entries, `vote` for term and vote. (`identity` in the same folder belongs to
 * `cluster_joiner.ts`.) Nothing counts until it is synced. If the disk refuses a write, the promise
 * of that write rejects.
 */
import { StorageCorruptionError } from '../errors/errors.js';
import { whinyoke } from '../protocol/generated/messages.js';
import type { DataFolder } from '../runtime/runtime.js';
import { RECORD_HEADER_BYTES, decodeRecords, encodeRecord } from '../storage/record_codec.js';
import { RecordFile } from '../storage/record_file.js';
import { LogGapError } from './raft_errors.js';

export interface LogEntry {
  /** Term of the leader that created the entry. */
  readonly term: number;
  /** Position in the log, from 1. */
  readonly index: number;
  /** What the entry changes: the state machine, the membership, or nothing. */
  readonly kind: whinyoke.EntryKind;
  /** Input of the state machine; empty for other kinds. */
  readonly command: Uint8Array;
  /** Membership from this entry on; only for membership changes. */
  readonly membership: whinyoke.IMembership | undefined;
}

/** Term and vote, which must survive a restart. */
export interface VoteState {
  /** Newest term that this member knows. */
  readonly term: number;
  /** Identity of the member voted for; empty for none. */
  readonly votedFor: string;
}

/** State machine content that replaces all entries up to an index. */
export interface Snapshot {
  /** Index of the newest entry that the snapshot replaces. */
  readonly lastIndex: number;
  /** Term of that entry. */
  readonly lastTerm: number;
  /** Membership as of that entry. */
  readonly membership: whinyoke.IMembership;
  /** Serialized state machine. */
  readonly state: Uint8Array;
}

const SNAPSHOT_FILE = 'snapshot';
const VOTE_FILE = 'vote';
const SEGMENT_PREFIX = 'log-';
/** Digits of an index in a file name; padding makes names sort by index. */
const INDEX_DIGITS = 12;

/** Size at which a new segment is started. Compaction deletes whole segments only. */
const SEGMENT_BYTES = 256 * 1024;

interface PendingSnapshot {
  readonly snapshot: Snapshot;
  /** Whether the entries after the snapshot continue it. */
  readonly keepsLaterEntries: boolean;
}

interface Segment {
  readonly firstIndex: number;
  readonly file: RecordFile;
  /** End offsets of the entries in the file, oldest first. */
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

export function entryFromMessage(message: whinyoke.ILogEntry): LogEntry {
  return {
    term: message.term ?? 0,
    index: message.index ?? 0,
    kind: message.kind ?? whinyoke.EntryKind.NO_OPERATION,
    command: message.command ?? new Uint8Array(0),
    membership: message.membership ?? undefined,
  };
}

/**
 * Log of one member. Writes are ordered. Entries are visible at once, and durable when the promise
 * of their write resolves. Entries that could not be written are removed together with all later
 * ones, so the log never has a gap.
 */
export class RaftLog {
  private readonly segments: Segment[] = [];
  private entries: LogEntry[] = [];
  private snapshotState: Snapshot | undefined;
  private voteState: VoteState = { term: 0, votedFor: '' };
  private durableVoteTerm = 0;
  private durableEntryIndex = 0;
  private durableSnapshotIndex = 0;
  /** A snapshot that is not on disk yet. */
  private pendingSnapshot: PendingSnapshot | undefined;
  private lastWrite: Promise<void> = Promise.resolve();

  private constructor(private readonly folder: DataFolder) {}

  /** Opens the log and reads the durable state. */
  static async open(folder: DataFolder): Promise<RaftLog> {
    const log = new RaftLog(folder);
    await log.loadVote();
    await log.loadSnapshot();
    await log.loadSegments();
    log.durableEntryIndex = log.lastIndex;
    return log;
  }

  get vote(): VoteState {
    return this.voteState;
  }

  /** Newest term that is on disk. */
  get durableTerm(): number {
    return this.durableVoteTerm;
  }

  /** Newest index up to which all entries are on disk. */
  get durableIndex(): number {
    return this.durableEntryIndex;
  }

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

  /** Bytes of all segments and the snapshot. */
  get byteLength(): number {
    const logBytes = this.segments.reduce((sum, segment) => sum + segment.file.byteLength, 0);
    return logBytes + (this.snapshotState?.state.length ?? 0);
  }

  /** Term of an entry; undefined if it is unknown or compacted. */
  termAt(index: number): number | undefined {
    if (index === 0 && !this.snapshotState) return 0;
    if (index === this.snapshotState?.lastIndex) return this.snapshotState.lastTerm;
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.firstIndex];
  }

  /** Returns at most `limit` entries starting at `index`. */
  entriesFrom(index: number, limit: number): LogEntry[] {
    const start = index - this.firstIndex;
    return start < 0 ? [] : this.entries.slice(start, start + limit);
  }

  /** Membership in the newest entry that changes it, else in the snapshot. */
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

  saveVote(vote: VoteState): Promise<void> {
    this.voteState = vote;
    const bytes = encodeRecord(Buffer.from(JSON.stringify(vote)));
    return this.enqueueWrite(async () => {
      await this.folder.replace(VOTE_FILE, bytes);
      this.durableVoteTerm = vote.term;
    });
  }

  /** Whether a candidate's log is at least as up to date as this one (Raft, section 5.4.1). */
  isCandidateUpToDate({ lastTerm, lastIndex }: whinyoke.IVoteRequest): boolean {
    const term = lastTerm ?? 0;
    if (term !== this.lastTerm) return term > this.lastTerm;
    return (lastIndex ?? 0) >= this.lastIndex;
  }

  /** Resolves once all writes requested so far have succeeded or failed. */
  writesSettled(): Promise<void> {
    return this.lastWrite;
  }

  /**
   * Appends entries; resolves once they are durable. If it rejects, the log contains neither these
   * entries nor any after them.
   */
  append(entries: readonly LogEntry[]): Promise<void> {
    if (entries.length === 0) return this.lastWrite;
    this.entries.push(...entries);
    return this.enqueueWrite(async () => {
      try {
        await this.write(entries);
      } catch (error) {
        this.dropFailedEntries(entries);
        throw error;
      }
      this.recordDurable(entries.at(-1)!);
    });
  }

  /** Removes all entries from `index` on. The files follow before the next entry is written. */
  truncateFrom(index: number): void {
    this.entries = this.entries.slice(0, Math.max(0, index - this.firstIndex));
    this.durableEntryIndex = Math.min(this.durableEntryIndex, index - 1);
  }

  /** Stores a snapshot and deletes the segments that it replaces. */
  compact(snapshot: Snapshot): Promise<void> {
    const keepsLater = this.termAt(snapshot.lastIndex) === snapshot.lastTerm;
    this.entries = keepsLater ? this.entriesFrom(snapshot.lastIndex + 1, Infinity) : [];
    if (!keepsLater) this.durableEntryIndex = Math.min(this.durableEntryIndex, snapshot.lastIndex);
    this.snapshotState = snapshot;
    return this.enqueueWrite(() => {
      const continues = keepsLater && (this.pendingSnapshot?.keepsLaterEntries ?? true);
      this.pendingSnapshot = { snapshot, keepsLaterEntries: continues };
      return this.writePendingSnapshot();
    });
  }

  /** Stores a snapshot whose earlier write failed; resolves at once if there is none. */
  persistSnapshot(): Promise<void> {
    return this.enqueueWrite(() => this.writePendingSnapshot());
  }

  private get firstIndex(): number {
    return this.entries[0]?.index ?? this.lastIndex + 1;
  }

  private enqueueWrite(work: () => Promise<void>): Promise<void> {
    const done = this.lastWrite.then(work);
    // `lastWrite` only orders the writes; the caller sees a failure through `done`.
    this.lastWrite = done.catch(() => undefined);
    return done;
  }

  /** Later entries depend on the failed ones, so they are removed as well. */
  private dropFailedEntries(entries: readonly LogEntry[]): void {
    const firstPresent = entries.find((entry) => this.entryAt(entry.index) === entry);
    if (firstPresent) this.truncateFrom(firstPresent.index);
  }

  /** Marks entries as durable up to one that was written, unless it was removed in the meantime. */
  private recordDurable(entry: LogEntry): void {
    if (this.entryAt(entry.index) !== entry) return;
    this.durableEntryIndex = Math.max(this.durableEntryIndex, entry.index);
  }

  private async write(entries: readonly LogEntry[]): Promise<void> {
    const firstIndex = entries[0]!.index;
    await this.writePendingSnapshot();
    await this.truncateSegments(firstIndex);
    if (firstIndex !== this.writtenIndex + 1) {
      throw new LogGapError(
        `log gap: entry ${firstIndex} does not follow entry ${this.writtenIndex}`,
      );
    }
    const segment = await this.currentSegment(firstIndex);
    const payloads = entries.map((entry) => whinyoke.LogEntry.encode(entry).finish());
    let end = segment.file.byteLength;
    await segment.file.append(payloads);
    for (const payload of payloads) {
      end += RECORD_HEADER_BYTES + payload.length;
      segment.ends.push(end);
    }
  }

  /** Newest index in the files. The files may lag behind the entries or contain removed ones. */
  private get writtenIndex(): number {
    const last = this.segments.at(-1);
    return last ? last.firstIndex + last.ends.length - 1 : this.durableSnapshotIndex;
  }

  private async currentSegment(nextIndex: number): Promise<Segment> {
    const last = this.segments.at(-1);
    if (last && last.file.byteLength < SEGMENT_BYTES) return last;
    const { file } = await RecordFile.open(this.folder, segmentName(nextIndex));
    const segment: Segment = { firstIndex: nextIndex, file, ends: [] };
    this.segments.push(segment);
    return segment;
  }

  /** Removes entries from `index` on from the files. */
  private async truncateSegments(index: number): Promise<void> {
    for (let last = this.segments.at(-1); last; last = this.segments.at(-1)) {
      const keptCount = index - last.firstIndex;
      if (keptCount > 0) {
        if (keptCount >= last.ends.length) return;
        await last.file.truncate(last.ends[keptCount - 1]!);
        last.ends.length = keptCount;
        return;
      }
      await this.folder.remove(last.file.name);
      this.segments.pop();
    }
  }

  private async writePendingSnapshot(): Promise<void> {
    const pending = this.pendingSnapshot;
    if (!pending) return;
    await this.writeSnapshot(pending);
    this.pendingSnapshot = undefined;
    const { lastIndex } = pending.snapshot;
    this.durableSnapshotIndex = lastIndex;
    this.durableEntryIndex = Math.max(this.durableEntryIndex, lastIndex);
  }

  /** Segments are deleted only after the snapshot that replaces them is durable. */
  private async writeSnapshot({ snapshot, keepsLaterEntries }: PendingSnapshot): Promise<void> {
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
      const isReplaced = !keepsLaterEntries || lastIndex <= snapshot.lastIndex;
      if (!isReplaced) return;
      await this.folder.remove(oldest!.file.name);
      this.segments.shift();
    }
  }

  private async loadVote(): Promise<void> {
    const bytes = await this.folder.read(VOTE_FILE);
    const record = bytes && decodeRecords(bytes, VOTE_FILE)[0];
    if (bytes && !record)
      throw new StorageCorruptionError(`${VOTE_FILE}: contains no valid record`);
    if (record) this.voteState = JSON.parse(record.payload.toString()) as VoteState;
    this.durableVoteTerm = this.voteState.term;
  }

  private async loadSnapshot(): Promise<void> {
    const bytes = await this.folder.read(SNAPSHOT_FILE);
    const record = bytes && decodeRecords(bytes, SNAPSHOT_FILE)[0];
    if (bytes && !record)
      throw new StorageCorruptionError(`${SNAPSHOT_FILE}: contains no valid record`);
    if (!record) return;
    const decoded = whinyoke.SnapshotRequest.decode(record.payload);
    this.snapshotState = {
      lastIndex: decoded.lastIndex,
      lastTerm: decoded.lastTerm,
      membership: decoded.membership ?? {},
      state: decoded.state,
    };
    this.durableSnapshotIndex = decoded.lastIndex;
  }

  private async loadSegments(): Promise<void> {
    const names = (await this.folder.list()).filter((name) => name.startsWith(SEGMENT_PREFIX));
    for (const [position, name] of names.entries()) {
      const { file, records } = await RecordFile.open(this.folder, name);
      const firstIndex = Number(name.slice(SEGMENT_PREFIX.length));
      const segment: Segment = { firstIndex, file, ends: records.map((record) => record.end) };
      const isLast = position === names.length - 1;
      if (records.length === 0 && !isLast) {
        throw new StorageCorruptionError(`${name}: segment is empty although a later one exists`);
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
        `${segmentName}: found entry ${entry.index}, expected ${expected}`,
      );
    }
    this.entries.push(entry);
  }
}
