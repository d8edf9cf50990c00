/** A deployment as processes under the booking workload: start, callers, final state. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { messageOf } from '../../src/errors/errors.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import type { HistoryRecorder } from '../history/history.js';
import {
  BookingSession,
  registerStatement,
  schemaStatements,
} from '../workload/booking_session.js';
import {
  type CallerAnswer,
  type CallerConnection,
  CallerError,
  tokenOf,
} from '../workload/caller.js';
import { MysqlCallerConnector } from '../workload/mysql_caller.js';
import { deploymentOf } from './deployment.js';
import { Fleet } from './fleet.js';
import { CALLER_ACCOUNT, configurationFor, layoutOf } from './layout.js';

const REGISTERS = 6;
/** For how long the final state is asked for, in milliseconds. */
const FINAL_READ_MS = 15_000;
const LAG_MS = 50;
const ELECTION_TIMEOUT_MS = 300;
const FIRST_NETWORK = 20;
const NETWORKS = 200;

/** Which deployment to run with which programs. */
export interface FleetPrograms {
  readonly deployment: string;
  readonly labProgram: string;
  readonly proxyProgram: string;
  /** Whether proxies reach the instances through links that can misbehave. */
  readonly withLinks?: boolean;
}

/** Runs the statements that create the workload's tables in a group; resolves with the token. */
export async function prepareGroup(connection: CallerConnection): Promise<string> {
  for (const sql of schemaStatements()) await connection.execute(sql);
  const answer = await connection.execute(registerStatement(REGISTERS));
  return tokenOf(answer);
}

/** Reads as a caller does that is told when to come back; says how often it had to. */
async function readPatiently(connection: CallerConnection, sql: string): Promise<CallerAnswer> {
  const deadline = performance.now() + FINAL_READ_MS;
  for (let attempt = 1; ; attempt++) {
    try {
      const answer = await connection.execute(sql);
      if (attempt > 1) console.log(`final read: answered at attempt ${attempt}`);
      return answer;
    } catch (error) {
      const retryMs = error instanceof CallerError ? error.retryAfterMs : undefined;
      if (retryMs === undefined || performance.now() > deadline) throw error;
      console.log(`final read: ${messageOf(error)}`);
      await sleep(retryMs);
    }
  }
}

async function recordFinalState(
  connector: MysqlCallerConnector,
  groups: readonly string[],
  history: HistoryRecorder,
): Promise<void> {
  for (const group of groups) {
    const connection = await connector.connect(connector.proxies[0]!, group);
    const journal = await readPatiently(
      connection,
      'SELECT operation, register, version FROM journal',
    );
    const payments = await readPatiently(connection, 'SELECT attempt, once_key FROM payments');
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

/** Connector of callers to a fleet. */
export function callerConnector(fleet: Fleet): MysqlCallerConnector {
  return new MysqlCallerConnector({
    proxies: new Map(fleet.layout.proxies.map((proxy) => [proxy.id, proxy.listen])),
    ...CALLER_ACCOUNT,
  });
}

/** Starts a fleet in a new temporary folder, with its configuration in force. */
export async function startFleet(
  options: FleetPrograms,
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
  try {
    await fleet.openLinks();
    fleet.start();
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

/** Callers at work. */
export interface Workload {
  /** Operations that succeeded so far. */
  operationsDone(): number;
  /** Lets the callers end and records what the groups hold. */
  finish(): Promise<void>;
}

/** Creates the tables and starts the callers. */
export async function startWorkload(
  fleet: Fleet,
  sessionCount: number,
  history: HistoryRecorder,
): Promise<Workload> {
  const { deployment } = fleet.layout;
  const connector = callerConnector(fleet);
  const tokens: string[] = [];
  for (const group of deployment.groups) {
    const connection = await connector.connect('proxy-1', group);
    tokens.push(await prepareGroup(connection));
    connection.close();
  }
  const sessions = Array.from({ length: sessionCount }, (_, index) => {
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
  return {
    operationsDone: () => sessions.reduce((sum, session) => sum + session.counts.ok, 0),
    finish: async () => {
      for (const session of sessions) session.stop();
      await running;
      await recordFinalState(connector, deployment.groups, history);
    },
  };
}
