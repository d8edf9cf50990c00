/**
 * A service of PROTOCOL.md: one primary and its replicas, with `sync_replicas` 1. An instance runs the statements of a
 * connection one after another, and keeps what it ran in `runs`.
 */
import { createServer } from 'node:net';
import { cut, readLines } from './wire.js';

const SLOTS = 3;
const QUEUE = 24;
const WORK_MS = 6;
const HANDSHAKE_MS = 12;
const LAG_MS = 8;
const PROMOTE_MS = 300;

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const formatPosition = ({ term, number }) => `${term}.${number}`;

/** Whether a log that ends at `last` holds a position TERM.NUMBER. */
function holds(last, text) {
  const [term, number] = text.split('.').map(Number);
  return last.term > term ? last.number >= number : last.term === term && last.number >= number;
}

class Connection {
  constructor(instance, socket, number) {
    Object.assign(this, { instance, socket, number });
    this.values = new Map();
    this.prepared = new Map();
    this.state = 'I';
    this.writes = [];
    this.isReadOnly = false;
    this.queue = Promise.resolve();
    this.hasStarted = false;
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => instance.connections.delete(this));
    readLines(socket, (line) => {
      this.queue = this.queue.then(() => this.take(line));
    });
  }

  async take(line) {
    if (this.socket.destroyed) return;
    const [word, rest] = cut(line);
    if (word === 'START') await this.start(rest);
    else if (word === 'QUERY' && this.hasStarted) await this.query(rest);
    else this.socket.destroy();
  }

  async start(rest) {
    const { instance } = this;
    const [group, , id] = rest.split(' ');
    const isOther = group !== instance.service.name || (id !== undefined && id !== instance.id);
    if (isOther) this.refuse(`WRONGNODE ${instance.id}`);
    else if (instance.connections.size > instance.service.connectionLimit) {
      this.refuse('CONNLIMIT full');
    } else {
      await instance.withSlot(HANDSHAKE_MS);
      this.hasStarted = true;
      this.socket.write(`READY I ${instance.position}\r\n`, 'latin1');
    }
  }

  refuse(text) {
    this.socket.end(`ERROR ${text}\r\n`, 'latin1');
  }

  async query(rest) {
    const [id, text] = cut(rest);
    const failure = this.instance.fault?.(this, id, text);
    const answer = failure === undefined ? await this.run(id, text) : { error: failure };
    if (this.socket.destroyed) return;
    if (answer.error !== undefined && this.state === 'T') this.fail();
    const rows = (answer.rows ?? []).map((row) => `ROW ${row}\r\n`).join('');
    const end =
      answer.error === undefined ? `COMPLETE ${answer.signature ?? '-'}` : `ERROR ${answer.error}`;
    this.socket.write(
      `${rows}${end}\r\nREADY ${this.state} ${this.instance.position}\r\n`,
      'latin1',
    );
  }

  fail() {
    this.state = 'E';
    this.writes = [];
  }

  /** Runs a statement; resolves with its rows and signature, or with an error. */
  async run(id, text) {
    const [first, afterFirst] = cut(text);
    const isAfter = first === 'AFTER';
    const [after, statement] = isAfter ? cut(afterFirst) : [undefined, text];
    const [word, rest] = cut(statement);
    if (this.state === 'E' && word !== 'COMMIT' && word !== 'ROLLBACK')
      return { error: 'MALFORMED failed' };
    if (after !== undefined && !holds(this.instance.newestApplied, after))
      return { error: `LAGGING ${after}` };
    switch (word) {
      case 'SET': {
        const [name, value] = cut(rest);
        this.values.set(name, value);
        return {};
      }
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        return {};
      case 'PREPARE': {
        const [name, access, ...shape] = rest.split(' ');
        if (access !== 'READ' && access !== 'WRITE') return { error: 'MALFORMED prepare' };
        this.prepared.set(name, { access, shape: shape.join(' ') });
        return {};
      }
      case 'DEALLOCATE':
        this.prepared.delete(rest);
        return {};
      case 'BEGIN':
        return this.begin(rest === 'READ');
      case 'ROLLBACK':
        this.state = 'I';
        this.writes = [];
        return {};
      case 'COMMIT':
        return this.commit(id, statement);
      case 'READ':
      case 'WRITE':
        return this.data(id, word, rest, statement);
      case 'EXECUTE': {
        const [name, argument] = cut(rest);
        const prepared = this.prepared.get(name);
        if (!prepared) return { error: `UNKNOWN ${name}` };
        return this.data(id, prepared.access, argument, statement, prepared.shape);
      }
      default:
        return this.instance.administer(word, rest);
    }
  }

  begin(isReadOnly) {
    if (this.state !== 'I') return { error: 'MALFORMED open' };
    if (!isReadOnly && this.instance.role !== 'primary')
      return { error: `READONLY ${this.instance.id}` };
    this.state = 'T';
    this.isReadOnly = isReadOnly;
    return {};
  }

  async data(id, access, argument, text, shape) {
    const { instance } = this;
    const [thing, value] = cut(argument);
    const isRefused = access === 'WRITE' && (instance.role !== 'primary' || this.isReadOnly);
    if (isRefused) return { error: `READONLY ${instance.id}` };
    if (!(await instance.withSlot(WORK_MS))) return { error: 'BUSY full' };
    if (this.socket.destroyed) return {};
    const signature = instance.record(this, { id, text, shape });
    if (access === 'READ') {
      const rows = [instance.read(thing)];
      Object.assign(instance.service.runs.at(-1), { rows, signature, applied: instance.position });
      return { rows, signature };
    }
    instance.service.runs.at(-1).signature = signature;
    this.writes.push({ id, thing, value });
    if (this.state === 'T') return { signature };
    return (await this.apply()) ? { signature } : { error: `READONLY ${instance.id}` };
  }

  async commit(id, text) {
    if (this.state === 'E') {
      this.state = 'I';
      return { error: 'ABORTED failed' };
    }
    if (this.state !== 'T') return { error: 'MALFORMED nothing is open' };
    if (!(await this.instance.withSlot(1))) return { error: 'BUSY full' };
    const signature = this.instance.record(this, { id, text });
    this.instance.service.runs.at(-1).signature = signature;
    this.state = 'I';
    this.isReadOnly = false;
    if (this.writes.length === 0) return { signature };
    return (await this.apply()) ? { signature } : { error: `READONLY ${this.instance.id}` };
  }

  /** Commits what the transaction wrote; the answer waits for a replica. */
  async apply() {
    const { writes } = this;
    this.writes = [];
    return this.instance.service.commit(this.instance, writes);
  }
}

