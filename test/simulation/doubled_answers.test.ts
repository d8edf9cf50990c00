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

// In the first seed a copy passed for the answer of a command that was sent with the next one; in the second for that of a BEGIN.
void t.test('no primary is taken for restarted because an old answer came again', async (t) => {
  const faults = [
    'doubled-answers',
    'doubled-answers-refused-commands',
    'restart-empty-primary',
  ] as const;
  for (const seed of [2, 7])
    await expectClean(t, { deployment: APPOINTED_INCARNATIONS_RELAYED, seed, faults });
});

/** Seeds in which each kind of violation must show without a protection. */
const SEEDS = 30;

/** Runs without a violation, and what breaks in one of them without each protection. */
interface ProtectionCase {
  readonly options: Omit<AppointedRunOptions, 'seed'>;
  readonly broken: Partial<Record<AppointedProtection, readonly ViolationKind[]>>;
}

const DOUBLED_AND_REFUSED = {
  deployment: APPOINTED_QUETZAL,
  faults: ['doubled-answers-refused-commands'],
} as const;

const PROTECTION_CASES: readonly ProtectionCase[] = [
  {
    options: { deployment: APPOINTED_INCARNATIONS, faults: ['doubled-answers'] },
    broken: { 'answer-matching': ['foreign-answer', 'false-restart'] },
  },
  {
    options: DOUBLED_AND_REFUSED,
    broken: { 'answer-confirmation': ['pinned', 'twice', 'refused-but-kept'] },
  },
  {
    options: { deployment: APPOINTED_QUETZAL, faults: ['refused-commands'] },
    broken: { 'values-first': ['pinned'], 'prepared-names': ['pinned', 'unasked'] },
  },
];

/** Finds each kind of violation without a protection; every seed in which one shows is clean with it. */
async function expectBroken(
  t: Test,
  options: Omit<AppointedRunOptions, 'seed'>,
  protection: AppointedProtection,
  kinds: readonly ViolationKind[],
): Promise<void> {
  const missing = new Set(kinds);
  for (let seed = 1; seed <= SEEDS && missing.size > 0; seed++) {
    const { violations } = await runAppointed({ ...options, seed, disabled: [protection] });
    const found = violations.filter(({ kind }) => missing.delete(kind));
    if (found.length > 0) await expectClean(t, { ...options, seed });
  }
  t.same([...missing], [], `without ${protection}`);
}

for (const { options, broken } of PROTECTION_CASES) {
  const protections = Object.keys(broken) as AppointedProtection[];
  void t.test(`the judge finds what ${protections.join(' and ')} prevent`, async (t) => {
    for (const protection of protections) {
      await expectBroken(t, options, protection, broken[protection] ?? []);
    }
  });
}
