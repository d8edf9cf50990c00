/**
 * Replication and primary election of an emulated database group.
 *
 * The primary commits locally at once and replicates afterwards, so a primary that was cut off goes on
 * accepting writes until it hears of a higher term: the worst case a proxy must be ready for.
 * Elections follow the Raft rules (Ongaro and Ousterhout 2014): one vote per term, and only for a
 * candidate whose received log is at least as new.
 */
import { type Position, START, covers } from '../../src/positions/position.js';
import { type DataFolder, type Runtime, type Timer, delay } from '../../src/runtime/runtime.js';
import type { MessageBody } from '../../src/runtime/runtime.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RECORD_HEADER_BYTES } from '../../src/storage/record_codec.js';
import { RecordFile } from '../../src/storage/record_file.js';
import type { RowChange } from './tables.js';

/** One committed or received transaction. */
export interface LogEntry {
  readonly term: number;
  readonly sequence: number;
  readonly changes: readonly RowChange[];
}

/** Consecutive transactions of one term; both ends included. */
export interface TermRun {
  readonly term: number;
  readonly first: number;
  last: number;
}

/** Role of a member in its own eyes. */
export type MemberRole = 'primary' | 'secondary';

/** Timing of a group. */
export interface GroupOptions {
  /** Address of this member for group traffic. */
  readonly address: string;
  /** Addresses of all members. */
  readonly members: readonly string[];
  /** Interval of the primary's heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Shortest silence of the primary before an election starts, in milliseconds. */
  readonly electionTimeoutMs: number;
}

/** What a member tells the rest of the instance. */
export interface MemberListener {
  /** Changes that are now executed here. */
  onExecuted(entry: LogEntry): void;
  /** Executed transactions were lost to another primary; everything is executed again. */
  onRollback(): void;
  /** This member became or stopped being the primary. */
  onRole(role: MemberRole, term: number): void;
}

const LOG_FILE = 'binlog';
const REJOIN_FILE = 'rejoin';
const REJOIN_RETRY_MS = 100;
const VOTE_FILE = 'vote';
const BATCH_ENTRIES = 200;

/** One member of a database group. */
export class GroupMember {
  role: MemberRole = 'secondary';
  term = 0;
  /** Member that this one takes for the primary; empty when unknown. */
  knownPrimary = '';
  /** Artificial delay between receiving and executing, in milliseconds. */
  replicationLagMs = 0;
  private votedFor = '';
  private readonly entries: LogEntry[] = [];
  private readonly ends: number[] = [];
  private runs: TermRun[] = [];
  private durable = 0;
  private executed = 0;
  private readonly nextToSend = new Map<string, number>();
  private readonly sending = new Set<string>();
  private file!: RecordFile;
  private electionTimer: Timer | undefined;
  private executing = false;
  private isCandidate = true;
  /** Whether this member followed or became the primary since it started or lost its role. */
  private hasJoined = false;
  /** Whether the disk was lost: without a vote until everything is received again. */
  private isRejoining = false;
  /** Whether a rejoining member knows the newest term of all others. */
  private knowsTerm = true;
  private writing: Promise<void> = Promise.resolve();
  private storing: Promise<void> = Promise.resolve();

  constructor(
    private readonly runtime: Runtime,
    private readonly folder: DataFolder,
    private readonly options: GroupOptions,
    private readonly listener: MemberListener,
  ) {}

  /**
   * Reads the durable state and joins the group.
   * @param lostDisk - the former data folder is gone: what it confirmed must not be forgotten
   */
  async start(lostDisk = false): Promise<void> {
    if (lostDisk) await this.folder.replace(REJOIN_FILE, Buffer.from('1'));
    this.isRejoining = (await this.folder.read(REJOIN_FILE)) !== undefined;
    this.knowsTerm = !this.isRejoining;
    const vote = await this.folder.read(VOTE_FILE);
    if (vote) {
      const saved = JSON.parse(vote.toString()) as { term: number; votedFor: string };
      this.term = saved.term;
      this.votedFor = saved.votedFor;
    }
    const { file, records } = await RecordFile.open(this.folder, LOG_FILE);
    this.file = file;
    for (const record of records) this.pushDecoded(record.payload, record.end);
    // Nothing is executed yet: the end of the log may never have left this member.
    this.durable = this.entries.length;
    if (this.isRejoining) void this.learnNewestTerm();
    this.waitForPrimary();
  }

  /** Whether this is a full member; otherwise it is recovering (`MEMBER_STATE`). */
  get isOnline(): boolean {
    return this.hasJoined && !this.isRejoining;
  }

  /** Newest transaction that is durable here. */
  get receivedPosition(): Position {
    return this.positionAt(this.durable);
  }

