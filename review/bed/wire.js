/** The line wire of PROTOCOL.md: a line ends with CR LF and with nothing else. */
import { connect } from 'node:net';

const LINE_END = '\r\n';

/** Calls `onLine` for each whole line of a socket. */
export function readLines(socket, onLine) {
  let rest = '';
  socket.on('data', (chunk) => {
    rest += chunk.toString('latin1');
    for (let end = rest.indexOf(LINE_END); end >= 0; end = rest.indexOf(LINE_END)) {
      const line = rest.slice(0, end);
      rest = rest.slice(end + LINE_END.length);
      onLine(line);
    }
  });
}

/** Splits a text at its first blank. */
export function cut(text) {
  const blank = text.indexOf(' ');
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}

/** A client's session: one statement at a time, as the protocol page has it. */
export class ClientSession {
  constructor(socket) {
    this.socket = socket;
    this.isClosed = false;
    this.rows = [];
    this.waiting = undefined;
    socket.setNoDelay(true);
    socket.on('error', () => this.end());
    socket.on('close', () => this.end());
    readLines(socket, (line) => this.take(line));
  }

  /** Opens a session; rejects if there is no READY within two seconds. */
  static async open(host, port, database, who) {
    const session = new ClientSession(connect({ host, port }));
    const answer = await session.send(`START ${database} ${who}`, 2000);
    if (answer.outcome !== 'ok') throw new Error(`no session: ${answer.outcome} ${answer.text}`);
    return session;
  }

  /** Sends a statement under an identifier and resolves with its answer. */
  query(id, text, timeoutMs = 5000) {
    return this.send(`QUERY ${id} ${text}`, timeoutMs);
  }

  send(line, timeoutMs) {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.settle({ outcome: 'silent' }), timeoutMs);
      this.waiting = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      if (this.isClosed) this.settle({ outcome: 'closed' });
      else this.socket.write(line + LINE_END, 'latin1');
    });
  }

  close() {
    this.socket.destroy();
    this.end();
  }

  take(line) {
    const [word, rest] = cut(line);
    if (word === 'ROW') this.rows.push(rest);
    else if (word === 'COMPLETE') this.signature = rest;
    else if (word === 'ERROR') this.error = rest;
    else if (word === 'READY') {
      const { rows, signature, error } = this;
      const [state, position] = rest.split(' ');
      this.rows = [];
      this.signature = undefined;
      this.error = undefined;
      const outcome = error === undefined ? 'ok' : 'error';
      this.settle({ outcome, rows, signature, text: error, state, position });
    }
  }

  settle(answer) {
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.(answer);
  }

  end() {
    this.isClosed = true;
    this.settle({ outcome: 'closed', text: this.error });
  }
}
