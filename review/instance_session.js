/** One connection to an instance: its session values, prepared names and open transaction. */
import { LineReader, cut, visible } from './lines.js';

export class InstanceSession {
  constructor(instance, socket) {
    this.instance = instance;
    this.socket = socket;
    this.reader = new LineReader();
    this.values = new Map();
    this.prepared = new Map();
    this.transaction = undefined;
    this.hasFailed = false;
    this.queue = Promise.resolve();
    socket.setNoDelay(true);
    socket.on('data', (chunk) => {
      for (const line of this.reader.push(chunk))
        this.queue = this.queue.then(() => this.take(line));
    });
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  close() {
    this.instance.sessions.delete(this);
    this.socket.destroy();
  }

  send(lines) {
    if (!this.socket.destroyed)
      this.socket.write(lines.map((line) => `${line}\r\n`).join(''), 'latin1');
  }

  ready() {
    const state = this.hasFailed ? 'E' : this.transaction ? 'T' : 'I';
    return `READY ${state} ${this.instance.applied}`;
  }

  complete(signature = '-', rows = []) {
    this.send([...rows.map((row) => `ROW ${row}`), `COMPLETE ${signature}`, this.ready()]);
  }

  fail(code) {
    if (this.transaction) this.hasFailed = true;
    this.send([`ERROR ${code} ${this.instance.id}`, this.ready()]);
  }

  async take(line) {
    const [word, rest] = cut(line);
    if (word === 'START') return this.start(rest);
    if (word === 'TERMINATE') return this.close();
    if (word !== 'QUERY') return this.fail('MALFORMED');
    const [id, text] = cut(rest);
    return this.query(id, text);
  }

  start(rest) {
    const [service, , id] = rest.split(' ');
    const { instance } = this;
    if (service === instance.group.service && (!id || id === instance.id)) {
      this.send([this.ready()]);
      return;
    }
    this.send([`ERROR WRONGNODE ${instance.id}`]);
    this.socket.end();
  }

  async query(id, text) {
    const { instance } = this;
    const [word, rest] = cut(text);
    if (word === 'AFTER') {
      const [position, inner] = cut(rest);
      return instance.covers(position) ? this.query(id, inner) : this.fail('LAGGING');
    }
    if (word === 'ROLLBACK') return this.rollback();
    if (this.hasFailed)
      return word === 'COMMIT' ? this.rollback('ABORTED') : this.fail('MALFORMED');
    return this.run(id, word, rest, text);
  }

  run(id, word, rest, text) {
    switch (word) {
      case 'BEGIN':
        return this.begin(rest);
      case 'COMMIT':
        return this.commit(id);
      case 'READ':
        return this.read(id, rest, text);
      case 'WRITE':
        return this.write(id, rest, text);
      case 'EXECUTE':
        return this.execute(id, rest, text);
      default:
        return this.manage(word, rest, text);
    }
  }

  begin(rest) {
    if (rest !== 'READ' && this.instance.role !== 'primary') return this.fail('READONLY');
    this.transaction = { writes: [], isReadOnly: rest === 'READ' };
    return this.complete();
  }

  rollback(code) {
    this.transaction = undefined;
    this.hasFailed = false;
    return code ? this.fail(code) : this.complete();
  }

  read(id, thing, text) {
    this.ran(id, text);
    return this.complete(this.signature(id), [this.instance.read(thing)]);
  }

  write(id, rest, text) {
    const [thing, data] = cut(rest);
    if (this.instance.role !== 'primary') return this.fail('READONLY');
    if (!this.transaction) return this.store(id, [{ thing, data }], text);
    this.ran(id, text);
    this.transaction.writes.push({ thing, data });
    return this.complete(this.signature(id));
  }

  execute(id, rest, text) {
    const [name, argument] = cut(rest);
    const shape = this.prepared.get(name);
    if (!shape) return this.fail('UNKNOWN');
    const shown = `${text} (shape '${shape.text}')`;
    if (shape.access === 'READ') return this.read(id, argument, shown);
    return this.write(id, argument, shown);
  }

  async commit(id) {
    const { writes = [] } = this.transaction ?? {};
    this.transaction = undefined;
    if (writes.length > 0) return this.store(id, writes, 'COMMIT');
    this.ran(id, 'COMMIT');
    return this.complete(this.signature(id));
  }

  /** Commits; the answer comes once a replica has received it. */
  async store(id, writes, text) {
    const { instance } = this;
    if (instance.role !== 'primary') return this.fail('READONLY');
    this.ran(id, text);
    const { term, number } = await new Promise((resolve) => {
      const entry = instance.commit(id, writes, () => resolve(entry));
      instance.record.note(instance.id, `commits ${id} as ${entry.term}.${entry.number}`);
    });
    instance.record.note(instance.id, `${term}.${number} is replicated; answers ${id}`);
    return this.complete(this.signature(id));
  }

  manage(word, rest, text) {
    const { instance } = this;
    const note = () => instance.record.note(instance.id, `is told ${text}; ${instance.statusRow}`);
    switch (word) {
      case 'SET': {
        const [name, value] = cut(rest);
        this.values.set(name, value);
        return this.complete();
      }
      case 'PREPARE':
        return this.prepare(rest);
      case 'DEALLOCATE':
        this.prepared.delete(rest);
        return this.complete();
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        return this.complete();
      case 'STATUS':
        return this.complete('-', [instance.statusRow]);
      case 'PAUSE':
        instance.fence(Number(rest));
        note();
        return this.complete('-', [instance.statusRow]);
      case 'RESUME':
        instance.fencedTerm = 0;
        note();
        return this.complete('-', [instance.statusRow]);
      case 'STEPDOWN':
        instance.stepDown(Number(rest));
        note();
        return this.complete('-', [instance.statusRow]);
      default:
        return this.fail('MALFORMED');
    }
  }

  prepare(rest) {
    const [name, afterName] = cut(rest);
    const [access, shape] = cut(afterName);
    if ((access !== 'READ' && access !== 'WRITE') || shape === '') return this.fail('MALFORMED');
    this.prepared.set(name, { access, text: shape });
    return this.complete();
  }

  ran(id, text) {
    const { instance } = this;
    const { applied } = instance;
    instance.group.runs.push({ instance: instance.id, id, text, applied });
    if (instance.group.isQuiet(id)) return;
    instance.record.note(instance.id, `runs ${id} ${visible(text)} (log applied up to ${applied})`);
  }

  signature(id) {
    return `${this.instance.id}.${this.instance.applied}.${id}`;
  }
}
