/** An ordinary `mysql2` client through the proxies, with real processes. */
import type { Connection, ResultSetHeader, RowDataPacket } from 'mysql2/promise';
import t from 'tap';
import { type LocalFleet, startLocalFleet } from '../tools/local_fleet.js';

const MANY_ROWS = 100_000;

interface ClientError extends Error {
  readonly errno: number;
  readonly sqlState: string;
}

async function errorOf(action: Promise<unknown>): Promise<ClientError> {
  try {
    await action;
  } catch (error) {
    return error as ClientError;
  }
  throw new Error('no error');
}

async function rowsOf(connection: Connection, sql: string): Promise<RowDataPacket[]> {
  const [rows] = await connection.query<RowDataPacket[]>(sql);
  return rows;
}

void t.test('ordinary clients', async (t) => {
  const local: LocalFleet = await startLocalFleet();
  t.teardown(() => local.stop());
  const [first, second] = [await local.connect(0), await local.connect(1)];
  t.teardown(() => {
    first.destroy();
    second.destroy();
  });
  await first.query('CREATE TABLE drops (id INT PRIMARY KEY, note VARCHAR(99), raw BLOB)');

  await t.test(
    'a write through one proxy is read through another while replicas lag',
    async (t) => {
      for (let id = 1; id <= 20; id++) {
        await first.query(`INSERT INTO drops (id, note) VALUES (${id}, 'n${id}')`);
        const rows = await rowsOf(second, `SELECT note FROM drops WHERE id = ${id}`);
        t.equal(rows[0]?.['note'], `n${id}`);
      }
    },
  );

  await t.test('a token of one proxy is honoured by another', async (t) => {
    const [header] = await first.query<ResultSetHeader>(
      "INSERT INTO drops (id, note) VALUES (50, 'token')",
    );
    const token = /whinyoke_position=(\S+)/.exec(header.info)?.[1];
    t.match(token, /^payments:\d+-\d+$/);
    const mark = `/*whinyoke_position='${encodeURIComponent(token!)}'*/`;
    const rows = await rowsOf(second, `SELECT note FROM drops WHERE id = 50 ${mark}`);
    t.equal(rows[0]?.['note'], 'token');
    const attributes = await local.connect(2, { connectAttributes: { whinyoke_position: token! } });
    const again = await rowsOf(attributes, 'SELECT note FROM drops WHERE id = 50');
    t.equal(again[0]?.['note'], 'token');
    attributes.destroy();
  });

  await t.test('prepared statements, NULL, binary and UTF-8', async (t) => {
    const binary = Buffer.from([0, 1, 39, 92, 255]);
    const insert = 'INSERT INTO drops (id, note, raw) VALUES (?, ?, ?)';
    await first.execute(insert, [60, 'kurilno olje – čšž 🛢', binary]);
    await first.execute(insert, [61, null, null]);
    const select = 'SELECT id, note, raw FROM drops WHERE id >= ? AND id <= ? ORDER BY id';
    const [rows] = await second.execute<RowDataPacket[]>(select, [60, 61]);
    t.equal(rows[0]?.['note'], 'kurilno olje – čšž 🛢');
    t.same(Buffer.from(rows[0]?.['raw'] as string), binary);
    t.equal(rows[1]?.['note'], null);
  });

  await t.test('errors keep code and SQLSTATE, and the connection stays usable', async (t) => {
    const duplicate = await errorOf(first.query('INSERT INTO drops (id) VALUES (1)'));
    t.match(duplicate, { errno: 1062, sqlState: '23000' });
    const unknown = await errorOf(first.query('SELECT * FROM nothing'));
    t.match(unknown, { errno: 1146, sqlState: '42S02' });
    const syntax = await errorOf(first.query('SELEKT 1'));
    t.match(syntax.message, /verdict=not_run|syntax/);
    t.equal((await rowsOf(first, 'SELECT 1 AS one'))[0]?.['one'], 1);
  });

  await t.test('a transaction rolls back with its connection', async (t) => {
    const lost = await local.connect(1);
    await lost.query('BEGIN');
    await lost.query("INSERT INTO drops (id, note) VALUES (70, 'lost')");
    lost.destroy();
    await first.query("INSERT INTO drops (id, note) VALUES (70, 'kept')");
    t.equal((await rowsOf(second, 'SELECT note FROM drops WHERE id = 70'))[0]?.['note'], 'kept');
  });

  await t.test('a marked request runs once, through whichever proxy it is sent', async (t) => {
    const sql = "INSERT INTO drops (id, note) VALUES (80, 'pay') /*whinyoke_once='pay-80'*/";
    const [one] = await first.query<ResultSetHeader>(sql);
    const [two] = await second.query<ResultSetHeader>(sql);
    t.equal(one.affectedRows, 1);
    t.equal(two.affectedRows, 1);
    t.match(two.info, /whinyoke_once=replayed/);
  });

  await t.test('ping, reset and change of schema', async (t) => {
    await first.ping();
    await first.query('BEGIN');
    await first.query("INSERT INTO drops (id, note) VALUES (90, 'reset')");
    await (first as Connection & { reset(): Promise<void> }).reset();
    t.same(await rowsOf(second, 'SELECT id FROM drops WHERE id = 90'), []);
    await first.query('USE nowhere');
    const refused = await errorOf(first.query('SELECT 1'));
    t.match(refused.message, /No database group.*verdict=not_run/);
    await first.query('USE payments');
    t.equal((await rowsOf(first, 'SELECT 1 AS one'))[0]?.['one'], 1);
  });

  await t.test('a wrong password is refused', async (t) => {
    const error = await errorOf(local.connect(0, { password: 'wrong' }));
    t.equal(error.errno, 1045);
  });

  await t.test(`${MANY_ROWS} rows arrive whole, also through a gateway`, async (t) => {
    await first.query('CREATE TABLE many (id INT PRIMARY KEY, pad VARCHAR(64))');
    for (let start = 0; start < MANY_ROWS; start += 10_000) {
      const values = Array.from(
        { length: 10_000 },
        (_, index) => `(${start + index}, 'row ${start + index}')`,
      );
      await first.query(`INSERT INTO many (id, pad) VALUES ${values.join(',')}`);
    }
    for (const proxy of [0, 1, 2]) {
      const connection = await local.connect(proxy);
      const rows = await rowsOf(connection, 'SELECT id, pad FROM many');
      t.equal(rows.length, MANY_ROWS);
      const sum = rows.reduce((total, row) => total + Number(row['id']), 0);
      t.equal(sum, (MANY_ROWS * (MANY_ROWS - 1)) / 2);
      connection.destroy();
    }
  });

  await t.test('a planned stop cuts off no request in progress', async (t) => {
    const connection = await local.connect(0);
    await connection.query('BEGIN');
    await connection.query("INSERT INTO drops (id, note) VALUES (95, 'stop')");
    const stopped = local.fleet.stopOne('proxy-1');
    await new Promise((resolve) => setTimeout(resolve, 300));
    await connection.query('COMMIT');
    await stopped;
    const rows = await rowsOf(second, 'SELECT note FROM drops WHERE id = 95');
    t.equal(rows[0]?.['note'], 'stop');
    connection.destroy();
  });
});
