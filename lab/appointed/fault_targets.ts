/** What faults strike, and how machines go down and come back. */
import type { RandomSource } from '../../src/runtime/runtime.js';
import type { SimulatedMachine } from '../simulation/simulated_machine.js';
import type { EmulatedGroup, InstanceMachine } from './emulated_group.js';

/** Ends a fault. */
export type EndFault = () => void;

export function pick<T>(items: readonly T[], random: RandomSource): T {
  return items[random.integer(0, items.length - 1)]!;
}

export function primaryOf(group: EmulatedGroup): InstanceMachine | undefined {
  const { leader } = group;
  return leader && group.machines.find((machine) => machine.current === leader);
}

export function replicasOf(group: EmulatedGroup): InstanceMachine[] {
  const primary = primaryOf(group);
  return group.machines.filter((machine) => machine !== primary && machine.running);
}

export function crash(
  group: EmulatedGroup,
  machine: InstanceMachine | undefined,
): EndFault | undefined {
  if (!machine?.running) return undefined;
  machine.running.process.kill();
  return () => group.startMachine(machine);
}

export function kill(machines: readonly SimulatedMachine[]): EndFault {
  for (const machine of machines) machine.kill();
  return () => machines.forEach((machine) => machine.start());
}
