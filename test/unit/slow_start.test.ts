/** Slow start: the bound on what a cold instance gets, which instances are cold, who may send to them, and who is refused. */
import fc from 'fast-check';
import t from 'tap';
import { MOST, type Omission, SlowStartPlay, type Step } from '../tools/slow_start_play.js';

const ACTIONS: readonly Step['action'][] = [
  ...(['wait', 'wait', 'wait', 'newLeader', 'cut', 'cut', 'freeze', 'restart', 'leave'] as const),
  ...(['warm', 'cool', 'cool', 'uncertain', 'certain'] as const),
];
const STEPS = fc.array(
  fc.record({
    action: fc.constantFrom(...ACTIONS),
    proxy: fc.nat(2),
    drawn: fc.double({ min: 0, max: 1, noNaN: true }),
    durationMs: fc.integer({ min: 100, max: 2500 }),
  }),
  { minLength: 5, maxLength: 25 },
);

function boundHolds(omission?: Omission): fc.IAsyncProperty<[Step[]]> {
  return fc.asyncProperty(STEPS, async (steps) => {
    const play = new SlowStartPlay(omission);
    await play.run(steps);
    return play.mostInASecond <= MOST;
  });
}

void t.test('no schedule gives a cold instance more than its rate in any second', async (t) => {
  const play = new SlowStartPlay();
  const wait = { action: 'wait', proxy: 0, drawn: 0, durationMs: 1000 } as const;
  await play.run(Array.from({ length: 10 }, () => wait));
  t.equal(play.mostInASecond, MOST, 'which is used');
  await fc.assert(boundHolds(), { numRuns: 300 });
});

const OMISSIONS: readonly Omission[] = [
  'lease-from-sending',
  'window-between-holders',
  'lease-withheld',
  'former-leader-awaited',
  'window-kept',
  'leaving-stops',
];

for (const omission of OMISSIONS) {
  void t.test(`without ${omission} some schedule breaks the bound`, async (t) => {
    const result = await fc.check(boundHolds(omission), {
      numRuns: 2000,
      seed: 7,
      endOnFailure: true,
    });
    t.ok(result.failed, `${result.numRuns} schedules`);
  });
}
