/**
 * A caller of the soak: one session at a time, which it keeps until its connection is gone, or has for one operation only. It
 * keeps coming back to a proxy that stops until the process is gone.
 */
import { pause } from '../../review/record.js';
import { isWhole } from './caller_session.js';
import { between, pick, seededRandom } from './random.js';

const DATABASES = ['bookings', 'payments', 'agenda', 'agenda'];
const THINK_MS = 40;
/** A caller that was refused waits at least this long. */
const BACKOFF_MS = 60;
/** One in so many callers has a connection for each operation. */
const SINGLE_EVERY = 3;
/** Share of the sessions that are begun at a proxy that stops, if there is one. */
const AT_STOPPING = 0.7;

export class SoakClient {
  constructor(site, verdicts, number, seed) {
    Object.assign(this, { site, verdicts });
    this.random = seededRandom(seed * 1000 + number);
    this.name = `reader-${number}`;
    this.thing = `t${number}`;
    this.database = DATABASES[number % DATABASES.length];
    this.isSingle = number % SINGLE_EVERY === SINGLE_EVERY - 1;
    this.isStopped = false;
    this.sequence = 0;
  }

  stop() {
    this.isStopped = true;
  }

  async run() {
    while (!this.isStopped) {
      this.proxy = this.chooseProxy();
      const sentAt = performance.now();
      this.session = await this.site.session(this.name, this.proxy, this.database);
      this.verdicts.beginSession(this.thing);
      const { startAnswer } = this.session;
      if (startAnswer?.outcome === 'closed' && this.session.isConnected)
        this.verdicts.addCut(this.proxy, this.session, { id: 'START', text: '', sentAt });
      // Without an answer to START in time, that answer would be taken for one to the first statement.
      if (this.session.waiting) this.session.close();
      while (!this.session.isClosed && !this.isStopped) {
        await this.operate();
        if (this.isSingle) break;
      }
      this.session.close();
      await pause(this.isSingle ? THINK_MS * this.random() : BACKOFF_MS);
    }
  }

  chooseProxy() {
    const { stoppingProxies } = this.verdicts.plannedStops;
    if (stoppingProxies.length > 0 && this.random() < AT_STOPPING)
      return pick(stoppingProxies, this.random);
    return between(0, this.site.deployment.proxyHosts.length - 1, this.random);
  }

  async operate() {
    const choice = this.random();
    if (choice < 0.35) await this.write();
    else if (choice < 0.8) await this.read();
    else await this.transact();
    await pause(THINK_MS * this.random());
  }

  /** Runs a statement; a session without an answer is given up. */
  async send(text) {
    const { session, proxy } = this;
    const wasClosed = session.isClosed;
    const sentAt = performance.now();
    const answer = await this.site.run(session, text);
    const isCut = answer.outcome !== 'none' && !isWhole(answer);
    if (isCut && !wasClosed) this.verdicts.addCut(proxy, session, { id: answer.id, text, sentAt });
    if (answer.outcome === 'none') session.close();
    if (answer.outcome === 'error') await pause(BACKOFF_MS);
    return answer;
  }

  async write() {
    const value = ++this.sequence;
    const answer = await this.send(`WRITE ${this.thing} ${value}`);
    if (answer.outcome === 'ok') this.verdicts.acknowledge(this.thing, answer);
  }

  async read() {
    const newest = this.verdicts.newestOf(this.thing);
    const answer = await this.send(`READ ${this.thing}`);
    if (answer.outcome === 'ok') this.verdicts.checkRead(answer, newest);
  }

  async transact() {
    const begun = await this.send('BEGIN');
    if (begun.outcome !== 'ok') return;
    const value = ++this.sequence;
    const written = await this.send(`WRITE ${this.thing} ${value}`);
    if (written.outcome === 'ok' && this.random() < 0.8) {
      const committed = await this.send('COMMIT');
      if (committed.outcome === 'ok') {
        this.verdicts.acknowledge(this.thing, committed, written.id);
      }
      return;
    }
    await this.send('ROLLBACK');
  }
}
