/**
 * Applies committed entries to the state machine in order, and replaces old ones by snapshots.
 *
 * Owns how far entries are committed and applied. Relies on the disk for snapshots only: without one the log grows, and the
 * next commit tries again.
 */
import { whinyoke } from '../protocol/generated/messages.js';
import type { LogEntry, RaftLog } from './raft_log.js';

/** The replicated state machine. */
export interface StateMachine {
  /** Applies a committed command and returns its result. Must depend on nothing else. */
  apply(index: number, command: Uint8Array): Uint8Array;
  /** Whole state, for a snapshot. */
  serialize(): Uint8Array;
  /** Replaces the state by that of a snapshot. */
  restore(lastIndex: number, state: Uint8Array): void;
}

/** Is called as entries are applied. */
export interface ApplierListener {
  /** One entry was applied, with this result of the state machine. */
  onEntry(entry: LogEntry, result: Uint8Array): void;
  /** Everything up to an index is applied. */
  onApplied(index: number): void;
}

/** Applier of one member. */
export class LogApplier {
  private committed: number;
  private applied: number;
  private isCompacting = false;

  /**
   * @param snapshotEntries - applied entries after which a snapshot replaces them
   */
  constructor(
    private readonly log: RaftLog,
    private readonly machine: StateMachine,
    private readonly snapshotEntries: number,
    private readonly listener: ApplierListener,
  ) {
    const { snapshot } = log;
    this.committed = snapshot?.lastIndex ?? 0;
    this.applied = this.committed;
    if (snapshot) machine.restore(snapshot.lastIndex, snapshot.state);
  }

  /** Newest index known to be committed. */
  get commitIndex(): number {
    return this.committed;
  }

  /** Newest applied index. */
  get appliedIndex(): number {
    return this.applied;
  }

  /** State of the machine, for a snapshot. */
  serialize(): Uint8Array {
    return this.machine.serialize();
  }

  /** Replaces the state by that of a snapshot of the leader. */
  restore(lastIndex: number, state: Uint8Array): void {
    this.machine.restore(lastIndex, state);
    this.markApplied(lastIndex);
  }

  /** Counts everything up to an index as applied: a snapshot holds it. */
  markApplied(lastIndex: number): void {
    this.committed = Math.max(this.committed, lastIndex);
    this.applied = Math.max(this.applied, lastIndex);
    this.listener.onApplied(this.applied);
  }

  /** Applies everything up to an index that is now known to be committed. */
  commitTo(index: number): void {
    if (index <= this.committed) return;
    this.committed = index;
    while (this.applied < this.committed) {
      const entry = this.log.entryAt(this.applied + 1);
      if (!entry) break;
      this.applied = entry.index;
      this.listener.onEntry(entry, this.applyEntry(entry));
    }
    this.listener.onApplied(this.applied);
    this.compactIfNeeded();
  }

  private applyEntry(entry: LogEntry): Uint8Array {
    const isCommand = entry.kind === whinyoke.EntryKind.COMMAND;
    return isCommand ? this.machine.apply(entry.index, entry.command) : new Uint8Array(0);
  }

  private compactIfNeeded(): void {
    const covered = this.log.snapshot?.lastIndex ?? 0;
    if (this.isCompacting || this.applied - covered < this.snapshotEntries) return;
    const lastTerm = this.log.termAt(this.applied);
    if (lastTerm === undefined) return;
    this.isCompacting = true;
    const snapshot = {
      lastIndex: this.applied,
      lastTerm,
      membership: this.log.membershipAt(this.applied) ?? {},
      state: this.machine.serialize(),
    };
    // A snapshot that could not be stored is lost, and nothing else: the log grows, and the next commit tries again. The disk's
    // fault shows at the next entry, which is not confirmed.
    const onCompacted = (): void => {
      this.isCompacting = false;
    };
    this.log.compact(snapshot).then(onCompacted, onCompacted);
  }
}
