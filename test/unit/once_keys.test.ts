/** Keys of requests that run at most once, where the table of keys takes two of them for the same. */
import t from 'tap';
import { RequestError } from '../../src/errors/errors.js';
import type { BackendConnection } from '../../src/mysql/backend/backend.js';
import { readOnceOutcome } from '../../src/mysql/gateway/once_key.js';

/** Connection to an instance whose table of keys has one row, or none, for any key. */
function connectionWith(...rows: readonly (readonly string[])[]): BackendConnection {
  return {
    sessionId: 1,
    closed: false,
    onClosed: undefined,
    execute: (_sql, sink) => {
      for (const row of rows) sink.row(row);
      return Promise.resolve({ affectedRows: 0, insertId: 0, info: '', inTransaction: false });
    },
    reset: () => Promise.resolve(),
    close: () => undefined,
  };
}

function verdictOf(connection: BackendConnection): Promise<string> {
  return readOnceOutcome(connection, 'Pay-1', false).then(
    ({ affectedRows }) => `replayed ${affectedRows}`,
    (error: unknown) => (error instanceof RequestError ? error.verdict : 'another error'),
  );
}

void t.test('the outcome of another key is not replayed', async (t) => {
  t.equal(await verdictOf(connectionWith(['1', '0', 'pay-1'])), 'not_run');
  t.equal(await verdictOf(connectionWith(['1', '0', 'Pay-1'])), 'replayed 1');
});

void t.test('an outcome that can not be seen is not replayed as none', async (t) => {
  t.equal(await verdictOf(connectionWith()), 'may_have_run');
});
