/** Two regions with a group whose requests may not leave one of them, under all faults, before few connections. */
import t from 'tap';
import { APPOINTED_REGIONS } from '../../lab/appointed/appointed_deployment.js';
import { runAppointed } from '../../lab/appointed/appointed_simulation.js';

/** Seeds of one test (a count): enough for the first change of primary of each kind. Guess, not measured. */
const SEED_COUNT = 2;

void t.test('no bound request runs outside its homes, and all are served again', async (t) => {
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const report = await runAppointed({ deployment: APPOINTED_REGIONS, seed });
    t.same(report.violations, [], `seed ${seed}`);
    t.same(report.unwritable, [], `seed ${seed}`);
  }
});

void t.test('without homes the checks report it', async (t) => {
  const options = { deployment: APPOINTED_REGIONS, seed: 1, disabled: ['homes'] as const };
  const { violations } = await runAppointed(options);
  t.equal(violations[0]?.kind, 'homes');
});
