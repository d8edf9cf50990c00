/**
 * Time without a leader, and without leases, after all processes of a deployment ended at once.
 * Guards against colliding elections, slow registrations, and proxies that search for the leader
 * among machines without power.
 */
import t from 'tap';
import { APPOINTED_QUETZAL, APPOINTED_TOPLINA } from '../../lab/appointed/appointed_deployment.js';
import type { SimulatedCoordinator, SimulatedRouter } from '../../lab/appointed/appointed_nodes.js';
import { AppointedWorld } from '../../lab/appointed/appointed_world.js';

const SEED_COUNT = 40;
const POLL_MS = 5;
const LIMIT_MS = 5000;
/**
 * The first election starts within 150 ms; then its votes are synced and the first entry is
 * committed.
 */
const MAX_TIME_TO_LEADER_MS = 250;
/** After the election, the proxies are registered again and get the catalog. */
const MAX_TIME_TO_LEASES_MS = 300;
/** Processes start up to this much apart. */
const START_SKEW_MS = 100;
/** Processes that were killed at the same moment start up to this much apart. */
const SIMULTANEOUS_START_SKEW_MS = 15;
/**
 * Only elections whose first attempts are staggered stay below this; random ones collide more
 * often.
 */
const MAX_MEAN_TIME_TO_LEADER_MS = 42;
/** Machines get their power back up to this much apart. */
const POWER_SKEW_MS = 300;
/**
 * Counted from when a majority of the control machines and all proxies run. Covers the election and
 * the search of each proxy for the leader among machines that do not answer yet.
 */
const MAX_TIME_TO_LEASES_AFTER_POWER_MS = 150;
const MAX_MEAN_TIME_TO_LEASES_AFTER_POWER_MS = 40;

async function timeUntil(world: AppointedWorld, condition: () => boolean): Promise<number> {
  const startedAt = world.scheduler.now;
  while (!condition() && world.scheduler.now - startedAt < LIMIT_MS) await world.run(POLL_MS);
  return world.scheduler.now - startedAt;
}

function hasLeader(world: AppointedWorld): boolean {
  return world.coordinators.some((control) => control.running?.node.isReadyLeader);
}

function haveLeases(world: AppointedWorld): boolean {
  const groups = world.groups.map((group) => group.name);
  return world.routers.every((router) => {
    const core = router.running?.core;
    return groups.every((group) => core?.leases.primaryOf(group, core.clock.now()) !== undefined);
  });
}

type Machine = SimulatedCoordinator | SimulatedRouter;

/** Ends all machines of an idle deployment at once and restarts them up to `skewMs` apart. */
async function restartAll(
  world: AppointedWorld,
  end: (machine: Machine) => void,
  skewMs: number,
): Promise<void> {
  await world.start();
  await world.run(2000);
  const machines: readonly Machine[] = [...world.coordinators, ...world.routers];
  for (const machine of machines) end(machine);
  await world.run(500);
  for (const machine of machines) {
    world.scheduler.schedule(world.random.next() * skewMs, () => machine.start());
  }
}

for (const deployment of [APPOINTED_QUETZAL, APPOINTED_TOPLINA]) {
  void t.test(
    `${deployment.name}: after a restart of all processes a leader and leases return in time`,
    async (t) => {
      for (let seed = 1; seed <= SEED_COUNT; seed++) {
        const world = new AppointedWorld(deployment, seed, new Set());
        await restartAll(world, (machine) => machine.kill(), START_SKEW_MS);
        const leader = await timeUntil(world, () => hasLeader(world));
        const leases = await timeUntil(world, () => haveLeases(world));
        t.ok(leader <= MAX_TIME_TO_LEADER_MS, `seed ${seed}: a leader after ${leader} ms`);
        t.ok(
          leader + leases <= MAX_TIME_TO_LEASES_MS,
          `seed ${seed}: leases after ${leader + leases} ms`,
        );
      }
    },
  );
}

for (const deployment of [APPOINTED_QUETZAL, APPOINTED_TOPLINA]) {
  void t.test(
    `${deployment.name}: elections of members that start together do not collide`,
    async (t) => {
      let total = 0;
      for (let seed = 1; seed <= SEED_COUNT; seed++) {
        const world = new AppointedWorld(deployment, seed, new Set());
        await restartAll(world, (machine) => machine.kill(), SIMULTANEOUS_START_SKEW_MS);
        total += await timeUntil(world, () => hasLeader(world));
      }
      const mean = total / SEED_COUNT;
      t.ok(mean <= MAX_MEAN_TIME_TO_LEADER_MS, `a leader after ${mean} ms on average`);
    },
  );
}

for (const deployment of [APPOINTED_QUETZAL, APPOINTED_TOPLINA]) {
  void t.test(`${deployment.name}: leases return in time after a total power loss`, async (t) => {
    let total = 0;
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const world = new AppointedWorld(deployment, seed, new Set());
      await restartAll(world, (machine) => machine.losePower(), POWER_SKEW_MS);
      await world.run(POWER_SKEW_MS);
      const leases = await timeUntil(world, () => haveLeases(world));
      total += leases;
      t.ok(leases <= MAX_TIME_TO_LEASES_AFTER_POWER_MS, `seed ${seed}: leases after ${leases} ms`);
    }
    const mean = total / SEED_COUNT;
    t.ok(mean <= MAX_MEAN_TIME_TO_LEASES_AFTER_POWER_MS, `leases after ${mean} ms on average`);
  });
}

void t.test('a control machine with an empty, full disk starts once there is space', async (t) => {
  const world = new AppointedWorld(APPOINTED_QUETZAL, 1);
  await world.start();
  const lost = world.coordinators.find((control) => !control.running?.node.isReadyLeader)!;
  lost.loseDisk();
  const free = lost.fillDisk();
  lost.start();
  await world.run(LIMIT_MS);
  t.equal(lost.running, undefined, 'it does not run without an identity on its disk');
  free();
  const startMs = await timeUntil(world, () => lost.running !== undefined);
  t.ok(startMs < LIMIT_MS, 'it starts once there is space');
});
