/** Answers of MySQL instances that do not belong to the statement, or are not the whole answer to it. */
import t, { type Test } from 'tap';
import { BackendConnectionLostError } from '../../src/errors/errors.js';
import type { BackendConnection } from '../../src/mysql/backend/backend.js';
import { MysqlConnector } from '../../src/mysql/backend/mysql_connector.js';
import { DISCARD } from '../../src/mysql/wire/result.js';
import { StatusFlag } from '../../src/mysql/wire/protocol.js';
import { type FrameServer, startFrameServer } from '../tools/mysql_frame_server.js';
import { okFrame } from '../tools/mysql_frames.js';

const ACCOUNT = { user: 'proxy', password: 'secret' };
const CLIENT_LOCAL_FILES = 0x80;
const CLIENT_MULTI_RESULTS = 0x20000;

async function connectedTo(
  t: Test,
  answer: Buffer,
): Promise<{ readonly connection: BackendConnection; readonly server: FrameServer }> {
  const server = await startFrameServer(() => answer);
  const connection = await new MysqlConnector(ACCOUNT).connect(server.address, 1000);
  t.teardown(() => {
    connection.close('the test ends');
    server.close();
  });
  return { connection, server };
}

void t.test('a packet out of sequence is not taken for the answer', async (t) => {
  const { connection } = await connectedTo(t, okFrame(2, StatusFlag.autocommit));
  await t.rejects(connection.execute('INSERT', DISCARD), BackendConnectionLostError);
  t.ok(connection.closed);
});

void t.test('a statement is not done after the first of several results', async (t) => {
  const first = okFrame(1, StatusFlag.autocommit | StatusFlag.moreResults);
  const { connection } = await connectedTo(t, first);
  await t.rejects(connection.execute('CALL', DISCARD), BackendConnectionLostError);
  t.ok(connection.closed);
});

void t.test('an answer in sequence leaves the connection in use', async (t) => {
  const { connection } = await connectedTo(t, okFrame(1, StatusFlag.autocommit));
  for (let count = 0; count < 2; count++) {
    const { affectedRows } = await connection.execute('INSERT', DISCARD);
    t.equal(affectedRows, 1);
  }
  t.notOk(connection.closed);
});

void t.test('instances are told not to send several results or to ask for files', async (t) => {
  const { server } = await connectedTo(t, okFrame(1, StatusFlag.autocommit));
  t.equal(server.clientFlags() & (CLIENT_LOCAL_FILES | CLIENT_MULTI_RESULTS), 0);
});
