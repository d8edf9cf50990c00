/** A simulated deployment under a steady workload, for experiments. */
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import type { GroupOptions } from '../fleet/layout.js';
import { type FaultKind, startFault } from '../simulation/faults.js';
import { setUp } from '../simulation/simulation.js';
import { World, type WorldOptions } from '../simulation/world.js';
import { BookingSession } from '../workload/booking_session.js';

/** What to run. */
export interface ScenarioOptions extends WorldOptions {
  readonly sessions: number;
  readonly tokens: boolean;
  readonly writeShare: number;
  readonly thinkMs: number;
  readonly registers: number;
  /** How reads without a token stay fresh; by a barrier when undefined. */
  readonly withoutToken?: 'barrier' | 'primary';
  /** Pause of a session after each write, in milliseconds. */
  readonly pauseAfterWriteMs?: number;
}

const GATEWAYS = 2;
const PATIENCE_MS = 20_000;
const FINISH_LIMIT_MS = 30_000;
const SETTLE_MS = 1000;

/** A running scenario. */
export interface Scenario {
  readonly world: World;
  /** Starts a fault; returns what ends it. */
  startFault(kind: FaultKind): (() => void) | undefined;
  /** Lets all sessions end. */
  finish(): Promise<void>;
}

/** Sets a deployment up and starts its callers. */
export async function startScenario(options: ScenarioOptions): Promise<Scenario> {
  const world = new World(options);
  const reads: GroupOptions['reads'] = options.withoutToken
    ? { without_token: options.withoutToken }
    : {};
  const { registers } = options;
  const initialToken = await setUp(world, { gateways: GATEWAYS, registers, reads });
  await world.run(SETTLE_MS);
  const connector = world.callerConnector();
  const sessions = Array.from({ length: options.sessions }, (_, index) => {
    const random = new SeededRandom(world.random.integer(0, 2 ** 31 - 1));
    const booking = {
      session: `s${index + 1}`,
      groups: options.deployment.groups,
      registers,
      usesToken: options.tokens,
      initialToken,
      writeShare: options.writeShare,
      paymentShare: 0,
      abandonShare: 0,
      thinkMs: options.thinkMs,
      patienceMs: PATIENCE_MS,
      pauseAfterWriteMs: options.pauseAfterWriteMs,
    };
    return new BookingSession(connector, world.outside.clock, random, world.history, booking);
  });
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
