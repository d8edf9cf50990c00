/** Every check of a history is able to fail: for each there is a history that it must refuse. */
import t from 'tap';
import { checkHistory } from '../../lab/history/checker.js';
import type { CheckName } from '../../lab/history/violation.js';
import {
  type HistoryEvent,
  type InvokeEvent,
  formatHistory,
  parseHistory,
} from '../../lab/history/history.js';

function invoke(operation: string, at: number, more: Partial<InvokeEvent> = {}): InvokeEvent {
  return {
    type: 'invoke',
    at,
    operation,
    kind: 'read',
    session: operation.split('.')[0]!,
    proxy: 'proxy-1',
    group: 'bookings',
    key: 'r1',
    ...more,
  };
}

function readOk(operation: string, at: number, version: number, writer = ''): HistoryEvent {
  return { type: 'ok', at, operation, version, writer, echo: operation, answeredKey: 'r1' };
}

function write(operation: string, at: number, version: number, term = 1): HistoryEvent[] {
  return [
    invoke(operation, at, { kind: 'write' }),
    { type: 'ok', at: at + 5, operation, version, term },
  ];
}

function final(
  journal: [string, string, number][],
  payments: [string, string][] = [],
): HistoryEvent {
  return { type: 'final', at: 1000, group: 'bookings', journal, payments };
}

function failure(operation: string, at: number, verdict: 'not_run' | 'may_have_run'): HistoryEvent {
  return { type: 'error', at, operation, verdict, code: 50001, message: '' };
}

const mustFail: Readonly<Record<CheckName, readonly HistoryEvent[]>> = {
  'read-your-writes': [...write('a.1', 0, 2), invoke('a.2', 10), readOk('a.2', 15, 1, 'x')],
  'monotonic-reads': [
    ...[invoke('a.1', 0), readOk('a.1', 5, 3, 'x')],
    ...[invoke('a.2', 10), readOk('a.2', 15, 2, 'x')],
  ],
  'fresh-reads': [
    ...write('a.1', 0, 2),
    invoke('b.1', 10, { withoutToken: true }),
    readOk('b.1', 15, 1, 'x'),
  ],
  'dirty-reads': [invoke('a.1', 0), readOk('a.1', 5, 4, 'b.1'), final([['c.1', 'r1', 4]])],
  'durable-writes': [...write('a.1', 0, 1), final([])],
  'register-order': [...write('a.1', 0, 2), ...write('b.1', 10, 1)],
  'not-run-is-true': [
    invoke('a.1', 0, { kind: 'write' }),
    failure('a.1', 5, 'not_run'),
    final([['a.1', 'r1', 1]]),
  ],
  'no-mixed-transactions': [invoke('a.1', 0, { kind: 'abandoned' }), final([['a.1', 'r1', 1]])],
  'answer-integrity': [
    invoke('a.1', 0),
    { type: 'ok', at: 5, operation: 'a.1', version: 0, echo: 'b.7', answeredKey: 'r1' },
  ],
  'at-most-once': [
    final(
      [],
      [
        ['a.1', 'pay-1'],
        ['a.2', 'pay-1'],
      ],
    ),
  ],
  'replaced-primary': [
    { type: 'elected', at: 0, group: 'bookings', term: 2, instance: 'i2' },
    ...write('a.1', 5000, 1, 1),
  ],
  drain: [
    { type: 'leaving', at: 0, instance: 'i1', isLeaving: true },
    { type: 'work', at: 3500, instance: 'i1' },
  ],
  'graceful-stop': [
    invoke('a.1', 0),
    { type: 'stop', at: 5, proxy: 'proxy-1' },
    {
      ...{ type: 'error', at: 10, operation: 'a.1', verdict: 'may_have_run' },
      ...{ code: 0, message: '', connectionLost: true },
    },
  ],
  'configuration-order': [
    { type: 'in_force', at: 0, proxy: 'proxy-1', revision: 4 },
    { type: 'in_force', at: 5, proxy: 'proxy-1', revision: 3 },
  ],
  'configuration-kept': [
    { type: 'submission', at: 0, submission: 'x', outcome: 'accepted', revision: 1 },
    { type: 'final_configuration', at: 9, revision: 0, submissions: [], inForce: [] },
  ],
  'configuration-delay': [
    { type: 'submission', at: 0, submission: 'x', outcome: 'accepted', revision: 1 },
    { type: 'in_force', at: 9000, proxy: 'proxy-1', revision: 1 },
    {
      ...{ type: 'final_configuration', at: 9500, revision: 1, submissions: ['x'] },
      ...{ inForce: [['proxy-1', 1]] },
    },
  ],
  limits: [
    {
      ...{ type: 'usage', at: 0, instance: 'i1', highestRunning: 6, slots: 5 },
      ...{ highestConnections: 1, connections: 35, refusedStatements: 0 },
    },
  ],
  recovery: [{ type: 'recovery', at: 0, proxy: 'proxy-1', group: 'bookings', served: false }],
};

for (const [check, history] of Object.entries(mustFail)) {
  void t.test(`a history that breaks ${check} is refused`, (t) => {
    const found = checkHistory(parseHistory(formatHistory(history)));
    t.match(
      found.map((violation) => violation.check),
      [check],
    );
    t.end();
  });
}

void t.test('a history without faults passes', (t) => {
  const history: HistoryEvent[] = [
    ...write('a.1', 0, 1),
    invoke('b.1', 10, { withoutToken: true }),
    readOk('b.1', 15, 1, 'a.1'),
    ...[invoke('a.2', 20, { kind: 'payment', key: 'pay-1' }), failure('a.2', 30, 'may_have_run')],
    ...[invoke('a.3', 40, { kind: 'payment', key: 'pay-1' })],
    { type: 'ok', at: 50, operation: 'a.3', term: 1 },
    final([['a.1', 'r1', 1]], [['a.2', 'pay-1']]),
  ];
  t.same(checkHistory(history), []);
  t.end();
});
