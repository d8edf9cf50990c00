/**
 * Simulated deployments whose instances answer twice, the second time late, and refuse commands now and then, while callers send
 * texts of any bytes. No caller may get another's answer, no statement may run changed or in another session's state, and no
 * promise may be broken. Each seed can be run by hand: `whinyoke-lab simulate --deployment NAME --seeds N-N --faults KIND,...`.
 */
import t, { type Test } from 'tap';
import {
  APPOINTED_INCARNATIONS,
  APPOINTED_INCARNATIONS_RELAYED,
  APPOINTED_QUETZAL,
  APPOINTED_TOPLINA,
} from '../../lab/appointed/appointed_deployment.js';
import type { ViolationKind } from '../../lab/appointed/appointed_judge.js';
import {
  type AppointedRunOptions,
  runAppointed,
} from '../../lab/appointed/appointed_simulation.js';
import type { AppointedProtection } from '../../lab/appointed/disabled_protections.js';

async function expectClean(t: Test, options: AppointedRunOptions): Promise<void> {
  const { violations, unwritable, counts, faults } = await runAppointed(options);
  const { name } = options.deployment;
  t.same(violations, [], `${name} seed ${options.seed}: ${faults.join('; ')}`);
  t.same(unwritable, [], `${name} seed ${options.seed}`);
  t.ok(counts['acknowledged']! > 500, 'callers were served');
}

void t.test('no violation while answers come twice and commands are refused', async (t) => {
  const faults = ['doubled-answers', 'doubled-answers-refused-commands'] as const;
  const deployments = [
    APPOINTED_QUETZAL,
    APPOINTED_TOPLINA,
    APPOINTED_INCARNATIONS_RELAYED,
  ] as const;
  for (const deployment of deployments) await expectClean(t, { deployment, seed: 1, faults });
});

void t.test('no violation while answers come twice and primaries fail', async (t) => {
  const others = ['crash-primary', 'kill-proxies', 'lag-replicas'] as const;
  const faults = ['doubled-answers', 'doubled-answers-refused-commands', ...others] as const;
  await expectClean(t, { deployment: APPOINTED_QUETZAL, seed: 1, faults });
});

/** A run without a violation, and what breaks in it without each protection. */
interface ProtectionCase {
  readonly options: AppointedRunOptions;
  readonly broken: Partial<Record<AppointedProtection, readonly ViolationKind[]>>;
}

const DOUBLED_AND_REFUSED = {
  deployment: APPOINTED_QUETZAL,
  faults: ['doubled-answers-refused-commands'],
} as const;

const PROTECTION_CASES: readonly ProtectionCase[] = [
  {
    options: { deployment: APPOINTED_INCARNATIONS, seed: 1, faults: ['doubled-answers'] },
    broken: { 'answer-matching': ['foreign-answer', 'false-restart'] },
  },
  {
    options: { ...DOUBLED_AND_REFUSED, seed: 1 },
    broken: { 'answer-confirmation': ['pinned', 'twice'] },
  },
  {
    options: { ...DOUBLED_AND_REFUSED, seed: 14 },
    broken: { 'answer-confirmation': ['refused-but-kept'] },
  },
  {
    options: { deployment: APPOINTED_QUETZAL, seed: 1, faults: ['refused-commands'] },
    broken: { 'values-first': ['pinned'], 'prepared-names': ['pinned', 'unasked'] },
  },
];

for (const { options, broken } of PROTECTION_CASES) {
  const protections = Object.keys(broken) as AppointedProtection[];
  void t.test(`the judge finds what ${protections.join(' and ')} prevent`, async (t) => {
    await expectClean(t, options);
    for (const protection of protections) {
      const { violations } = await runAppointed({ ...options, disabled: [protection] });
      const found = new Set(violations.map(({ kind }) => kind));
      for (const kind of broken[protection] ?? [])
        t.ok(found.has(kind), `${kind} among ${[...found].join(', ')} without ${protection}`);
    }
  });
}
