/** A planned stop of a proxy under callers of the MySQL protocol, with real processes and instances slower than the stop deadline. */
import type { Connection } from 'mysql2/promise';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { type LocalFleet, startLocalFleet } from '../tools/local_fleet.js';

const STATEMENT_MS = 10;
const STOP_DEADLINE_MS = 1500;
/** Makes a statement take longer than the stop. */
const SLOWNESS = (4 * STOP_DEADLINE_MS) / STATEMENT_MS;
/** Allowance for the start and the end of a process and a busy machine. */
const STOP_ALLOWANCE_MS = 1500;
const ARRIVING_CALLERS = 12;
const LATE_CALLERS = 4;
const PAUSE_BETWEEN_CALLERS_MS = 5;

interface ClientError extends Error {
  readonly code?: string;
  readonly errno?: number;
  readonly sqlState?: string;
}

/** What became of a request: the answer's code and verdict, or the way in which its connection ended. */
type Outcome = string;

const ANSWERED = 'answered';

function outcomeOf(error: ClientError): Outcome {
  if (error.sqlState === undefined) return `lost: ${error.code ?? error.message}`;
  const verdict = /verdict=(\w+)/.exec(error.message)?.[1] ?? 'none';
  return `${error.errno} ${verdict}`;
}

async function run(connection: Connection, sql: string): Promise<Outcome> {
  try {
    await connection.query(sql);
    return ANSWERED;
  } catch (error) {
    return outcomeOf(error as ClientError);
  }
}

async function open(local: LocalFleet, proxy: number): Promise<Connection> {
  const connection = await local.connect(proxy);
  // The announcement of the stop on an idle connection.
  connection.on('error', () => undefined);
  return connection;
}

/** Outcomes with the number of times that each was seen. */
function tally(outcomes: readonly Outcome[]): Record<Outcome, number> {
  const counts: Record<Outcome, number> = {};
  for (const outcome of outcomes) counts[outcome] = (counts[outcome] ?? 0) + 1;
  return counts;
}

async function setSlowness(local: LocalFleet, slowness: number): Promise<void> {
  const { instances } = local.fleet.layout;
  await Promise.all(instances.map((instance) => local.fleet.fault(instance, { slowness })));
}

/** Index of the proxy that is the gateway of the group, and of one that is not. */
async function findGateway(local: LocalFleet): Promise<{ gateway: number; other: number }> {
  const { proxies } = await local.fleet.status();
  const ids = local.fleet.layout.proxies.map(({ id }) => id);
  const holder = proxies.find(({ groups = [] }) =>
    (groups ?? []).some(({ instances }) => (instances ?? []).some((item) => item.slotShare)),
  );
  const gateway = ids.indexOf(holder?.id ?? '');
  return { gateway, other: (gateway + 1) % ids.length };
}

async function startSlowFleet(t: Test): Promise<LocalFleet> {
  const local = await startLocalFleet({
    statementMs: STATEMENT_MS,
    stopDeadlineMs: STOP_DEADLINE_MS,
  });
  t.teardown(() => local.stop());
  const connection = await open(local, 0);
  await connection.query('CREATE TABLE jobs (id INT PRIMARY KEY, note VARCHAR(99))');
  await connection.query("INSERT INTO jobs (id, note) VALUES (1, 'first')");
  connection.destroy();
  return local;
}

interface StopReport {
  readonly read: Outcome;
  readonly write: Outcome;
  readonly inTransaction: Outcome;
  readonly idleTransaction: Outcome;
  readonly tookMs: number;
  readonly log: string;
}

/** Stops a proxy while a read, a write and a transaction run through it. */
async function stopDuringStatements(local: LocalFleet, proxy: number): Promise<StopReport> {
  const connections = await Promise.all(Array.from({ length: 4 }, () => open(local, proxy)));
  const [reader, writer, transaction, idle] = connections as [
    Connection,
    Connection,
    Connection,
    Connection,
  ];
  for (const begun of [transaction, idle]) {
    await begun.query('BEGIN');
    await begun.query('SELECT note FROM jobs WHERE id = 1');
  }
  await setSlowness(local, SLOWNESS);
  const read = run(reader, 'SELECT note FROM jobs WHERE id = 1');
  const write = run(writer, "INSERT INTO jobs (id, note) VALUES (2, 'second')");
  const inTransaction = run(transaction, "INSERT INTO jobs (id, note) VALUES (3, 'third')");
  await sleep(200);
  const { id } = local.fleet.layout.proxies[proxy]!;
  const startedAt = performance.now();
  await local.fleet.stopOne(id);
  const tookMs = performance.now() - startedAt;
  const report = {
    read: await read,
    write: await write,
    inTransaction: await inTransaction,
    idleTransaction: await run(idle, 'COMMIT'),
    tookMs,
    log: readFileSync(join(local.folder, `${id}.log`), 'utf8'),
  };
  for (const connection of connections) connection.destroy();
  return report;
}

