/**
 * A consensus member on a simulated disk that fails, driven by a leader that the test plays. Records what the member
 * confirmed, and checks after each restart that its log still contains it.
 */
import { RaftLog } from '../../src/consensus/raft_log.js';
import { RaftNode } from '../../src/consensus/raft_node.js';
import { DEFAULT_RAFT_OPTIONS } from '../../src/consensus/raft_options.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import type { MessageBody } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import type { DiskFailures } from '../../lab/simulation/disk_failures.js';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualDisk } from '../../lab/simulation/virtual_disk.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';

const SYNC_MS = 1;
/** Longer than any queue of writes of the test. */
const SETTLE_MS = 500;
/** The first segment ends after two entries of this size. */
const LARGE_BYTES = 150 * 1024;
const MEMBERSHIP = {
  members: ['a', 'b', 'c'].map((id) => ({ id, address: `127.0.0.1:${id}`, learner: false })),
};

/** A promise that the member did not keep. */
class BrokenPromise extends Error {}

function check(isKept: boolean, message: string): void {
  if (!isKept) throw new BrokenPromise(message);
}

export class FailingMember {
  private readonly scheduler = new Scheduler();
  private readonly random: SeededRandom;
  private readonly disk: VirtualDisk;
  private process!: VirtualProcess;
  private node!: RaftNode;
  private term = 1;
  /** Terms of the entries of the current leader's log; the first one belongs to the founding snapshot. */
  private leaderTerms = [0, 1];
  /** Entries that no later leader replaces. */
  private committed = 1;
  /** Terms of confirmed entries by index; entries that a later leader replaced are removed. */
  private readonly confirmedTerms = new Map<number, number>();
  private confirmedSnapshot = 1;
  private vote = { term: 0, votedFor: '' };

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.disk = new VirtualDisk(this.random, SYNC_MS);
    this.disk.reordersPages = true;
  }

  /** Starts the member for the first time. */
  async found(): Promise<void> {
    await this.open();
    const members = MEMBERSHIP.members.map(({ id, address }) => ({
      id,
      address,
      isLearner: false,
    }));
    const founded = this.node.bootstrap(members);
    await this.run(SETTLE_MS);
    await founded;
  }

  setFailures(failures: DiskFailures | undefined): void {
    this.disk.failures = failures;
  }

  run(milliseconds: number): Promise<void> {
    return this.scheduler.runUntil(this.scheduler.now + milliseconds);
  }

  /** Another leader begins: entries that are not committed may be replaced by its own. */
  changeLeader(lostEntries: number): void {
    const last = Math.max(this.committed, this.leaderTerms.length - 1 - lostEntries);
    this.leaderTerms.length = last + 1;
    this.term++;
    for (const index of this.confirmedTerms.keys()) {
      if (index > last) this.confirmedTerms.delete(index);
    }
  }

  /** The leader appends entries to its log. */
  propose(count: number): void {
    for (let number = 0; number < count; number++) this.leaderTerms.push(this.term);
  }

  /** The leader sends up to `count` entries, starting `back` entries before the end of the member's log. */
  sendEntries(back: number, count: number, isLarge: boolean): void {
    const start = Math.min(this.node.log.lastIndex, this.leaderTerms.length - 1);
    const previousIndex = Math.max(1, start - back);
    const terms = this.leaderTerms.slice(previousIndex + 1, previousIndex + 1 + count);
    const entries = terms.map((term, offset) =>
      this.entry(previousIndex + 1 + offset, term, isLarge),
    );
    const appendRequest = {
      term: this.term,
      leader: 'a',
      receiver: 'b',
      previousIndex,
      previousTerm: this.leaderTerms[previousIndex]!,
      entries,
      commitIndex: this.committed,
    };
    this.send({ appendRequest }, ({ appendReply }) => {
      // A former leader's confirmations count for nothing here: its entries may have been replaced.
      if (!appendReply?.success || appendRequest.term !== this.term) return;
      const matchIndex = appendReply.matchIndex ?? 0;
      for (let index = 1; index <= matchIndex; index++) {
        this.confirmedTerms.set(index, this.leaderTerms[index]!);
      }
    });
  }

  /** The leader commits entries that the member has confirmed. */
  commit(): void {
    while (this.confirmedTerms.has(this.committed + 1)) this.committed++;
  }

  /** The leader commits its whole log with others, and sends a snapshot up to `back` before its end. */
  sendSnapshot(back: number): void {
    const last = this.leaderTerms.length - 1;
    this.committed = last;
    const lastIndex = Math.max(1, last - back);
    const snapshotRequest = {
      term: this.term,
      leader: 'a',
      receiver: 'b',
      lastIndex,
      lastTerm: this.leaderTerms[lastIndex]!,
      membership: MEMBERSHIP,
      state: new Uint8Array([lastIndex]),
    };
    this.send({ snapshotRequest }, ({ snapshotReply }) => {
      if (!snapshotReply?.installed) return;
      this.confirmedSnapshot = Math.max(this.confirmedSnapshot, snapshotReply.matchIndex ?? 0);
    });
  }

  /** The member replaces its committed entries by a snapshot of its own. */
  compact(): void {
    const { log } = this.node;
    const lastIndex = Math.min(this.committed, log.durableIndex);
    const lastTerm = log.termAt(lastIndex);
    if (lastTerm === undefined || lastIndex <= (log.snapshot?.lastIndex ?? 0)) return;
    const stored = log.compact({
      lastIndex,
      lastTerm,
      membership: MEMBERSHIP,
      state: new Uint8Array([lastIndex]),
    });
    this.observe(stored, () => {
      this.confirmedSnapshot = Math.max(this.confirmedSnapshot, lastIndex);
    });
  }

  /** A candidate of the next term asks for the member's vote. */
  requestVote(candidate: string): void {
    const term = this.term + 1;
    const voteRequest = {
      term,
      candidate,
      receiver: 'b',
      lastIndex: this.leaderTerms.length + 10,
      lastTerm: term,
    };
    this.send({ voteRequest }, ({ voteReply }) => {
      if (!voteReply?.granted) return;
      const isSecondVote = this.vote.term === term && this.vote.votedFor !== candidate;
      check(!isSecondVote, `two votes in term ${term}`);
      this.vote = { term, votedFor: candidate };
    });
  }

  /** Ends the process, or the machine's power, and starts the member again on a healthy disk. */
  async restart(losesPower: boolean): Promise<void> {
    this.node.stop();
    this.process.kill();
    if (losesPower) this.disk.crash();
    this.disk.failures = undefined;
    await this.open();
    this.checkLog();
  }

  /** On a healthy disk the member stores what its leader sends. */
  async checkProgress(): Promise<void> {
    this.disk.failures = undefined;
    this.changeLeader(0);
    this.propose(2);
    // A vote request may have brought the member one term further than its leader.
    this.term++;
    for (let attempt = 0; attempt < this.leaderTerms.length + 3; attempt++) {
      this.sendEntries(attempt, this.leaderTerms.length, false);
      await this.run(SETTLE_MS);
    }
    const last = this.leaderTerms.length - 1;
    check(this.node.log.durableIndex >= last, `entry ${last} is not stored on a healthy disk`);
  }

  private async open(): Promise<void> {
    this.process = new VirtualProcess('host', this.scheduler, this.random);
    const opening = RaftLog.open(this.disk.open(this.process));
    // A rejection is seen below; until then it must not count as unhandled.
    opening.catch(() => undefined);
    await this.run(SETTLE_MS);
    const messenger = {
      request: () => Promise.reject(new Error('peer unreachable')),
      serve: () => undefined,
    };
    const machine = {
      apply: () => new Uint8Array(0),
      serialize: () => new Uint8Array(0),
      restore: () => undefined,
    };
    const { clock, random } = this.process;
    const runtime = { clock, random, messenger };
    const log = await opening;
    this.node = new RaftNode('b', '127.0.0.1:b', runtime, log, machine, DEFAULT_RAFT_OPTIONS);
  }

  private entry(index: number, term: number, isLarge: boolean): whinyoke.ILogEntry {
    const command = Buffer.alloc(isLarge ? LARGE_BYTES : 1 + (index % 3) * 40, 1);
    return { term, index, kind: whinyoke.EntryKind.COMMAND, command };
  }

  private send(body: MessageBody, onReply: (reply: MessageBody) => void): void {
    this.observe(this.node.handle(body), onReply);
  }

  /** Ignores what a process says after its end, and rejections: they confirm nothing. */
  private observe<T>(outcome: Promise<T>, onSuccess: (value: T) => void): void {
    const { process } = this;
    outcome.then(
      (value) => {
        if (process === this.process && process.alive) onSuccess(value);
      },
      () => undefined,
    );
  }

  private checkLog(): void {
    const { log } = this.node;
    const covered = log.snapshot?.lastIndex ?? 0;
    check(covered >= this.confirmedSnapshot, `snapshot ${this.confirmedSnapshot} is lost`);
    check(log.vote.term >= this.vote.term, `the vote of term ${this.vote.term} is lost`);
    const isSameVote = log.vote.term > this.vote.term || log.vote.votedFor === this.vote.votedFor;
    check(isSameVote, `the vote of term ${this.vote.term} was changed`);
    for (const [index, term] of this.confirmedTerms) {
      if (index <= covered) continue;
      check(log.termAt(index) === term, `confirmed entry ${index} of term ${term} is lost`);
    }
    for (let index = covered + 1; index <= log.lastIndex; index++) {
      const [previous, term] = [log.termAt(index - 1)!, log.termAt(index)!];
      check(previous <= term, `entry ${index} of term ${term} follows one of term ${previous}`);
      this.checkPredecessor(index, term, previous);
    }
  }

  /** Within a leader's log, an entry follows exactly one other (Raft's log matching property). */
  private checkPredecessor(index: number, term: number, previousTerm: number): void {
    const isOwn = this.leaderTerms[index] === term;
    const isSame = this.leaderTerms[index - 1] === previousTerm;
    check(!isOwn || isSame, `entry ${index} follows an entry of term ${previousTerm}`);
  }
}
