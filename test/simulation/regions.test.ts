/**
 * Two regions with a group whose requests must not leave one of them, under all kinds of faults and
 * with few connections.
 */
import t from 'tap';
import { APPOINTED_REGIONS } from '../../lab/appointed/appointed_deployment.js';
import { runAppointed } from '../../lab/appointed/appointed_simulation.js';

/** Enough seeds for a change of primary of each kind. */
const SEED_COUNT = 2;

void t.test(
  'no restricted request runs outside its allowed regions, and all are served again',
  async (t) => {
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const report = await runAppointed({ deployment: APPOINTED_REGIONS, seed });
      t.same(report.violations, [], `seed ${seed}`);
      t.same(report.unwritable, [], `seed ${seed}`);
    }
  },
);

void t.test('the checks report violations when region restrictions are disabled', async (t) => {
  const options = { deployment: APPOINTED_REGIONS, seed: 1, disabled: ['homes'] as const };
  const { violations } = await runAppointed(options);
  t.equal(violations[0]?.kind, 'homes');
});
