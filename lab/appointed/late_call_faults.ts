/**
 * Faults between a decision to call the platform and the effect of the call, while a primary crashes: the caller is stopped
 * at a stage of the call, the call is delivered late, its instance is away meanwhile, the platform's answer does not come,
 * or the holder of the appointment lease follows a leader that it hardly reaches. They strike only where they are named: the
 * others keep their seeds.
 */
import { CALL_LIFETIME_MS } from '../../src/appointed/failover/pending_appointments.js';
import { type RandomSource, delay } from '../../src/runtime/runtime.js';
import type { SimulatedCoordinator } from './appointed_nodes.js';
import type { AppointedWorld } from './appointed_world.js';
import type { EmulatedGroup, InstanceMachine } from './emulated_group.js';
import { type EndFault, crash, kill, pick, primaryOf, replicasOf } from './fault_targets.js';
import type { CallFate, CallObserver, PlatformCall } from './simulated_platform.js';

/** Kinds of these faults. */
export const LATE_CALL_FAULTS = [
  'stop-caller',
  'stop-before-write',
  'late-call',
  'late-call-instance-away',
  'late-answer',
  'following-holder',
] as const;

type LateCallFaultKind = (typeof LATE_CALL_FAULTS)[number];
type Starter = (world: AppointedWorld, random: RandomSource) => EndFault | undefined;

/** Ranges, in milliseconds. */
const STOP_MS = [100, 3000] as const;
const LATE_MS = [500, CALL_LIFETIME_MS - 1000] as const;
/** Longer than control waits for an answer. */
const ANSWER_MS = [1600, 6000] as const;
/** A process takes at least as long to start. */
const RESTART_MS = [400, 3000] as const;
const AWAY_MS = [200, 3000] as const;
const DEAF_MS = [0, 4000] as const;
/** One way between the holder and the leader. */
const SLOW_MS = [5, 120] as const;
/** Longer than an election takes, and shorter than a change of primary takes to reach the call. */
const DEPOSE_MS = [500, 900] as const;

type Range = readonly [number, number];

function draw(random: RandomSource, [least, most]: Range): number {
  return random.integer(least, most);
}

function controlAt(world: AppointedWorld, host: string): SimulatedCoordinator | undefined {
  return world.coordinators.find((control) => control.host === host);
}

/** Whether another control machine may go down: one at a time is lost. */
function areAllControlsRunning(world: AppointedWorld): boolean {
  return world.coordinators.every((control) => control.isRunning);
}

/** Stops a control machine now, unless another one is down. */
function stopFor(world: AppointedWorld, control: SimulatedCoordinator | undefined, ms: number) {
  if (control && areAllControlsRunning(world)) world.scheduler.schedule(ms, control.freeze());
}

/** Kills a control machine once what it does now is done, unless another one is down; it starts again. */
function killFor(world: AppointedWorld, host: string, ms: number): void {
  const { scheduler } = world;
  scheduler.schedule(0, () => {
    const control = controlAt(world, host);
    if (control && areAllControlsRunning(world)) scheduler.schedule(ms, kill([control]));
  });
}

/** Lets the next call for a group meet an observer at each stage, and crashes the group's primary. */
function crashAndMeet(
  world: AppointedWorld,
  group: EmulatedGroup,
  observer: CallObserver,
): EndFault | undefined {
  const restart = crash(group, primaryOf(group));
  if (!restart) return undefined;
  const endObservation = world.platform.observe(new NextCall(group.name, observer));
  return () => {
    endObservation();
    restart();
  };
}

/** Passes the stages of one call for a group on, the first that is connected and, if it is another one, the first sent. */
class NextCall implements CallObserver {
  private readonly passed = new Set<keyof CallObserver>();

  constructor(
    private readonly group: string,
    private readonly observer: CallObserver,
  ) {}

  onAccepted(call: PlatformCall): void {
    if (this.isFirst('onAccepted', call)) this.observer.onAccepted?.(call);
  }

  onConnected(call: PlatformCall): void {
    if (this.isFirst('onConnected', call)) this.observer.onConnected?.(call);
  }

  onChecked(call: PlatformCall): void {
    if (this.isFirst('onChecked', call)) this.observer.onChecked?.(call);
  }

  onSent(call: PlatformCall): CallFate {
    return (this.isFirst('onSent', call) && this.observer.onSent?.(call)) || {};
  }

  private isFirst(stage: keyof CallObserver, call: PlatformCall): boolean {
    if (call.group !== this.group || this.passed.has(stage)) return false;
    this.passed.add(stage);
    return true;
  }
}

/** Stops the caller when it is connected, while its permit is on the way, or once it has sent. */
function stopAtStage(world: AppointedWorld, random: RandomSource): CallObserver {
  const ms = draw(random, STOP_MS);
  const stopCaller = ({ host }: PlatformCall): void => stopFor(world, controlAt(world, host), ms);
  const passingMs = 2 * random.next() * world.deployment.networkMs;
  const stages: readonly CallObserver[] = [
    { onAccepted: stopCaller },
    // A caller that leads has sent by then.
    { onConnected: (call) => void world.scheduler.schedule(passingMs, () => stopCaller(call)) },
    {
      onSent: (call) => {
        stopCaller(call);
        return {};
      },
    },
  ];
  return pick(stages, random);
}

