/** A caller that sends all that the protocol allows, and texts that it does not list; a ledger records what it asks and is answered. */
import { newId } from '../../review/client.js';
import { pause } from '../../review/record.js';
import { isBefore } from './answer_terms.js';
import { UNLISTED, oddText } from './odd_texts.js';
import { between, pick, seededRandom } from './random.js';

const DATABASES = ['bookings', 'agenda'];
/** Database whose reads see every acknowledged commit. */
const PRIMARY_DATABASE = 'bookings';
const THINK_MS = 10;
const BACKOFF_MS = 30;
const PATIENCE_MS = 3000;
const LONGEST_SESSION = 60;
/** Time between the pieces of a message that is sent in pieces. */
const PIECE_GAP_MS = 2;
const VALUE_NAMES = ['zone', 'mode', 'trace'];
const PREPARED_NAMES = ['s1', 's2', 'w_q2e'];
const ACCESSES = ['READ', 'WRITE'];

/**
 * @typedef {object} Habits
 * @property {boolean} [bytes] data, things and values hold any bytes
 * @property {boolean} [pieces] messages arrive in pieces
 * @property {string[]} [shapes] shapes of which statements are prepared
 * @property {boolean} [values] sessions set values
 * @property {number} [thinkMs] longest time between two operations
 * @property {boolean} [unlisted] some texts are no statements
 */

export class OddCaller {
  /** @param {Habits} habits */
  constructor(site, ledger, { name, seed, habits }) {
    Object.assign(this, { site, ledger, name, habits });
    this.random = seededRandom(seed);
    this.isStopped = false;
  }

  stop() {
    this.isStopped = true;
  }

  async run() {
    while (!this.isStopped) {
      await this.useSession();
      await pause(BACKOFF_MS * this.random());
    }
  }

  async useSession() {
    this.database = pick(DATABASES, this.random);
    const proxy = between(0, this.site.deployment.proxyHosts.length - 1, this.random);
    this.values = new Map();
    this.prepared = new Map();
    this.newest = undefined;
    this.transaction = undefined;
    this.session = await this.site.session(this.name, proxy, this.database);
    if (this.session.waiting) this.session.close();
    if (this.habits.pieces && !this.session.isClosed) sendInPieces(this.session, this.random);
    for (let count = between(1, LONGEST_SESSION, this.random); count > 0; count--) {
      if (this.session.isClosed || this.isStopped) break;
      await this.operate();
      await pause((this.habits.thinkMs ?? THINK_MS) * this.random());
    }
    if (this.habits.unlisted && this.random() < 0.3) await this.terminateOddly();
    this.end();
  }

  end() {
    if (this.session.isClosed) this.ledger.closedSessions++;
    this.session.close();
    this.ledger.addEnd(this.session);
  }

  // ---- operations ----

  async operate() {
    const { habits, random } = this;
    const choice = random();
    if (habits.values && choice < 0.1) await this.setValue();
    else if (habits.shapes && choice < 0.25) await this.prepare();
    else if (habits.unlisted && choice < 0.35) await this.sendUnlisted();
    else if (choice < 0.75) await this.runOne();
    else await this.transact();
    if (this.state !== 'I') this.session.close();
  }

  async setValue() {
    const name = pick(VALUE_NAMES, this.random);
    const value = this.withBytes(newId('value'));
    const answer = await this.send({ kind: 'other', text: `SET ${name} ${value}` });
    if (answer.outcome === 'ok') this.values.set(name, value);
    else this.session.close();
  }

  async prepare() {
    const name = pick(PREPARED_NAMES, this.random);
    if (this.prepared.has(name)) {
      const answer = await this.send({ kind: 'other', text: `DEALLOCATE ${name}` });
      if (answer.outcome !== 'ok') return this.session.close();
      this.prepared.delete(name);
    }
    const access = pick(ACCESSES, this.random);
    const text = pick(this.habits.shapes, this.random);
    const answer = await this.send({ kind: 'other', text: `PREPARE ${name} ${access} ${text}` });
    if (answer.outcome === 'ok') this.prepared.set(name, { access, text });
    else this.session.close();
  }

  async sendUnlisted() {
    const id = this.random() < 0.2 ? '-' : newId(this.name);
    const text = id === '-' ? `WRITE ${this.thing()} ${newId('own')}` : pick(UNLISTED, this.random);
    const answer = await this.send({ kind: 'other', text, id, isListed: false });
    // Nothing tells what it did.
    if (answer.outcome === 'ok') this.session.close();
  }

  async terminateOddly() {
    if (!this.session.isClosed)
      await Promise.race([this.session.exchange('TERMINATE now'), pause(PATIENCE_MS)]);
  }

