/**
 * The follower's side of the log: receives entries and snapshots of the leader and confirms them
 * once they are on disk. If a write fails, the leader gets no confirmation and sends again.
 */
import type { whinyoke } from '../protocol/generated/messages.js';
import type { MessageBody } from '../runtime/runtime.js';
import type { LeaderElection } from './leader_election.js';
import type { LogApplier } from './log_applier.js';
import type { MemberState } from './member_state.js';
import { NotDurableError } from './raft_errors.js';
import { type LogEntry, entryFromMessage } from './log_entry.js';
import type { Snapshot } from './raft_log.js';

export class LogReceiver {
  constructor(
    private readonly state: MemberState,
    private readonly election: LeaderElection,
    private readonly applier: LogApplier,
  ) {}

  /**
   * Stores entries of a leader.
   * @throws NotDurableError if they could not be written to disk
   */
  async onAppendRequest(request: whinyoke.IAppendRequest): Promise<MessageBody> {
    const { state } = this;
    const term = request.term ?? 0;
    if (request.receiver !== state.id || term < state.term) return this.appendReply(false, 0);
    this.election.followLeader(term, request.leader ?? '');
    const previousIndex = request.previousIndex ?? 0;
    if (!this.hasPreviousEntry(previousIndex, request.previousTerm ?? 0)) {
      await this.persistTerm();
      return this.appendReply(false, Math.min(previousIndex - 1, state.log.lastIndex));
    }
    const entries = (request.entries ?? []).map(entryFromMessage);
    const durable = this.storeEntries(entries);
    const matchIndex = previousIndex + entries.length;
    await Promise.all([this.persistTerm(), durable]);
    if (state.term !== term) return this.appendReply(false, 0);
    if (state.log.durableIndex < matchIndex) {
      throw new NotDurableError(
        `cannot confirm entries up to ${matchIndex}: not all of them are on disk`,
      );
    }
    this.applier.commitTo(Math.min(request.commitIndex ?? 0, matchIndex));
    return this.appendReply(true, matchIndex);
  }

  /** Installs a snapshot of a leader, in place of entries that the leader has compacted. */
  async onSnapshotRequest(request: whinyoke.ISnapshotRequest): Promise<MessageBody> {
    const { state } = this;
    const term = request.term ?? 0;
    const lastIndex = request.lastIndex ?? 0;
    const refused = { snapshotReply: { term: state.term, installed: false, matchIndex: 0 } };
    if (request.receiver !== state.id || term < state.term) return refused;
    this.election.followLeader(term, request.leader ?? '');
    await this.persistTerm();
    const durableCommitIndex = Math.min(this.applier.commitIndex, state.log.durableIndex);
    if (lastIndex > durableCommitIndex) await this.installSnapshot(lastIndex, request);
    return { snapshotReply: { term: state.term, installed: true, matchIndex: lastIndex } };
  }

  private async installSnapshot(
    lastIndex: number,
    request: whinyoke.ISnapshotRequest,
  ): Promise<void> {
    const { log } = this.state;
    if (lastIndex > (log.snapshot?.lastIndex ?? 0)) {
      const snapshot: Snapshot = {
        lastIndex,
        lastTerm: request.lastTerm ?? 0,
        membership: request.membership ?? {},
        state: request.state ?? new Uint8Array(0),
      };
      const stored = log.compact(snapshot);
      if (lastIndex > this.applier.commitIndex) {
        this.applier.restore(lastIndex, snapshot.state);
      }
      this.state.reloadMembership();
      await stored;
    }
    // An earlier attempt may have left the snapshot in memory only.
    await log.persistSnapshot();
  }

  /**
   * Whether the log contains the entry before the new ones. Entries in a snapshot are committed, so
   * they match.
   */
  private hasPreviousEntry(previousIndex: number, previousTerm: number): boolean {
    const { log } = this.state;
    const snapshotIndex = log.snapshot?.lastIndex ?? 0;
    if (previousIndex < snapshotIndex) return true;
    return log.termAt(previousIndex) === previousTerm;
  }

  /**
   * Appends missing entries, overwriting entries of other terms; resolves once all of them are on
   * disk.
   */
  private storeEntries(entries: readonly LogEntry[]): Promise<void> {
    const { state } = this;
    const { log } = state;
    const snapshotIndex = log.snapshot?.lastIndex ?? 0;
    const missing = entries.filter(
      (entry) => entry.index > snapshotIndex && log.termAt(entry.index) !== entry.term,
    );
    const first = missing[0];
    if (!first) return log.writesSettled();
    if (first.index <= log.lastIndex) log.truncateFrom(first.index);
    const durable = log.append(entries.filter((entry) => entry.index >= first.index));
    state.reloadMembership();
    return durable;
  }

  /** A term must be durable before any reply is sent in it. */
  private persistTerm(): Promise<void> {
    const { state } = this;
    if (state.log.durableTerm >= state.term) return Promise.resolve();
    return state.log.saveVote({ term: state.term, votedFor: state.votedFor });
  }

  private appendReply(success: boolean, matchIndex: number): MessageBody {
    return { appendReply: { term: this.state.term, success, matchIndex, follower: this.state.id } };
  }
}
