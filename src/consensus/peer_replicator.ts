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
const BATCH_ENTRIES = 64;
/** Time for an answer to a snapshot, in election timeouts: it is longer than other messages. A guess, not measured. */
const SNAPSHOT_TIMEOUTS = 5;

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
  lastContact: number;
  /**
   * When the newest message was sent that the peer answered, in milliseconds. An answer that waited unread while this
   * process stood still is new, but what it proves is as old as its request.
   */
  confirmedAt: number;
  private nextIndex: number;
  private sending = false;
  private stopped = false;
  private timer: Timer | undefined;

  constructor(
    private readonly source: AppendSource,
    private readonly peer: Member,
    private readonly term: number,
  ) {
    this.nextIndex = source.state.log.lastIndex + 1;
    this.lastContact = source.runtime.clock.now();
    // Votes of this term were collected at most an election timeout ago; the first answers come at once.
    this.confirmedAt = this.lastContact;
  }

  /** Starts heartbeats. */
  start(): void {
    this.trigger();
  }

  /** Stops for good. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  /** Sends what the peer lacks, or a heartbeat, unless a message is under way. */
  trigger(): void {
    if (this.sending || this.stopped) return;
    this.timer?.cancel();
    void this.send();
  }

  private get log(): RaftLog {
    return this.source.state.log;
  }

  private async send(): Promise<void> {
    this.sending = true;
    const sentUpTo = this.log.lastIndex;
    const isReached = await this.sendOnce();
    this.sending = false;
    if (this.stopped) return;
    const hasMore = this.nextIndex <= sentUpTo || this.log.lastIndex > sentUpTo;
    if (isReached && hasMore) {
      this.trigger();
      return;
    }
    const { heartbeatMs } = this.source.options;
    this.timer = this.source.runtime.clock.setTimer(heartbeatMs, () => this.trigger());
  }

  private async sendOnce(): Promise<boolean> {
    const request = this.source.appendRequestFrom(this.nextIndex, BATCH_ENTRIES);
    const { messenger, clock } = this.source.runtime;
    const sentAt = clock.now();
    const timeout = this.source.options.electionTimeoutMs;
    try {
      if (!request) return await this.sendSnapshot();
      const appendRequest = { ...request, receiver: this.peer.id };
      const body = await messenger.request(this.peer.address, { appendRequest }, timeout);
      const reply = body.appendReply;
      if (this.stopped || reply?.follower !== this.peer.id) return false;
      if (this.isHigher(reply.term)) return false;
      this.noteContact(sentAt);
      if (reply.success) this.onMatch(reply.matchIndex ?? 0);
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
    const timeout = this.source.options.electionTimeoutMs * SNAPSHOT_TIMEOUTS;
    const sentAt = clock.now();
    const body = await messenger.request(this.peer.address, { snapshotRequest }, timeout);
    const reply = body.snapshotReply;
    if (this.stopped || !reply || this.isHigher(reply.term)) return false;
    this.noteContact(sentAt);
    if (!reply.installed) return false;
    this.onMatch(reply.matchIndex ?? 0);
    return true;
  }

  private noteContact(sentAt: number): void {
    this.lastContact = this.source.runtime.clock.now();
    this.confirmedAt = sentAt;
  }

  private isHigher(term: number | null | undefined): boolean {
    this.source.state.observeTerm(term ?? 0);
    return (term ?? 0) > this.term;
  }

  private onMatch(index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index);
    this.nextIndex = this.matchIndex + 1;
    this.source.advanceCommit();
  }
}
