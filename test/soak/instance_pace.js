/** The time that instances of `review/` take with the statements of clients, and which of these they have received. */
import { InstanceSession } from '../../review/instance_session.js';
import { cut } from '../../review/lines.js';
import { pause } from '../../review/record.js';
import { seededRandom } from './random.js';

/** Statements that a proxy sends of its own have this id. */
const OWN_ID = '-';
const USUAL_MS = 300;
const LONGEST_MS = 700;
/** Share of the delayed statements that take up to the longest time. */
const LONG_SHARE = 0.1;
/** A thing `large-N` has N KiB of data. */
const LARGE = /^large-(\d+)$/;

export class InstancePace {
  /** @param {number} share share of the statements that are delayed */
  constructor(seed, share = 1) {
    this.share = share;
    this.random = seededRandom(seed);
    /** Requests of clients that an instance received, run or not. */
    this.receivedIds = new Set();
  }

  /** Connections to the instance that are accepted from now on follow this pace. */
  applyTo(instance) {
    instance.accept = (socket) =>
      instance.sessions.add(new PacedInstanceSession(instance, socket, this));
    return instance;
  }

  nextMs() {
    if (this.random() >= this.share) return 0;
    return this.random() * (this.random() < LONG_SHARE ? LONGEST_MS : USUAL_MS);
  }
}

export class PacedInstanceSession extends InstanceSession {
  /** Time from the run of a statement to its answer. */
  answerMs = 0;

  constructor(instance, socket, pace) {
    super(instance, socket);
    this.pace = pace;
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
    this.pace.receivedIds.add(id);
    const wholeMs = this.pace.nextMs();
    if (wholeMs === 0) return;
    const beforeMs = this.pace.random() * wholeMs;
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
