/**
 * A database instance that speaks the wire: a log of commits, replication with one confirmation
 * (`sync_replicas` 1), sessions, and the administrative statements. `Group` is the service: it
 * carries the log from its primary to the replicas and changes the primary when the platform says
 * so. Crashes and lost packets of an instance are switches here: a crashed one listens no more and
 * keeps its log; a deaf replica receives nothing.
 */
import { createServer } from 'node:net';
import { Heartbeats } from './heartbeats.js';
import { InstanceSession } from './instance_session.js';

/** Interval at which replicas receive what the primary has. */
const REPLICATION_MS = 5;
/** A primary that was replaced carries on for this long once it can reach the new one. */
const CARRY_ON_MS = 1000;

export class Group {
  /** @param {(id: string) => boolean} isQuiet requests that are left out of the record */
  constructor(service, record, isQuiet = () => false) {
    this.isQuiet = isQuiet;
    this.service = service;
    this.record = record;
    this.instances = [];
    /** Statements of clients that instances ran, in order. */
    this.runs = [];
    this.timer = setInterval(() => this.replicate(), REPLICATION_MS);
  }

  add(options) {
    const instance = new Instance(this, options);
    this.instances.push(instance);
    return instance;
  }

  find(id) {
    return this.instances.find((instance) => instance.id === id);
  }

  /** The running primary of the newest term. */
  get primary() {
    return this.instances
      .filter(({ isRunning, role }) => isRunning && role === 'primary')
      .sort((left, right) => right.term - left.term)[0];
  }

  /** Passes the primary's log on to the replicas that can receive. */
  replicate() {
    const { primary } = this;
    if (!primary) return;
    for (const instance of this.instances) instance.receiveFrom(primary);
    primary.settleCommits();
  }

  /** The named instance leads the next term with the log that it has. */
  lead(instance) {
    const former = this.primary;
    const term = Math.max(...this.instances.map((item) => item.term)) + 1;
    for (const item of this.instances) item.fencedTerm = 0;
    instance.beginTerm(term);
    this.record.note(instance.id, `leads term ${term} with a log up to ${instance.received}`);
    if (former) setTimeout(() => former.stepDown(term), CARRY_ON_MS);
  }

  close() {
    clearInterval(this.timer);
    for (const instance of this.instances) instance.close();
  }
}

export class Instance {
  constructor(group, { id, zone, host, port, role, controls, slots = 3, beatMs = 1200 }) {
    Object.assign(this, { group, id, zone, host, port, role, slots });
    this.record = group.record;
    this.term = 1;
    /** Commits: `{ term, number, request, writes }`. */
    this.log = [];
    /** When each commit of the log arrived. */
    this.receivedAt = [];
    this.fencedTerm = 0;
    this.lagMs = 8;
    this.isDeaf = false;
    this.isRunning = false;
    this.state = 'ready';
    this.sessions = new Set();
    this.pendingCommits = [];
    this.heartbeats = new Heartbeats(this, controls, beatMs);
  }

  async start() {
    this.server = createServer((socket) => this.accept(socket));
    await new Promise((resolve) => this.server.listen(this.port, this.host, resolve));
    this.isRunning = true;
    const { primary } = this.group;
    if (primary && primary !== this && primary.term > this.term) this.role = 'replica';
    this.fencedTerm = 0;
    this.heartbeats.start();
    this.record.note(this.id, `runs as ${this.role}, log up to ${this.received}`);
  }

  /** The process ends without a word; the log stays on its disk. */
  crash() {
    this.record.note(this.id, `crashes; its log ends at ${this.received}`);
    this.close();
  }

  close() {
    this.isRunning = false;
    this.heartbeats.stop();
    this.server?.close();
    for (const session of this.sessions) session.close();
    this.sessions.clear();
    this.pendingCommits = [];
  }

  /** Says that it leaves; resolves once that was acknowledged. */
  async drain() {
    this.state = 'draining';
    await this.heartbeats.tellUntilAcknowledged();
    this.record.note(this.id, 'was acknowledged as draining; serves on');
  }

