/** Decides over a history whether the invariants held. Each check names the operations at fault. */
import { checkConfigurationDelay, checkConfigurations } from './configuration_checks.js';
import type { ErrorEvent, FinalEvent, HistoryEvent, OkEvent, UsageEvent } from './history.js';
import { type Operation, type Violation, groupBy } from './violation.js';

/** A leaving instance gets no new work after this time, in milliseconds; bound of the brief. */
const DRAIN_MS = 3000;
/** An acknowledgement may be on its way for this time after its evidence, in milliseconds. */
const ACKNOWLEDGEMENT_MS = 700;

/** All operations of a history, in the order of their invocation. */
export function operationsOf(events: readonly HistoryEvent[]): Operation[] {
  const oks = new Map<string, OkEvent>();
  const errors = new Map<string, ErrorEvent>();
  for (const event of events) {
    if (event.type === 'ok') oks.set(event.operation, event);
    if (event.type === 'error') errors.set(event.operation, event);
  }
  const invokes = events.filter((event) => event.type === 'invoke');
  return invokes.map((invoke) => ({
    invoke,
    ok: oks.get(invoke.operation),
    error: errors.get(invoke.operation),
  }));
}

/** Sessions see their own writes, and never go back to an older state. */
function checkSessions(operations: readonly Operation[]): Violation[] {
  const violations: Violation[] = [];
  const done = operations.filter(
    (operation) => operation.ok?.version !== undefined && operation.invoke.kind !== 'payment',
  );
  const registerOf = ({ invoke }: Operation): string =>
    `${invoke.session} ${invoke.group}/${invoke.key}`;
  for (const [register, sequence] of groupBy(done, registerOf)) {
    let written = 0;
    let seen = 0;
    for (const { invoke, ok } of sequence) {
      const version = ok!.version!;
      if (invoke.kind === 'read' && version < written) {
        violations.push({
          check: 'read-your-writes',
          message: `${register}: ${invoke.operation} read ${version} after writing ${written}`,
        });
      } else if (version < seen) {
        violations.push({
          check: 'monotonic-reads',
          message: `${register}: ${invoke.operation} saw ${version} after ${seen}`,
        });
      }
      if (invoke.kind === 'write') written = Math.max(written, version);
      seen = Math.max(seen, version);
    }
  }
  return violations;
}

/** Acknowledged writes of a register are linearizable: versions are unique and follow real time. */
function checkRegisters(operations: readonly Operation[]): Violation[] {
  const violations: Violation[] = [];
  const writes = operations.filter(({ invoke, ok }) => invoke.kind === 'write' && ok);
  const registerOf = ({ invoke }: Operation): string => `${invoke.group}/${invoke.key}`;
  for (const [register, sequence] of groupBy(writes, registerOf)) {
    const byAnswer = [...sequence].sort((left, right) => left.ok!.at - right.ok!.at);
    const versions = new Map<number, string>();
    for (const { invoke, ok } of byAnswer) {
      const other = versions.get(ok!.version!);
      if (other !== undefined) {
        violations.push({
          check: 'register-order',
          message: `${register}: ${invoke.operation} and ${other} both wrote ${ok!.version}`,
        });
      }
      versions.set(ok!.version!, invoke.operation);
    }
    violations.push(...checkRealTime(register, sequence, byAnswer));
  }
  return violations;
}

/** A write that began after another was answered has the higher version. */
function checkRealTime(
  register: string,
  byInvoke: readonly Operation[],
  byAnswer: readonly Operation[],
): Violation[] {
  const violations: Violation[] = [];
  let answered = 0;
  let highest = 0;
  for (const { invoke, ok } of byInvoke) {
    while (answered < byAnswer.length && byAnswer[answered]!.ok!.at < invoke.at) {
      highest = Math.max(highest, byAnswer[answered]!.ok!.version!);
      answered++;
    }
    if (ok!.version! < highest) {
      violations.push({
        check: 'register-order',
        message: `${register}: ${invoke.operation} wrote ${ok!.version} after ${highest}`,
      });
    }
  }
  return violations;
}

