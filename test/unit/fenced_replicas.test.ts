/** What a change of primary waits for beside a proxy that is out of reach. */
import t from 'tap';
import { ChangedGroup, logUpTo } from '../tools/changed_group.js';

void t.test('a change beside a proxy out of reach waits for no news of coldness', async (t) => {
  const group = new ChangedGroup();
  group.states.set('b', logUpTo(100));
  group.states.set('c', logUpTo(100));
  void group.change(95);
  for (const id of ['b', 'c']) {
    group.apply({
      setSlowStartHolder: { instance: id, holder: 'p1', incarnation: 'x', address: 'p' },
    });
  }
  await group.run(2000);
  t.equal(group.appointed.length, 1, 'the proxy knows where the replicas are, and asks them');
});

void t.test('a change beside a proxy out of reach waits where a replica has moved', async (t) => {
  const group = new ChangedGroup();
  group.states.set('b', logUpTo(100));
  group.states.set('c', logUpTo(100));
  for (const id of ['b', 'c']) {
    const known = group.catalog.instance(id)!;
    group.apply({ putInstance: { ...known, sequence: 51, address: `${id}2` } });
  }
  void group.change(95);
  await group.run(2000);
  t.same(group.appointed, [], 'the proxy asks at the former address');
});
