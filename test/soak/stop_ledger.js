/** What callers of stopping proxies asked and were answered, and the rules checked against it. */
import { PROMISES, codeOf } from './answer_terms.js';
import { isWhole } from './caller_session.js';

/** `loss_slack_ms` of the site. */
const SLACK_MS = 200;
const BUCKET_MS = 500;

function median(numbers) {
  return numbers.sort((left, right) => left - right)[Math.floor(numbers.length / 2)];
}

/** A count for each key, most frequent first. */
function countBy(items, keyOf) {
  const counts = new Map();
  for (const item of items) counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
  return [...counts].sort(([, left], [, right]) => right - left);
}

/**
 * Whether a request that a connection ended without a whole answer counts as lost: an instance had received it, or the process had
 * had the time to read it.
 */
export function isLost({ sentAt, closedAt, wasReceived }) {
  return wasReceived || closedAt - sentAt > SLACK_MS;
}

export class StopLedger {
  /**
   * @param {(id: string) => boolean} wasReceived whether an instance received a request
   * @param {Map<number, number>} signalledAt when each proxy got SIGTERM
   */
  constructor(wasReceived, signalledAt) {
    Object.assign(this, { wasReceived, signalledAt });
    this.requests = [];
    this.starts = [];
    this.unasked = [];
    /** Values whose commit was acknowledged, and values that must not be committed. */
    this.kept = new Set();
    this.notKept = new Set();
  }

  // ---- what happened ----

  add(request) {
    this.requests.push({ ...request, endedAt: performance.now() });
  }

  addStart(start) {
    this.starts.push({ ...start, endedAt: performance.now() });
  }

  addEnd({ unasked }) {
    if (unasked !== undefined) this.unasked.push(unasked);
  }

  /** A single write, or the COMMIT of one in a transaction, was answered. */
  addWrite(value, answer) {
    if (answer.outcome === 'notSent') this.notKept.add(value);
    if (!isWhole(answer)) return;
    if (answer.outcome === 'ok') this.kept.add(value);
    else if (PROMISES.includes(codeOf(answer))) this.notKept.add(value);
  }

  /** A value was written in a transaction whose COMMIT is never sent. */
  addUncommitted(value) {
    this.notKept.add(value);
  }

  // ---- rules ----

  /** Rules that were broken; the log is that of the primary after the end. */
  breaks(log) {
    const committed = new Set(log.flatMap(({ writes }) => writes.map(({ data }) => data)));
    const missing = [...this.kept].filter((value) => !committed.has(value));
    const wrong = [...this.notKept].filter((value) => committed.has(value));
    const strange = this.unasked.filter((line) => !line.startsWith('ERROR '));
    return [
      ...this.lostRequests.map((request) => `LOST: ${this.describe(request)}`),
      ...this.lostStarts.map((start) => `LOST: START ${this.describe(start)}`),
      ...missing.map((value) => `LOST: the acknowledged ${value} is not in the log`),
      ...wrong.map((value) => `REFUSED: ${value} is in the log, though that was ruled out`),
      ...strange.map((line) => `PROTOCOL: unasked ${line.slice(0, 60)}`),
    ];
  }

  get lostRequests() {
    return this.requests.filter((request) => {
      if (isWhole(request.answer)) return false;
      const { id, sentAt, session } = request;
      const { closedAt } = session;
      return isLost({ sentAt, closedAt, wasReceived: this.wasReceived(id) });
    });
  }

  /** A session that was neither begun nor refused, though the process had the time to read it. */
  get lostStarts() {
    return this.starts.filter(({ sentAt, session, answer }) => {
      if (!session.isConnected || answer.outcome !== 'closed') return false;
      return isLost({ sentAt, closedAt: session.closedAt, wasReceived: false });
    });
  }

  describe({ id = '', kind = '', proxy, sentAt, session, endedAt }) {
    const at = Math.round(this.sinceSignal({ proxy, sentAt }));
    const closedMs = Math.round(Math.min(session.closedAt, endedAt) - sentAt);
    const where = this.wasReceived(id) ? 'an instance received it' : 'no instance received it';
    return `${kind} ${id} at proxy ${proxy + 1}: sent ${at} ms after SIGTERM, ended ${closedMs} ms later without a whole answer; ${where}`;
  }

  sinceSignal({ proxy, sentAt }) {
    return sentAt - (this.signalledAt.get(proxy) ?? Infinity);
  }

  // ---- figures ----

  /** Lines that tell what became of the requests sent after SIGTERM. */
  get summary() {
    const during = this.requests.filter((request) => this.sinceSignal(request) >= 0);
    const answered = during.filter(({ answer }) => isWhole(answer));
    const served = answered.filter(({ answer }) => answer.outcome === 'ok');
    const refused = answered.filter(({ answer }) => answer.outcome === 'error');
    const cut = during.filter(({ answer }) => !isWhole(answer));
    const lost = this.lostRequests;
    const begun = this.starts.filter((start) => this.sinceSignal(start) >= 0);
    const refusedStarts = begun.filter(({ answer }) => answer.outcome === 'error');
    return [
      `served ${served.length}, refused ${refused.length}, cut ${cut.length} (lost ${lost.length}, of them received by an instance ${lost.filter(({ id }) => this.wasReceived(id)).length})`,
      `sessions begun ${begun.filter(({ answer }) => isWhole(answer)).length}, refused ${refusedStarts.length}; closes announced ${this.unasked.length}`,
      ...this.refusalLines(refused),
      `served each ${BUCKET_MS} ms after SIGTERM: ${this.buckets(served)}`,
      `refused each ${BUCKET_MS} ms after SIGTERM: ${this.buckets(refused)}`,
    ];
  }

  refusalLines(refused) {
    const key = ({ kind, answer }) => `${kind} ${codeOf(answer)}`;
    return countBy(refused, key).map(([name, count]) => {
      const those = refused.filter((request) => key(request) === name);
      const ms = those.map(({ sentAt, endedAt }) => Math.round(endedAt - sentAt));
      return `refused ${name}: ${count}, after ${median(ms)} ms (median), ${Math.max(...ms)} ms (most)`;
    });
  }

  buckets(requests) {
    const counts = [];
    for (const request of requests) {
      const bucket = Math.floor(this.sinceSignal(request) / BUCKET_MS);
      counts[bucket] = (counts[bucket] ?? 0) + 1;
    }
    return [...counts].map((count) => count ?? 0).join(' ');
  }
}
