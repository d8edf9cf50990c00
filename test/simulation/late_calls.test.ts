/**
 * Simulated calls to the platform whose callers are stopped between a check and its effect, and calls that are delivered late.
 * No acknowledged commit may be lost, no call may be sent under a lower token after one under a higher token, and each group
 * must be written again in time.
 */
import t, { type Test } from 'tap';
import { APPOINTED_QUETZAL } from '../../lab/appointed/appointed_deployment.js';
import type { AppointedFaultKind } from '../../lab/appointed/appointed_faults.js';
import type { ViolationKind } from '../../lab/appointed/appointed_judge.js';
import { type AppointedReport, runAppointed } from '../../lab/appointed/appointed_simulation.js';
import type { AppointedProtection } from '../../lab/appointed/disabled_protections.js';
import { firstViolation } from '../tools/violation_search.js';

const ALL_KINDS: readonly AppointedFaultKind[] = [
  'stop-caller',
  'late-call',
  'late-call-instance-away',
  'late-answer',
  'following-holder',
];
const FAULT_COUNT = 5;
const SEARCHED_SEEDS = 20;

function run(
  faults: readonly AppointedFaultKind[],
  seed: number,
  disabled: readonly AppointedProtection[] = [],
): Promise<AppointedReport> {
  const options = { deployment: APPOINTED_QUETZAL, seed, faults, faultCount: FAULT_COUNT };
  return runAppointed({ ...options, disabled });
}

function expectRecovered(t: Test, { seed, unwritable, counts, lines }: AppointedReport): void {
  t.same(unwritable, [], `seed ${seed}`);
  t.ok(counts['acknowledged']! > 500, 'callers were served');
  const sent = lines.filter(({ fields }) => fields['stage'] === 'sent');
  t.ok(sent.length > 1, 'the platform was called');
}

async function expectClean(
  t: Test,
  faults: readonly AppointedFaultKind[],
  seed: number,
): Promise<void> {
  const report = await run(faults, seed);
  t.same(report.violations, [], `seed ${seed}: ${report.faults.join('; ')}`);
  expectRecovered(t, report);
}

// Each seed broke the order of tokens, when a call was checked before its connection was opened.
void t.test('no call is sent under a lower token after one under a higher token', async (t) => {
  for (const seed of [6, 18]) await expectClean(t, ALL_KINDS, seed);
});

// The seeds lost commits, when a call without a known outcome bound the group to no instance.
void t.test(
  'no commit is lost when a call is delivered late and its instance was away',
  async (t) => {
    for (const seed of [1, 2]) await expectClean(t, ['late-call-instance-away'], seed);
  },
);

// No check excludes a stop right before the write; what is sent then is out of order, without harm to commits.
void t.test(
  'no commit is lost when a caller is stopped between its check and its write',
  async (t) => {
    for (const seed of [3, 8]) {
      const report = await run(['stop-before-write'], seed);
      const others = report.violations.filter(({ kind }) => kind !== 'shared-fence');
      t.same(others, [], `seed ${seed}: ${report.faults.join('; ')}`);
      expectRecovered(t, report);
    }
  },
);

void t.test('the judge finds what each protection prevents', async (t) => {
  const cases: readonly [AppointedProtection, AppointedFaultKind, ViolationKind][] = [
    ['appointment-permits', 'stop-caller', 'shared-fence'],
    ['pending-appointments', 'late-call-instance-away', 'lost'],
  ];
  for (const [protection, fault, expected] of cases) {
    const plan = { faults: [fault], faultCount: FAULT_COUNT, disabled: [protection] };
    const options = { deployment: APPOINTED_QUETZAL, ...plan };
    t.equal(await firstViolation(options, SEARCHED_SEEDS), expected, protection);
  }
});
