/** A client's session: one connection to a proxy, one statement at a time. */
import { connect } from 'node:net';
import { LineReader, visible } from './lines.js';

let nextId = 1;

/** A new request identifier, unique in this run. */
export function newId(name) {
  return `${name}-${String(nextId++).padStart(4, '0')}`;
}

export class ClientSession {
  /** @param {{ name: string, record: import('./record.js').Record, quiet?: boolean }} options */
  constructor(options) {
    this.options = options;
    this.reader = new LineReader();
    this.rows = [];
    this.ending = undefined;
    this.waiting = undefined;
    this.isClosed = false;
  }

  /** Connects to a proxy and starts a session on a database. */
  async open({ host, port }, database) {
    this.socket = connect({ host, port, noDelay: true });
    this.socket.on('data', (chunk) => this.reader.push(chunk).forEach((line) => this.take(line)));
    this.socket.on('error', () => this.end());
    this.socket.on('close', () => this.end());
    return this.exchange(`START ${database} ${this.options.name}`);
  }

  /** Sends a statement under a new identifier; resolves with its answer. */
  query(text, id = newId(this.options.name)) {
    return this.exchange(`QUERY ${id} ${text}`, id);
  }

  close() {
    this.socket?.destroy();
    this.end();
  }

  exchange(line, id = '') {
    this.note(`sends ${visible(line)}`);
    if (this.isClosed) return Promise.resolve({ id, outcome: 'closed', rows: [] });
    return new Promise((resolve) => {
      this.waiting = { resolve, id };
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  take(line) {
    this.note(`gets ${visible(line)}`);
    if (line.startsWith('ROW ')) this.rows.push(line.slice(4));
    else if (line.startsWith('COMPLETE ')) this.ending = { outcome: 'ok', text: line.slice(9) };
    else if (line.startsWith('ERROR ')) this.ending = { outcome: 'error', text: line.slice(6) };
    else if (line.startsWith('READY ')) this.finish(line.slice(6));
  }

  finish(ready) {
    const [state, position] = ready.split(' ');
    const { resolve, id } = this.waiting ?? {};
    const answer = { id, ...(this.ending ?? { outcome: 'ok' }), rows: this.rows, state, position };
    this.rows = [];
    this.ending = undefined;
    this.waiting = undefined;
    resolve?.(answer);
  }

  /** A broken connection answers the statement in flight with nothing. */
  end() {
    if (this.isClosed) return;
    this.isClosed = true;
    this.note('connection closed');
    this.waiting?.resolve({ id: this.waiting.id, outcome: 'closed', rows: [], ...this.ending });
  }

  note(text) {
    if (!this.options.quiet) this.options.record.note(this.options.name, text);
  }
}
