/** A caller that uses a proxy until its process is gone: on a session that stays, or with a connection for each operation. */
import { newId } from '../../review/client.js';
import { pause } from '../../review/record.js';
import { CallerSession, isWhole } from './caller_session.js';
import { between, pick, seededRandom } from './random.js';

const DATABASES = ['bookings', 'agenda'];
const THINK_MS = 20;
/** A caller that was refused, or not connected, waits this long. */
const BACKOFF_MS = 50;
/** Longer than any request may take: a caller gives none up while a process may still answer it. */
const PATIENCE_MS = 4000;
/** Times between the statements of a transaction, and of one that stays open. */
const STATEMENT_GAP_MS = [0, 200];
const LONG_GAP_MS = [800, 2000];
const LONG_SHARE = 0.15;
/** Sizes of large answers, and the speed at which their caller reads. */
const LARGE_KIB = [200, 900];
const READ_PAUSE_MS = 30;

export class ArrivingCaller {
  /** @param {{ name: string, seed: number, isSingle: boolean, readsLarge: boolean }} plan */
  constructor(trial, { name, seed, isSingle, readsLarge }) {
    Object.assign(this, { trial, name, isSingle, readsLarge });
    this.random = seededRandom(seed);
    this.database = pick(DATABASES, this.random);
  }

  /** Resolves once no process is left. */
  async run() {
    for (let proxy = this.choose(); proxy !== undefined; proxy = this.choose()) {
      await this.useSession(proxy);
      await pause(THINK_MS * this.random());
    }
  }

  choose() {
    return pick(this.trial.runningProxies, this.random);
  }

  async useSession(proxy) {
    const { site, ledger } = this.trial;
    const { name, readsLarge } = this;
    this.proxy = proxy;
    this.session = new CallerSession({ name, record: site.record, quiet: readsLarge });
    const sentAt = performance.now();
    const answer = await this.session.open(site.deployment.proxy(proxy), this.database);
    ledger.addStart({ proxy, sentAt, session: this.session, answer });
    if (!isWhole(answer)) await pause(BACKOFF_MS);
    while (!this.session.isClosed) {
      await this.operate();
      if (this.isSingle) break;
      await pause(THINK_MS * this.random());
    }
    this.session.close();
    ledger.addEnd(this.session);
  }

  async operate() {
    const choice = this.random();
    if (this.readsLarge) await this.readLarge();
    else if (choice < 0.4) await this.write();
    else if (choice < 0.7) await this.send('READ', `READ ${this.name}`);
    else await this.transact();
  }

  /** Sends a statement and awaits its answer. */
  async send(kind, text) {
    const { session, proxy } = this;
    if (session.isClosed) return { outcome: 'notSent' };
    const id = newId(this.name);
    const sentAt = performance.now();
    const silence = pause(PATIENCE_MS).then(() => ({ id, outcome: 'none' }));
    const answer = await Promise.race([session.query(text, id), silence]);
    this.trial.ledger.add({ id, kind, proxy, sentAt, session, answer });
    if (answer.outcome === 'none') session.close();
    if (answer.outcome === 'error') await pause(BACKOFF_MS);
    return answer;
  }

  /** Data that no other write has, also not of another trial. */
  nextValue() {
    return newId(`${this.name}-value`);
  }

  async write() {
    const value = this.nextValue();
    this.trial.ledger.addWrite(value, await this.send('WRITE', `WRITE ${this.name} ${value}`));
  }

  async transact() {
    const begun = await this.send('BEGIN', 'BEGIN');
    if (begun.outcome !== 'ok') return;
    const gap = this.random() < LONG_SHARE ? LONG_GAP_MS : STATEMENT_GAP_MS;
    await pause(between(...gap, this.random));
    const value = this.nextValue();
    const written = await this.send('statement', `WRITE ${this.name} ${value}`);
    if (written.outcome === 'ok') {
      await pause(between(...STATEMENT_GAP_MS, this.random));
      this.trial.ledger.addWrite(value, await this.send('COMMIT', 'COMMIT'));
      return;
    }
    this.trial.ledger.addUncommitted(value);
    await this.send('ROLLBACK', 'ROLLBACK');
  }

  async readLarge() {
    const { socket } = this.session;
    const readSlowly = () => {
      socket.pause();
      setTimeout(() => socket.resume(), READ_PAUSE_MS);
    };
    socket.on('data', readSlowly);
    await this.send('large READ', `READ large-${between(...LARGE_KIB, this.random)}`);
    socket.off('data', readSlowly);
    socket.resume();
  }
}
