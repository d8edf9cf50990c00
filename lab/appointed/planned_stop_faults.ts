/**
 * Planned stops of proxies: the process gets SIGTERM, runs the product's own graceful shutdown, ends, and starts again; alone, of two
 * proxies at about the same time, and beside a freeze of the process, a crashed primary or slow instances. Where one of these kinds
 * is named, callers use the product's own connections, and many of them go to proxies that stop. They strike only where they
 * are named: the others keep their seeds.
 */
import type { RandomSource } from '../../src/runtime/runtime.js';
import type { SimulatedRouter } from './appointed_nodes.js';
import type { AppointedWorld } from './appointed_world.js';
import { type EndFault, crash, pick, primaryOf } from './fault_targets.js';

/** Kinds of these faults. */
export const PLANNED_STOP_FAULTS = [
  'stop-proxy',
  'stop-two-proxies',
  'stop-frozen-proxy',
  'stop-proxy-primary-crashes',
  'stop-proxy-slow-instances',
] as const;

type PlannedStopFaultKind = (typeof PLANNED_STOP_FAULTS)[number];
type Starter = (world: AppointedWorld, random: RandomSource) => EndFault | undefined;

/** Time from SIGTERM to the end of the process at the latest, in milliseconds. */
const GRACE_MS = 6000;
/** Ranges, in milliseconds: until the process starts again, and of what strikes beside a stop. */
const RESTART_MS = [100, 1000] as const;
const SECOND_STOP_MS = [0, 3000] as const;
const FREEZE_AFTER_MS = [0, 5500] as const;
const FREEZE_MS = [100, 2500] as const;
const CRASH_AFTER_MS = [0, 5000] as const;
/** Statements take this many times as long at slow instances. */
const SLOW_FACTOR = [5, 40] as const;

function draw(random: RandomSource, [least, most]: readonly [number, number]): number {
  return random.integer(least, most);
}

/** Whether any of the named kinds stops proxies. */
export function arePlannedStops(kinds: readonly string[] | undefined): boolean {
  return kinds?.some((kind) => PLANNED_STOP_FAULTS.some((stop) => stop === kind)) ?? false;
}

/** Stops a proxy that runs and is not stopping; undefined if there is none. */
function stopOne(world: AppointedWorld, random: RandomSource): SimulatedRouter | undefined {
  const candidates = world.routers.filter((router) => router.isRunning && !router.isStopping);
  if (candidates.length === 0) return undefined;
  const router = pick(candidates, random);
  router.stopAndRestart(GRACE_MS, draw(random, RESTART_MS));
  return router;
}

// A stop that has begun ends by itself.
const NOTHING_TO_END: EndFault = () => undefined;

export const PLANNED_STOP_STARTERS: Readonly<Record<PlannedStopFaultKind, Starter>> = {
  'stop-proxy': (world, random) => stopOne(world, random) && NOTHING_TO_END,
  'stop-two-proxies': (world, random) => {
    if (!stopOne(world, random)) return undefined;
    world.scheduler.schedule(draw(random, SECOND_STOP_MS), () => void stopOne(world, random));
    return NOTHING_TO_END;
  },
  'stop-frozen-proxy': (world, random) => {
    const router = stopOne(world, random);
    if (!router) return undefined;
    const frozenMs = draw(random, FREEZE_MS);
    world.scheduler.schedule(draw(random, FREEZE_AFTER_MS), () => {
      if (router.isStopping) world.scheduler.schedule(frozenMs, router.freeze());
    });
    return NOTHING_TO_END;
  },
  'stop-proxy-primary-crashes': (world, random) => {
    if (!stopOne(world, random)) return undefined;
    const group = pick(world.groups, random);
    let hasEnded = false;
    let restart: EndFault | undefined;
    world.scheduler.schedule(draw(random, CRASH_AFTER_MS), () => {
      if (!hasEnded) restart = crash(group, primaryOf(group));
    });
    return () => {
      hasEnded = true;
      restart?.();
    };
  },
  'stop-proxy-slow-instances': (world, random) => {
    if (!stopOne(world, random)) return undefined;
    const { machines } = pick(world.groups, random);
    const instances = machines.flatMap(({ running }) => running ?? []);
    const factor = draw(random, SLOW_FACTOR);
    for (const instance of instances) instance.slowness = factor;
    return () => instances.forEach((instance) => (instance.slowness = 1));
  },
};
