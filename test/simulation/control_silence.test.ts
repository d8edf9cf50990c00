/**
 * Guards service and safety while proxies are cut off from all control machines: reads continue while replicas confirm the
 * lease, a change of primary completes beside cut-off proxies, and no proxy serves from a replaced primary.
 */
import t from 'tap';
import { APPOINTED_QUETZAL } from '../../lab/appointed/appointed_deployment.js';
import { startFault } from '../../lab/appointed/appointed_faults.js';
import { AppointedWorld, databaseOf } from '../../lab/appointed/appointed_world.js';
import type { AppointedProtection } from '../../lab/appointed/disabled_protections.js';

const SEEDS = 10;
const SETTLED_MS = 2000;
/** Twice the duration of a lease of control. */
const SILENCE_MS = 6000;
const CHANGE_LIMIT_MS = 4500;
/** An election and a round of confirmations; far less than a lease (3 s). */
const NEW_LEADER_LIMIT_MS = 1800;
const POLL_MS = 10;
/** Longer than a lease confirmed by replicas, since primaries that no statement needs are not confirmed. */
const READ_SPACING_MS = 900;
const CUT_OFF_PROXIES = 4;
/** Silence of the primary, leases of the cut-off proxies and appointment; less than control's memory of those (20 s). */
const SPLIT_LIMIT_MS = 8000;
const PROBE_MS = 50;

type World = AppointedWorld;

async function settledWorld(
  seed: number,
  disabled: readonly AppointedProtection[] = [],
): Promise<World> {
  const world = new AppointedWorld(APPOINTED_QUETZAL, seed, new Set(disabled));
  await world.start();
  await world.run(SETTLED_MS);
  return world;
}

function cutOffProxies(world: World): () => void {
  const proxies = world.routers.map((router) => router.host);
  const controls = world.coordinators.map((control) => control.host);
  const heals = [world.network.cut(proxies, controls), world.network.cut(controls, proxies)];
  return () => heals.forEach((heal) => heal());
}

function hasLeases(world: World): boolean {
  return world.routers.every((router) => {
    const core = router.running!.core;
    return world.groups.every(
      (group) => core.leases.primaryOf(group.name, core.clock.now()) !== undefined,
    );
  });
}

/** Reads from the primary of each group through each proxy; resolves with the refused reads. */
async function readEverywhere(world: World): Promise<readonly string[]> {
  const refusals: string[] = [];
  for (const [router, { running }] of world.routers.entries()) {
    for (const group of world.groups) {
      const session = running!.core.openSession(databaseOf(group.name, { kind: 'primary' }))!;
      const id = `probe-${router}-${group.name}-${world.scheduler.now}`;
      world.judge.expect(id, {
        group: group.name,
        values: new Map(),
        prepared: undefined,
        transaction: undefined,
      });
      void session.execute(id, { kind: 'read', argument: 'x' }).then((reply) => {
        if (reply.error) refusals.push(`${group.name}: ${reply.error.text}`);
        session.close();
      });
    }
  }
  await world.run(READ_SPACING_MS);
  return refusals;
}

void t.test(
  'reads do not stop when the leases of control end, while replicas confirm the primary',
  async (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const world = await settledWorld(seed);
      const heal = cutOffProxies(world);
      for (let silence = 0; silence < SILENCE_MS; silence += READ_SPACING_MS) {
        t.same(await readEverywhere(world), [], `seed ${seed}: all reads after ${silence} ms`);
      }
      heal();
      await world.run(1000);
      t.same(world.judge.violations, []);
    }
  },
);

