/**
 * Simulated deployments whose instances start again empty under their identifier.
 *
 * Failure that each test holds, and the parts of the emulation that it needs:
 * - mixed faults, each kind alone: any broken promise of the judge, or a group that stays unwritable; needs the four kinds of
 *   restarts, an instance that receives its log again in parts, and callers.
 * - without the protection: a judge that can't fail; needs the switch instance-lives and the rules stale and lost.
 */
import t from 'tap';
import {
  APPOINTED_INCARNATIONS,
  APPOINTED_INCARNATIONS_RELAYED,
} from '../../lab/appointed/appointed_deployment.js';
import type { AppointedFaultKind } from '../../lab/appointed/appointed_faults.js';
import { runAppointed } from '../../lab/appointed/appointed_simulation.js';

const deployment = APPOINTED_INCARNATIONS;
const KINDS: readonly AppointedFaultKind[] = [
  'restart-empty-primary',
  'restart-empty-replica',
  'restart-empty-behind-cut',
  'restart-empty-newest-replica',
];

void t.test('mixed faults, and each kind alone', async (t) => {
  const alone = KINDS.map((kind, index) => ({ seed: 100 + index, faults: [kind], faultCount: 3 }));
  const mixed = Array.from({ length: 6 }, (_, index) => ({ seed: 1 + index }));
  // Seeds 64 and 67 once lost commits: an answer came from an incarnation of which control had not heard.
  // Seed 19 once served a stale read: the proxy that asked an owner had never heard from the primary before.
  const relayed = { deployment: APPOINTED_INCARNATIONS_RELAYED, seed: 19 };
  for (const options of [...alone, ...mixed, { seed: 64 }, { seed: 67 }, relayed]) {
    const { seed, violations, unwritable, counts, faults } = await runAppointed({
      deployment,
      ...options,
    });
    t.same(violations, [], `seed ${seed}: ${faults.join('; ')}`);
    t.same(unwritable, [], `seed ${seed}`);
    t.ok(counts['acknowledged']! > 500, 'callers were served');
  }
});

void t.test('without the protection the checks report it', async (t) => {
  const violationKinds = async (kind: AppointedFaultKind): Promise<readonly string[]> => {
    const options = { faults: [kind], faultCount: 2, disabled: ['instance-lives'] as const };
    const report = await runAppointed({ deployment, seed: 1, ...options });
    return report.violations.map((violation) => violation.kind);
  };
  t.ok((await violationKinds('restart-empty-primary')).includes('stale'));
  t.ok((await violationKinds('restart-empty-newest-replica')).includes('lost'));
});
