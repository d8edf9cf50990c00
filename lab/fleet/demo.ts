/**
 * The demonstration: a whole deployment as processes, the booking workload, one killed primary, and what
 * callers saw of it.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { RealClock } from '../../src/runtime/real_clock.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { checkHistory, operationsOf } from '../history/checker.js';
import { HistoryRecorder, formatHistory } from '../history/history.js';
import type { Violation } from '../history/violation.js';
import {
  BookingSession,
  registerStatement,
  schemaStatements,
} from '../workload/booking_session.js';
import { type CallerConnection, tokenOf } from '../workload/caller.js';
import { MysqlCallerConnector } from '../workload/mysql_caller.js';
import { deploymentOf } from './deployment.js';
import { Fleet } from './fleet.js';
import { CALLER_ACCOUNT, configurationFor, layoutOf } from './layout.js';
import { writeFileSync } from 'node:fs';

/** Options of the demonstration. */
export interface DemoOptions {
  readonly deployment: string;
  /** Length of the workload, in milliseconds. */
  readonly durationMs: number;
  readonly sessions: number;
  /** Where to write the history; nowhere when undefined. */
  readonly historyFile?: string;
  readonly labProgram: string;
  readonly proxyProgram: string;
}

const REGISTERS = 6;
const LAG_MS = 50;
const ELECTION_TIMEOUT_MS = 300;
const FIRST_NETWORK = 20;
const NETWORKS = 200;

function say(text: string): void {
  console.log(text);
}

/** Runs the statements that create the workload's tables in a group; resolves with the token. */
export async function prepareGroup(connection: CallerConnection): Promise<string> {
  for (const sql of schemaStatements()) await connection.execute(sql);
  const answer = await connection.execute(registerStatement(REGISTERS));
  return tokenOf(answer);
}

async function recordFinalState(
  connector: MysqlCallerConnector,
  groups: readonly string[],
  history: HistoryRecorder,
): Promise<void> {
  for (const group of groups) {
    const connection = await connector.connect(connector.proxies[0]!, group);
    const journal = await connection.execute('SELECT operation, register, version FROM journal');
    const payments = await connection.execute('SELECT attempt, once_key FROM payments');
    history.add({
      type: 'final',
      at: performance.now(),
      group,
      journal: journal.rows.map((row) => [row[0]!, row[1]!, Number(row[2])]),
      payments: payments.rows.map((row) => [row[0]!, row[1]!]),
    });
    connection.close();
  }
}

/** Longest time without a successful write in a group around a moment. */
function failoverGap(history: HistoryRecorder, group: string, killedAt: number): number {
  const writes = operationsOf(history.events)
    .filter(({ invoke, ok }) => ok && invoke.group === group && invoke.kind !== 'read')
    .map(({ ok }) => ok!.at)
    .sort((left, right) => left - right);
  const before = writes.filter((at) => at <= killedAt).at(-1) ?? killedAt;
  const after = writes.find((at) => at > killedAt + 20) ?? Infinity;
  return after - before;
}

async function readShare(fleet: Fleet): Promise<string> {
  const counts = { replica: 0, primary: 0 };
  for (const proxy of fleet.layout.proxies) {
    const response = await fetch(`http://${proxy.metrics}/metrics`);
    for (const line of (await response.text()).split('\n')) {
      const value = Number(line.split(' ').at(-1));
      if (line.includes('kind="replicaReads"')) counts.replica += value;
      if (line.includes('kind="primaryReads"')) counts.primary += value;
    }
  }
  const total = counts.replica + counts.primary;
  return `${((100 * counts.replica) / Math.max(1, total)).toFixed(1)}% of ${total}`;
}

function report(history: HistoryRecorder, violations: readonly Violation[]): void {
  const operations = operationsOf(history.events);
  const errors = operations.filter(({ error }) => error);
  const byVerdict = (verdict: string): number =>
    errors.filter(({ error }) => error?.verdict === verdict).length;
  const count = (...checks: string[]): number =>
    violations.filter((violation) => checks.includes(violation.check)).length;
  say(`operations:         ${operations.length}`);
  say(`errors not_run:     ${byVerdict('not_run')}`);
  say(`errors may_have_run: ${byVerdict('may_have_run')}`);
  say(`stale reads:        ${count('read-your-writes', 'monotonic-reads')}`);
  say(`double bookings:    ${count('register-order', 'no-mixed-transactions')}`);
  say(`double payments:    ${count('at-most-once')}`);
  say(`lost writes:        ${count('durable-writes')}`);
  for (const violation of violations) say(`VIOLATION ${violation.check}: ${violation.message}`);
}