void t.test(
  'a change of primary does not wait for a proxy that is cut off from control',
  async (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const world = await settledWorld(seed);
      const heal = startFault('cut-proxy-from-control', world, world.random)!;
      await world.run(1000);
      const group = world.groups[0]!;
      const { leader } = group;
      const machine = group.machines.find((item) => item.current === leader)!;
      machine.running!.process.kill();
      const begunAt = world.scheduler.now;
      while (group.leader === leader && world.scheduler.now - begunAt < CHANGE_LIMIT_MS) {
        await world.run(POLL_MS);
      }
      t.not(group.leader, leader, `seed ${seed}: primary changed within ${CHANGE_LIMIT_MS} ms`);
      heal();
      await world.run(1000);
      t.same(world.judge.violations, []);
    }
  },
);

void t.test(
  'a new leader finishes a change of its predecessor instead of starting over',
  async (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const world = await settledWorld(seed);
      const group = world.groups[0]!;
      const { leader } = group;
      const machine = group.machines.find((item) => item.current === leader)!;
      machine.running!.process.kill();
      const isAppointed = (): boolean => group.leader !== undefined && group.leader !== leader;
      while (!isAppointed()) await world.run(1);
      world.coordinators.find((control) => control.running?.node.isReadyLeader)!.kill();
      const begunAt = world.scheduler.now;
      while (!hasLeases(world) && world.scheduler.now - begunAt < CHANGE_LIMIT_MS) {
        await world.run(POLL_MS);
      }
      const elapsed = world.scheduler.now - begunAt;
      t.ok(elapsed < NEW_LEADER_LIMIT_MS, `seed ${seed}: leases after ${Math.round(elapsed)} ms`);
      t.same(world.judge.violations, []);
    }
  },
);

/** Sends a write through a proxy in its own session; resolves with whether it was acknowledged. */
async function write(world: World, router: number, group: string): Promise<boolean> {
  const session = world.routers[router]!.running!.core.openSession(
    databaseOf(group, { kind: 'primary' }),
  )!;
  const reply = await session.execute('probe', { kind: 'write', argument: 'x' });
  session.close();
  return !reply.error;
}

/**
 * Cuts a primary and most proxies off from everything else until another primary has acknowledged a write there; resolves
 * with whether a cut-off proxy then still answers a read from the old primary.
 */
async function servesStaleRead(
  seed: number,
  disabled: readonly AppointedProtection[],
): Promise<boolean> {
  const world = await settledWorld(seed, disabled);
  const group = world.groups[0]!;
  const machine = group.machines.find((item) => item.current === group.leader)!;
  const cutOff = world.routers.slice(0, CUT_OFF_PROXIES).map((router) => router.host);
  const inside = [machine.site.host, ...cutOff];
  const outside = [
    ...world.coordinators.map((control) => control.host),
    ...world.routers.slice(CUT_OFF_PROXIES).map((router) => router.host),
    ...world.instanceMachines().map((item) => item.machine.site.host),
  ].filter((host) => !inside.includes(host));
  world.network.cut(inside, outside);
  world.network.cut(outside, inside);
  let isReplaced = false;
  for (let elapsed = 0; !isReplaced && elapsed < SPLIT_LIMIT_MS; elapsed += PROBE_MS) {
    void write(world, CUT_OFF_PROXIES, group.name).then((isDone) => {
      isReplaced ||= isDone && group.leader !== machine.current;
    });
    await world.run(PROBE_MS);
  }
  if (!isReplaced) throw new Error(`seed ${seed}: no other primary served in time`);
  const session = world.routers[0]!.running!.core.openSession(
    databaseOf(group.name, { kind: 'primary' }),
  )!;
  let isServed = false;
  void session.execute('probe', { kind: 'read', argument: 'x' }).then((reply) => {
    isServed = !reply.error;
  });
  await world.run(SETTLED_MS);
  return isServed;
}

void t.test('a cut-off proxy does not serve reads from a replaced primary', async (t) => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    t.notOk(await servesStaleRead(seed, []), `seed ${seed}`);
    t.ok(
      await servesStaleRead(seed, ['replica-witness']),
      `seed ${seed}: stale read without the check of the replicas`,
    );
  }
});
