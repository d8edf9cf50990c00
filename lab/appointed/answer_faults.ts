/**
 * Instances that answer twice, the second time late, and instances that refuse commands now and then. Where one of these kinds is
 * named, callers send texts of any bytes (`caller_texts.ts`). They strike only where they are named: the others keep their seeds.
 */
import type { RandomSource } from '../../src/runtime/runtime.js';
import type { AppointedWorld } from './appointed_world.js';
import type { EmulatedInstance } from './emulated_instance.js';
import { type EndFault, pick } from './fault_targets.js';

/** Kinds of these faults. */
export const ANSWER_FAULTS = [
  'doubled-answers',
  'refused-commands',
  'doubled-answers-refused-commands',
] as const;

type AnswerFaultKind = (typeof ANSWER_FAULTS)[number];
type Starter = (world: AppointedWorld, random: RandomSource) => EndFault | undefined;

/** Ranges of the shares of the answers that come twice, and of the commands that are refused, in percent. */
const DOUBLED_PERCENT = [2, 40] as const;
const REFUSED_PERCENT = [2, 40] as const;
/** Longest times after which a second copy is sent, in milliseconds; a fault draws one of them. */
const LONGEST_COPY_DELAYS_MS = [5, 60, 400, 2000] as const;

/** Whether any of the named kinds concerns answers. */
export function areAnswerFaults(kinds: readonly string[] | undefined): boolean {
  return kinds?.some((kind) => ANSWER_FAULTS.some((fault) => fault === kind)) ?? false;
}

function drawShare(random: RandomSource, [least, most]: readonly [number, number]): number {
  return random.integer(least, most) / 100;
}

function instancesOfOneGroup(world: AppointedWorld, random: RandomSource): EmulatedInstance[] {
  return pick(world.groups, random).machines.flatMap(({ running }) => running ?? []);
}

function doubleAnswers(instances: readonly EmulatedInstance[], random: RandomSource): EndFault {
  const share = drawShare(random, DOUBLED_PERCENT);
  const longestCopyDelayMs = pick(LONGEST_COPY_DELAYS_MS, random);
  for (const instance of instances) {
    instance.doubledAnswers = share;
    instance.longestCopyDelayMs = longestCopyDelayMs;
  }
  return () => instances.forEach((instance) => (instance.doubledAnswers = 0));
}

function refuseCommands(instances: readonly EmulatedInstance[], random: RandomSource): EndFault {
  const share = drawShare(random, REFUSED_PERCENT);
  for (const instance of instances) instance.refusedCommands = share;
  return () => instances.forEach((instance) => (instance.refusedCommands = 0));
}

export const ANSWER_STARTERS: Readonly<Record<AnswerFaultKind, Starter>> = {
  'doubled-answers': (world, random) => doubleAnswers(instancesOfOneGroup(world, random), random),
  'refused-commands': (world, random) => refuseCommands(instancesOfOneGroup(world, random), random),
  'doubled-answers-refused-commands': (world, random) => {
    const instances = instancesOfOneGroup(world, random);
    const ends = [doubleAnswers(instances, random), refuseCommands(instances, random)];
    return () => ends.forEach((end) => end());
  },
};