  /** Newest transaction that reads on this member see. */
  get executedPosition(): Position {
    return this.positionAt(this.executed);
  }

  /** Runs of terms in the executed part of the log, oldest first. */
  termRuns(upTo: 'executed' | 'received'): TermRun[] {
    const end = upTo === 'executed' ? this.executed : this.durable;
    const started = this.runs.filter((run) => run.first <= end);
    return started.map((run) => ({ ...run, last: Math.min(run.last, end) }));
  }

  /** Whether this member believes that it may accept writes. */
  get isWritable(): boolean {
    return this.role === 'primary' && this.executed === this.entries.length;
  }

  /** Commits a transaction on the primary; resolves once it is durable and executed here. */
  async commit(changes: readonly RowChange[]): Promise<Position> {
    const term = this.term;
    const entry: LogEntry = { term, sequence: this.entries.length + 1, changes };
    const durable = this.appendEntries([entry]);
    // Executed at once, so that no later transaction of this instance misses the change.
    this.executed = this.entries.length;
    this.listener.onExecuted(entry);
    await durable;
    this.replicate();
    return { term, sequence: entry.sequence };
  }

  /** Whether this member may become or stay primary. */
  setCandidate(isCandidate: boolean): void {
    this.isCandidate = isCandidate;
    if (isCandidate || this.role !== 'primary') return;
    // Without heartbeats another member is elected.
    this.enterTerm(this.term, this.votedFor);
  }

  /** Answers a group message of another member. */
  async handle(body: MessageBody): Promise<MessageBody> {
    if (body.databaseVoteRequest) return this.onVoteRequest(body.databaseVoteRequest);
    if (body.databaseAppendRequest) return this.onAppendRequest(body.databaseAppendRequest);
    return { refusal: { reason: 'not a group message' } };
  }

  private positionAt(count: number): Position {
    const entry = this.entries[count - 1];
    return entry ? { term: entry.term, sequence: entry.sequence } : START;
  }

  private pushDecoded(payload: Buffer, end: number): void {
    const decoded = whinyoke.DatabaseEntry.decode(payload);
    const { term, sequence, changes } = decoded;
    this.pushEntry({ term, sequence, changes });
    this.ends.push(end);
  }

  private pushEntry(entry: LogEntry): void {
    this.entries.push(entry);
    const run = this.runs.at(-1);
    if (run?.term === entry.term) run.last = entry.sequence;
    else this.runs.push({ term: entry.term, first: entry.sequence, last: entry.sequence });
  }

  private async appendEntries(entries: readonly LogEntry[]): Promise<void> {
    const payloads: Uint8Array[] = [];
    for (const entry of entries) {
      const payload = whinyoke.DatabaseEntry.encode({
        ...entry,
        changes: [...entry.changes],
      }).finish();
      payloads.push(payload);
      this.pushEntry(entry);
    }
    const first = this.entries.length - entries.length;
    const written = this.writing.then(() => this.writePayloads(first, payloads));
    this.writing = written.catch(() => undefined);
    const count = this.entries.length;
    await written;
    if (this.entries.length >= count) this.durable = Math.max(this.durable, count);
  }

  private writePayloads(first: number, payloads: readonly Uint8Array[]): Promise<void> {
    let end = this.file.byteLength;
    payloads.forEach((payload, index) => {
      end += payload.length + RECORD_HEADER_BYTES;
      this.ends[first + index] = end;
    });
    return this.file.append(payloads);
  }

  private executeNext(): void {
    const entry = this.entries[this.executed]!;
    this.executed++;
    this.listener.onExecuted(entry);
  }

  private async executeReceived(): Promise<void> {
    if (this.executing) return;
    this.executing = true;
    while (this.mayExecute()) {
      const upTo = this.durable;
      const term = this.term;
      if (this.replicationLagMs > 0) await delay(this.runtime.clock, this.replicationLagMs);
      if (this.term !== term || this.durable < upTo) continue;
      while (this.executed < upTo) this.executeNext();
    }
    this.executing = false;
  }

  /**
   * Transactions are executed once one of the current term is received: then the primary and this member
   * hold them, a majority of the at most three members (Raft, section 5.4.2).
   */
  private mayExecute(): boolean {
    if (this.role !== 'secondary' || !this.hasJoined) return false;
    return this.holdsCurrentTerm() && this.executed < this.durable;
  }

  private holdsCurrentTerm(): boolean {
    return this.entries[this.durable - 1]?.term === this.term;
  }

