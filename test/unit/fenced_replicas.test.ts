/** What a change of primary waits for beside a proxy that is out of reach. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { PrimaryChangeScenario, statusUpTo } from '../tools/primary_change_scenario.js';

const { InstanceState } = whinyoke;

void t.test('a change beside a proxy out of reach waits for no news of coldness', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(100));
  group.statuses.set('c', statusUpTo(100));
  void group.changePrimary(95);
  for (const id of ['b', 'c']) {
    group.apply({
      setSlowStartHolder: { instance: id, holder: 'p1', incarnation: 'x', address: 'p' },
    });
  }
  await group.run(2000);
  t.equal(group.appointed.length, 1, 'the proxy knows where the replicas are, and asks them');
});

void t.test('a change beside a proxy out of reach waits where a replica has moved', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(100));
  group.statuses.set('c', statusUpTo(100));
  for (const id of ['b', 'c']) {
    const known = group.catalog.instance(id)!;
    group.apply({ putInstance: { ...known, sequence: 51, address: `${id}2` } });
  }
  void group.changePrimary(95);
  await group.run(2000);
  t.same(group.appointed, [], 'the proxy asks at the former address');
});

void t.test('other changes of an entry do not move its instance', (t) => {
  const { catalog, apply } = fleet();
  const since = catalog.placedSince('b');
  const known = catalog.instance('b')!;
  apply({ putInstance: { ...known, sequence: 51, isCold: true } });
  t.equal(catalog.placedSince('b'), since, 'it is cold');
  apply({ putInstance: { ...known, sequence: 52, state: InstanceState.DRAINING } });
  t.ok(catalog.placedSince('b') > since, 'it may have been in a state that a proxy does not know');
  apply({ putInstance: { ...known, sequence: 1, born: 2000 } });
  t.equal(catalog.placedSince('b'), catalog.instance('b')!.version, 'it started again');
  const copy = new Catalog();
  copy.restore(9, catalog.serialize());
  t.equal(copy.placedSince('b'), catalog.instance('b')!.version, 'no more is known');
  t.equal(copy.placedSince('unknown'), Infinity);
  t.end();
});

function fleet(): { catalog: Catalog; apply: (command: whinyoke.ICatalogCommand) => void } {
  const group = new PrimaryChangeScenario();
  return { catalog: group.catalog, apply: (command) => void group.apply(command) };
}
