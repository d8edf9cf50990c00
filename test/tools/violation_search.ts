/** Search for a seed that shows a violation: which one does changes with any change of what is sent. */
import type { ViolationKind } from '../../lab/appointed/appointed_judge.js';
import {
  type AppointedRunOptions,
  runAppointed,
} from '../../lab/appointed/appointed_simulation.js';

/** Runs seeds from 1 on until one has a violation; resolves with the kind of the first one, or `nothing`. */
export async function firstViolation(
  options: Omit<AppointedRunOptions, 'seed'>,
  seeds: number,
): Promise<ViolationKind | 'nothing'> {
  for (let seed = 1; seed <= seeds; seed++) {
    const [violation] = (await runAppointed({ ...options, seed })).violations;
    if (violation) return violation.kind;
  }
  return 'nothing';
}
