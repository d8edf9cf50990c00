/**
 * Slow start over a simulated fleet whose instances are all cold at the start: guards against instances that receive more than
 * their rate, requests that wait for a rate that is used up, and proxies that ignore a changed rate.
 */
import t from 'tap';
import { APPOINTED_SLOW_START } from '../../lab/appointed/appointed_deployment.js';
import { runAppointed } from '../../lab/appointed/appointed_simulation.js';
import { AppointedWorld, databaseOf } from '../../lab/appointed/appointed_world.js';
import type { CallerReply } from '../../src/appointed/sessions/caller_reply.js';

const SEEDS = 4;
const SEEDS_WITHOUT_SAFEGUARD = 2;
const SETTLED_MS = 2000;
/** More requests than an instance may receive in a second. */
const BURST = 60;
/** Rate × overage + tolerance of the deployment: 20 × 1.5 + 5. */
const MAX_REQUESTS_PER_SECOND = 35;
/** Much shorter than a write may wait for a connection, but longer than several network delays. */
const REFUSAL_TIME_MS = 100;

void t.test('a cold instance never receives more than its rate under mixed faults', async (t) => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const report = await runAppointed({ deployment: APPOINTED_SLOW_START, seed });
    t.same(report.violations, [], `seed ${seed}: ${report.faults.join('; ')}`);
    t.same(report.unwritable, [], `seed ${seed}: ${report.faults.join('; ')}`);
    t.ok(report.counts['acknowledged']! > 500, 'callers are still served');
  }
});

void t.test('the checks detect that slow start is disabled', async (t) => {
  for (let seed = 1; seed <= SEEDS_WITHOUT_SAFEGUARD; seed++) {
    const disabled = ['slow-start'] as const;
    const report = await runAppointed({ deployment: APPOINTED_SLOW_START, seed, disabled });
    t.ok(
      report.violations.some(({ kind }) => kind === 'slow-start'),
      `seed ${seed}`,
    );
  }
});

/** Sends writes through all proxies at the same time; resolves with the replies received within a short time. */
async function burst(world: AppointedWorld, name: string): Promise<readonly CallerReply[]> {
  const { name: group } = world.groups[0]!;
  const replies: CallerReply[] = [];
  for (let number = 0; number < BURST; number++) {
    const router = world.routers[number % world.routers.length]!;
    const session = router.running!.core.openSession(databaseOf(group, { kind: 'primary' }))!;
    const id = `${name}-${number}`;
    world.judge.expect(id, {
      group,
      values: new Map(),
      prepared: undefined,
      transaction: undefined,
    });
    void session.execute(id, { kind: 'write', argument: 'x' }).then((reply) => replies.push(reply));
  }
  await world.run(REFUSAL_TIME_MS);
  return replies;
}

function slowStartRefusals(replies: readonly CallerReply[]): readonly CallerReply[] {
  return replies.filter(({ error }) => error?.text.includes('warming up; retry after 400 ms'));
}

void t.test(
  'writes beyond the rate of a cold primary do not wait but are refused immediately',
  async (t) => {
    const world = new AppointedWorld(APPOINTED_SLOW_START, 1);
    await world.start();
    await world.run(SETTLED_MS);
    const refused = slowStartRefusals(await burst(world, 'first'));
    t.equal(refused.length, BURST - MAX_REQUESTS_PER_SECOND);
    t.ok(
      refused.every(({ error }) => error?.kind === 'busy'),
      'refused as busy, which guarantees that they did not run',
    );
    t.same(world.judge.violations, []);
  },
);

void t.test('proxies do not keep a slow-start rate that the document has changed', async (t) => {
  const world = new AppointedWorld(APPOINTED_SLOW_START, 2);
  await world.start();
  const { slowStart } = world;
  const put = async (next: typeof slowStart): Promise<void> => {
    world.slowStart = next;
    world.judge.slowStart = next;
    void world.submitUntilTaken();
    await world.run(SETTLED_MS);
  };
  await put(undefined);
  t.same(slowStartRefusals(await burst(world, 'without')), []);
  await put(slowStart);
  t.equal(slowStartRefusals(await burst(world, 'with')).length, BURST - MAX_REQUESTS_PER_SECOND);
  t.same(world.judge.violations, []);
});
