/** A client that writes without a break, one session at a time. */
import { pause } from '../../review/record.js';

const THINK_MS = 20;
/** A client that was refused waits this long. */
const BACKOFF_MS = 50;

export class Writer {
  constructor(site, verdicts, number, database) {
    Object.assign(this, { site, verdicts, database });
    this.proxy = number % site.deployment.proxyHosts.length;
    this.name = `reader-w${number}`;
    this.thing = `w${number}`;
    this.sequence = 0;
    /** Newest value whose write was acknowledged. */
    this.acknowledged = 0;
    this.isStopped = false;
  }

  stop() {
    this.isStopped = true;
  }

  async run() {
    while (!this.isStopped) {
      const session = await this.site.session(this.name, this.proxy, this.database);
      this.verdicts.beginSession(this.thing);
      if (session.waiting) session.close();
      while (!session.isClosed && !this.isStopped) await this.write(session);
      session.close();
      await pause(BACKOFF_MS);
    }
  }

  async write(session) {
    const value = ++this.sequence;
    const answer = await this.site.run(session, `WRITE ${this.thing} ${value}`);
    if (answer.outcome === 'ok') {
      this.acknowledged = value;
      this.verdicts.acknowledge(this.thing, answer);
      await pause(THINK_MS);
      return;
    }
    if (answer.outcome === 'none') session.close();
    await pause(BACKOFF_MS);
  }
}