/** Delays a call, and stops its caller, kills it, or neither. */
function delayCall(
  world: AppointedWorld,
  random: RandomSource,
  deliveryMs: number,
): Required<Pick<CallObserver, 'onSent'>> {
  const stopMs = draw(random, STOP_MS);
  const restartMs = draw(random, RESTART_MS);
  const fates: readonly ((call: PlatformCall) => void)[] = [
    ({ host }) => stopFor(world, controlAt(world, host), stopMs),
    ({ host }) => killFor(world, host, restartMs),
    () => undefined,
  ];
  const strikeCaller = pick(fates, random);
  return {
    onSent: (call) => {
      strikeCaller(call);
      return { deliveryMs };
    },
  };
}

/** An instance crashes, comes back with its log, and receives nothing for a while. */
async function sendAway(
  world: AppointedWorld,
  random: RandomSource,
  group: EmulatedGroup,
  machine: InstanceMachine | undefined,
): Promise<void> {
  const { clock } = world.outside;
  await delay(clock, random.integer(0, 300));
  const restart = crash(group, machine);
  await delay(clock, draw(random, AWAY_MS));
  restart?.();
  const instance = machine?.running;
  if (!instance) return;
  instance.isDeaf = true;
  await delay(clock, draw(random, DEAF_MS));
  instance.isDeaf = false;
}

/** The control machine that holds the appointment lease, as the leader knows it, and the leader. */
function findHolderAndLeader(world: AppointedWorld): {
  holder: SimulatedCoordinator | undefined;
  leader: SimulatedCoordinator | undefined;
} {
  const leader = world.coordinators.find((control) => control.running?.node.isReadyLeader);
  const name = leader?.running?.catalog.appointmentLeaseEntry.holder;
  return { holder: world.coordinators.find((control) => control.name === name), leader };
}

/** Makes the leader a follower by a short stop. */
async function deposeLeader(world: AppointedWorld, random: RandomSource): Promise<void> {
  const ms = draw(random, DEPOSE_MS);
  stopFor(world, findHolderAndLeader(world).leader, ms);
  await delay(world.outside.clock, ms + random.integer(50, 400));
}

/** Cuts or slows the links between two hosts, in both directions or one; returns what ends that. */
function disturbLinks(
  world: AppointedWorld,
  random: RandomSource,
  holder: string,
  leader: string,
): EndFault {
  const { network } = world;
  const toLeader = [[holder], [leader]] as const;
  const toHolder = [[leader], [holder]] as const;
  const directions = pick([[toLeader], [toHolder], [toLeader, toHolder]], random);
  const isCut = random.next() < 0.5;
  const ends = directions.map(([from, to]) =>
    isCut ? network.cut(from, to) : network.slow(from[0], to[0], draw(random, SLOW_MS)),
  );
  return () => ends.forEach((end) => end());
}

/**
 * The holder follows another leader; at a stage of the next call, or with the crash of the primary, their links are
 * disturbed, or the leader is stopped.
 */
async function callAsFollower(
  world: AppointedWorld,
  random: RandomSource,
  group: EmulatedGroup,
): Promise<EndFault | undefined> {
  const { scheduler, outside } = world;
  if (!findHolderAndLeader(world).holder) {
    const restart = crash(group, primaryOf(group));
    await delay(outside.clock, random.integer(1500, 2500));
    restart?.();
  }
  const { holder, leader } = findHolderAndLeader(world);
  if (holder !== undefined && holder === leader) await deposeLeader(world, random);
  const disturb = (): void => {
    const found = findHolderAndLeader(world);
    if (!found.holder || !found.leader || found.holder === found.leader) return;
    if (random.next() < 0.3) return stopFor(world, found.leader, draw(random, STOP_MS));
    const end = disturbLinks(world, random, found.holder.host, found.leader.host);
    scheduler.schedule(draw(random, STOP_MS), end);
  };
  const disturbSoon = (): void =>
    void scheduler.schedule(random.next() * 2 * world.deployment.networkMs, disturb);
  const moments: readonly CallObserver[] = [
    { onAccepted: disturbSoon },
    { onConnected: disturbSoon },
    stopAtStage(world, random),
    delayCall(world, random, draw(random, LATE_MS)),
  ];
  if (random.next() < 0.3) disturb();
  return crashAndMeet(world, group, pick(moments, random));
}

export const LATE_CALL_STARTERS: Readonly<Record<LateCallFaultKind, Starter>> = {
  'stop-caller': (world, random) =>
    crashAndMeet(world, pick(world.groups, random), stopAtStage(world, random)),
  // What is sent then is out of order; it must not harm commits.
  'stop-before-write': (world, random) => {
    const ms = draw(random, STOP_MS);
    const onChecked = ({ host }: PlatformCall): void => stopFor(world, controlAt(world, host), ms);
    return crashAndMeet(world, pick(world.groups, random), { onChecked });
  },
  'late-call': (world, random) => {
    const observer = delayCall(world, random, draw(random, LATE_MS));
    return crashAndMeet(world, pick(world.groups, random), observer);
  },
  'late-call-instance-away': (world, random) => {
    const group = pick(world.groups, random);
    const late = delayCall(world, random, draw(random, LATE_MS));
    return crashAndMeet(world, group, {
      onSent: (call) => {
        const machine = replicasOf(group).find(({ site }) => site.options.id === call.instance);
        void sendAway(world, random, group, machine);
        return late.onSent(call);
      },
    });
  },
  'late-answer': (world, random) => {
    const answerMs = random.next() < 0.5 ? Infinity : draw(random, ANSWER_MS);
    return crashAndMeet(world, pick(world.groups, random), { onSent: () => ({ answerMs }) });
  },
  'following-holder': (world, random) => {
    const begun = callAsFollower(world, random, pick(world.groups, random));
    return () => void begun.then((end) => end?.());
  },
};