async function runWorkload(
  fleet: Fleet,
  options: DemoOptions,
  history: HistoryRecorder,
): Promise<{ killedGroup: string; killedAt: number }> {
  const { deployment } = fleet.layout;
  const connector = callerConnector(fleet);
  const tokens: string[] = [];
  for (const group of deployment.groups) {
    const connection = await connector.connect('proxy-1', group);
    tokens.push(await prepareGroup(connection));
    connection.close();
  }
  const sessions = Array.from({ length: options.sessions }, (_, index) => {
    const booking = {
      session: `s${index + 1}`,
      groups: deployment.groups,
      registers: REGISTERS,
      usesToken: index % 2 === 0,
      initialToken: tokens.join(','),
      writeShare: 0.2,
      paymentShare: 0.1,
      abandonShare: 0.02,
      thinkMs: 20,
      patienceMs: 8000,
    };
    const random = new SeededRandom(index + 1);
    return new BookingSession(connector, new RealClock(), random, history, booking);
  });
  const running = Promise.all(sessions.map((session) => session.run()));
  const killedGroup = deployment.groups[0]!;
  let killedAt = 0;
  for (let elapsed = 0; elapsed < options.durationMs; elapsed += 1000) {
    await sleep(1000);
    const ok = sessions.reduce((sum, session) => sum + session.counts.ok, 0);
    say(`  ${elapsed / 1000 + 1} s: ${ok} operations done`);
    if (killedAt !== 0 || elapsed < options.durationMs / 2) continue;
    const primary = await fleet.primaryOf(killedGroup);
    if (!primary) continue;
    say(`  killing the primary of ${killedGroup} (${primary.mysql})`);
    killedAt = performance.now();
    await fleet.kill(primary.mysql);
  }
  for (const session of sessions) session.stop();
  await running;
  await recordFinalState(connector, deployment.groups, history);
  return { killedGroup, killedAt };
}

/** Connector of callers to a fleet. */
export function callerConnector(fleet: Fleet): MysqlCallerConnector {
  return new MysqlCallerConnector({
    proxies: new Map(fleet.layout.proxies.map((proxy) => [proxy.id, proxy.listen])),
    ...CALLER_ACCOUNT,
  });
}

/** Starts a fleet in a new temporary folder, with its configuration in force. */
export async function startFleet(
  options: Pick<DemoOptions, 'deployment' | 'labProgram' | 'proxyProgram'>,
  statementMs: number,
  gateways = 2,
): Promise<{ fleet: Fleet; folder: string }> {
  const folder = mkdtempSync(join(tmpdir(), 'whinyoke-'));
  const network = FIRST_NETWORK + (process.pid % NETWORKS);
  const layout = layoutOf(deploymentOf(options.deployment), network);
  const fleet = new Fleet(layout, {
    ...options,
    folder,
    statementMs,
    lagMs: LAG_MS,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
  });
  fleet.start();
  try {
    await fleet.waitUntil('a control leader', async () => {
      const status = await fleet.status();
      return status.controls.some((control) => control.leader !== '');
    });
    await fleet.apply(options.deployment, configurationFor(layout, { gateways }), 'demo-1');
    await fleet.waitForGroups();
  } catch (error) {
    await fleet.stop();
    throw error;
  }
  return { fleet, folder };
}

/** Runs the demonstration; resolves with whether every invariant held. */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  say(`starting deployment ${options.deployment}`);
  const { fleet, folder } = await startFleet(options, 1);
  const history = new HistoryRecorder();
  try {
    say('all processes run, the configuration is in force on each proxy');
    const { killedGroup, killedAt } = await runWorkload(fleet, options, history);
    const violations = checkHistory(history.events);
    const gap = failoverGap(history, killedGroup, killedAt);
    say(`reads on replicas:  ${await readShare(fleet)}`);
    say(`failover gap:       ${Math.round(gap)} ms for writes of ${killedGroup}`);
    report(history, violations);
    if (options.historyFile !== undefined) {
      writeFileSync(options.historyFile, formatHistory(history.events));
    }
    return violations.length === 0 && Number.isFinite(gap);
  } finally {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}
