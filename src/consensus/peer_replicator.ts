/**
 * Brings one member's log up to the leader's: appends entries, or sends a snapshot when entries are gone.
 *
 * Owns what the leader knows of this member's log. Relies on the member's answers, which may be missing: each heartbeat
 * tries again.
 */
import type { whinyoke } from '../protocol/generated/messages.js';
import type { Timer } from '../runtime/runtime.js';
import type { MemberState, RaftRuntime } from './member_state.js';
import type { Member } from './membership.js';
import type { RaftLog } from './raft_log.js';
import type { RaftOptions } from './raft_options.js';

/** Most entries of one message, so that no message grows without bound. A guess, not measured. */
const MAX_BATCH_ENTRIES = 64;
/** Time for an answer to a snapshot, in election timeouts: it is longer than other messages. A guess, not measured. */
const SNAPSHOT_TIMEOUT_FACTOR = 5;

/** The leader that a replicator works for. */
export interface AppendSource {
  /** Shared state of the member, with its log. */
  readonly state: MemberState;
  /** Clock and messenger. */
  readonly runtime: RaftRuntime;
  /** Times of heartbeats and answers. */
  readonly options: RaftOptions;
  /** Content of an append message from an index on; undefined when only a snapshot helps. */
  appendRequestFrom(nextIndex: number, limit: number): whinyoke.IAppendRequest | undefined;
  /** Commits what a majority holds, after a member confirmed entries. */
  advanceCommit(): void;
}

/** Replicator of one peer during one term of leadership. */
export class PeerReplicator {
  /** Newest index up to which the member's log is known to match. */
  matchIndex = 0;
  /** Clock reading of the latest answer, in milliseconds. */
  lastContactAt: number;
  /**
   * When the newest message was sent that the peer answered, in milliseconds. An answer that waited unread while this
   * process stood still is new, but what it proves is as old as its request.
   */
  lastAnsweredRequestAt: number;
  private nextIndex: number;
  private isSending = false;
  private isStopped = false;
  private timer: Timer | undefined;

  constructor(
    private readonly source: AppendSource,
    private readonly peer: Member,
    private readonly term: number,
  ) {
    this.nextIndex = source.state.log.lastIndex + 1;
    this.lastContactAt = source.runtime.clock.now();
    // Votes of this term were collected at most an election timeout ago; the first answers come at once.
    this.lastAnsweredRequestAt = this.lastContactAt;
  }

  /** Starts heartbeats. */
  start(): void {
    this.trigger();
  }

  /** Stops for good. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Sends what the peer lacks, or a heartbeat, unless a message is under way. */
  trigger(): void {
    if (this.isSending || this.isStopped) return;
    this.timer?.cancel();
    void this.send();
  }

  private get log(): RaftLog {
    return this.source.state.log;
  }

  private async send(): Promise<void> {
    this.isSending = true;
    const sentUpTo = this.log.lastIndex;
    const isReached = await this.sendOnce();
    this.isSending = false;
    if (this.isStopped) return;
    const hasMore = this.nextIndex <= sentUpTo || this.log.lastIndex > sentUpTo;
    if (isReached && hasMore) {
      this.trigger();
      return;
    }
    const { heartbeatMs } = this.source.options;
    this.timer = this.source.runtime.clock.setTimer(heartbeatMs, () => this.trigger());
  }

  private async sendOnce(): Promise<boolean> {
    const request = this.source.appendRequestFrom(this.nextIndex, MAX_BATCH_ENTRIES);
    const { messenger, clock } = this.source.runtime;
    const sentAt = clock.now();
    const timeout = this.source.options.electionTimeoutMs;
    try {
      if (!request) return await this.sendSnapshot();
      const appendRequest = { ...request, receiver: this.peer.id };
      const body = await messenger.request(this.peer.address, { appendRequest }, timeout);
      const reply = body.appendReply;
      if (this.isStopped || reply?.follower !== this.peer.id) return false;
      if (this.observesHigherTerm(reply.term)) return false;
      this.recordContact(sentAt);
      if (reply.success) this.advanceMatch(reply.matchIndex ?? 0);
      else this.nextIndex = Math.max(1, Math.min(this.nextIndex - 1, (reply.matchIndex ?? 0) + 1));
      return true;
    } catch {
      // The member is not reached; the next heartbeat tries again, and its silence is seen in `lastContact`.
      return false;
    }
  }

  private async sendSnapshot(): Promise<boolean> {
    const { snapshot } = this.log;
    if (!snapshot) return false;
    const { messenger, clock } = this.source.runtime;
    const snapshotRequest = {
      term: this.term,
      leader: this.source.state.id,
      lastIndex: snapshot.lastIndex,
      lastTerm: snapshot.lastTerm,
      membership: snapshot.membership,
      state: snapshot.state,
      receiver: this.peer.id,
    };
    const timeout = this.source.options.electionTimeoutMs * SNAPSHOT_TIMEOUT_FACTOR;
    const sentAt = clock.now();
    const body = await messenger.request(this.peer.address, { snapshotRequest }, timeout);
    const reply = body.snapshotReply;
    if (this.isStopped || !reply || this.observesHigherTerm(reply.term)) return false;
    this.recordContact(sentAt);
    if (!reply.installed) return false;
    this.advanceMatch(reply.matchIndex ?? 0);
    return true;
  }

  private recordContact(sentAt: number): void {
    this.lastContactAt = this.source.runtime.clock.now();
    this.lastAnsweredRequestAt = sentAt;
  }

  private observesHigherTerm(term: number | null | undefined): boolean {
    this.source.state.observeTerm(term ?? 0);
    return (term ?? 0) > this.term;
  }

  private advanceMatch(index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index);
    this.nextIndex = this.matchIndex + 1;
    this.source.advanceCommit();
  }
}
