/**
 * Simulated deployments whose control machines, and proxies of the MySQL interface, have disks that fail in part: operations
 * fail before, during or after their effect, while processes are killed and machines cut off.
 */
import t from 'tap';
import { APPOINTED_QUETZAL, APPOINTED_TOPLINA } from '../../lab/appointed/appointed_deployment.js';
import type { AppointedFaultKind } from '../../lab/appointed/appointed_faults.js';
import { runAppointed } from '../../lab/appointed/appointed_simulation.js';
import { runSeeds } from '../../lab/simulation/simulate_command.js';

const SEED_COUNT = 2;

const APPOINTED_FAULTS = [
  'fail-control-disk',
  'fail-control-disk',
  'kill-control',
  'kill-all-controls',
  'isolate-control',
  'crash-primary',
  'change-configuration',
] as const;

const MYSQL_FAULTS = [
  'fail-control-disk',
  'fail-control-disk',
  'fail-proxy-disk',
  'fail-proxy-disk',
  'kill-control',
  'kill-proxy',
  'cut-control',
] as const;

for (const deployment of [APPOINTED_QUETZAL, APPOINTED_TOPLINA]) {
  void t.test(`${deployment.name}: no violation while disks of control fail`, async (t) => {
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const report = await runAppointed({ deployment, seed, faults: APPOINTED_FAULTS });
      t.same(report.violations, [], `seed ${seed}: ${report.faults.join('; ')}`);
      t.same(report.unwritable, [], `seed ${seed}: all groups take writes afterwards`);
    }
  });
}

for (const deployment of ['quetzal', 'toplina']) {
  void t.test(`${deployment}: no violation while disks of control and proxies fail`, async (t) => {
    const { failed } = await runSeeds({
      deployment,
      firstSeed: 1,
      lastSeed: SEED_COUNT,
      faults: MYSQL_FAULTS,
      stopAtFailure: false,
      jobs: 2,
    });
    t.same(failed, []);
  });
}

// A control machine lost its disk again before its promotion was committed: no majority of four voters was left.
void t.test('a control machine that loses its disk twice leaves the groups writable', async (t) => {
  const faults = [
    ...['fail-control-disk', 'fail-control-disk', 'kill-control', 'kill-all-controls'],
    ...['isolate-control', 'lose-control-disk', 'fill-control-disk', 'crash-primary'],
    'change-configuration',
  ] as AppointedFaultKind[];
  const report = await runAppointed({ deployment: APPOINTED_QUETZAL, seed: 5034, faults });
  t.same(report.violations, []);
  t.same(report.unwritable, [], report.faults.join('; '));
});
