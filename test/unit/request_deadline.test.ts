/** How long requests wait, and when they are given up. */
import t from 'tap';
import type { Route } from '../../src/appointed/catalog/route_table.js';
import { RequestDeadline } from '../../src/appointed/routing/request_deadline.js';
import type { Clock } from '../../src/runtime/runtime.js';

const ROUTE = { timeoutMs: 1000, targetLatencyMs: 200 } as Route;

/** A request that arrived `elapsedMs` ago. */
function deadlineAfter(elapsedMs: number, route = ROUTE): RequestDeadline {
  let now = 0;
  const clock = { now: () => now } as Clock;
  const deadline = new RequestDeadline(clock, route);
  now = elapsedMs;
  return deadline;
}

void t.test('limits of a request that has just arrived', (t) => {
  const deadline = deadlineAfter(0);
  t.equal(deadline.remainingMs, 1000);
  t.equal(deadline.objectiveRemainingMs, 200);
  t.equal(deadline.firstAttemptRemainingMs, 80, '0.4 of the target latency');
  t.equal(deadline.primaryWaitMs(undefined), 40, '0.2 of the target latency without a lease');
  t.equal(
    deadline.primaryWaitMs(0),
    80,
    'a change that begins lasts longer than 0.6 of the time-out',
  );
  t.equal(deadline.primaryWaitMs(300), 600, 'a change that should end before that is waited for');
  t.end();
});

void t.test('waits for a connection', (t) => {
  t.equal(deadlineAfter(0).connectionWaitMs(false), 80);
  t.equal(deadlineAfter(0).connectionWaitMs(true), 600, 'the only instance left, at an owner');
  t.equal(deadlineAfter(0).connectionWaitMs(true, 2), 40, 'divided among the instances left');
  t.equal(deadlineAfter(700).connectionWaitMs(true), 5, 'never less than an attempt needs');
  t.end();
});

void t.test('waits for an answer', (t) => {
  t.equal(deadlineAfter(0).readAnswerTimeoutMs(20, false), 80, '0.4 of the target latency');
  t.equal(deadlineAfter(0).readAnswerTimeoutMs(150, false), 150, 'what is usual for the instance');
  t.equal(deadlineAfter(100).readAnswerTimeoutMs(20, true), 500, 'the only instance left');
  t.equal(deadlineAfter(950).readAnswerTimeoutMs(150, true), 50, 'the time-out');
  t.equal(deadlineAfter(0).statementTimeoutMs(20), 120, '0.6 of the target latency');
  t.equal(deadlineAfter(0).statementTimeoutMs(150), 150);
  t.end();
});

void t.test('when a request is given up', (t) => {
  t.ok(deadlineAfter(79).allowsRetry(false));
  t.notOk(deadlineAfter(80).allowsRetry(false), 'no instance was offered it');
  t.ok(deadlineAfter(599).allowsRetry(true));
  t.notOk(deadlineAfter(600).allowsRetry(true), '0.6 of the time-out');
  t.ok(deadlineAfter(994).allowsAttempt);
  t.notOk(deadlineAfter(995).allowsAttempt);
  t.equal(
    deadlineAfter(0, { ...ROUTE, targetLatencyMs: 10 }).firstAttemptRemainingMs,
    20,
    'at least',
  );
  t.equal(deadlineAfter(0, { ...ROUTE, timeoutMs: 50 }).firstAttemptRemainingMs, 50, 'at most');
  t.end();
});