  /** Deregisters, and serves on. */
  async deregister() {
    this.heartbeats.stop();
    await this.heartbeats.deregister();
    this.record.note(this.id, 'has deregistered');
  }

  /** Ends as planned; its log goes with it. */
  end() {
    this.record.note(this.id, `ends; its log, up to ${this.received}, goes with it`);
    this.close();
  }

  accept(socket) {
    this.sessions.add(new InstanceSession(this, socket));
  }

  // ---- log ----

  /** Number of the newest commit that a read sees. */
  get appliedNumber() {
    if (this.role === 'primary') return this.log.length;
    const before = performance.now() - this.lagMs;
    const waiting = this.receivedAt.findIndex((at) => at > before);
    return waiting < 0 ? this.log.length : waiting;
  }

  get received() {
    return `${this.term}.${this.log.length}`;
  }

  get applied() {
    return `${this.term}.${this.appliedNumber}`;
  }

  /** Whether a read here sees the position `TERM.NUMBER`. */
  covers(position) {
    const [term, number] = position.split('.').map(Number);
    return term < this.term || (term === this.term && number <= this.appliedNumber);
  }

  /** Newest data of a thing. */
  read(thing) {
    const seen = this.log.slice(0, this.appliedNumber).flatMap(({ writes }) => writes);
    return seen.findLast((write) => write.thing === thing)?.data ?? 'none';
  }

  /** Appends a commit; `onReplicated` is called once a replica has received it. */
  commit(request, writes, onReplicated) {
    const entry = { term: this.term, number: this.log.length + 1, request, writes };
    this.append(entry);
    this.pendingCommits.push({ number: entry.number, onReplicated });
    return entry;
  }

  append(entry) {
    this.log.push(entry);
    this.receivedAt.push(performance.now());
  }

  /** Answers the commits that a replica has received. */
  settleCommits() {
    const { instances } = this.group;
    const followers = instances.filter(
      (item) =>
        item !== this && item.isRunning && item.role === 'replica' && item.term === this.term,
    );
    const replicated = Math.max(0, ...followers.map(({ log }) => log.length));
    const isSettled = ({ number }) => number <= replicated;
    const settled = this.pendingCommits.filter(isSettled);
    this.pendingCommits = this.pendingCommits.filter((pending) => !isSettled(pending));
    for (const { onReplicated } of settled) onReplicated();
  }

  /** As a replica: receives the log of a primary, and drops what that primary does not have. */
  receiveFrom(primary) {
    const isReceiving = this.isRunning && this.role === 'replica' && !this.isDeaf;
    if (!isReceiving || this.fencedTerm > primary.term || primary.term < this.term) return;
    const isFollowing = primary.term === this.term;
    if (!isFollowing) this.dropUnknown(primary);
    this.term = primary.term;
    for (const entry of primary.log.slice(this.log.length)) this.append(entry);
  }

  dropUnknown(primary) {
    let common = 0;
    while (common < this.log.length && this.log[common] === primary.log[common]) common++;
    if (common < this.log.length) {
      this.record.note(this.id, `rolls back its log from ${this.received} to number ${common}`);
    }
    this.log.length = common;
    this.receivedAt.length = common;
  }

  // ---- role ----

  beginTerm(term) {
    this.role = 'primary';
    this.term = term;
    this.heartbeats.tell();
  }

  stepDown(term) {
    if (!this.isRunning || this.role !== 'primary' || this.term >= term) return;
    this.role = 'replica';
    this.record.note(this.id, `steps down for term ${term}`);
    this.heartbeats.tell();
  }

  fence(term) {
    if (this.role === 'replica') this.fencedTerm = Math.max(this.fencedTerm, term);
  }

  /** The row that answers `STATUS` and the other administrative statements. */
  get statusRow() {
    const { role, term, received, fencedTerm, sessions } = this;
    return `${role} ${term} ${received} ${fencedTerm} ${this.lagMs} 0 ${sessions.size}`;
  }
}
