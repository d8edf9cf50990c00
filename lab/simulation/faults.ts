/** Faults of the simulation: what each breaks, and how it ends. */
import type { RandomSource } from '../../src/runtime/runtime.js';
import { drawFailures } from './disk_failures.js';
import type { SimulatedMachine } from './simulated_machine.js';
import type { World } from './world.js';

/** Kinds of faults. */
export const FAULT_KINDS = [
  'kill-primary',
  'kill-replica',
  'freeze-primary',
  'isolate-primary',
  'cut-primary-from-proxies',
  'lose-instance-disk',
  'lag-replicas',
  'slow-instance',
  'leave-instance',
  'kill-proxy',
  'freeze-proxy',
  'stop-proxy',
  'kill-control',
  'freeze-control',
  'cut-control',
  'lose-control-disk',
  'lose-control-disk-behind',
  'cut-zone',
  'cut-link',
] as const;

/** Kinds of faults that strike only where they are named, so that the seeds of the others keep their meaning. */
export const DISK_FAULT_KINDS = ['fail-control-disk', 'fail-proxy-disk'] as const;

/** Kind of a fault. */
export type FaultKind = (typeof FAULT_KINDS)[number] | (typeof DISK_FAULT_KINDS)[number];

/** A fault under way. */
export interface ActiveFault {
  readonly description: string;
  /** Ends the fault. */
  end(): void;
}

type FaultStarter = (world: World, random: RandomSource) => ActiveFault | undefined;

function pick<T>(items: readonly T[], random: RandomSource): T | undefined {
  return items.length === 0 ? undefined : items[random.integer(0, items.length - 1)];
}

function pickGroup(world: World, random: RandomSource): string {
  return pick(world.options.deployment.groups, random)!;
}

function kill(machine: SimulatedMachine | undefined): ActiveFault | undefined {
  if (!machine?.isUp) return undefined;
  machine.kill();
  return { description: `kill ${machine.name}`, end: () => machine.start() };
}

function freeze(machine: SimulatedMachine | undefined): ActiveFault | undefined {
  if (!machine?.isUp) return undefined;
  const thaw = machine.freeze();
  return { description: `freeze ${machine.name}`, end: thaw };
}

/** Cuts both directions, or one of them now and then. */
function cut(
  world: World,
  random: RandomSource,
  left: readonly string[],
  right: readonly string[],
  description: string,
): ActiveFault {
  const direction = random.integer(0, 3);
  const heals: (() => void)[] = [];
  if (direction !== 1) heals.push(world.network.cut(left, right));
  if (direction !== 0) heals.push(world.network.cut(right, left));
  const which = direction > 1 ? 'both ways' : direction === 0 ? 'outgoing' : 'incoming';
  return {
    description: `${description} (${which})`,
    end: () => heals.forEach((heal) => heal()),
  };
}

function loseDisk(machine: SimulatedMachine | undefined): ActiveFault | undefined {
  if (!machine?.isUp) return undefined;
  machine.loseDisk();
  return { description: `lose the disk of ${machine.name}`, end: () => machine.start() };
}

function failDisk(
  machine: SimulatedMachine | undefined,
  random: RandomSource,
): ActiveFault | undefined {
  if (!machine?.isUp) return undefined;
  const failures = drawFailures(random);
  const operations = [...failures.operations].join(', ');
  return {
    description: `${operations} fail on ${machine.name} (rate ${failures.rate}, ${failures.slowness} times slower)`,
    end: machine.failDisk(failures),
  };
}

/** Whether all control machines are voters under their present names, so that another loss is bearable. */
function controlsAreWhole(world: World): boolean {
  const leader = world.controls.find((control) => control.core?.node.role === 'leader')?.core;
  if (!leader) return false;
  const voters = leader.node.membership.voters.map((voter) => voter.id);
  const isWhole = world.controls.every((control) =>
    control.core ? voters.includes(control.core.node.id) : false,
  );
  return isWhole && voters.length === world.controls.length;
}

const BEHIND_MS = 1200;

/**
 * A control machine falls behind, then another loses its disk and the leader ends at the same moment: only
 * the lost disk and the leader held the newest changes.
 */
function loseDiskBehind(world: World, random: RandomSource): ActiveFault | undefined {
  const leader = world.controls.find((control) => control.core?.node.role === 'leader');
  if (!leader || !controlsAreWhole(world) || world.controlDiskAtRisk) return undefined;
  world.controlDiskAtRisk = true;
  const followers = world.controls.filter((control) => control !== leader);
  const behind = pick(followers, random)!;
  const lost = followers.find((control) => control !== behind)!;
  const others = world.machines.filter((machine) => machine !== behind);
  const hosts = others.map((machine) => machine.host);
  const heals = [world.network.cut([behind.host], hosts), world.network.cut(hosts, [behind.host])];
  let isOver = false;
  const healAll = (): void => heals.splice(0).forEach((heal) => heal());
  world.scheduler.schedule(BEHIND_MS, () => {
    if (isOver) return;
    // The leader ends before it could bring the empty disk up to date again.
    lost.loseDisk();
    leader.kill();
    healAll();
    lost.start();
  });
  return {
    description: `${behind.name} falls behind, ${lost.name} loses its disk, ${leader.name} ends`,
    end: () => {
      isOver = true;
      world.controlDiskAtRisk = false;
      healAll();
      leader.start();
    },
  };
}

