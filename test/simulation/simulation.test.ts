/**
 * Whole deployments of the MySQL interface under faults: a fixed set of seeds that must pass, and the same history
 * for the same seed.
 *
 * Failure that each test holds, and the parts of the emulation that it needs:
 * - no violation under faults: any violation that the history checks know; needs the simulator of lab/simulation,
 *   all kinds of faults, the booking workload and the history checks.
 * - the same seed gives the same history, byte for byte: a run that depends on anything but its seed; needs the
 *   same.
 */
import t from 'tap';
import { QUETZAL, TOPLINA } from '../../lab/fleet/deployment.js';
import { formatHistory } from '../../lab/history/history.js';
import { FAULT_KINDS } from '../../lab/simulation/faults.js';
import { runSeeds } from '../../lab/simulation/simulate_command.js';
import { simulate } from '../../lab/simulation/simulation.js';
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';

const JOBS = 4;
const SEEDS_IN_CI = 20;

for (const { name } of [QUETZAL, TOPLINA]) {
  void t.test(`${name}: no violation under faults`, async (t) => {
    const summary = await runSeeds({
      deployment: name,
      firstSeed: 1,
      lastSeed: SEEDS_IN_CI,
      faults: FAULT_KINDS,
      jobs: JOBS,
      stopAtFailure: false,
    });
    t.equal(summary.passed, SEEDS_IN_CI);
    t.same(
      summary.failed.flatMap(({ seed, violations }) => violations.map((item) => [seed, item])),
      [],
    );
    t.ok(summary.operations > SEEDS_IN_CI * 300, 'callers were served');
  });
}

void t.test('the same seed gives the same history, byte for byte', async (t) => {
  const options = { deployment: QUETZAL, protections: ProtectionSet.all, faults: FAULT_KINDS };
  const first = await simulate({ ...options, seed: 9 });
  const second = await simulate({ ...options, seed: 9 });
  const other = await simulate({ ...options, seed: 10 });
  t.equal(formatHistory(first.history), formatHistory(second.history));
  t.not(formatHistory(first.history), formatHistory(other.history));
});
