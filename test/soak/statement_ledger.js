/** What callers asked and were answered, and what instances ran: the material of the rules about statements. */
import { PROMISES, codeOf } from './answer_terms.js';

const DOUBTS = ['INDOUBT', 'TIMEOUT'];

export class StatementLedger {
  /** Requests of callers by their id. */
  requests = new Map();
  /** Statements in the order in which instances ran them. */
  runs = [];
  /** Position of each commit by the id of its request. */
  positions = new Map();
  /** Data of writes: `kept`, or `refused` where the caller was promised that nothing is kept. */
  fates = new Map();
  /** Messages that callers got while nothing was asked. */
  unasked = [];
  closedSessions = 0;

  /** @param {(id: string) => boolean} isOthers ids of callers that keep no ledger */
  constructor(isOthers = () => false) {
    this.isOthers = isOthers;
  }

  addRun(run) {
    this.runs.push(run);
  }

  addCommit(entry) {
    this.positions.set(entry.request, `${entry.term}.${entry.number}`);
    return entry;
  }

  addRequest(request) {
    this.requests.set(request.id, { ...request, sentAt: performance.now() });
  }

  addAnswer(id, answer) {
    Object.assign(this.requests.get(id), { answer, endedAt: performance.now() });
  }

  /** The single write, or the COMMIT, that decides about some data was answered. */
  decide(data, answer) {
    if (answer.outcome === 'ok') this.fates.set(data, 'kept');
    else if (PROMISES.includes(codeOf(answer))) this.refuse(data);
  }

  /** Data that the caller never asked to commit, or was promised is not kept. */
  refuse(data) {
    this.fates.set(data, 'refused');
  }

  addEnd({ unasked }) {
    if (unasked !== undefined) this.unasked.push(unasked);
  }

  // ---- figures ----

  /** Requests that the page lists, by what became of them. */
  get outcomes() {
    const counts = { asked: 0, served: 0, refused: 0, inDoubt: 0, cut: 0 };
    for (const request of this.listedRequests) counts[outcomeOf(request)]++;
    counts.asked = this.listedRequests.length;
    return counts;
  }

  get listedRequests() {
    return [...this.requests.values()].filter(({ isListed }) => isListed);
  }

  /** Share of the listed requests since a moment that were refused, are in doubt or were cut off. */
  unservedShareSince(at) {
    const requests = this.listedRequests.filter(({ sentAt }) => sentAt >= at);
    const unserved = requests.filter((request) => outcomeOf(request) !== 'served');
    return requests.length === 0 ? 1 : unserved.length / requests.length;
  }

  /** Number of refusals of listed requests by their text, most frequent first. */
  get refusals() {
    const counts = new Map();
    for (const request of this.listedRequests) {
      if (outcomeOf(request) !== 'refused') continue;
      const key = request.answer.text.replaceAll(/\d+/g, 'N').slice(0, 60);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].sort(([, left], [, right]) => right - left);
  }

  /** Latencies in ms of served requests of a kind, in ascending order. */
  latenciesOf(kind) {
    return this.listedRequests
      .filter((request) => request.kind === kind && outcomeOf(request) === 'served')
      .map(({ sentAt, endedAt }) => endedAt - sentAt)
      .sort((left, right) => left - right);
  }
}

function outcomeOf({ answer }) {
  if (answer?.outcome === 'ok') return 'served';
  if (answer?.outcome !== 'error') return 'cut';
  return DOUBTS.includes(codeOf(answer)) ? 'inDoubt' : 'refused';
}
