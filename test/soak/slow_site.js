/** A site of `review/` whose instances take their time with the statements of clients, and answer large reads. */
import { InstanceSession } from '../../review/instance_session.js';
import { cut } from '../../review/lines.js';
import { pause } from '../../review/record.js';
import { Site } from '../../review/site.js';
import { seededRandom } from './random.js';

/** Statements that a proxy sends of its own have this id. */
const OWN_ID = '-';
const USUAL_MS = 300;
const LONGEST_MS = 700;
/** Share of the statements that take up to the longest time. */
const SLOW_SHARE = 0.1;
/** A thing `large-N` has N KiB of data. */
const LARGE = /^large-(\d+)$/;

class SlowInstanceSession extends InstanceSession {
  /** Time from the run of a statement to its answer. */
  answerMs = 0;

  constructor(instance, socket, site) {
    super(instance, socket);
    this.site = site;
  }

  async take(line) {
    const [word, rest] = cut(line);
    const [id] = cut(rest);
    this.answerMs = 0;
    if (word === 'QUERY' && id !== OWN_ID) await this.delay(id);
    return super.take(line);
  }

  /** One part of the time passes before the statement runs, and one before its answer. */
  async delay(id) {
    const { random, receivedIds } = this.site;
    receivedIds.add(id);
    const wholeMs = random() * (random() < SLOW_SHARE ? LONGEST_MS : USUAL_MS);
    const beforeMs = random() * wholeMs;
    await pause(beforeMs);
    this.answerMs = wholeMs - beforeMs;
  }

  read(id, thing, text) {
    const [, kibibytes] = LARGE.exec(thing) ?? [];
    if (!kibibytes) return super.read(id, thing, text);
    this.ran(id, text);
    return this.complete(this.signature(id), ['x'.repeat(1024 * Number(kibibytes))]);
  }

  async complete(signature, rows) {
    const { answerMs } = this;
    if (answerMs > 0) await pause(answerMs);
    super.complete(signature, rows);
  }
}

export class SlowSite extends Site {
  constructor(record, cleanUp, plan, seed) {
    super(record, cleanUp, plan);
    this.random = seededRandom(seed);
    /** Requests of clients that an instance received, run or not. */
    this.receivedIds = new Set();
  }

  addInstance(service, id, role) {
    const instance = super.addInstance(service, id, role);
    instance.accept = (socket) =>
      instance.sessions.add(new SlowInstanceSession(instance, socket, this));
    return instance;
  }
}
