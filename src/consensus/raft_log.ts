/**
 * Durable log of a consensus member: entries, one snapshot, and the vote.
 *
 * Files: segments (`log_segments.ts`), `snapshot` for the state that replaced older entries, `vote`
 * for term and vote. (`identity` in the same folder belongs to `cluster_joiner.ts`.) Nothing counts
 * until it is synced. If the disk refuses a write, the promise of that write rejects.
 */
import { whinyoke } from '../protocol/generated/messages.js';
import type { DataFolder } from '../runtime/runtime.js';
import { readSingleRecord, replaceSingleRecord } from '../storage/single_record.js';
import type { EntryPosition, LogEntry } from './log_entry.js';
import { LogSegments } from './log_segments.js';
import { LogGapError } from './raft_errors.js';

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

/** Position of an empty log. */
const LOG_START: EntryPosition = { index: 0, term: 0 };

function lastPositionOf(snapshot: Snapshot | undefined): EntryPosition {
  return snapshot ? { index: snapshot.lastIndex, term: snapshot.lastTerm } : LOG_START;
}

/**
 * Log of one member. Writes are ordered. Entries are visible at once, and durable when the promise
 * of their write resolves. Entries that could not be written are removed together with all later
 * ones, so the log never has a gap.
 */
export class RaftLog {
  /**
   * Called when a write of entries failed, after they were removed and before any other code can
   * append entries in their place.
   */
  onWriteFailed: () => void = () => undefined;
  private entries: LogEntry[] = [];
  private files!: LogSegments;
  private snapshotState: Snapshot | undefined;
  private voteState: VoteState = { term: 0, votedFor: '' };
  private durableVoteTerm = 0;
  private durableEntryIndex = 0;
  /** A snapshot that is not on disk yet. */
  private pendingSnapshot: Snapshot | undefined;
  private lastWrite: Promise<void> = Promise.resolve();

  private constructor(private readonly folder: DataFolder) {}

  /** Opens the log and reads the durable state. */
  static async open(folder: DataFolder): Promise<RaftLog> {
    const log = new RaftLog(folder);
    await log.loadVote();
    await log.loadSnapshot();
    await log.loadEntries();
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
    return this.files.byteLength + (this.snapshotState?.state.length ?? 0);
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
    const payload = Buffer.from(JSON.stringify(vote));
    return this.enqueueWrite(async () => {
      await replaceSingleRecord(this.folder, VOTE_FILE, payload);
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
    const previous: EntryPosition = { index: this.lastIndex, term: this.lastTerm };
    this.entries.push(...entries);
    return this.enqueueWrite(async () => {
      try {
        await this.write(previous, entries);
      } catch (error) {
        this.dropFailedEntries(entries);
        this.onWriteFailed();
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
      this.pendingSnapshot = snapshot;
      return this.writePendingSnapshot();
    });
  }

  /** Completes the storage of a snapshot that failed earlier. */
  persistSnapshot(): Promise<void> {
    return this.enqueueWrite(async () => {
      await this.writePendingSnapshot();
      await this.files.completeRemovals();
    });
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

  /**
   * Writes entries after the entry that they were appended to. The files can lack that entry, or
   * contain others in its place, after a write before this one failed.
   */
  private async write(previous: EntryPosition, entries: readonly LogEntry[]): Promise<void> {
    // A snapshot that could not be stored need not delay entries that continue the files.
    if (!this.files.contains(previous)) await this.writePendingSnapshot();
    if (!this.files.contains(previous)) {
      throw new LogGapError(
        `log gap: the entry of term ${previous.term} at ${previous.index}, ` +
          `which entry ${entries[0]!.index} follows, is not on disk`,
      );
    }
    await this.files.appendAfter(previous, entries);
  }

  private async writePendingSnapshot(): Promise<void> {
    const pending = this.pendingSnapshot;
    if (!pending) return;
    const message: whinyoke.ISnapshotRequest = {
      lastIndex: pending.lastIndex,
      lastTerm: pending.lastTerm,
      membership: pending.membership,
      state: pending.state,
    };
    const payload = whinyoke.SnapshotRequest.encode(message).finish();
    await replaceSingleRecord(this.folder, SNAPSHOT_FILE, payload);
    this.pendingSnapshot = undefined;
    this.durableEntryIndex = Math.max(this.durableEntryIndex, pending.lastIndex);
    // Segments are deleted only after the snapshot that replaces them is durable.
    await this.files.discardThrough(lastPositionOf(pending));
  }

  private async loadVote(): Promise<void> {
    const payload = await readSingleRecord(this.folder, VOTE_FILE);
    if (payload) this.voteState = JSON.parse(payload.toString()) as VoteState;
    this.durableVoteTerm = this.voteState.term;
  }

  private async loadSnapshot(): Promise<void> {
    const payload = await readSingleRecord(this.folder, SNAPSHOT_FILE);
    if (!payload) return;
    const decoded = whinyoke.SnapshotRequest.decode(payload);
    this.snapshotState = {
      lastIndex: decoded.lastIndex,
      lastTerm: decoded.lastTerm,
      membership: decoded.membership ?? {},
      state: decoded.state,
    };
  }

  private async loadEntries(): Promise<void> {
    const snapshotPosition = lastPositionOf(this.snapshotState);
    const { files, entries } = await LogSegments.open(this.folder, snapshotPosition);
    this.files = files;
    this.entries = entries;
  }
}