/** Reads of sessions without a token see every write that was acknowledged before they were sent. */
function checkFreshReads(operations: readonly Operation[]): Violation[] {
  const violations: Violation[] = [];
  const done = operations.filter(({ ok }) => ok?.version !== undefined);
  const registerOf = ({ invoke }: Operation): string => `${invoke.group}/${invoke.key}`;
  for (const [register, sequence] of groupBy(done, registerOf)) {
    const writes = sequence.filter(({ invoke }) => invoke.kind === 'write');
    writes.sort((left, right) => left.ok!.at - right.ok!.at);
    let answered = 0;
    let highest = 0;
    for (const { invoke, ok } of sequence) {
      while (answered < writes.length && writes[answered]!.ok!.at < invoke.at) {
        highest = Math.max(highest, writes[answered]!.ok!.version!);
        answered++;
      }
      if (invoke.kind !== 'read' || !invoke.withoutToken || ok!.version! >= highest) continue;
      violations.push({
        check: 'fresh-reads',
        message: `${register}: ${invoke.operation} read ${ok!.version}, acknowledged was ${highest}`,
      });
    }
  }
  return violations;
}

/** What a read showed is kept: it never shows a write that a failover lost. */
function checkDirtyReads(final: FinalEvent, operations: readonly Operation[]): Violation[] {
  const kept = new Map(
    final.journal.map(([operation, register, version]) => [`${register}@${version}`, operation]),
  );
  return operations.flatMap(({ invoke, ok }) => {
    if (invoke.kind !== 'read' || !ok?.version) return [];
    const writer = kept.get(`${invoke.key}@${ok.version}`);
    if (writer === ok.writer) return [];
    const message =
      `${final.group}: ${invoke.operation} read ${invoke.key}@${ok.version} of ${ok.writer},` +
      ` kept is that of ${writer ?? 'nobody'}`;
    return [{ check: 'dirty-reads', message } as const];
  });
}

function checkJournal(final: FinalEvent, operations: readonly Operation[]): Violation[] {
  const violations: Violation[] = [];
  const kept = new Map(final.journal.map(([operation, , version]) => [operation, version]));
  for (const { invoke, ok, error } of operations) {
    const { operation, kind } = invoke;
    if (kind === 'write' && ok && kept.get(operation) !== ok.version) {
      const found = kept.get(operation) ?? 'nothing';
      violations.push({
        check: 'durable-writes',
        message: `${final.group}: ${operation} was acknowledged with ${ok.version}, kept ${found}`,
      });
    }
    if (kind === 'write' && error?.verdict === 'not_run' && kept.has(operation)) {
      violations.push({
        check: 'not-run-is-true',
        message: `${final.group}: ${operation} was told not_run but ran`,
      });
    }
    if (kind === 'abandoned' && kept.has(operation)) {
      violations.push({
        check: 'no-mixed-transactions',
        message: `${final.group}: ${operation} was left without COMMIT but was committed`,
      });
    }
  }
  const versions = final.journal.map(([, register, version]) => `${register}@${version}`);
  const twice = versions.find((item, index) => versions.indexOf(item) !== index);
  if (twice !== undefined) {
    violations.push({
      check: 'no-mixed-transactions',
      message: `${final.group}: two transactions wrote ${twice}`,
    });
  }
  return violations;
}

function checkPayments(final: FinalEvent, operations: readonly Operation[]): Violation[] {
  const violations: Violation[] = [];
  const kept = new Set(final.payments.map(([attempt]) => attempt));
  const byKey = groupBy(final.payments, ([, onceKey]) => onceKey);
  for (const [onceKey, attempts] of byKey) {
    if (attempts.length < 2) continue;
    const names = attempts.map(([attempt]) => attempt).join(', ');
    violations.push({
      check: 'at-most-once',
      message: `${final.group}: ${onceKey} ran ${attempts.length} times (${names})`,
    });
  }
  for (const { invoke, ok, error } of operations) {
    if (invoke.kind !== 'payment') continue;
    if (ok && !byKey.has(invoke.key)) {
      violations.push({
        check: 'durable-writes',
        message: `${final.group}: payment ${invoke.key} was acknowledged but is gone`,
      });
    }
    if (error?.verdict === 'not_run' && kept.has(invoke.operation)) {
      violations.push({
        check: 'not-run-is-true',
        message: `${final.group}: payment attempt ${invoke.operation} was told not_run but ran`,
      });
    }
  }
  return violations;
}

/** What was acknowledged is kept, what was told not to have run did not, marked requests ran once. */
function checkFinalState(
  events: readonly HistoryEvent[],
  operations: readonly Operation[],
): Violation[] {
  const finals = events.filter((event) => event.type === 'final');
  return finals.flatMap((final) => {
    const own = operations.filter(({ invoke }) => invoke.group === final.group);
    return [
      ...checkJournal(final, own),
      ...checkDirtyReads(final, own),
      ...checkPayments(final, own),
    ];
  });
}

