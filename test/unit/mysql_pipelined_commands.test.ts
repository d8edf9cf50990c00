/** Commands of a MySQL client that arrive before the ones ahead of them are answered. */
import { type Connection, createConnection } from 'mysql2';
import { EventEmitter, once } from 'node:events';
import type { Socket } from 'node:net';
import t from 'tap';
import { MysqlListener } from '../../src/mysql/frontend/mysql_listener.js';
import { emptyCompletion } from '../../src/mysql/gateway/statement_request.js';
import { queryFrame } from '../tools/mysql_frames.js';

const ACCOUNT = { user: 'caller', password: 'secret' };

function streamOf(connection: Connection): Socket {
  return (connection as unknown as { stream: Socket }).stream;
}

void t.test('a command that arrives with the next one keeps its own text', async (t) => {
  const executed: string[] = [];
  const session = new EventEmitter();
  const listener = new MysqlListener({
    host: '127.0.0.1',
    port: 0,
    passwordOf: () => ACCOUNT.password,
    serverVersion: 'test',
    maximumConnections: 1,
    openSession: () =>
      Promise.resolve({
        mayTakeEffect: true,
        execute: (sql) => {
          executed.push(sql);
          if (executed.length === 3) session.emit('all executed');
          return Promise.resolve(emptyCompletion(false));
        },
        reset: () => Promise.resolve(),
        useSchema: () => Promise.resolve(emptyCompletion(false)),
        close: () => undefined,
      }),
  });
  const port = await listener.listen();
  t.teardown(() => listener.abort());
  const connection = createConnection({ host: '127.0.0.1', port, ...ACCOUNT });
  await once(connection, 'connect');
  const stream = streamOf(connection);
  stream.removeAllListeners('data');
  const statements = ['INSERT INTO a VALUES (1)', 'SELECT 1', 'DELETE FROM b WHERE id = 1'];
  const allExecuted = once(session, 'all executed');
  stream.write(Buffer.concat(statements.map(queryFrame)));
  await allExecuted;
  t.same(executed, statements);
  connection.destroy();
});