  /**
   * A member that lost its disk may have confirmed terms that a stale primary does not know: it follows
   * nobody before it heard from every other member.
   */
  private async learnNewestTerm(): Promise<void> {
    const request: MessageBody = { databaseVoteRequest: { term: 0, candidate: '' } };
    while (!this.knowsTerm) {
      const bodies = await Promise.all(this.peers().map((peer) => this.ask(peer, request)));
      const terms = bodies.map((body) => body?.databaseVoteReply?.term);
      for (const term of terms) await this.learnTerm(term ?? 0);
      this.knowsTerm = terms.every((term) => term !== undefined);
      if (!this.knowsTerm) await delay(this.runtime.clock, REJOIN_RETRY_MS);
    }
  }

  /**
   * Only a transaction of the current term shows that the log ends as the primary's does: until then its
   * end may be what this member committed alone while it was cut off.
   */
  private async onFollowing(primaryEnd: number): Promise<void> {
    if (!this.holdsCurrentTerm()) return;
    this.hasJoined = true;
    if (!this.isRejoining || this.durable < primaryEnd) return;
    this.isRejoining = false;
    await this.folder.remove(REJOIN_FILE);
  }

  private waitForPrimary(): void {
    this.electionTimer?.cancel();
    const base = this.options.electionTimeoutMs;
    const timeout = this.runtime.random.integer(base, Math.floor(base * 1.5));
    this.electionTimer = this.runtime.clock.setTimer(timeout, () => void this.campaign());
  }

  private async campaign(): Promise<void> {
    this.waitForPrimary();
    if (this.role === 'primary' || !this.isCandidate || this.isRejoining) return;
    const term = this.term + 1;
    this.enterTerm(term, this.options.address);
    this.knownPrimary = '';
    await this.saveVote();
    if (this.term !== term) return;
    const last = this.receivedPosition;
    const request: MessageBody = {
      databaseVoteRequest: {
        term,
        candidate: this.options.address,
        lastTerm: last.term,
        lastSequence: last.sequence,
      },
    };
    let votes = 1;
    for (const peer of this.peers()) {
      void this.ask(peer, request).then((body) => {
        const reply = body?.databaseVoteReply;
        if (!reply) return;
        if ((reply.term ?? 0) > this.term) void this.learnTerm(reply.term ?? 0);
        if (!reply.granted || this.term !== term) return;
        votes++;
        if (votes === this.majority()) this.becomePrimary(term);
      });
    }
    if (votes >= this.majority()) this.becomePrimary(term);
  }

  private becomePrimary(term: number): void {
    if (this.term !== term || this.role === 'primary') return;
    this.role = 'primary';
    this.hasJoined = true;
    this.knownPrimary = this.options.address;
    this.electionTimer?.cancel();
    for (const peer of this.peers()) this.nextToSend.set(peer, this.entries.length);
    // The backlog is executed before any new write.
    while (this.executed < this.entries.length) this.executeNext();
    this.listener.onRole('primary', term);
    void this.commit([]);
    this.heartbeat(term);
  }

  private heartbeat(term: number): void {
    if (this.role !== 'primary' || this.term !== term) return;
    this.replicate();
    this.runtime.clock.setTimer(this.options.heartbeatMs, () => this.heartbeat(term));
  }

  private replicate(): void {
    if (this.role !== 'primary') return;
    for (const peer of this.peers()) void this.replicateTo(peer, this.term);
  }

  private async replicateTo(peer: string, term: number): Promise<void> {
    if (this.sending.has(peer)) return;
    this.sending.add(peer);
    try {
      let again = true;
      while (again && this.role === 'primary' && this.term === term) {
        again = await this.sendBatch(peer, term);
      }
    } finally {
      this.sending.delete(peer);
    }
  }

  /** Sends one batch; true when more should be sent at once. */
  private async sendBatch(peer: string, term: number): Promise<boolean> {
    const next = this.nextToSend.get(peer) ?? this.entries.length;
    const batch = this.entries.slice(next, Math.min(next + BATCH_ENTRIES, this.durable));
    const body = await this.ask(peer, {
      databaseAppendRequest: {
        term,
        primary: this.options.address,
        previousSequence: next,
        previousTerm: this.entries[next - 1]?.term ?? 0,
        lastSequence: this.durable,
        entries: batch.map((entry) => ({ ...entry, changes: [...entry.changes] })),
      },
    });
    const reply = body?.databaseAppendReply;
    if (!reply || this.term !== term) return false;
    if ((reply.term ?? 0) > this.term) {
      await this.learnTerm(reply.term ?? 0);
      return false;
    }
    if (!reply.success) {
      this.nextToSend.set(peer, Math.max(0, Math.min(next - 1, reply.lastSequence ?? 0)));
      return next > 0;
    }
    this.nextToSend.set(peer, next + batch.length);
    return next + batch.length < this.durable;
  }

  private async ask(peer: string, body: MessageBody): Promise<MessageBody | undefined> {
    try {
      return await this.runtime.messenger.request(peer, body, this.options.electionTimeoutMs);
    } catch {
      return undefined;
    }
  }

