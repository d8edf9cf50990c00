/** One simulated group of instances, its proxies and callers: what all experiments on virtual time start with. */
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { type FaultKind, startFault } from '../simulation/faults.js';
import { type SetUpOptions, setUp } from '../simulation/simulation.js';
import { World, type WorldOptions } from '../simulation/world.js';
import { BookingSession } from '../workload/booking_session.js';

/** Silence after which secondaries elect another primary, in milliseconds; that of the simulated runs. */
const ELECTION_TIMEOUT_MS = 300;
/** Proxies that serve the group's statements. */
const GATEWAYS = 2;
/** Pause between the set-up and the first caller, in milliseconds; positions reach all proxies meanwhile. */
const SETTLE_MS = 1000;
/** A caller gives up after this, in milliseconds; longer than any gap, so that gaps are measured whole. */
const PATIENCE_MS = 20_000;
/** Time that callers get to end what they began, in milliseconds; more than their patience. */
const FINISH_LIMIT_MS = 30_000;
const HIGHEST_SEED = 2 ** 31 - 1;

/** The simulated deployment, of which the first group is used. */
export type GroupWorldOptions = Omit<WorldOptions, 'electionTimeoutMs'>;

/** A group that takes writes. */
export interface GroupWorld {
  readonly world: World;
  readonly group: string;
  /** Session token after the set-up. */
  readonly token: string;
}

/** Sets up a deployment of one group, without callers. */
export async function startGroup(
  options: GroupWorldOptions,
  content: Omit<SetUpOptions, 'gateways'>,
): Promise<GroupWorld> {
  const group = options.deployment.groups[0]!;
  const deployment = { ...options.deployment, groups: [group] };
  const world = new World({ ...options, deployment, electionTimeoutMs: ELECTION_TIMEOUT_MS });
  const token = await setUp(world, { gateways: GATEWAYS, ...content });
  await world.run(SETTLE_MS);
  return { world, group, token };
}

/** Callers of the booking workload. */
export interface ScenarioOptions extends GroupWorldOptions {
  readonly sessions: number;
  /** Whether sessions hand their tokens on. */
  readonly tokens: boolean;
  readonly writeShare: number;
  /** Longest pause of a session between operations, in milliseconds. */
  readonly thinkMs: number;
  readonly registers: number;
  /** How reads without a token stay fresh; by a barrier when undefined. */
  readonly withoutToken?: 'barrier' | 'primary';
  /** Pause of a session after each write, in milliseconds. */
  readonly pauseAfterWriteMs?: number;
}

/** A running scenario. */
export interface Scenario {
  readonly world: World;
  /** Starts a fault; returns what ends it. */
  startFault(kind: FaultKind): (() => void) | undefined;
  /** Lets all sessions end. */
  finish(): Promise<void>;
}

function createSessions(
  { world, group, token }: GroupWorld,
  options: ScenarioOptions,
): BookingSession[] {
  const connector = world.callerConnector();
  return Array.from({ length: options.sessions }, (_, index) => {
    const random = new SeededRandom(world.random.integer(0, HIGHEST_SEED));
    const booking = {
      session: `s${index + 1}`,
      groups: [group],
      registers: options.registers,
      usesToken: options.tokens,
      initialToken: token,
      writeShare: options.writeShare,
      paymentShare: 0,
      abandonShare: 0,
      thinkMs: options.thinkMs,
      patienceMs: PATIENCE_MS,
      pauseAfterWriteMs: options.pauseAfterWriteMs,
    };
    return new BookingSession(connector, world.outside.clock, random, world.history, booking);
  });
}

/** Sets a group up and starts its callers. */
export async function startScenario(options: ScenarioOptions): Promise<Scenario> {
  const { registers, withoutToken } = options;
  const reads: SetUpOptions['reads'] = withoutToken ? { without_token: withoutToken } : {};
  const started = await startGroup(options, { registers, reads });
  const { world } = started;
  const sessions = createSessions(started, options);
  const running = Promise.all(sessions.map((session) => session.run()));
  return {
    world,
    startFault: (kind) => {
      const fault = startFault(kind, world, world.random);
      return fault && (() => fault.end());
    },
    finish: async () => {
      for (const session of sessions) session.stop();
      await world.runUntilSettled(running, FINISH_LIMIT_MS);
    },
  };
}
