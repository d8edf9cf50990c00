/** Evacuated zones: orders in the catalog, what proxies do about them, primaries that move. Each test brings about one failure. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { CatalogUpdates } from '../../src/appointed/control/catalog_updates.js';
import { ChangeNotifier } from '../../src/appointed/control/change_notifier.js';
import {
  CatalogService,
  type CatalogServiceSurroundings,
} from '../../src/appointed/control/catalog_service.js';
import { documentOf } from '../../src/appointed/catalog/document_source.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RealClock } from '../../src/runtime/real_clock.js';

const { CatalogOutcome, GroupPhase, InstanceState } = whinyoke;

/** A catalog and what applies commands to it. */
class AppliedCatalog {
  readonly catalog = new Catalog();
  readonly commands: whinyoke.ICatalogCommand[] = [];

  readonly apply = (command: whinyoke.ICatalogCommand): whinyoke.CatalogResult => {
    this.commands.push(command);
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return whinyoke.CatalogResult.decode(this.catalog.apply(this.commands.length, bytes));
  };

  order(zone: string, begins: boolean): whinyoke.CatalogResult {
    return this.apply({ putEvacuation: { zone, begins } });
  }
}

void t.test('orders of a zone take effect in the order of the log and survive a snapshot', (t) => {
  const { catalog, ...applied } = withCatalog();
  t.ok(applied.order('a', true).changed);
  t.notOk(applied.order('a', true).changed, 'sent again');
  t.same(catalog.evacuatedZones, ['a']);
  applied.order('b', true);
  t.ok(applied.order('a', false).changed);
  t.notOk(applied.order('a', false).changed);
  t.notOk(applied.order('c', false).changed, 'it was never evacuated');
  const copy = new Catalog();
  copy.restore(catalog.version, catalog.serialize());
  t.same(copy.evacuatedZones, ['b']);
  t.same(copy.evacuations, catalog.evacuations);
  t.match(copy.evacuations, [
    { zone: 'a', begunAt: 0 },
    { zone: 'b', begunAt: 3 },
  ]);
  t.end();
});

function withCatalog(): {
  catalog: Catalog;
  apply: AppliedCatalog['apply'];
  order: (zone: string, begins: boolean) => whinyoke.CatalogResult;
} {
  const applied = new AppliedCatalog();
  const { catalog, apply } = applied;
  return { catalog, apply, order: (zone, begins) => applied.order(zone, begins) };
}

void t.test(
  'proxies hear of an order at once, and of all evacuated zones with a whole list',
  (t) => {
    const { catalog, apply, order } = withCatalog();
    const updates = new CatalogUpdates(catalog);
    const decode = (version: number): whinyoke.CatalogUpdate =>
      whinyoke.CatalogUpdate.decode(updates.since(version, 0));
    apply({ putGroup: { group: 'g', epoch: 1, phase: GroupPhase.STEADY } });
    const notifier = new ChangeNotifier(new RealClock(), catalog);
    order('a', true);
    t.ok(notifier.hasNewsFor(1), 'held requests are answered without delay');
    t.match(decode(1), { isWhole: false, evacuations: [{ zone: 'a', begunAt: 2 }] });
    order('a', false);
    t.match(decode(2), { evacuations: [{ zone: 'a', begunAt: 0, version: 3 }] });
    order('b', true);
    t.same(decode(4).evacuations, []);
    t.match(decode(0), { isWhole: true, evacuations: [{ zone: 'a' }, { zone: 'b' }] });
    t.end();
  },
);

/** The service of a leader whose log is `propose`. */
function serviceOf(
  catalog: Catalog,
  propose: (command: whinyoke.ICatalogCommand) => Promise<whinyoke.CatalogResult>,
): CatalogService {
  return new CatalogService({
    node: { role: 'leader', leadsWithState: true, leaderAddress: '', address: '' },
    catalog,
    propose,
    log: () => undefined,
  } as unknown as CatalogServiceSurroundings);
}

void t.test(
  'an order whose leader is lost after the commit is acknowledged when it comes again',
  async (t) => {
    const { catalog, apply } = withCatalog();
    const evacuation = { zone: 'a', begins: true };
    const lost = serviceOf(catalog, (command) => {
      apply(command);
      return Promise.reject(new Error('it leads no longer'));
    });
    t.match(await lost.handle({ evacuation }), { outcome: CatalogOutcome.UNAVAILABLE });
    const version = catalog.version;
    const next = serviceOf(catalog, (command) => Promise.resolve(apply(command)));
    t.match(await next.handle({ evacuation }), { outcome: CatalogOutcome.DONE });
    t.same(catalog.evacuations, [{ zone: 'a', begunAt: version, version }], 'it began once');
    const alone = serviceOf(catalog, () => Promise.reject(new Error('no majority')));
    const again = await alone.handle({ evacuation });
    t.match(
      again,
      { outcome: CatalogOutcome.UNAVAILABLE },
      'one that holds is acknowledged only by a leader',
    );
  },
);

void t.test('a finish behind a begin that is not committed yet is not lost', async (t) => {
  const { catalog, apply } = withCatalog();
  const waiting: (() => void)[] = [];
  const service = serviceOf(
    catalog,
    (command) => new Promise((resolve) => waiting.push(() => resolve(apply(command)))),
  );
  const begun = service.handle({ evacuation: { zone: 'a', begins: true } });
  const finished = service.handle({ evacuation: { zone: 'a', begins: false } });
  for (const commit of waiting) commit();
  t.match(await Promise.all([begun, finished]), [
    { outcome: CatalogOutcome.DONE },
    { outcome: CatalogOutcome.DONE },
  ]);
  t.same(catalog.evacuatedZones, []);
});

void t.test('an order and a configuration of the same moment both hold', (t) => {
  const { catalog, apply, order } = withCatalog();
  const before = catalog.version;
  apply({ putDocument: documentOf(7, 'seven') });
  order('a', true);
  apply({ putInstance: { id: 'i', group: 'g', zone: 'a', state: InstanceState.READY } });
  const update = whinyoke.CatalogUpdate.decode(new CatalogUpdates(catalog).since(before, 0));
  t.match(update, { document: { version: 7 }, evacuations: [{ zone: 'a' }] });
  t.equal(catalog.documentVersion, 7);
  t.same(catalog.evacuatedZones, ['a']);
  t.end();
});
