/** The rules about statements, checked against a ledger; each break begins with the name of its rule. */
import { visible } from '../../review/lines.js';
import { isBefore } from './answer_terms.js';

/** Kinds of requests that succeed only with a signature of an instance. */
const SIGNED_KINDS = ['read', 'write', 'commit'];

function groupBy(items, keyOf) {
  const groups = new Map();
  for (const item of items) groups.set(keyOf(item), [...(groups.get(keyOf(item)) ?? []), item]);
  return groups;
}

function isSameMap(left, right) {
  return left.size === right.size && [...left].every(([name, value]) => right.get(name) === value);
}

function isSameList(left, right) {
  return left.length === right.length && left.every((item, index) => item === right[index]);
}

function isSameShape(left, right) {
  return left?.access === right?.access && left?.text === right?.text;
}

function show(value) {
  const text = value instanceof Map ? JSON.stringify([...value]) : String(value);
  return visible(text).slice(0, 120);
}

/** A success carries the signature and the rows that an instance gave for its id. */
function* mixed({ requests, runs }) {
  const runsById = groupBy(runs, ({ id }) => id);
  for (const { id, kind, text, answer } of requests.values()) {
    if (!SIGNED_KINDS.includes(kind) || answer?.outcome !== 'ok') continue;
    const run = (runsById.get(id) ?? []).find(({ signature }) => signature === answer.text);
    const what = `${id} ${show(text)}`;
    if (!run) yield `MIXED: ${what} succeeded with ${show(answer.text)}, given to no run of it`;
    else if (!isSameList(run.rows, answer.rows)) {
      yield `MIXED: ${what} got the rows ${show(answer.rows)} in place of ${show(run.rows)}`;
    }
  }
}

/** Whether an instance ran what its client sent; prepared names may differ. */
function isAsSent(run, request) {
  if (run.shape === undefined) return run.text === request.text;
  return request.name !== undefined && run.argument === request.argument;
}

/** Instances run only statements that a client sent, as it sent them. */
function* unasked({ requests, runs, isOthers }) {
  for (const run of runs) {
    if (isOthers(run.id)) continue;
    const request = requests.get(run.id);
    if (!request) yield `UNASKED: ${run.instance} ran ${show(run.text)} under the id ${run.id}`;
    else if (!isAsSent(run, request)) {
      yield `UNASKED: ${run.instance} ran ${show(run.text)} for ${run.id} ${show(request.text)}`;
    }
  }
}

/** A statement runs with its session's values and shape, and in its own transaction on one connection. */
function* pinned({ requests, runs }) {
  const owners = new Map();
  const places = new Map();
  for (const run of runs) {
    const request = requests.get(run.id);
    if (!request) continue;
    const what = `PINNED: ${run.instance} ran ${run.id} ${show(request.text)}`;
    if (!isSameMap(run.values, request.values)) {
      yield `${what} with ${show(run.values)} in place of ${show(request.values)}`;
    }
    if (run.shape && !isSameShape(run.shape, request.prepared)) {
      yield `${what} as '${show(run.shape.text)}' in place of '${show(request.prepared?.text)}'`;
    }
    const { transaction } = request;
    if ((transaction === undefined) !== (run.transaction === undefined)) {
      yield `${what} ${transaction ? 'outside its transaction' : 'inside a transaction'}`;
    }
    if (!transaction || !run.transaction) continue;
    // The first statement may be repeated elsewhere, and takes its transaction with it.
    if (request.isFirst) places.set(transaction, run.transaction);
    if (places.get(transaction) !== run.transaction) yield `${what} in another transaction`;
    if ((owners.get(run.transaction) ?? transaction) !== transaction) {
      yield `${what} in the transaction of another client`;
    }
    owners.set(run.transaction, transaction);
  }
}

/** Data is in the log once if it was acknowledged, at most once otherwise, and not at all after a promise. */
function* kept({ fates }, log) {
  const counts = new Map();
  for (const { data } of log.flatMap(({ writes }) => writes)) {
    counts.set(data, (counts.get(data) ?? 0) + 1);
  }
  for (const [data, count] of counts) {
    if (count > 1 && fates.has(data)) yield `TWICE: ${show(data)} is ${count} times in the log`;
  }
  for (const [data, fate] of fates) {
    if (fate === 'refused' && counts.has(data)) yield `REFUSED: ${show(data)} is in the log`;
    if (fate === 'kept' && !counts.has(data)) yield `LOST: ${show(data)} is not in the log`;
  }
}

/** A read runs on a log with the commits that were acknowledged before it was sent. */
function* stale({ requests, runs }) {
  for (const run of runs) {
    const { floor } = requests.get(run.id) ?? {};
    if (!floor || !isBefore(run.applied, floor)) continue;
    yield `STALE: ${run.id} ran on ${run.instance} at ${run.applied} after a commit at ${floor}`;
  }
}

function* protocol({ unasked: messages }) {
  for (const line of messages.filter((message) => !message.startsWith('ERROR '))) {
    yield `PROTOCOL: a caller got ${show(line)} while nothing was asked`;
  }
}

/**
 * Breaks of the rules about statements.
 * @param {import('./statement_ledger.js').StatementLedger} ledger
 * @param log of the primaries after the end
 */
export function statementBreaks(ledger, log) {
  return [
    ...mixed(ledger),
    ...pinned(ledger),
    ...unasked(ledger),
    ...kept(ledger, log),
    ...protocol(ledger),
  ];
}

/** Breaks of the rule about reads, where the group keeps its primary. */
export function staleBreaks(ledger) {
  return [...stale(ledger)];
}

/** Number of breaks of each rule. */
export function countByRule(breaks) {
  const counts = groupBy(breaks, (text) => text.slice(0, text.indexOf(':')));
  return [...counts].map(([rule, { length }]) => `${rule} ${length}`).join(', ') || 'none';
}
