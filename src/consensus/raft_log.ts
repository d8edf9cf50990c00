/**
 * Durable log of a consensus member: checksummed segments and one snapshot.
 *
 * Files: `log-<first index>` for each segment, `snapshot` for the state that replaced older entries, `vote`
 * for term and vote, `identity` for the member's name. Nothing counts until it is synced.
 *
 * Owns these files but `identity`. Relies on the disk, which may refuse any write: the promise of that write rejects then.
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
import { LogGapError } from './raft_errors.js';

/** An entry of the replicated log. */
export interface LogEntry {
  /** Term of the leader that made it. */
  readonly term: number;
  /** Place in the log, from 1. */
  readonly index: number;
  /** What it changes: the state machine, the members, or nothing. */
  readonly kind: whinyoke.EntryKind;
  /** Input of the state machine; empty for other kinds. */
  readonly command: Uint8Array;
  /** Members from this entry on; only for changes of membership. */
  readonly membership: whinyoke.IMembership | undefined;
}

/** Term and vote that must survive a restart. */
export interface VoteState {
  /** Newest term that this member knows. */
  readonly term: number;
  /** Identity of the member voted for; empty for none. */
  readonly votedFor: string;
}

/** State machine content that replaces all entries up to an index. */
export interface Snapshot {
  /** Index of the newest entry that it replaces. */
  readonly lastIndex: number;
  /** Term of that entry. */
  readonly lastTerm: number;
  /** Members as of that entry. */
  readonly membership: whinyoke.IMembership;
  /** Content of the state machine. */
  readonly state: Uint8Array;
}

const SNAPSHOT_FILE = 'snapshot';
const VOTE_FILE = 'vote';
const SEGMENT_PREFIX = 'log-';
/** Digits of an index in a file's name, so that names sort like indexes. */
const INDEX_DIGITS = 12;

/** Bytes after which a new segment is begun: what a snapshot lets go is deleted by whole segments. A guess, not measured. */
const SEGMENT_BYTES = 256 * 1024;

interface PendingSnapshot {
  readonly snapshot: Snapshot;
  /** Whether entries after the snapshot continue it. */
  readonly keepsLaterEntries: boolean;
}

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

/**
 * The log of one member. Writes are ordered; entries are visible at once, durable when promised. Entries that
 * could not be written leave the log again, with all that came after them, so that it never holds a gap.
 */
export class RaftLog {
  private readonly segments: Segment[] = [];
  private entries: LogEntry[] = [];
  private snapshotState: Snapshot | undefined;
  private voteState: VoteState = { term: 0, votedFor: '' };
  private durableVoteTerm = 0;
  private durableEntryIndex = 0;
  private durableSnapshotIndex = 0;
  /** A snapshot that the disk does not hold yet. */
  private pendingSnapshot: PendingSnapshot | undefined;
  private lastWrite: Promise<void> = Promise.resolve();

  private constructor(private readonly folder: DataFolder) {}

  /** Reads the durable state. */
  static async open(folder: DataFolder): Promise<RaftLog> {
    const log = new RaftLog(folder);
    await log.loadVote();
    await log.loadSnapshot();
    await log.loadSegments();
    log.durableEntryIndex = log.lastIndex;
    return log;
  }

  /** Term and vote. */
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
    return this.enqueueWrite(async () => {
      await this.folder.replace(VOTE_FILE, bytes);
      this.durableVoteTerm = vote.term;
    });
  }

  /** Whether a candidate's log holds at least as much as this one (Raft, section 5.4.1). */
  isCandidateUpToDate({ lastTerm, lastIndex }: whinyoke.IVoteRequest): boolean {
    const term = lastTerm ?? 0;
    if (term !== this.lastTerm) return term > this.lastTerm;
    return (lastIndex ?? 0) >= this.lastIndex;
  }

  /** Resolves once all writes that were asked for so far are done, or have failed. */
  writesSettled(): Promise<void> {
    return this.lastWrite;
  }

  /**
   * Appends entries; resolves once they are durable. When it rejects, the log holds neither these entries nor
   * any that followed them.
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

  /** Drops all entries from `index` on. The disk follows before the next entry is written. */
  truncateFrom(index: number): void {
    this.entries = this.entries.slice(0, Math.max(0, index - this.firstIndex));
    this.durableEntryIndex = Math.min(this.durableEntryIndex, index - 1);
  }

  /** Stores a snapshot and drops the segments that it replaces. */
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

  /** Stores a snapshot that could not be stored before; resolves at once when there is none. */
  persistSnapshot(): Promise<void> {
    return this.enqueueWrite(() => this.writePendingSnapshot());
  }

  private get firstIndex(): number {
    return this.entries[0]?.index ?? this.lastIndex + 1;
  }

  private enqueueWrite(work: () => Promise<void>): Promise<void> {
    const done = this.lastWrite.then(work);
    // Only the order of writes hangs on this; a failure reaches the caller through `done`.
    this.lastWrite = done.catch(() => undefined);
    return done;
  }

  /** Entries that were appended later depend on these, so they go as well. */
  private dropFailedEntries(entries: readonly LogEntry[]): void {
    const firstPresent = entries.find((entry) => this.entryAt(entry.index) === entry);
    if (firstPresent) this.truncateFrom(firstPresent.index);
  }

  /** Counts entries up to one that was written, unless it left the log meanwhile. */
  private recordDurable(entry: LogEntry): void {
    if (this.entryAt(entry.index) !== entry) return;
    this.durableEntryIndex = Math.max(this.durableEntryIndex, entry.index);
  }

  private async write(entries: readonly LogEntry[]): Promise<void> {
    const firstIndex = entries[0]!.index;
    await this.writePendingSnapshot();
    await this.truncateSegments(firstIndex);
    if (firstIndex !== this.writtenIndex + 1) {
      throw new LogGapError(`entry ${firstIndex} after entry ${this.writtenIndex}`);
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

  /** Newest index in the files, which may be behind the entries or hold ones that were dropped. */
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

  /** Drops entries from `index` on from the files. */
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

  /** A segment goes only when the snapshot that replaces it is durable. */
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
    if (bytes && !record) throw new StorageCorruptionError(`${VOTE_FILE}: damaged`);
    if (record) this.voteState = JSON.parse(record.payload.toString()) as VoteState;
    this.durableVoteTerm = this.voteState.term;
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