  /** A read or a write on its own. */
  async runOne() {
    const statement = this.statement();
    const answer = await this.send(statement);
    if (statement.data === undefined) return;
    this.ledger.decide(statement.data, answer);
    if (answer.outcome === 'ok') this.acknowledge(answer);
  }

  async transact() {
    const isReadOnly = this.random() < 0.3;
    const begun = await this.send({ kind: 'other', text: isReadOnly ? 'BEGIN READ' : 'BEGIN' });
    if (begun.outcome !== 'ok') return;
    this.transaction = { floor: this.floor() };
    const data = [];
    const hasAll = await this.runSeveral(isReadOnly, data);
    const mayCommit = hasAll && this.state === 'T' && this.random() < 0.85;
    if (mayCommit) await this.commit(data);
    else await this.abandon(data);
    this.transaction = undefined;
  }

  async runSeveral(isReadOnly, data) {
    for (let count = between(1, 4, this.random); count > 0; count--) {
      const statement = isReadOnly ? this.read() : this.statement();
      if (statement.data !== undefined) data.push(statement.data);
      const answer = await this.send(statement);
      if (answer.outcome !== 'ok') return false;
    }
    return true;
  }

  async commit(data) {
    if (this.habits.unlisted && this.random() < 0.3) {
      await this.send({
        kind: 'other',
        text: pick(UNLISTED.slice(0, 3), this.random),
        isListed: false,
      });
      return this.abandon(data);
    }
    const answer = await this.send({ kind: 'commit', text: 'COMMIT' });
    for (const item of data) this.ledger.decide(item, answer);
    if (answer.outcome === 'ok' && data.length > 0) this.acknowledge(answer);
  }

  async abandon(data) {
    for (const item of data) this.ledger.refuse(item);
    if (!this.session.isClosed) await this.send({ kind: 'other', text: 'ROLLBACK' });
  }

  // ---- statements ----

  statement() {
    const names = [...this.prepared.keys()];
    if (names.length > 0 && this.random() < 0.5) return this.execute(pick(names, this.random));
    return this.random() < 0.5 ? this.read() : this.write();
  }

  read() {
    return { kind: 'read', text: `READ ${this.thing()}` };
  }

  write() {
    const data = this.withBytes(newId('data'));
    return { kind: 'write', text: `WRITE ${this.thing()} ${data}`, data };
  }

  execute(name) {
    const prepared = this.prepared.get(name);
    const isRead = prepared.access === 'READ';
    const data = isRead ? undefined : this.withBytes(newId('data'));
    const argument = isRead ? this.thing() : `${this.thing()} ${data}`;
    const text = `EXECUTE ${name} ${argument}`;
    return { kind: isRead ? 'read' : 'write', text, data, name, argument, prepared };
  }

  thing() {
    return `thing${between(1, 6, this.random)}`;
  }

  withBytes(text) {
    return this.habits.bytes ? text + oddText(this.random) : text;
  }

  /** Sends a statement and awaits its answer; a session without one is given up. */
  async send({ id = newId(this.name), text, isListed = true, ...request }) {
    const { session, ledger, transaction } = this;
    if (session.isClosed) return { id, outcome: 'notSent' };
    const isSigned = request.kind !== 'other';
    const isFirst = isSigned && transaction !== undefined && !transaction.hasBegun;
    if (isFirst) transaction.hasBegun = true;
    const floor = request.kind === 'read' ? (transaction?.floor ?? this.floor()) : undefined;
    const values = new Map(this.values);
    const own = { id, text, isListed, values, transaction, isFirst, floor };
    if (id !== '-') ledger.addRequest({ ...request, ...own });
    const silence = pause(PATIENCE_MS).then(() => ({ id, outcome: 'none', rows: [] }));
    const answer = await Promise.race([session.query(text, id), silence]);
    this.state = answer.state;
    if (id !== '-') ledger.addAnswer(id, answer);
    if (answer.outcome === 'none') session.close();
    if (answer.outcome === 'error') await pause(BACKOFF_MS * this.random());
    return answer;
  }

  // ---- commits that reads must see ----

  floor() {
    if (this.database !== PRIMARY_DATABASE) return this.newest;
    return this.ledger.newestCommit;
  }

  acknowledge({ id }) {
    const position = this.ledger.positions.get(id);
    if (!position) return;
    if (!this.newest || isBefore(this.newest, position)) this.newest = position;
    const { newestCommit } = this.ledger;
    if (!newestCommit || isBefore(newestCommit, position)) this.ledger.newestCommit = position;
  }
}

/** Makes a session write its messages in pieces. */
function sendInPieces({ socket }, random) {
  const write = socket.write.bind(socket);
  socket.write = (text, encoding) => {
    const middle = between(1, text.length - 1, random);
    write(text.slice(0, middle), encoding);
    setTimeout(() => socket.destroyed || write(text.slice(middle), encoding), PIECE_GAP_MS);
    return true;
  };
}
