/** Guards the conditions for appointing a replica beside an unreachable proxy that may still use the old primary. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { PrimaryChangeScenario, statusUpTo } from '../tools/primary_change_scenario.js';

const { InstanceState } = whinyoke;

void t.test(
  'a replica that became cold does not delay a change beside an unreachable proxy',
  async (t) => {
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
    t.equal(
      group.appointed.length,
      1,
      'the proxy knows the addresses of the replicas and asks them',
    );
  },
);

void t.test(
  'a replica that moved is not appointed while an unreachable proxy asks its old address',
  async (t) => {
    const group = new PrimaryChangeScenario();
    group.statuses.set('b', statusUpTo(100));
    group.statuses.set('c', statusUpTo(100));
    for (const id of ['b', 'c']) {
      const known = group.catalog.instance(id)!;
      group.apply({ putInstance: { ...known, sequence: 51, address: `${id}2` } });
    }
    void group.changePrimary(95);
    await group.run(2000);
    t.same(group.appointed, [], 'no appointment: the proxy asks the replica at its old address');
  },
);

void t.test(
  'only a change that proxies must know resets the version since which an instance is placed',
  (t) => {
    const { catalog, apply } = fleet();
    const since = catalog.placedSince('b');
    const known = catalog.instance('b')!;
    apply({ putInstance: { ...known, sequence: 51, isCold: true } });
    t.equal(catalog.placedSince('b'), since, 'becoming cold does not reset it');
    apply({ putInstance: { ...known, sequence: 52, state: InstanceState.DRAINING } });
    t.ok(catalog.placedSince('b') > since, 'draining resets it: a proxy may not know that state');
    apply({ putInstance: { ...known, sequence: 1, born: 2000 } });
    t.equal(catalog.placedSince('b'), catalog.instance('b')!.version, 'a restart resets it');
    const copy = new Catalog();
    copy.restore(9, catalog.serialize());
    t.equal(
      copy.placedSince('b'),
      catalog.instance('b')!.version,
      'a restored catalog has the newest version only',
    );
    t.equal(copy.placedSince('unknown'), Infinity);
    t.end();
  },
);

function fleet(): { catalog: Catalog; apply: (command: whinyoke.ICatalogCommand) => void } {
  const group = new PrimaryChangeScenario();
  return { catalog: group.catalog, apply: (command) => void group.apply(command) };
}
