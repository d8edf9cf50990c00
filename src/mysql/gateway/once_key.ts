/**
 * At most once: a marked statement runs in one transaction with the insertion of its key. The key's row
 * fails over with the data, so a resend through any proxy, also after a failover, finds it and gets the
 * first outcome. A key stands for the text that callers chose, byte by byte: tables of earlier versions compare letters without
 * regard to case and accents. See docs/design/once-keys.md.
 */
import type { BackendConnection } from '../backend/backend.js';
import { type Completion, DISCARD } from '../wire/result.js';
import type { ResultSink } from '../wire/result.js';
import { DatabaseError, ErrorCode, mayHaveRun, notRun } from '../../errors/errors.js';
import { quoteString } from '../sql/tokenizer.js';
import { queryText } from '../topology/instance_report.js';
import { MysqlError } from '../wire/protocol.js';
import type { GroupGateway } from './group_gateway.js';
import { executeWithTimeout } from './slot_execution.js';

const TABLE = 'whinyoke.once_keys';
const CREATE_TABLE =
  `CREATE TABLE IF NOT EXISTS ${TABLE} (once_key VARBINARY(512) PRIMARY KEY,` +
  ' affected_rows BIGINT, insert_id BIGINT,' +
  ' created_at TIMESTAMP DEFAULT CURRENT_TIMESTAMP)';

/** Text for the caller's OK packet when a resend got the first outcome. */
const REPLAYED_INFO = 'whinyoke_once=replayed';

/** Inserts the key in the open transaction; false when it was used before. */
export async function insertOnceKey(
  gateway: GroupGateway,
  connection: BackendConnection,
  key: string,
): Promise<boolean> {
  const insert =
    `INSERT INTO ${TABLE} (once_key, affected_rows, insert_id)` +
    ` VALUES (${quoteString(key)}, 1, 0)`;
  try {
    await executeWithTimeout(gateway, connection, insert, DISCARD);
    return true;
  } catch (error) {
    if (error instanceof DatabaseError && error.code === MysqlError.duplicateEntry) return false;
    throw error;
  }
}

/** Stores an outcome that differs from the one inserted with the key. */
export async function storeOnceOutcome(
  gateway: GroupGateway,
  connection: BackendConnection,
  key: string,
  completion: Completion,
): Promise<void> {
  const { affectedRows, insertId } = completion;
  if (affectedRows === 1 && insertId === 0) return;
  const update =
    `UPDATE ${TABLE} SET affected_rows = ${affectedRows}, insert_id = ${insertId}` +
    ` WHERE once_key = ${quoteString(key)}`;
  await executeWithTimeout(gateway, connection, update, DISCARD);
}

async function findOutcome(
  connection: BackendConnection,
  key: string,
): Promise<(string | null)[] | undefined> {
  const select =
    `SELECT affected_rows, insert_id, once_key FROM ${TABLE}` +
    ` WHERE once_key = ${quoteString(key)}`;
  const [row] = await queryText(connection, select);
  return row;
}

/**
 * First outcome of a key that was used before.
 * @throws RequestError when another text holds its place, or the outcome can't be seen here
 */
export async function readOnceOutcome(
  connection: BackendConnection,
  key: string,
  inTransaction: boolean,
): Promise<Completion> {
  const row = await findOutcome(connection, key);
  if (!row) throw mayHaveRun('The outcome of the first run can not be seen');
  const [affectedRows, insertId, usedKey] = row;
  if (usedKey !== key) {
    throw notRun(`The key of another request differs too little: '${usedKey}'`, ErrorCode.badMark);
  }
  return {
    affectedRows: Number(affectedRows ?? 0),
    insertId: Number(insertId ?? 0),
    info: REPLAYED_INFO,
    inTransaction,
  };
}

/** Makes sure that the table of keys exists. */
export async function ensureOnceTable(connection: BackendConnection): Promise<void> {
  try {
    await findOutcome(connection, '');
  } catch (error) {
    if (!isMissingOnceTable(error)) throw error;
    await createOnceTable(connection);
  }
}

async function createOnceTable(connection: BackendConnection): Promise<void> {
  await connection.execute(CREATE_TABLE, DISCARD);
}

/** Whether an error says that the table of keys does not exist yet. */
function isMissingOnceTable(error: unknown): boolean {
  return error instanceof DatabaseError && error.code === MysqlError.noSuchTable;
}

async function runInOwnTransaction(
  gateway: GroupGateway,
  connection: BackendConnection,
  key: string,
  sql: string,
  sink: ResultSink,
): Promise<Completion> {
  await executeWithTimeout(gateway, connection, 'BEGIN', DISCARD);
  try {
    const isNew = await insertOnceKey(gateway, connection, key);
    if (!isNew) {
      await connection.execute('ROLLBACK', DISCARD);
      return await readOnceOutcome(connection, key, false);
    }
    const outcome = await executeWithTimeout(gateway, connection, sql, sink);
    await storeOnceOutcome(gateway, connection, key, outcome);
    const commit = await executeWithTimeout(gateway, connection, 'COMMIT', DISCARD);
    return { ...outcome, gtid: commit.gtid, inTransaction: false };
  } catch (error) {
    if (error instanceof DatabaseError) await connection.execute('ROLLBACK', DISCARD);
    throw error;
  }
}

/** Runs a marked statement, or finds the outcome of its first run. */
export async function runOnce(
  gateway: GroupGateway,
  connection: BackendConnection,
  key: string,
  sql: string,
  sink: ResultSink,
): Promise<Completion> {
  try {
    return await runInOwnTransaction(gateway, connection, key, sql, sink);
  } catch (error) {
    if (!isMissingOnceTable(error)) throw error;
  }
  await createOnceTable(connection);
  return runInOwnTransaction(gateway, connection, key, sql, sink);
}
