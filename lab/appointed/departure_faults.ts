/**
 * Faults in which a group loses logs and proxies their records: instances that are replaced, alone with a commit, while proxies
 * are killed and primaries crash; and routes that move to another group and back. They strike only where they are named: the
 * others keep their seeds.
 */
import { type RandomSource, delay } from '../../src/runtime/runtime.js';
import type { AppointedWorld } from './appointed_world.js';
import { databaseOf, POLICIES } from './appointed_world.js';
import type { EmulatedGroup, InstanceMachine } from './emulated_group.js';
import { type EndFault, crash, kill, pick, primaryOf, replicasOf } from './fault_targets.js';

/** Kinds of these faults. */
export const DEPARTURE_FAULTS = [
  'replace-replica',
  'deregister-replica',
  'hear-alone',
  'lose-newest-replica',
  'crash-primaries-in-turn',
  'move-route',
] as const;

type DepartureFaultKind = (typeof DEPARTURE_FAULTS)[number];
type Starter = (world: AppointedWorld, random: RandomSource) => EndFault | undefined;

/** Time in which a killed proxy starts again, in milliseconds. */
const PROXY_RESTART_MS = 400;
/** Moves of a route to another group and back. */
const MOVES = 3;
/** Interval and number of looks for a new primary. */
const LOOK_MS = 100;
const LOOKS = 50;

/** How a replica leaves: it says so and deregisters at its end, or it deregisters first and serves on. */
type Departure = 'draining' | 'deregistered';

function wait(
  world: AppointedWorld,
  random: RandomSource,
  from: number,
  to: number,
): Promise<void> {
  return delay(world.outside.clock, random.integer(from, to));
}

/** Starts the successor of a replica, which then begins to leave. */
function beginDeparture(
  world: AppointedWorld,
  group: EmulatedGroup,
  machine: InstanceMachine,
  departure: Departure,
): void {
  world.addInstance(group);
  if (departure === 'deregistered') void world.deregister(machine);
  else void world.announceLeaving(machine);
}

/** Ends a leaving instance for good, with its log. One that leads by now stays. */
function endDeparture(world: AppointedWorld, group: EmulatedGroup, machine: InstanceMachine): void {
  if (machine === primaryOf(group)) {
    if (machine.running) machine.running.isLeaving = false;
    world.judge.onStays(machine.site.options.id);
    return;
  }
  if (!machine.hasDeregistered) void world.deregister(machine);
  group.remove(machine);
}

function depart(
  world: AppointedWorld,
  random: RandomSource,
  departure: Departure,
): EndFault | undefined {
  const group = pick(world.groups, random);
  const staying = replicasOf(group).filter((machine) => !machine.hasDeregistered);
  if (staying.length < 2) return undefined;
  const leaver = pick(staying, random);
  beginDeparture(world, group, leaver, departure);
  return () => endDeparture(world, group, leaver);
}

/** Lets only one replica of a group receive; returns what ends that. */
function letHearAlone(group: EmulatedGroup, hearing: InstanceMachine): EndFault {
  const others = replicasOf(group).filter((machine) => machine !== hearing);
  const deaf = others.flatMap((machine) => machine.running ?? []);
  for (const replica of deaf) replica.isDeaf = true;
  return () => deaf.forEach((replica) => (replica.isDeaf = false));
}

/** Kills proxies, some of them or all but one, which start again a moment later. */
function restartProxies(world: AppointedWorld, random: RandomSource): void {
  const survivor = pick(world.routers, random);
  const isAllButOne = random.next() < 0.5;
  const killed = world.routers.filter((router) =>
    isAllButOne ? router !== survivor : random.next() < 0.6,
  );
  const end = kill(killed);
  world.scheduler.schedule(PROXY_RESTART_MS, end);
}

