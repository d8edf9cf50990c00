/** Guards against callers that wait beyond their bound on a primary whose machine has lost power. */
import t from 'tap';
import { APPOINTED_QUETZAL } from '../../lab/appointed/appointed_deployment.js';
import { AppointedWorld, databaseOf } from '../../lab/appointed/appointed_world.js';
import type { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import type { CallerStatement } from '../../src/appointed/instance/statement.js';

const SEEDS = 10;
const SETTLED_MS = 2000;
const STEP_MS = 10;
/** No statement ran, so the caller may retry within its whole time of 800 ms. */
const LONGEST_BEGIN_MS = 400;
/** A read may wait for the only instance as long as its caller can still retry (0.6 of 800 ms). */
const LONGEST_READ_MS = 500;
/** The outcome of a write is unknown once the epoch of the primary has ended. */
const LONGEST_WRITE_MS = 700;

const BEGIN: CallerStatement = { kind: 'begin', readOnly: false };
const READ: CallerStatement = { kind: 'read', argument: 'a' };
const WRITE: CallerStatement = { kind: 'write', argument: 'a b' };

/** Runs statements one after the other; returns how long the last took, and how it ended. */
async function timeLast(
  world: AppointedWorld,
  session: RoutedSession,
  statements: readonly CallerStatement[],
): Promise<{ elapsedMs: number; outcome: string }> {
  let outcome: string | undefined;
  let begunAt = world.scheduler.now;
  const run = async (): Promise<void> => {
    let latest = 'nothing';
    for (const [index, statement] of statements.entries()) {
      begunAt = world.scheduler.now;
      const reply = await session.execute(`${statement.kind}-${index}`, statement);
      latest = reply.error?.kind ?? 'ok';
    }
    outcome = latest;
  };
  void run();
  while (outcome === undefined) await world.run(STEP_MS);
  return { elapsedMs: world.scheduler.now - begunAt, outcome };
}

const CASES = [
  { name: 'transaction', statements: [BEGIN, READ], longestMs: LONGEST_BEGIN_MS },
  { name: 'read', statements: [READ], longestMs: LONGEST_READ_MS },
  { name: 'write', statements: [WRITE], longestMs: LONGEST_WRITE_MS },
];

for (const { name, statements, longestMs } of CASES) {
  void t.test(`a ${name} on a primary without power ends within its bound`, async (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const world = new AppointedWorld(APPOINTED_QUETZAL, seed, new Set());
      await world.start();
      await world.run(SETTLED_MS);
      const group = world.groups[0]!;
      const database = databaseOf(group.name, { kind: 'primary' });
      const sessions = world.routers.map((router) => router.openSession(database)!);
      await Promise.all(sessions.map((session) => timeLast(world, session, [READ])));
      const primary = group.machines.find((machine) => machine.current === group.leader)!;
      const { host } = primary.site;
      const others = [
        ...world.instanceMachines().map(({ machine }) => machine.site.host),
        ...[...world.coordinators, ...world.routers].map((machine) => machine.host),
      ].filter((other) => other !== host);
      world.network.cut([host], others);
      world.network.cut(others, [host]);
      const ended = await Promise.all(
        sessions.map((session) => timeLast(world, session, statements)),
      );
      for (const { elapsedMs, outcome } of ended) {
        t.ok(elapsedMs <= longestMs, `seed ${seed}: ${outcome} after ${elapsedMs} ms`);
      }
    }
  });
}
