/** A client's session that closes as the users' clients do when a proxy announces the close of a connection on which nothing is asked. */
import { ClientSession } from '../../review/client.js';
import { visible } from '../../review/lines.js';

export class CallerSession extends ClientSession {
  /** Whether the connection was established. */
  isConnected = false;
  /** When the connection ended, on the monotonic clock. */
  closedAt = Infinity;
  /** Answer to START. */
  startAnswer = undefined;
  /** A message that arrived while nothing was asked. */
  unasked = undefined;

  async open(address, database) {
    const opened = super.open(address, database);
    this.socket.once('connect', () => (this.isConnected = true));
    this.startAnswer = await opened;
    return this.startAnswer;
  }

  take(line) {
    if (this.isClosed) return;
    if (this.waiting) {
      super.take(line);
      return;
    }
    this.note(`gets unasked ${visible(line)}`);
    this.unasked = line;
    this.close();
  }

  end() {
    if (!this.isClosed) this.closedAt = performance.now();
    super.end();
  }
}

/** Whether an answer to a statement came to its end; one to a refused START ends with the connection. */
export function isWhole({ state }) {
  return state !== undefined;
}
