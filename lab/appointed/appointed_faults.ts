/** Faults of deployments whose primaries are appointed. */
import type { RandomSource } from '../../src/runtime/runtime.js';
import { drawFailures } from '../simulation/disk_failures.js';
import type { SimulatedMachine } from '../simulation/simulated_machine.js';
import { ANSWER_FAULTS, ANSWER_STARTERS } from './answer_faults.js';
import { DEPARTURE_FAULTS, DEPARTURE_STARTERS } from './departure_faults.js';
import { type EndFault, crash, kill, pick, primaryOf, replicasOf } from './fault_targets.js';
import type { AppointedDeployment } from './appointed_deployment.js';
import type { AppointedWorld } from './appointed_world.js';
import type { EmulatedGroup, InstanceMachine } from './emulated_group.js';
import { LATE_CALL_FAULTS, LATE_CALL_STARTERS } from './late_call_faults.js';
import { PLANNED_STOP_FAULTS, PLANNED_STOP_STARTERS } from './planned_stop_faults.js';

/** Kinds of faults. */
export const APPOINTED_FAULTS = [
  'crash-primary',
  'dark-primary',
  'cut-primary-from-replicas',
  'cut-primary-from-proxies',
  'split-primary',
  'crash-replica',
  'lag-replicas',
  'deaf-replica',
  'lost-answers',
  'leave-primary',
  'leave-replica',
  'kill-proxy',
  'kill-proxies',
  'freeze-proxy',
  'cut-proxy-from-control',
  'kill-control',
  'kill-all-controls',
  'freeze-control',
  'isolate-control',
  'lose-control-disk',
  'fill-control-disk',
  'change-configuration',
] as const;

/** Kinds of faults of deployments with tenants; the others keep theirs, so that their seeds keep their meaning. */
const TENANT_FAULTS = ['renew-credential', 'swap-credentials', 'mute-connections'] as const;

/** Kinds of faults of deployments whose instances may start again empty under their identifier. */
const INCARNATION_FAULTS = [
  'restart-empty-primary',
  'restart-empty-replica',
  'restart-empty-behind-cut',
  'restart-empty-newest-replica',
] as const;
/** Acts of operators that strike only where they are named: the others keep their seeds. */
const OPERATOR_ACTS = ['evacuate-zone'] as const;

/** Failures of disks that strike only where they are named: the others keep their seeds. */
const APPOINTED_DISK_FAULTS = ['fail-control-disk'] as const;

export type { EndFault } from './fault_targets.js';

/** Kind of a fault. */
export type AppointedFaultKind =
  | (typeof ANSWER_FAULTS)[number]
  | (typeof DEPARTURE_FAULTS)[number]
  | (typeof LATE_CALL_FAULTS)[number]
  | (typeof PLANNED_STOP_FAULTS)[number]
  | (typeof APPOINTED_FAULTS)[number]
  | (typeof TENANT_FAULTS)[number]
  | (typeof INCARNATION_FAULTS)[number]
  | (typeof OPERATOR_ACTS)[number]
  | (typeof APPOINTED_DISK_FAULTS)[number];

/** Kinds that leave every proxy in touch with control; the judge holds proxies to time bounds meanwhile. */
const KINDS_IN_TOUCH: ReadonlySet<AppointedFaultKind> = new Set<AppointedFaultKind>([
  'crash-primary',
  'dark-primary',
  'cut-primary-from-replicas',
  'cut-primary-from-proxies',
  'crash-replica',
  'lag-replicas',
  'deaf-replica',
  'lost-answers',
  'leave-primary',
  'leave-replica',
  'change-configuration',
  'evacuate-zone',
  'replace-replica',
  'deregister-replica',
  'hear-alone',
  'move-route',
  ...ANSWER_FAULTS,
]);

/** Kinds of faults that may strike a deployment. */
export function faultsOf(deployment: AppointedDeployment): readonly AppointedFaultKind[] {
  const kinds: AppointedFaultKind[] = [...APPOINTED_FAULTS];
  if (deployment.tenancy) kinds.push(...TENANT_FAULTS);
  if (deployment.tellsBorn) kinds.push(...INCARNATION_FAULTS);
  return kinds;
}

/** Kinds of faults that may be named for a deployment. */
export function nameableFaultsOf(deployment: AppointedDeployment): readonly AppointedFaultKind[] {
  const named = [
    ...OPERATOR_ACTS,
    ...APPOINTED_DISK_FAULTS,
    ...DEPARTURE_FAULTS,
    ...LATE_CALL_FAULTS,
    ...PLANNED_STOP_FAULTS,
    ...ANSWER_FAULTS,
  ];
  return [...faultsOf(deployment), ...named];
}

type Starter = (world: AppointedWorld, random: RandomSource) => EndFault | undefined;