function checkVerdicts(t: Test, report: StopReport): void {
  const { read, write, inTransaction, idleTransaction, tookMs, log } = report;
  t.match(read, /^\d+ not_run$/, 'a read');
  t.equal(write, '50003 may_have_run', 'a write that was sent');
  t.match(inTransaction, /^\d+ not_run$/, 'a statement of a transaction');
  t.notMatch(idleTransaction, ANSWERED, 'a COMMIT after the stop');
  t.ok(tookMs < STOP_DEADLINE_MS + STOP_ALLOWANCE_MS, `the stop took ${Math.round(tookMs)} ms`);
  t.equal(log.match(/"request_answered_by_stop"/g)?.length, 3, 'log lines of ended requests');
  t.notMatch(log, /"request_ended_by_stop"/, 'no request without a delivered answer');
}

void t.test('a stopping gateway does not cut off statements that outlast it', async (t) => {
  const local = await startSlowFleet(t);
  const { gateway } = await findGateway(local);
  checkVerdicts(t, await stopDuringStatements(local, gateway));
});

void t.test('a stopping proxy does not cut off statements that a gateway still runs', async (t) => {
  const local = await startSlowFleet(t);
  const { other } = await findGateway(local);
  checkVerdicts(t, await stopDuringStatements(local, other));
});

void t.test('a stopping gateway does not cut off statements of other proxies', async (t) => {
  const local = await startSlowFleet(t);
  const { gateway, other } = await findGateway(local);
  const [writer, transaction] = [await open(local, other), await open(local, other)];
  await transaction.query('BEGIN');
  await transaction.query('SELECT note FROM jobs WHERE id = 1');
  await setSlowness(local, SLOWNESS);
  const write = run(writer, "INSERT INTO jobs (id, note) VALUES (2, 'second')");
  const statement = run(transaction, "INSERT INTO jobs (id, note) VALUES (3, 'third')");
  await sleep(200);
  const startedAt = performance.now();
  await local.fleet.stopOne(local.fleet.layout.proxies[gateway]!.id);
  const tookMs = performance.now() - startedAt;
  t.equal(await write, '50003 may_have_run', 'a write that was sent');
  t.match(await statement, /^50004 not_run$/, 'a statement of a transaction');
  t.ok(tookMs < STOP_DEADLINE_MS + STOP_ALLOWANCE_MS, `the stop took ${Math.round(tookMs)} ms`);
  for (const connection of [writer, transaction]) connection.destroy();
});

/** Connects and sends statements until told to stop; some callers keep their connection while it is open. */
async function keepArriving(
  local: LocalFleet,
  proxy: number,
  caller: number,
  isOver: () => boolean,
): Promise<{ connects: Outcome[]; requests: Outcome[] }> {
  const connects: Outcome[] = [];
  const requests: Outcome[] = [];
  while (!isOver()) {
    const connection = await open(local, proxy).catch((error: unknown) => {
      connects.push(outcomeOf(error as ClientError));
    });
    if (connection) {
      requests.push(await run(connection, `SELECT note FROM jobs WHERE id = ${caller}`));
      connection.destroy();
    }
    await sleep(PAUSE_BETWEEN_CALLERS_MS);
  }
  return { connects, requests };
}

void t.test('callers that arrive until the process is gone lose no request', async (t) => {
  const local = await startSlowFleet(t);
  const { gateway } = await findGateway(local);
  const busy = await Promise.all(Array.from({ length: 3 }, () => open(local, gateway)));
  let isOver = false;
  const arriving = Array.from({ length: ARRIVING_CALLERS }, (_, caller) =>
    keepArriving(local, gateway, caller, () => isOver),
  );
  await sleep(500);
  await setSlowness(local, SLOWNESS);
  const outlasting = busy.map((connection, index) =>
    run(connection, `INSERT INTO jobs (id, note) VALUES (${index + 10}, 'late')`),
  );
  await sleep(100);
  const stopped = local.fleet.stopOne(local.fleet.layout.proxies[gateway]!.id);
  const late = Array.from({ length: LATE_CALLERS }, (_, caller) =>
    keepArriving(local, gateway, caller, () => isOver),
  );
  await stopped;
  isOver = true;
  const seen = await Promise.all([...arriving, ...late]);
  const requests = tally([
    ...seen.flatMap((caller) => caller.requests),
    ...(await Promise.all(outlasting)),
  ]);
  const connects = tally(seen.flatMap((caller) => caller.connects));
  t.comment(`requests ${JSON.stringify(requests)}, failed connects ${JSON.stringify(connects)}`);
  const lost = Object.keys(requests).filter((outcome) => outcome.startsWith('lost'));
  t.same(lost, [], 'requests without an answer');
  t.ok((connects['50005 not_run'] ?? 0) > 0, 'connections are refused with an error packet');
  for (const connection of busy) connection.destroy();
});
