/** One simulated run of a whole deployment under faults, from a seed to a checked history. */
import { messageOf } from '../../src/errors/errors.js';
import type { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import type { Deployment } from '../fleet/deployment.js';
import type { GroupOptions } from '../fleet/layout.js';
import { checkHistory } from '../history/checker.js';
import type { Violation } from '../history/violation.js';
import type { HistoryEvent } from '../history/history.js';
import {
  BookingSession,
  registerStatement,
  schemaStatements,
} from '../workload/booking_session.js';
import { type CallerConnection, tokenOf } from '../workload/caller.js';
import { type FaultKind, startFault } from './faults.js';
import { SimulatedOperator, submitFirst } from './operators.js';
import { World } from './world.js';

/** What to simulate. */
export interface SimulationOptions {
  readonly seed: number;
  readonly deployment: Deployment;
  readonly protections: ProtectionSet;
  /** Faults to choose from. */
  readonly faults: readonly FaultKind[];
}

/** What a run led to. */
export interface SimulationResult {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly history: readonly HistoryEvent[];
}

const SETUP_LIMIT_MS = 15_000;
const FAULT_WINDOW_MS = 10_000;
const CALM_MS = 9000;
const CALLERS_AFTER_FAULTS_MS = 2000;
const RECOVERY_LIMIT_MS = 5000;
const ELECTION_TIMEOUT_MS = 300;
const SESSIONS = 8;
const REGISTERS = 3;
const MINIMUM_FAULTS = 3;
const MAXIMUM_FAULTS = 7;

class SetupFailure extends Error {}

function requireSetUp<T>(value: T | undefined, what: string): T {
  if (value === undefined) throw new SetupFailure(`the deployment did not start: ${what}`);
  return value;
}

/** Configuration and content of a deployment at its start. */
export interface SetUpOptions extends GroupOptions {
  /** Registers in each group. */
  readonly registers: number;
}

/** Configuration in force everywhere and the workload's tables in each group; resolves with the token. */
export async function setUp(world: World, options: SetUpOptions): Promise<string> {
  world.start();
  const revision = await world.runUntilSettled(submitFirst(world, options), SETUP_LIMIT_MS);
  requireSetUp(revision || undefined, 'the configuration was not accepted');
  const isReady = await world.runUntil(
    () => world.proxies.every((proxy) => proxy.core?.revision === revision),
    SETUP_LIMIT_MS,
  );
  requireSetUp(isReady || undefined, 'the configuration is not in force');
  const tables = createTables(world, options.registers);
  const token = await world.runUntilSettled(tables, SETUP_LIMIT_MS);
  return requireSetUp(token, 'a group does not take writes');
}

async function createTables(world: World, registers: number): Promise<string> {
  const connector = world.callerConnector();
  const tokens: string[] = [];
  for (const group of world.options.deployment.groups) {
    const connection = await connector.connect(connector.proxies[0]!, group);
    for (const sql of schemaStatements()) await retried(connection, sql);
    const answer = await retried(connection, registerStatement(registers));
    tokens.push(tokenOf(answer));
    connection.close();
  }
  return tokens.join(',');
}

/** The first statements may meet a group without a primary. */
async function retried(
  connection: CallerConnection,
  sql: string,
): ReturnType<typeof connection.execute> {
  for (let attempt = 0; ; attempt++) {
    try {
      return await connection.execute(sql);
    } catch (error) {
      if (attempt === 5) throw error;
    }
  }
}

function startSessions(world: World, token: string): BookingSession[] {
  const connector = world.callerConnector();
  return Array.from({ length: SESSIONS }, (_, index) => {
    const random = new SeededRandom(world.random.integer(0, 2 ** 31 - 1));
    const options = {
      session: `s${index + 1}`,
      groups: world.options.deployment.groups,
      registers: REGISTERS,
      usesToken: index % 2 === 0,
      initialToken: token,
      writeShare: 0.3,
      paymentShare: 0.15,
      abandonShare: 0.05,
      thinkMs: 60,
      patienceMs: 6000,
    };
    return new BookingSession(connector, world.outside.clock, random, world.history, options);
  });
}

async function injectFaults(world: World, kinds: readonly FaultKind[]): Promise<void> {
  const random = new SeededRandom(world.random.integer(0, 2 ** 31 - 1));
  const count = random.integer(MINIMUM_FAULTS, MAXIMUM_FAULTS);
  const end = world.scheduler.now + FAULT_WINDOW_MS;
  const { scheduler, history } = world;
  for (let index = 0; index < count && kinds.length > 0; index++) {
    const kind = kinds[random.integer(0, kinds.length - 1)]!;
    const begin = random.next() * FAULT_WINDOW_MS;
    const length = Math.min(FAULT_WINDOW_MS - begin, 50 + random.next() ** 2 * 6000);
    scheduler.schedule(begin, () => {
      const fault = startFault(kind, world, random);
      if (!fault) return;
      history.add({ type: 'fault', at: scheduler.now, description: fault.description });
      scheduler.schedule(length, () => {
        history.add({ type: 'fault', at: scheduler.now, description: `end: ${fault.description}` });
        fault.end();
      });
    });
  }
  await scheduler.runUntil(end + 1);
}

/** One write in each group through each proxy. */
async function checkRecovery(world: World): Promise<void> {
  const connector = world.callerConnector();
  for (const proxy of connector.proxies) {
    for (const group of world.options.deployment.groups) {
      const attempt = (async () => {
        const connection = await connector.connect(proxy, group);
        await connection.execute("UPDATE registers SET version = version WHERE id = 'r0'");
        connection.close();
        return '';
      })().catch(messageOf);
      const reason = (await world.runUntilSettled(attempt, RECOVERY_LIMIT_MS)) ?? 'no answer';
      const { now } = world.scheduler;
      world.history.add({ type: 'recovery', at: now, proxy, group, served: reason === '', reason });
    }
  }
}

function recordFinalState(world: World): void {
  const at = world.scheduler.now;
  for (const group of world.options.deployment.groups) {
    const tables = world.primaryOf(group)?.instance?.tables;
    if (!tables) continue;
    const rowsOf = (name: string): string[][] =>
      [...tables.get(name).rows.values()].map((row) => row.map(String));
    world.history.add({
      type: 'final',
      at,
      group,
      journal: rowsOf('journal').map((row) => [row[0]!, row[1]!, Number(row[2])]),
      payments: rowsOf('payments').map((row) => [row[0]!, row[1]!]),
    });
  }
  const leader = world.controls.find((control) => control.core?.node.role === 'leader')?.core;
  world.history.add({
    type: 'final_configuration',
    at,
    revision: leader?.store.revision ?? -1,
    submissions: (leader?.store.recentHistory(1000) ?? []).map((entry) => entry.submissionId ?? ''),
    inForce: world.proxies.map((proxy) => [proxy.name, proxy.core?.revision ?? -1]),
  });
  for (const instance of world.instances) instance.recordUsage();
}

/** Runs one simulation. */
export async function simulate(options: SimulationOptions): Promise<SimulationResult> {
  const { seed, deployment, protections } = options;
  const chooser = new SeededRandom(seed);
  const world = new World({
    seed,
    deployment,
    protections,
    lagMs: chooser.integer(0, 100),
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
  });
  const gateways = chooser.integer(1, 3);
  const token = await setUp(world, { gateways, registers: REGISTERS });
  const sessions = startSessions(world, token);
  const operators = ['operator-a', 'operator-b'].map(
    (name) => new SimulatedOperator(world, name, chooser, gateways),
  );
  const running = [...sessions, ...operators].map((actor) => actor.run());
  await injectFaults(world, options.faults);
  await world.run(CALLERS_AFTER_FAULTS_MS);
  for (const actor of [...sessions, ...operators]) actor.stop();
  await world.runUntilSettled(Promise.all(running), CALM_MS);
  await world.run(CALM_MS);
  await checkRecovery(world);
  recordFinalState(world);
  const history = world.history.events;
  return { seed, violations: checkHistory(history), history };
}