function cutBothWays(
  world: AppointedWorld,
  left: readonly string[],
  right: readonly string[],
): EndFault {
  const heals = [world.network.cut(left, right), world.network.cut(right, left)];
  return () => heals.forEach((heal) => heal());
}

function hostsOf(machines: readonly { readonly host: string }[]): string[] {
  return machines.map((machine) => machine.host);
}

/** Ends an instance, and starts it again, empty, a moment later. */
function restartEmpty(
  world: AppointedWorld,
  group: EmulatedGroup,
  machine: InstanceMachine | undefined,
): EndFault | undefined {
  if (!world.deployment.tellsBorn || !machine?.running || !group.canLose(machine)) return undefined;
  machine.running.process.kill();
  machine.lose(world.scheduler.now);
  world.scheduler.schedule(RESTART_MS, () => group.startMachine(machine));
  return () => undefined;
}

/** The replica that received most. */
function newestReplica(group: EmulatedGroup): InstanceMachine | undefined {
  const lengthOf = ({ storage }: InstanceMachine): number => storage.log.length;
  return replicasOf(group).toSorted((left, right) => lengthOf(right) - lengthOf(left))[0];
}

/** Only one control machine is lost at a time, unless all keep their disks. */
function pickControl(world: AppointedWorld, random: RandomSource): SimulatedMachine | undefined {
  if (world.coordinators.some((control) => !control.isUp)) return undefined;
  return pick(world.coordinators, random);
}

/** Time for which a replica receives nothing before the other one starts again, in milliseconds. */
const DEAF_MS = 400;
/** Time in which an instance starts again, in milliseconds. */
const RESTART_MS = 30;