class Instance {
  constructor(service, { id, ip, port, zone, role }) {
    Object.assign(this, { service, id, ip, port, zone, role });
    this.address = `${ip}:${port}`;
    this.log = [];
    this.term = 1;
    this.fencedTerm = 0;
    this.applied = 0;
    this.busy = 0;
    this.waiting = [];
    this.connections = new Set();
    this.connectionCount = 0;
    this.sequence = 0;
    /** A disruption: receives nothing from the primary. */
    this.isDeaf = false;
    this.isGone = false;
    this.born = Date.now();
    /** A disruption: returns the error with which a statement is refused. */
    this.fault = undefined;
  }

  listen() {
    this.server = createServer((socket) => {
      this.connections.add(new Connection(this, socket, ++this.connectionCount));
    });
    return new Promise((resolve) => this.server.listen(this.port, this.ip, resolve));
  }

  /** Ends the process for a while; it comes back with its log, as a replica if another instance leads by then. */
  async crash(ms) {
    this.end();
    await pause(ms);
    const { instances } = this.service;
    if (instances.some(({ role, term }) => role === 'primary' && term > this.term)) {
      this.role = 'replica';
    }
    this.fencedTerm = 0;
    this.busy = 0;
    this.waiting = [];
    this.isGone = false;
    await this.listen();
  }

  /** Ends the process for good. */
  end() {
    this.isGone = true;
    this.server.close();
    for (const { socket } of this.connections) socket.resetAndDestroy();
  }

  get newestApplied() {
    return this.log[this.applied - 1] ?? { term: this.term, number: 0 };
  }

  get position() {
    return formatPosition(this.newestApplied);
  }

  get received() {
    const last = this.log.at(-1);
    return last ? formatPosition(last) : `${this.term}.0`;
  }

  /** Holds a slot for the time of a statement; false if the queue for one is full. */
  async withSlot(ms) {
    if (this.waiting.length >= QUEUE) return false;
    if (this.busy >= SLOTS) await new Promise((resolve) => this.waiting.push(resolve));
    this.busy++;
    await pause(ms);
    this.busy--;
    this.waiting.shift()?.();
    return true;
  }

  read(thing) {
    const entry = this.log.slice(0, this.applied).findLast((item) => item.thing === thing);
    return entry?.value ?? '-';
  }

