/** Texts, verdicts and retry delays of refusals, which callers and operators rely on. */
import t from 'tap';
import { type RetryCause, causeText } from '../../src/appointed/routing/refusal_cause.js';
import { overLimitRetryMs, retryAfterMs } from '../../src/appointed/routing/retry_after.js';
import { type CallerErrorKind, verdictOf } from '../../src/appointed/sessions/caller_reply.js';

void t.test('the text of a refusal cause does not change', (t) => {
  const expected: readonly (readonly [RetryCause, string])[] = [
    [{ kind: 'noConnection' }, 'no connection'],
    [{ kind: 'noConnection', failure: 'displaced' }, 'no connection: displaced'],
    [{ kind: 'noConnection', failure: 'no connection' }, 'no connection: no connection'],
    [{ kind: 'connectionLost', message: 'a-1: ended' }, 'a-1: ended'],
    [{ kind: 'sessionNotLoaded' }, 'the session could not be loaded'],
    [{ kind: 'leaseEnded' }, 'the lease on the primary ended'],
    [{ kind: 'beginAnswered', error: 'busy' }, 'answered busy'],
    [
      {
        kind: 'attemptFailed',
        instance: 'a-1',
        failure: { kind: 'noConnection', failure: 'full' },
      },
      'a-1: no connection: full',
    ],
    [
      {
        kind: 'attemptFailed',
        instance: 'a-1',
        failure: { kind: 'beginAnswered', error: 'lagging' },
      },
      'a-1: answered lagging',
    ],
    [{ kind: 'instanceAnswered', instance: 'a-1', error: 'readOnly' }, 'a-1 answered readOnly'],
    [{ kind: 'transactionAnswered', error: 'failed' }, 'the instance answered failed'],
    [{ kind: 'transactionAnswered', error: undefined }, 'the instance answered without an error'],
    [{ kind: 'noTrustedPrimary' }, 'no trusted primary'],
    [{ kind: 'primaryEvacuated' }, 'the primary is in an evacuated zone'],
    [{ kind: 'zoneEvacuated' }, 'the zone of its instance is evacuated'],
    [{ kind: 'noInstanceForRead' }, 'no instance may serve the read'],
    [{ kind: 'outsideHomes' }, 'no instance within the homes may run it'],
    [{ kind: 'tenantOverLimit', retryAfterMs: 1 }, 'the tenant is over its limit'],
    [{ kind: 'noGrant' }, 'no control machine grants operations'],
    [{ kind: 'credentialUnknown' }, 'no tenant holds the credential'],
    [{ kind: 'credentialUnproven' }, 'whether the credential still holds is not known'],
    [{ kind: 'noConfiguration' }, 'no configuration yet'],
    [{ kind: 'slowStart' }, 'the instance is warming up'],
    [{ kind: 'readAttempt', ending: 'lost' }, 'lost'],
  ];
  for (const [cause, text] of expected) t.equal(causeText(cause), text, cause.kind);
  t.end();
});

void t.test('callers are not told to retry before they may be served', (t) => {
  const cause = { kind: 'noTrustedPrimary' as const };
  const steady = { changeAgeMs: undefined, hasTrustedPrimary: true };
  t.equal(retryAfterMs(cause, steady), 50, 'a primary is trusted');
  t.equal(
    retryAfterMs(cause, { ...steady, hasTrustedPrimary: false }),
    300,
    'no lease on a primary',
  );
  t.equal(
    retryAfterMs(cause, { ...steady, changeAgeMs: 300 }),
    500,
    'the remaining time of a change of primary',
  );
  t.equal(
    retryAfterMs(cause, { ...steady, changeAgeMs: 5000 }),
    50,
    'a change that takes longer than expected',
  );
  for (const kind of ['noGrant', 'credentialUnproven', 'noConfiguration'] as const) {
    t.equal(retryAfterMs({ kind }, steady), 300, kind);
  }
  t.equal(
    retryAfterMs({ kind: 'primaryEvacuated' }, steady),
    1000,
    'control retries the evacuation',
  );
  t.equal(retryAfterMs({ kind: 'noConfiguration' }), 300, 'no group is known');
  t.equal(
    retryAfterMs({ kind: 'outsideHomes' }, steady),
    1000,
    'a trusted primary outside the allowed regions does not help',
  );
  t.equal(retryAfterMs({ kind: 'tenantOverLimit', retryAfterMs: 71 }, steady), 71);
  const failure = { kind: 'slowStart' as const };
  t.equal(retryAfterMs(failure, steady), 400, 'a cold instance has capacity again');
  t.equal(retryAfterMs({ kind: 'attemptFailed', instance: 'a-1', failure }, steady), 400);
  t.equal(overLimitRetryMs(100, 0), 100);
  t.equal(overLimitRetryMs(100, 0.5), 175, 'retries are spread over 1.5 times the wait');
  t.end();
});

void t.test('an error never claims that an operation did not run if it may have', (t) => {
  const promises: CallerErrorKind[] = ['busy', 'aborted', 'lagging', 'readOnly', 'unauthenticated'];
  for (const kind of promises) t.equal(verdictOf(kind), 'not_run', kind);
  for (const kind of ['inDoubt', 'timeout', 'failed', 'malformed'] as const) {
    t.equal(verdictOf(kind), 'may_have_run', kind);
  }
  t.end();
});