const starters: Readonly<Record<FaultKind, FaultStarter>> = {
  'kill-primary': (world, random) => kill(world.primaryOf(pickGroup(world, random))),
  'kill-replica': (world, random) => {
    const group = pickGroup(world, random);
    const primary = world.primaryOf(group);
    const replicas = world.instancesOf(group).filter((instance) => instance !== primary);
    return kill(pick(replicas, random));
  },
  'freeze-primary': (world, random) => freeze(world.primaryOf(pickGroup(world, random))),
  'isolate-primary': (world, random) => {
    const group = pickGroup(world, random);
    const primary = world.primaryOf(group);
    if (!primary) return undefined;
    const others = world.instancesOf(group).filter((instance) => instance !== primary);
    const hosts = others.map((instance) => instance.host);
    return cut(world, random, [primary.host], hosts, `cut ${primary.name} from its group`);
  },
  'cut-primary-from-proxies': (world, random) => {
    const primary = world.primaryOf(pickGroup(world, random));
    if (!primary) return undefined;
    const proxies = world.proxies.filter(() => random.next() < 0.7).map((proxy) => proxy.host);
    return cut(world, random, [primary.host], proxies, `cut ${primary.name} from proxies`);
  },
  'lose-instance-disk': (world, random) => {
    const group = pickGroup(world, random);
    const instances = world.instancesOf(group);
    // Two lost disks of three would lose acknowledged writes, whatever anyone does.
    if (!instances.every((instance) => instance.instance?.member.isOnline)) return undefined;
    return loseDisk(pick(instances, random));
  },
  'lag-replicas': (world, random) => {
    const group = pickGroup(world, random);
    const lagMs = random.integer(100, 3000);
    const instances = world.instancesOf(group).filter(() => random.next() < 0.7);
    for (const instance of instances) instance.setLag(lagMs);
    return {
      description: `lag of ${lagMs} ms in ${group}`,
      end: () => instances.forEach((instance) => instance.setLag(undefined)),
    };
  },
  'slow-instance': (world, random) => {
    const instance = pick(world.instances, random)?.instance;
    if (!instance) return undefined;
    instance.slowness = random.integer(20, 2500);
    return {
      description: `statements ${instance.slowness} times slower on ${instance.serverUuid}`,
      end: () => {
        instance.slowness = 1;
      },
    };
  },
  'leave-instance': (world, random) => {
    const instance = pick(world.instances, random);
    if (!instance?.isUp) return undefined;
    world.platform.set(instance.name, 'leaving');
    instance.setLeaving(true);
    return {
      description: `${instance.name} is leaving`,
      end: () => {
        world.platform.set(instance.name, 'live');
        instance.setLeaving(false);
      },
    };
  },
  'kill-proxy': (world, random) => kill(pick(world.proxies, random)),
  'freeze-proxy': (world, random) => freeze(pick(world.proxies, random)),
  'stop-proxy': (world, random) => {
    const proxy = pick(world.proxies, random);
    if (!proxy?.isUp) return undefined;
    proxy.stopPlanned();
    return { description: `planned stop of ${proxy.name}`, end: () => proxy.startOnceStopped() };
  },
  'kill-control': (world, random) => kill(pick(world.controls, random)),
  'freeze-control': (world, random) => freeze(pick(world.controls, random)),
  'cut-control': (world, random) => {
    const control = pick(world.controls, random)!;
    const others = world.machines.filter((machine) => machine !== control);
    const hosts = others.map((machine) => machine.host);
    return cut(world, random, [control.host], hosts, `cut ${control.name} from everything`);
  },
  'lose-control-disk': (world, random) =>
    controlsAreWhole(world) && !world.controlDiskAtRisk
      ? loseDisk(pick(world.controls, random))
      : undefined,
  'lose-control-disk-behind': loseDiskBehind,
  'fail-control-disk': (world, random) => failDisk(pick(world.controls, random), random),
  'fail-proxy-disk': (world, random) => failDisk(pick(world.proxies, random), random),
  'cut-zone': (world, random) => {
    const zone = pick(world.options.deployment.zones, random)!;
    const [inside, outside] = [world.hostsIn(zone), world.hostsOutside(zone)];
    return cut(world, random, inside, outside, `cut ${zone} off`);
  },
  'cut-link': (world, random) => {
    const left = pick(world.machines, random)!;
    const right = pick(world.machines, random)!;
    return cut(world, random, [left.host], [right.host], `cut ${left.name} from ${right.name}`);
  },
};

/** Starts a fault; undefined when there is nothing it could break now. */
export function startFault(
  kind: FaultKind,
  world: World,
  random: RandomSource,
): ActiveFault | undefined {
  return starters[kind](world, random);
}
