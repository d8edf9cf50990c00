/**
 * Simulates the MySQL interface without each of its protections. Guards against history checks that
 * cannot fail.
 */
import t from 'tap';
import { QUETZAL } from '../../lab/fleet/deployment.js';
import type { CheckName } from '../../lab/history/violation.js';
import { FAULT_KINDS, type FaultKind } from '../../lab/simulation/faults.js';
import { runSeeds } from '../../lab/simulation/simulate_command.js';
import { PROTECTIONS, type Protection } from '../../src/mysql/gateway/protections.js';

const JOBS = 4;
const SEEDS_WITHOUT_PROTECTION = 50;

/** Checks that may report a violation without each protection. */
const expected: Readonly<Record<Protection, readonly CheckName[]>> = {
  'read-position': ['read-your-writes', 'fresh-reads'],
  'commit-evidence': ['durable-writes', 'replaced-primary', 'register-order', 'read-your-writes'],
  'connection-reset': ['no-mixed-transactions'],
  'discard-on-timeout': ['answer-integrity', 'durable-writes', 'no-mixed-transactions'],
  verdict: ['not-run-is-true'],
  'once-key': ['at-most-once'],
  drain: ['drain'],
  'graceful-stop': ['graceful-stop'],
  'revision-check': ['configuration-order'],
  'stable-identity': ['configuration-kept', 'configuration-order'],
};

/** Faults that exercise a protection; all kinds if it is not listed. */
const faultsFor: Partial<Record<Protection, readonly FaultKind[]>> = {
  'discard-on-timeout': ['slow-instance', 'freeze-primary'],
  'once-key': ['kill-proxy', 'isolate-primary', 'cut-zone', 'cut-primary-from-proxies'],
  drain: ['leave-instance'],
  verdict: ['cut-primary-from-proxies', 'cut-zone'],
  'graceful-stop': ['stop-proxy'],
  'stable-identity': ['lose-control-disk-behind'],
};

for (const protection of PROTECTIONS) {
  void t.test(`the history checks find a violation without ${protection}`, async (t) => {
    const summary = await runSeeds({
      deployment: QUETZAL.name,
      firstSeed: 1,
      lastSeed: SEEDS_WITHOUT_PROTECTION,
      faults: faultsFor[protection] ?? FAULT_KINDS,
      disabled: protection,
      jobs: JOBS,
      stopAtFailure: true,
    });
    const found = summary.failed.flatMap((report) => report.violations.map((item) => item.check));
    t.ok(
      found.some((check) => (expected[protection] as readonly string[]).includes(check)),
      `found ${[...new Set(found)].join(', ')}`,
    );
  });
}
