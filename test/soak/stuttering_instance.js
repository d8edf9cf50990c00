/** Instances that send some answers twice, the second time late, and refuse a share of the statements; a ledger records what they ran. */
import { cut } from '../../review/lines.js';
import { InstancePace, PacedInstanceSession } from './instance_pace.js';
import { seededRandom } from './random.js';

const OWN_ID = '-';
/** Texts that instances run for control, and never refuse. */
const CONTROL_WORDS = ['STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'];

/**
 * @typedef {object} Faults
 * @property {number} [doubled] share of the answers that are sent twice
 * @property {number} [longestMs] longest time between both copies
 * @property {number} [refused] share of the statements that get `BUSY`
 */

export class StutteringPace extends InstancePace {
  /** @param {Faults} faults may be replaced at any time */
  faults = {};
  /** Connections that were started, answers that were doubled, and commands under the id of the proxy's own. */
  counts = { connections: 0, doubled: 0, ownCommands: 0 };

  constructor(seed, delayedShare, ledger) {
    super(seed, delayedShare);
    this.ledger = ledger;
    this.faultRandom = seededRandom(seed + 1);
    this.signatures = 0;
  }

  applyTo(instance) {
    instance.accept = (socket) =>
      instance.sessions.add(new StutteringInstanceSession(instance, socket, this));
    const commit = instance.commit.bind(instance);
    instance.commit = (...parameters) => this.ledger.addCommit(commit(...parameters));
    return instance;
  }

  /** Time until the second copy of an answer; undefined if there is none. */
  nextDoubleMs() {
    const { doubled = 0, longestMs = 0 } = this.faults;
    if (this.faultRandom() >= doubled) return undefined;
    this.counts.doubled++;
    return this.faultRandom() * longestMs;
  }

  refusesNext() {
    return this.faultRandom() < (this.faults.refused ?? 0);
  }

  /** A signature that no other answer of the run has. */
  nextSignature() {
    return String(++this.signatures);
  }
}

class StutteringInstanceSession extends PacedInstanceSession {
  /** What is known of the statement before it runs. */
  context = {};

  constructor(instance, socket, pace) {
    super(instance, socket, pace);
    pace.counts.connections++;
  }

  send(lines) {
    super.send(lines);
    const doubleMs = this.pace.nextDoubleMs();
    if (doubleMs !== undefined) setTimeout(() => super.send(lines), doubleMs);
  }

  query(id, text) {
    if (id === OWN_ID && !CONTROL_WORDS.includes(cut(text)[0])) this.pace.counts.ownCommands++;
    return super.query(id, text);
  }

  run(id, word, rest, text) {
    if (!CONTROL_WORDS.includes(word) && this.pace.refusesNext()) return this.fail('BUSY');
    if (word === 'COMMIT' && text !== 'COMMIT') return this.fail('MALFORMED');
    const [name, argument] = cut(rest);
    const shape = word === 'EXECUTE' ? this.prepared.get(name) : undefined;
    const { transaction } = this;
    this.context = { text, shape, argument, transaction, values: new Map(this.values) };
    return super.run(id, word, rest, text);
  }

  ran(id, text) {
    super.ran(id, text);
    const { id: instance, applied } = this.instance;
    this.statement = { ...this.context, id, instance, applied };
    this.pace.ledger.addRun(this.statement);
  }

  complete(signature = OWN_ID, rows = []) {
    if (signature !== OWN_ID) Object.assign(this.statement, { signature, rows });
    return super.complete(signature, rows);
  }

  signature(id) {
    return `${super.signature(id)}.${this.pace.nextSignature()}`;
  }
}
