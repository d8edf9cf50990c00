/** Guards against a copy that is taken for a new answer since many answers came in between. */
import t from 'tap';
import { RecentAnswers } from '../../src/appointed/instance/recent_answers.js';

void t.test('an answer is remembered for half a minute, whatever comes in between', (t) => {
  const recent = new RecentAnswers();
  recent.add('first', 0);
  for (let number = 1; number <= 20_000; number++) recent.add(`s${number}`, number * 1.5);
  t.ok(recent.has('first'));
  t.ok(recent.has('s20000'));
  t.end();
});

void t.test('the memory of a connection is bounded in time and number', (t) => {
  const recent = new RecentAnswers();
  recent.add('first', 0);
  recent.add('second', 30_000);
  t.ok(recent.has('first'));
  recent.add('third', 60_000);
  t.notOk(recent.has('first'));
  for (let number = 0; number < 70_000; number++) recent.add(`s${number}`, 60_001);
  t.notOk(recent.has('s0'));
  t.end();
});
