/**
 * Simulated planned stops of proxies while callers keep arriving, alone and beside crashed primaries, slow instances and freezes of
 * the process. No request that a proxy has read may end without a whole answer by the stop, and a refused one may leave no
 * effect. Each seed can be run by hand: `whinyoke-lab simulate --deployment appointed-quetzal --seeds N-N --faults KIND,...`.
 */
import t, { type Test } from 'tap';
import { APPOINTED_QUETZAL, APPOINTED_TOPLINA } from '../../lab/appointed/appointed_deployment.js';
import {
  type AppointedRunOptions,
  runAppointed,
} from '../../lab/appointed/appointed_simulation.js';
import type { AppointedProtection } from '../../lab/appointed/disabled_protections.js';
import { firstViolation } from '../tools/violation_search.js';

const MIN_SERVED = 100;
const SEARCHED_SEEDS = 20;

async function expectClean(t: Test, options: AppointedRunOptions): Promise<void> {
  const { violations, unwritable, counts, faults } = await runAppointed(options);
  const { name } = options.deployment;
  t.same(violations, [], `${name} seed ${options.seed}: ${faults.join('; ')}`);
  t.same(unwritable, [], `${name} seed ${options.seed}`);
  t.ok(counts['servedWhileStopping']! > MIN_SERVED, 'proxies that stopped served callers');
}

void t.test('no request is cut off by planned stops, alone or two at a time', async (t) => {
  await expectClean(t, { deployment: APPOINTED_QUETZAL, seed: 1, faults: ['stop-proxy'] });
  const faults = ['stop-two-proxies'] as const;
  await expectClean(t, { deployment: APPOINTED_TOPLINA, seed: 1, faults });
});

void t.test('no request is cut off when its instance is slow or its primary crashes', async (t) => {
  const faults = ['stop-proxy-slow-instances', 'stop-proxy-primary-crashes'] as const;
  await expectClean(t, { deployment: APPOINTED_QUETZAL, seed: 2, faults });
});

void t.test('no request is cut off when the process is frozen during its stop', async (t) => {
  const faults = ['stop-frozen-proxy'] as const;
  await expectClean(t, { deployment: APPOINTED_QUETZAL, seed: 2, faults });
});

void t.test(
  'the judge finds the requests that each protection keeps from being cut off',
  async (t) => {
    const cases: readonly [AppointedProtection, Omit<AppointedRunOptions, 'seed'>][] = [
      ['shutdown-deadline', { deployment: APPOINTED_QUETZAL, faults: ['stop-proxy'] }],
      ['shutdown-deadline', { deployment: APPOINTED_TOPLINA, faults: ['stop-two-proxies'] }],
      ['announced-close', { deployment: APPOINTED_QUETZAL, faults: ['stop-proxy'] }],
    ];
    for (const [protection, options] of cases) {
      const found = await firstViolation({ ...options, disabled: [protection] }, SEARCHED_SEEDS);
      t.equal(found, 'cut-off', protection);
    }
  },
);
