/** Connections to instances: commands in progress when the connection ends. */
import t from 'tap';
import { MysqlConnector } from '../../src/mysql/backend/mysql_connector.js';
import { MysqlListener } from '../../src/mysql/frontend/mysql_listener.js';
import { DISCARD } from '../../src/mysql/wire/result.js';

const ACCOUNT = { user: 'proxy', password: 'secret' };

void t.test(
  'the end of a connection leaves none of several commands without an outcome',
  async (t) => {
    const listener = new MysqlListener({
      host: '127.0.0.1',
      port: 0,
      passwordOf: () => ACCOUNT.password,
      serverVersion: 'test',
      maximumConnections: 1,
      openSession: () =>
        Promise.resolve({
          mayTakeEffect: true,
          execute: () => new Promise<never>(() => undefined),
          reset: () => Promise.resolve(),
          useSchema: () => new Promise<never>(() => undefined),
          close: () => undefined,
        }),
    });
    const port = await listener.listen();
    t.teardown(() => listener.abort());
    const connection = await new MysqlConnector(ACCOUNT).connect(`127.0.0.1:${port}`, 1000);
    const outcomes = Promise.allSettled([
      connection.execute('SELECT 1', DISCARD),
      connection.execute('SELECT 2', DISCARD),
    ]);
    connection.close('the test ends it');
    const settled = await outcomes;
    t.same(
      settled.map(({ status }) => status),
      ['rejected', 'rejected'],
    );
  },
);
