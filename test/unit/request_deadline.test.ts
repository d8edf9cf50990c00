/** Time limits of requests: how long they wait, and when they are refused instead of retried. */
import t from 'tap';
import type { Route } from '../../src/appointed/catalog/route_table.js';
import { RequestDeadline } from '../../src/appointed/routing/request_deadline.js';
import type { Clock } from '../../src/runtime/runtime.js';

const ROUTE = { timeoutMs: 1000, targetLatencyMs: 200 } as Route;

/** Deadline of a request that arrived `elapsedMs` ago. */
function deadlineAfter(elapsedMs: number, route = ROUTE): RequestDeadline {
  let now = 0;
  const clock = { now: () => now } as Clock;
  const deadline = new RequestDeadline(clock, route);
  now = elapsedMs;
  return deadline;
}

void t.test('a request does not use up its latency objective while it waits', (t) => {
  const deadline = deadlineAfter(0);
  t.equal(deadline.remainingMs, 1000);
  t.equal(deadline.objectiveRemainingMs, 200);
  t.equal(deadline.firstAttemptRemainingMs, 80, '0.4 of the target latency');
  t.equal(deadline.primaryWaitMs(undefined), 40, '0.2 of the target latency without a lease');
  t.equal(
    deadline.primaryWaitMs(0),
    80,
    'a change that has just started will not end within 0.6 of the timeout',
  );
  t.equal(
    deadline.primaryWaitMs(300),
    600,
    'a change that should end within 0.6 of the timeout is waited for',
  );
  t.end();
});

void t.test('a request does not wait too long for a connection', (t) => {
  t.equal(deadlineAfter(0).connectionWaitMs(false), 80);
  t.equal(
    deadlineAfter(0).connectionWaitMs(true),
    600,
    'the last instance left, behind a connection owner',
  );
  t.equal(deadlineAfter(0).connectionWaitMs(true, 2), 40, 'divided among the remaining instances');
  t.equal(
    deadlineAfter(700).connectionWaitMs(true),
    5,
    'never less than the minimum for an attempt',
  );
  t.end();
});

void t.test('a read does not wait too long for a slow instance', (t) => {
  t.equal(deadlineAfter(0).readAnswerTimeoutMs(20, false), 80, '0.4 of the target latency');
  t.equal(
    deadlineAfter(0).readAnswerTimeoutMs(150, false),
    150,
    'the slow-answer threshold of the instance',
  );
  t.equal(deadlineAfter(100).readAnswerTimeoutMs(20, true), 500, 'the last instance left');
  t.equal(deadlineAfter(950).readAnswerTimeoutMs(150, true), 50, 'the timeout of the statement');
  t.equal(deadlineAfter(0).statementTimeoutMs(20), 120, '0.6 of the target latency');
  t.equal(deadlineAfter(0).statementTimeoutMs(150), 150);
  t.end();
});

void t.test('a request is refused early enough for its caller to retry elsewhere', (t) => {
  t.ok(deadlineAfter(79).allowsRetry(false));
  t.notOk(deadlineAfter(80).allowsRetry(false), 'it was not sent to any instance');
  t.ok(deadlineAfter(599).allowsRetry(true));
  t.notOk(deadlineAfter(600).allowsRetry(true), '0.6 of the timeout');
  t.ok(deadlineAfter(994).allowsAttempt);
  t.notOk(deadlineAfter(995).allowsAttempt);
  t.equal(
    deadlineAfter(0, { ...ROUTE, targetLatencyMs: 10 }).firstAttemptRemainingMs,
    20,
    'the lower bound',
  );
  t.equal(
    deadlineAfter(0, { ...ROUTE, timeoutMs: 50 }).firstAttemptRemainingMs,
    50,
    'the timeout is the upper bound',
  );
  t.end();
});
