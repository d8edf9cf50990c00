/**
 * Applies committed entries to the state machine in order and replaces old entries by snapshots.
 *
 * If a snapshot cannot be written, the log keeps growing and the next commit tries again.
 */
import { whinyoke } from '../protocol/generated/messages.js';
import type { LogEntry } from './log_entry.js';
import type { RaftLog } from './raft_log.js';

export interface StateMachine {
  /** Applies a committed command and returns its result. Must be deterministic. */
  apply(index: number, command: Uint8Array): Uint8Array;
  /** Serializes the whole state for a snapshot. */
  serialize(): Uint8Array;
  /** Replaces the state by that of a snapshot. */
  restore(lastIndex: number, state: Uint8Array): void;
}

/** Callbacks for applied entries. */
export interface ApplierListener {
  /** An entry was applied, with this result of the state machine. */
  onEntry(entry: LogEntry, result: Uint8Array): void;
  /** All entries up to an index are applied. */
  onApplied(index: number): void;
}

export class LogApplier {
  private committed: number;
  private applied: number;
  private isCompacting = false;

  /** @param snapshotEntries - number of applied entries after which a snapshot replaces them */
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

  get commitIndex(): number {
    return this.committed;
  }

  get appliedIndex(): number {
    return this.applied;
  }

  /** Serializes the state machine for a snapshot. */
  serialize(): Uint8Array {
    return this.machine.serialize();
  }

  /** Replaces the state by that of a snapshot received from the leader. */
  restore(lastIndex: number, state: Uint8Array): void {
    this.machine.restore(lastIndex, state);
    this.markApplied(lastIndex);
  }

  /**
   * Marks all entries up to an index as committed and applied, because a snapshot contains them.
   */
  markApplied(lastIndex: number): void {
    this.committed = Math.max(this.committed, lastIndex);
    this.applied = Math.max(this.applied, lastIndex);
    this.listener.onApplied(this.applied);
  }

  /** Marks all entries up to an index as committed and applies them. */
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
    // A snapshot that could not be stored has no other effect: the log grows, and the next commit
    // tries again. If the disk fails, the next entry is not confirmed, which makes the failure
    // visible.
    const onCompacted = (): void => {
      this.isCompacting = false;
    };
    this.log.compact(snapshot).then(onCompacted, onCompacted);
  }
}
