/**
 * Simulated deployments that lose logs and records: instances leave in either way while they alone receive, proxies are
 * killed, primaries crash; and routes move to another group and back. No acknowledged commit may be lost, no read may be stale.
 */
import t, { type Test } from 'tap';
import { APPOINTED_QUETZAL, APPOINTED_TOPLINA } from '../../lab/appointed/appointed_deployment.js';
import type { AppointedFaultKind } from '../../lab/appointed/appointed_faults.js';
import {
  type AppointedRunOptions,
  runAppointed,
} from '../../lab/appointed/appointed_simulation.js';

async function expectClean(t: Test, options: AppointedRunOptions): Promise<void> {
  const { violations, unwritable, counts, faults } = await runAppointed(options);
  const { name } = options.deployment;
  t.same(violations, [], `${name} seed ${options.seed}: ${faults.join('; ')}`);
  t.same(unwritable, [], `${name} seed ${options.seed}`);
  t.ok(counts['acknowledged']! > 500, 'callers were served');
}

// Each seed lost a commit, when a departure counted from the deregistration and lost evidence was not accounted for.
void t.test('no commit is lost with the replica that alone received it', async (t) => {
  const faults = ['lose-newest-replica'] as const;
  for (const seed of [1, 2, 4, 8])
    await expectClean(t, { deployment: APPOINTED_QUETZAL, seed, faults });
  for (const seed of [2, 9]) await expectClean(t, { deployment: APPOINTED_TOPLINA, seed, faults });
});

// Each seed lost a commit of an earlier epoch, when the proofs looked at the newest epoch only.
void t.test('no commit is lost when two primaries crash one after the other', async (t) => {
  const faults = ['crash-primaries-in-turn'] as const;
  for (const seed of [15, 28, 42])
    await expectClean(t, { deployment: APPOINTED_QUETZAL, seed, faults });
});

// Each seed had stale reads, when a session remembered its newest commit in one group only.
void t.test('a session sees its commits while its route moves between groups', async (t) => {
  const faults = ['move-route', 'lag-replicas'] as const;
  for (const seed of [7, 19]) await expectClean(t, { deployment: APPOINTED_QUETZAL, seed, faults });
  await expectClean(t, { deployment: APPOINTED_TOPLINA, seed: 11, faults });
});

void t.test('no violation while replicas come and go under other faults', async (t) => {
  const departures = ['deregister-replica', 'replace-replica', 'hear-alone'] as const;
  const others = ['kill-proxies', 'crash-primary', 'leave-primary', 'kill-control'] as const;
  const faults: readonly AppointedFaultKind[] = [...departures, ...others];
  for (let seed = 1; seed <= 3; seed++) {
    await expectClean(t, { deployment: APPOINTED_QUETZAL, seed, faults, faultCount: 8 });
    await expectClean(t, { deployment: APPOINTED_TOPLINA, seed, faults, faultCount: 8 });
  }
});

void t.test('the judge reports a lost commit when a protection is disabled', async (t) => {
  const faults = ['lose-newest-replica'] as const;
  for (const protection of ['departures', 'commit-watermarks'] as const) {
    let found = 'nothing';
    for (let seed = 1; seed <= 50 && found === 'nothing'; seed++) {
      const options = { deployment: APPOINTED_QUETZAL, seed, faults };
      const [violation] = (await runAppointed({ ...options, disabled: [protection] })).violations;
      found = violation?.kind ?? 'nothing';
    }
    t.equal(found, 'lost', protection);
  }
});
