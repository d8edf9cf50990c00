/**
 * Brings one member's log up to date with the leader's: sends entries, or a snapshot if the entries
 * were compacted. Requests that fail are repeated with the next heartbeat.
 */
import type { whinyoke } from '../protocol/generated/messages.js';
import type { Timer } from '../runtime/runtime.js';
import type { MemberState, RaftRuntime } from './member_state.js';
import type { Member } from './membership.js';
import type { RaftLog } from './raft_log.js';
import type { RaftOptions } from './raft_options.js';

/** Bounds the size of an append request. */
const MAX_BATCH_ENTRIES = 64;
/**
 * Timeout of a snapshot request, in election timeouts; a snapshot takes longer than other requests.
 */
const SNAPSHOT_TIMEOUT_FACTOR = 5;

/** The leader on whose behalf a replicator sends. */
export interface AppendSource {
  /** State of the leading member, with its log. */
  readonly state: MemberState;
  readonly runtime: RaftRuntime;
  readonly options: RaftOptions;
  /** Builds an append request that starts at an index; undefined if the member needs a snapshot. */
  appendRequestFrom(nextIndex: number, limit: number): whinyoke.IAppendRequest | undefined;
  /** Commits entries that a majority has stored, after a member confirmed some. */
  advanceCommit(): void;
}

/** Replicator for one peer during one term of leadership. */
export class PeerReplicator {
  /** Newest index at which the peer's log is known to match. */
  matchIndex = 0;
  /** Clock reading of the newest reply, in milliseconds. */
  lastContactAt: number;
  /**
   * Clock reading when the newest request with a reply was sent, in milliseconds. If this process
   * stalled, a reply may be read long after it arrived; it proves contact only as of its request.
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
    // The votes of this term were collected at most an election timeout ago, and the first replies
    // follow immediately.
    this.lastAnsweredRequestAt = this.lastContactAt;
  }

  /** Starts sending heartbeats. */
  start(): void {
    this.trigger();
  }

  /** Stops permanently. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Sends missing entries or a heartbeat, unless a request is in flight. */
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
      // The peer is unreachable. The next heartbeat tries again; `lastContactAt` shows for how
      // long.
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
    // A refusal in this term comes from another machine that the peer's address leads to.
    if (!reply.installed) return false;
    this.recordContact(sentAt);
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
