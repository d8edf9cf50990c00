/**
 * Simulated deployments whose instances restart empty under their identifier. No acknowledged
 * commit may be lost, no read may be stale, and every group must become writable again.
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

void t.test(
  'restarted instances cause no violation, under mixed faults and under each kind alone',
  async (t) => {
    const alone = KINDS.map((kind, index) => ({
      seed: 100 + index,
      faults: [kind],
      faultCount: 3,
    }));
    const mixed = Array.from({ length: 6 }, (_, index) => ({ seed: 1 + index }));
    // Seeds 64 and 67 lost commits when a reply came from an incarnation that control did not know
    // yet. Seed 19 served a stale read: the proxy that asked a connection owner had never had contact
    // with the primary.
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
  },
);

void t.test('the checks report violations when the protection is disabled', async (t) => {
  const violationKinds = async (kind: AppointedFaultKind): Promise<readonly string[]> => {
    const options = { faults: [kind], faultCount: 2, disabled: ['instance-lives'] as const };
    const report = await runAppointed({ deployment, seed: 1, ...options });
    return report.violations.map((violation) => violation.kind);
  };
  t.ok((await violationKinds('restart-empty-primary')).includes('stale'));
  t.ok((await violationKinds('restart-empty-newest-replica')).includes('lost'));
});