/** Each answer belongs to its own request. */
function checkAnswers(operations: readonly Operation[]): Violation[] {
  return operations.flatMap(({ invoke, ok }) => {
    if (invoke.kind !== 'read' || !ok) return [];
    const isOwn = ok.echo === invoke.operation && ok.answeredKey === invoke.key;
    if (isOwn) return [];
    const got = `echo ${ok.echo}, key ${ok.answeredKey}`;
    return [{ check: 'answer-integrity', message: `${invoke.operation}: got ${got}` } as const];
  });
}

/** No write is acknowledged in a term that was over. */
function checkPrimaries(
  events: readonly HistoryEvent[],
  operations: readonly Operation[],
): Violation[] {
  const elections = events.filter((event) => event.type === 'elected');
  return operations.flatMap(({ invoke, ok }) => {
    const term = ok?.term;
    if (!ok || term === undefined || invoke.kind === 'read') return [];
    const newer = elections.find((event) => event.group === invoke.group && event.term > term);
    if (!newer || ok.at <= newer.at + ACKNOWLEDGEMENT_MS) return [];
    const message =
      `${invoke.operation} was acknowledged in term ${term}` +
      ` ${Math.round(ok.at - newer.at)} ms after the election of term ${newer.term}`;
    return [{ check: 'replaced-primary', message } as const];
  });
}

/** A leaving instance gets no new work after a few seconds. */
function checkDrain(events: readonly HistoryEvent[]): Violation[] {
  const leavingSince = new Map<string, number>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === 'leaving') {
      if (event.isLeaving) leavingSince.set(event.instance, event.at);
      else leavingSince.delete(event.instance);
    }
    if (event.type !== 'work') continue;
    const since = leavingSince.get(event.instance);
    if (since === undefined || event.at <= since + DRAIN_MS) continue;
    violations.push({
      check: 'drain',
      message: `${event.instance} got work ${Math.round(event.at - since)} ms after it left`,
    });
  }
  return violations;
}

/** A planned stop cuts off no request that was in progress. */
function checkStops(
  events: readonly HistoryEvent[],
  operations: readonly Operation[],
): Violation[] {
  const stops = events.filter((event) => event.type === 'stop');
  const kills = events.filter((event) => event.type === 'killed');
  return operations.flatMap(({ invoke, error }) => {
    if (!error?.connectionLost || invoke.kind === 'abandoned') return [];
    const stop = stops.find((event) => event.proxy === invoke.proxy && invoke.at <= event.at);
    if (!stop || error.at < stop.at) return [];
    const wasKilled = kills.some(
      ({ proxy, at }) => proxy === stop.proxy && at >= stop.at && at <= error.at,
    );
    if (wasKilled) return [];
    const message = `${invoke.operation} was cut off by the planned stop of ${stop.proxy}`;
    return [{ check: 'graceful-stop', message } as const];
  });
}

function checkUsage(event: UsageEvent): Violation[] {
  const isWithin =
    event.highestRunning <= event.slots &&
    event.highestConnections <= event.connections &&
    event.refusedStatements === 0;
  if (isWithin) return [];
  const message =
    `${event.instance}: ${event.highestRunning} of ${event.slots} slots,` +
    ` ${event.highestConnections} of ${event.connections} connections,` +
    ` ${event.refusedStatements} statements refused for lack of a slot`;
  return [{ check: 'limits', message }];
}

/** The limits of an instance are never exceeded. */
export function checkLimits(events: readonly HistoryEvent[]): Violation[] {
  return events.flatMap((event) => (event.type === 'usage' ? checkUsage(event) : []));
}

/** Once all faults are over, every group serves writes through every proxy. */
function checkRecovery(events: readonly HistoryEvent[]): Violation[] {
  return events.flatMap((event) => {
    if (event.type !== 'recovery' || event.served) return [];
    const reason = event.reason ?? '';
    const message = `${event.group} serves no write through ${event.proxy} after the faults: ${reason}`;
    return [{ check: 'recovery', message } as const];
  });
}

/** All violations of a history. */
export function checkHistory(events: readonly HistoryEvent[]): Violation[] {
  const operations = operationsOf(events);
  return [
    ...checkSessions(operations),
    ...checkRegisters(operations),
    ...checkFreshReads(operations),
    ...checkFinalState(events, operations),
    ...checkAnswers(operations),
    ...checkPrimaries(events, operations),
    ...checkDrain(events),
    ...checkStops(events, operations),
    ...checkConfigurations(events),
    ...checkConfigurationDelay(events),
    ...checkLimits(events),
    ...checkRecovery(events),
  ];
}