  private async onVoteRequest(request: whinyoke.IDatabaseVoteRequest): Promise<MessageBody> {
    const term = request.term ?? 0;
    const candidate = request.candidate ?? '';
    if (term > this.term) await this.learnTerm(term);
    const last: Position = {
      term: request.lastTerm ?? 0,
      sequence: request.lastSequence ?? 0,
    };
    const free = this.votedFor === '' || this.votedFor === candidate;
    const isCurrent = term === this.term && term > 0 && !this.isRejoining;
    const granted = isCurrent && free && covers(last, this.positionAt(this.entries.length));
    if (granted) {
      this.votedFor = candidate;
      this.waitForPrimary();
      await this.saveVote();
    }
    return { databaseVoteReply: { term: this.term, granted: granted && this.term === term } };
  }

  private async onAppendRequest(request: whinyoke.IDatabaseAppendRequest): Promise<MessageBody> {
    const term = request.term ?? 0;
    if (term < this.term || !this.knowsTerm) return this.appendReply(false);
    if (term > this.term) await this.learnTerm(term);
    this.waitForPrimary();
    this.knownPrimary = request.primary ?? '';
    const stored = this.storing.then(() => this.storeIfMatching(request, term));
    this.storing = stored.then(
      () => undefined,
      () => undefined,
    );
    return this.appendReply(await stored);
  }

  /** Stores the entries of one request; requests are handled one after the other. */
  private async storeIfMatching(
    request: whinyoke.IDatabaseAppendRequest,
    term: number,
  ): Promise<boolean> {
    const previous = request.previousSequence ?? 0;
    const held = this.entries[previous - 1]?.term;
    const matches = previous === 0 || held === (request.previousTerm ?? 0);
    if (!matches || this.term !== term) return false;
    await this.store(previous, request.entries ?? [], term);
    if (this.term !== term) return false;
    await this.onFollowing(request.lastSequence ?? 0);
    void this.executeReceived();
    return true;
  }

  private async store(
    previous: number,
    received: readonly whinyoke.IDatabaseEntry[],
    term: number,
  ): Promise<void> {
    const fresh: LogEntry[] = [];
    for (const [offset, item] of received.entries()) {
      const sequence = previous + offset + 1;
      const held = this.entries[sequence - 1];
      if (held && held.term === item.term && fresh.length === 0) continue;
      if (held && fresh.length === 0) {
        await this.truncateAfter(sequence - 1);
        if (this.term !== term) return;
      }
      fresh.push({ term: item.term ?? 0, sequence, changes: item.changes ?? [] });
    }
    if (fresh.length > 0) await this.appendEntries(fresh);
    else await this.writing;
  }

  /** Drops transactions that another primary never received. */
  private async truncateAfter(count: number): Promise<void> {
    this.entries.length = count;
    this.runs = this.runs.filter((run) => run.first <= count);
    const lastRun = this.runs.at(-1);
    if (lastRun) lastRun.last = Math.min(lastRun.last, count);
    this.durable = Math.min(this.durable, count);
    const end = this.ends[count - 1] ?? 0;
    const truncated = this.writing.then(() => this.file.truncate(end));
    this.writing = truncated.catch(() => undefined);
    this.ends.length = count;
    if (this.executed > count) this.executeAgain();
    await truncated;
  }

  private executeAgain(): void {
    this.listener.onRollback();
    const upTo = this.entries.length;
    this.executed = 0;
    while (this.executed < upTo) this.executeNext();
  }

  private appendReply(success: boolean): MessageBody {
    return {
      databaseAppendReply: { term: this.term, success, lastSequence: this.entries.length },
    };
  }

  private async learnTerm(term: number): Promise<void> {
    if (term <= this.term) return;
    this.enterTerm(term, '');
    await this.saveVote();
  }

  private enterTerm(term: number, votedFor: string): void {
    const wasPrimary = this.role === 'primary';
    this.term = term;
    this.votedFor = votedFor;
    this.role = 'secondary';
    if (wasPrimary) {
      // Its last transactions may be lost to the next primary.
      this.hasJoined = false;
      this.knownPrimary = '';
      this.listener.onRole('secondary', term);
      this.waitForPrimary();
    }
  }

  private saveVote(): Promise<void> {
    const vote = JSON.stringify({ term: this.term, votedFor: this.votedFor });
    const saved = this.writing.then(() => this.folder.replace(VOTE_FILE, Buffer.from(vote)));
    this.writing = saved.catch(() => undefined);
    return saved;
  }

  private peers(): string[] {
    return this.options.members.filter((member) => member !== this.options.address);
  }

  private majority(): number {
    return Math.floor(this.options.members.length / 2) + 1;
  }
}
