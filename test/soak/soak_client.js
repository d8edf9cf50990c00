/** A caller of the soak: one session at a time, which it keeps until its connection is gone. */
import { pause } from '../../review/record.js';
import { between, seededRandom } from './random.js';

const DATABASES = ['bookings', 'payments', 'agenda', 'agenda'];
const THINK_MS = 40;
/** A caller that was refused waits at least this long. */
const BACKOFF_MS = 60;

export class SoakClient {
  constructor(site, verdicts, number, seed) {
    Object.assign(this, { site, verdicts });
    this.random = seededRandom(seed * 1000 + number);
    this.name = `reader-${number}`;
    this.thing = `t${number}`;
    this.database = DATABASES[number % DATABASES.length];
    this.isStopped = false;
    this.sequence = 0;
  }

  stop() {
    this.isStopped = true;
  }

  async run() {
    while (!this.isStopped) {
      const proxy = between(0, this.site.deployment.proxyHosts.length - 1, this.random);
      this.session = await this.site.session(this.name, proxy, this.database);
      this.verdicts.beginSession(this.thing);
      // Without an answer to START in time, that answer would be taken for one to the first statement.
      if (this.session.waiting) this.session.close();
      while (!this.session.isClosed && !this.isStopped) await this.operate();
      this.session.close();
      await pause(BACKOFF_MS);
    }
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
    const answer = await this.site.run(this.session, text);
    if (answer.outcome === 'none') this.session.close();
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