  /** Records a statement that runs, with the session values that hold for it; returns its signature. */
  record({ number, values }, run) {
    const { runs } = this.service;
    const entry = {
      instance: this.id,
      connection: number,
      values: Object.fromEntries(values),
      ...run,
    };
    runs.push({ at: Date.now(), ...entry });
    return `${runs.length}.${this.id}`;
  }

  administer(word, rest) {
    const term = Number(rest);
    if (word === 'PAUSE' && term > this.term) this.fencedTerm = term;
    else if (word === 'RESUME') this.fencedTerm = 0;
    else if (word === 'STEPDOWN' && this.role === 'primary' && this.term < term)
      this.role = 'replica';
    else if (word !== 'STATUS' && word !== 'PAUSE' && word !== 'STEPDOWN')
      return { error: 'MALFORMED' };
    const { role, received, fencedTerm, busy, connections } = this;
    return {
      rows: [
        `${role} ${this.term} ${received} ${fencedTerm} ${LAG_MS} ${busy} ${connections.size}`,
      ],
    };
  }
}

export class Service {
  constructor(name, members, connectionLimit = 77) {
    this.name = name;
    this.connectionLimit = connectionLimit;
    this.runs = [];
    this.instances = members.map((member) => new Instance(this, member));
  }

  /** Adds an instance, an empty replica that receives from the primary. */
  add(member) {
    const instance = new Instance(this, member);
    instance.term = 0;
    this.instances.push(instance);
    return instance;
  }

  /** The primary of the newest term. */
  get leader() {
    const primaries = this.instances.filter(({ role }) => role === 'primary');
    return primaries.toSorted((left, right) => right.term - left.term)[0];
  }

  get primary() {
    return this.instances.findLast(({ role }) => role === 'primary');
  }

  listen() {
    return Promise.all(this.instances.map((instance) => instance.listen()));
  }

  /** Commits at the primary; resolves with true once a replica has received it. */
  async commit(primary, writes) {
    const number = (primary.log.at(-1)?.number ?? 0) + 1;
    for (const write of writes) primary.log.push({ ...write, term: primary.term, number });
    primary.applied = primary.log.length;
    await pause(2);
    for (;;) {
      if (primary.role !== 'primary' || primary.isGone) return false;
      const receivers = this.receiversOf(primary);
      for (const replica of receivers) this.replicate(primary, replica);
      if (receivers.length > 0) return true;
      await pause(5);
    }
  }

  receiversOf(primary) {
    if (primary.isGone) return [];
    return this.instances.filter(
      ({ role, fencedTerm, term, isGone, isDeaf }) =>
        role === 'replica' && fencedTerm === 0 && term <= primary.term && !isGone && !isDeaf,
    );
  }

  /** Lets replicas receive what they lack although nothing is written, until `isOver`. */
  async keepInStep(isOver) {
    while (!isOver()) {
      const primaries = this.instances.filter(({ role }) => role === 'primary');
      const newest = this.leader;
      if (newest) for (const replica of this.receiversOf(newest)) this.replicate(newest, replica);
      for (const old of primaries) if (old !== newest && !old.isGone) this.retire(old, newest);
      await pause(20);
    }
  }

  /** An old primary carries on for a second after it can reach the new one. */
  retire(old, newest) {
    old.reachesSince ??= Date.now();
    if (Date.now() - old.reachesSince < 1000 || old.term >= newest.term) return;
    old.role = 'replica';
    old.reachesSince = undefined;
  }

  replicate(primary, replica) {
    replica.term = primary.term;
    const common = replica.log.findIndex((entry, index) => entry !== primary.log[index]);
    if (common >= 0) replica.log.length = common;
    replica.applied = Math.min(replica.applied, replica.log.length);
    replica.log.push(...primary.log.slice(replica.log.length));
    const { length } = replica.log;
    setTimeout(
      () => (replica.applied = Math.min(replica.log.length, Math.max(replica.applied, length))),
      LAG_MS,
    );
  }

  /** Carries out `POST /promotion`; returns the status of the answer. */
  promote(id) {
    const next = this.instances.find((instance) => instance.id === id);
    if (!next || next.isGone) return 409;
    if (next.role === 'primary') return 200;
    setTimeout(() => {
      next.term = Math.max(...this.instances.map(({ term }) => term)) + 1;
      next.fencedTerm = 0;
      next.applied = next.log.length;
      next.role = 'primary';
      this.onPromoted?.(next);
    }, PROMOTE_MS);
    return 200;
  }
}