/** A leaving replica alone receives, then ends; proxies are lost, and the primary crashes while the others receive nothing. */
async function loseNewestReplica(
  world: AppointedWorld,
  random: RandomSource,
  group: EmulatedGroup,
  leaver: InstanceMachine,
): Promise<void> {
  beginDeparture(world, group, leaver, random.next() < 0.6 ? 'deregistered' : 'draining');
  await wait(world, random, 200, 1000);
  const replaced = random.next() < 0.5 ? primaryOf(group) : undefined;
  if (replaced) await world.announceLeaving(replaced);
  await wait(world, random, 1000, 2000);
  const endDeafness = letHearAlone(group, leaver);
  await wait(world, random, 100, 500);
  if (random.next() < 0.5) restartProxies(world, random);
  await wait(world, random, 50, 600);
  endDeparture(world, group, leaver);
  if (random.next() < 0.3) restartProxies(world, random);
  await wait(world, random, 50, 700);
  const restart = crash(group, primaryOf(group));
  await wait(world, random, 500, 3000);
  endDeafness();
  await wait(world, random, 0, 500);
  restart?.();
  if (replaced?.running) replaced.running.isLeaving = false;
  if (replaced) world.judge.onStays(replaced.site.options.id);
}

/** The next primary of a group; undefined when there is none in time. */
async function nextPrimary(
  world: AppointedWorld,
  group: EmulatedGroup,
  former: InstanceMachine,
): Promise<InstanceMachine | undefined> {
  for (let look = 0; look < LOOKS; look++) {
    const primary = primaryOf(group);
    if (primary && primary !== former) return primary;
    await delay(world.outside.clock, LOOK_MS);
  }
  return undefined;
}

/** While one replica receives nothing, proxies are lost, and two primaries crash one after the other. */
async function crashInTurn(
  world: AppointedWorld,
  random: RandomSource,
  group: EmulatedGroup,
  first: InstanceMachine,
): Promise<void> {
  const endDeafness = letHearAlone(group, pick(replicasOf(group), random));
  await wait(world, random, 10, 200);
  if (random.next() < 0.8) restartProxies(world, random);
  await wait(world, random, 0, 300);
  const restartFirst = crash(group, first);
  const second = await nextPrimary(world, group, first);
  await wait(world, random, 100, 1200);
  const restartSecond = crash(group, second);
  await wait(world, random, 500, 2000);
  endDeafness();
  restartFirst?.();
  await wait(world, random, 0, 500);
  restartSecond?.();
}

/** A route moves to another group and back, some times. */
async function moveRoute(
  world: AppointedWorld,
  random: RandomSource,
  database: string,
  home: string,
  other: string,
): Promise<void> {
  for (let move = 0; move < MOVES; move++) {
    for (const group of [other, home]) {
      world.moveRoute(database, group);
      await world.submitUntilTaken();
      await wait(world, random, 200, 800);
    }
  }
}

export const DEPARTURE_STARTERS: Readonly<Record<DepartureFaultKind, Starter>> = {
  'replace-replica': (world, random) => depart(world, random, 'draining'),
  'deregister-replica': (world, random) => depart(world, random, 'deregistered'),
  'hear-alone': (world, random) => {
    const group = pick(world.groups, random);
    const replicas = replicasOf(group);
    if (replicas.length === 0) return undefined;
    const leaving = replicas.filter((item) => item.hasDeregistered || item.running?.isLeaving);
    return letHearAlone(group, pick(leaving.length > 0 ? leaving : replicas, random));
  },
  'lose-newest-replica': (world, random) => {
    const group = pick(world.groups, random);
    const replicas = replicasOf(group).filter((machine) => !machine.hasDeregistered);
    if (!primaryOf(group) || replicas.length < 2) return undefined;
    void loseNewestReplica(world, random, group, pick(replicas, random));
    return () => undefined;
  },
  'crash-primaries-in-turn': (world, random) => {
    const group = pick(world.groups, random);
    const primary = primaryOf(group);
    if (!primary || replicasOf(group).length < 2) return undefined;
    void crashInTurn(world, random, group, primary);
    return () => undefined;
  },
  'move-route': (world, random) => {
    const home = pick(world.groups, random).name;
    const others = world.groups.map(({ name }) => name).filter((name) => name !== home);
    if (others.length === 0) return undefined;
    const database = databaseOf(home, pick(POLICIES, random));
    void moveRoute(world, random, database, home, pick(others, random));
    return () => undefined;
  },
};