const STARTERS: Readonly<Record<AppointedFaultKind, Starter>> = {
  ...DEPARTURE_STARTERS,
  ...LATE_CALL_STARTERS,
  ...PLANNED_STOP_STARTERS,
  ...ANSWER_STARTERS,
  'crash-primary': (world, random) => {
    const group = pick(world.groups, random);
    return crash(group, primaryOf(group));
  },
  'dark-primary': (world, random) => {
    const primary = primaryOf(pick(world.groups, random));
    if (!primary) return undefined;
    const others = [
      ...hostsOf([...world.coordinators, ...world.routers]),
      ...world.instanceMachines().map(({ machine }) => machine.site.host),
    ].filter((host) => host !== primary.site.host);
    return cutBothWays(world, [primary.site.host], others);
  },
  'cut-primary-from-replicas': (world, random) => {
    const group = pick(world.groups, random);
    const primary = primaryOf(group);
    if (!primary) return undefined;
    const replicas = replicasOf(group).map((machine) => machine.site.host);
    return cutBothWays(world, [primary.site.host], replicas);
  },
  'cut-primary-from-proxies': (world, random) => {
    const primary = primaryOf(pick(world.groups, random));
    if (!primary) return undefined;
    const cut = world.routers.filter(() => random.next() < 0.6);
    return cutBothWays(world, [primary.site.host], hostsOf(cut));
  },
  'split-primary': (world, random) => {
    const primary = primaryOf(pick(world.groups, random));
    if (!primary) return undefined;
    const withPrimary = world.routers.filter(() => random.next() < 0.6);
    const others = [
      ...hostsOf(world.coordinators),
      ...hostsOf(world.routers.filter((router) => !withPrimary.includes(router))),
      ...world.instanceMachines().map(({ machine }) => machine.site.host),
    ].filter((host) => host !== primary.site.host);
    return cutBothWays(world, [primary.site.host, ...hostsOf(withPrimary)], others);
  },
  'crash-replica': (world, random) => {
    const group = pick(world.groups, random);
    const replicas = replicasOf(group);
    return replicas.length === 0 ? undefined : crash(group, pick(replicas, random));
  },
  'lag-replicas': (world, random) => {
    const replicas = replicasOf(pick(world.groups, random)).flatMap((item) => item.running ?? []);
    for (const replica of replicas) replica.lagMs = world.deployment.lagMs * 100;
    return () => replicas.forEach((replica) => (replica.lagMs = world.deployment.lagMs));
  },
  'deaf-replica': (world, random) => {
    const [replica] = replicasOf(pick(world.groups, random)).flatMap((item) => item.running ?? []);
    if (!replica) return undefined;
    replica.isDeaf = true;
    return () => (replica.isDeaf = false);
  },
  'lost-answers': (world, random) => {
    const instances = pick(world.groups, random).machines.flatMap((item) => item.running ?? []);
    for (const instance of instances) instance.lostAnswers = 0.1;
    return () => instances.forEach((instance) => (instance.lostAnswers = 0));
  },
  'leave-primary': (world, random) => leave(world, primaryOf(pick(world.groups, random))),
  'leave-replica': (world, random) => {
    const replicas = replicasOf(pick(world.groups, random));
    return leave(world, replicas[0]);
  },
  'kill-proxy': (world, random) => kill([pick(world.routers, random)]),
  'kill-proxies': (world, random) => kill(world.routers.filter(() => random.next() < 0.6)),
  'freeze-proxy': (world, random) => pick(world.routers, random).freeze(),
  'cut-proxy-from-control': (world, random) =>
    cutBothWays(world, [pick(world.routers, random).host], hostsOf(world.coordinators)),
  'kill-control': (world, random) => {
    const control = pickControl(world, random);
    return control && kill([control]);
  },
  'kill-all-controls': (world) => kill(world.coordinators),
  'freeze-control': (world, random) => pickControl(world, random)?.freeze(),
  'isolate-control': (world, random) => {
    const control = pickControl(world, random);
    if (!control) return undefined;
    const others = hostsOf([...world.coordinators, ...world.routers]);
    return cutBothWays(
      world,
      [control.host],
      others.filter((host) => host !== control.host),
    );
  },
  'lose-control-disk': (world, random) => {
    const control = pickControl(world, random);
    if (!control) return undefined;
    control.loseDisk();
    return () => control.start();
  },
  'fill-control-disk': (world, random) => pickControl(world, random)?.fillDisk(),
  'fail-control-disk': (world, random) =>
    pickControl(world, random)?.failDisk(drawFailures(random)),
  'change-configuration': (world) => {
    for (let count = 0; count < 3; count++) void world.submitDocument();
    return () => undefined;
  },
  'evacuate-zone': (world, random) => {
    const zone = pick(world.zones, random);
    if (world.orderedZones.has(zone)) return undefined;
    const begun = world.evacuate(zone);
    return () => void begun.then(() => world.finishEvacuation(zone));
  },
  'renew-credential': (world, random) => {
    const { tenancy } = world;
    if (!tenancy) return undefined;
    tenancy.renew(pick(tenancy.tenants, random));
    void world.submitUntilTaken();
    return () => undefined;
  },
  'swap-credentials': (world, random) => {
    const { tenancy } = world;
    if (!tenancy) return undefined;
    const left = pick(tenancy.tenants, random);
    const others = tenancy.tenants.filter((name) => name !== left);
    tenancy.swap(left, pick(others, random));
    void world.submitUntilTaken();
    return () => undefined;
  },
  'mute-connections': (world) => {
    world.network.muteOpenStreams();
    return () => undefined;
  },
  'restart-empty-primary': (world, random) => {
    const group = pick(world.groups, random);
    return restartEmpty(world, group, primaryOf(group));
  },
  'restart-empty-replica': (world, random) => {
    const group = pick(world.groups, random);
    const replicas = replicasOf(group);
    if (replicas.length === 0) return undefined;
    return restartEmpty(world, group, pick(replicas, random));
  },
  // Control hears of it only when the cut ends.
  'restart-empty-behind-cut': (world, random) => {
    const group = pick(world.groups, random);
    const machine = pick(group.machines, random);
    if (!restartEmpty(world, group, machine)) return undefined;
    return cutBothWays(world, [machine.site.host], hostsOf(world.coordinators));
  },
  // While the other replica receives nothing, this one alone confirms; then it starts again, and the primary goes down.
  'restart-empty-newest-replica': (world, random) => {
    const group = pick(world.groups, random);
    const primary = primaryOf(group);
    const [deaf] = replicasOf(group).flatMap((item) => item.running ?? []);
    if (!primary || !deaf || !group.canLose(primary)) return undefined;
    deaf.isDeaf = true;
    let restart: EndFault | undefined;
    world.scheduler.schedule(DEAF_MS, () => {
      const isLost = restartEmpty(world, group, newestReplica(group));
      if (isLost && primary.running) restart = crash(group, primary);
      deaf.isDeaf = false;
    });
    return () => restart?.();
  },
};

/** An instance tells that it leaves, serves on, and takes it back at the end. */
function leave(world: AppointedWorld, machine: InstanceMachine | undefined): EndFault | undefined {
  const instance = machine?.running;
  if (!instance) return undefined;
  void world.announceLeaving(machine);
  return () => {
    instance.isLeaving = false;
    world.judge.onStays(instance.options.id);
  };
}

/** Starts a fault; undefined when it can't strike now. */
export function startFault(
  kind: AppointedFaultKind,
  world: AppointedWorld,
  random: RandomSource,
): EndFault | undefined {
  const end = STARTERS[kind](world, random);
  if (!end || KINDS_IN_TOUCH.has(kind)) return end;
  world.judge.onDisturbed(1);
  return () => {
    end();
    world.judge.onDisturbed(-1);
  };
}
