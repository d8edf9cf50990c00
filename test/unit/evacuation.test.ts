/**
 * Evacuated zones: orders in the catalog, their updates to proxies, and the replies to operators.
 */
import { once } from 'node:events';
import { type AddressInfo, connect } from 'node:net';
import t, { type Test } from 'tap';
import { DEFAULT_PLACEMENT_RULES } from '../../src/appointed/placement/placement_rules.js';
import { ControlApi } from '../../platform/control_api.js';
import { PlatformDocumentReader } from '../../platform/routing_document.js';
import { AppointedControl } from '../../src/appointed/control/appointed_control.js';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { CatalogUpdates } from '../../src/appointed/control/catalog_updates.js';
import { ChangeNotifier } from '../../src/appointed/control/change_notifier.js';
import { PrimaryPositionCache } from '../../src/appointed/control/primary_position_cache.js';
import {
  CatalogService,
  type CatalogServiceDependencies,
} from '../../src/appointed/control/catalog_service.js';
import { documentOf } from '../../src/appointed/catalog/document_source.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { RealFolder } from '../../src/runtime/real_folder.js';
import { delay } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';

const { CatalogOutcome, GroupPhase, InstanceState } = whinyoke;

/** A catalog with the commands applied to it. */
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

const noop = (): void => undefined;

void t.test('orders for a zone take effect in log order and survive a snapshot', (t) => {
  const { catalog, ...applied } = createCatalog();
  t.ok(applied.order('a', true).changed);
  t.notOk(applied.order('a', true).changed, 'a repeated order changes nothing');
  t.same(catalog.evacuatedZones, ['a']);
  applied.order('b', true);
  t.ok(applied.order('a', false).changed);
  t.notOk(applied.order('a', false).changed);
  t.notOk(applied.order('c', false).changed, 'the zone was never evacuated');
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

function createCatalog(): {
  catalog: Catalog;
  apply: AppliedCatalog['apply'];
  order: (zone: string, begins: boolean) => whinyoke.CatalogResult;
} {
  const applied = new AppliedCatalog();
  const { catalog, apply } = applied;
  return { catalog, apply, order: (zone, begins) => applied.order(zone, begins) };
}

void t.test('proxies get an order at once, and all evacuated zones with a whole update', (t) => {
  const { catalog, apply, order } = createCatalog();
  const updates = new CatalogUpdates(catalog);
  const decode = (version: number): whinyoke.CatalogUpdate =>
    whinyoke.CatalogUpdate.decode(updates.since(version, 0));
  apply({ putGroup: { group: 'g', epoch: 1, phase: GroupPhase.STEADY } });
  const notifier = new ChangeNotifier(new RealClock(), catalog);
  order('a', true);
  t.ok(notifier.hasUpdatesFor(1), 'waiting long polls are answered without delay');
  t.match(decode(1), { isWhole: false, evacuations: [{ zone: 'a', begunAt: 2 }] });
  order('a', false);
  t.match(decode(2), { evacuations: [{ zone: 'a', begunAt: 0, version: 3 }] });
  order('b', true);
  t.same(decode(4).evacuations, []);
  t.match(decode(0), { isWhole: true, evacuations: [{ zone: 'a' }, { zone: 'b' }] });
  t.end();
});

void t.test('a primary is not probed for its position if no replica may be read', async (t) => {
  const { catalog, apply, order } = createCatalog();
  for (const [id, zone] of [
    ['p', 'a'],
    ['r', 'b'],
  ]) {
    apply({ putInstance: { id: id!, group: 'g', zone: zone!, address: id! } });
  }
  apply({ putGroup: { group: 'g', epoch: 1, phase: GroupPhase.STEADY, primary: 'p', term: 1 } });
  const probedIds: string[] = [];
  const connect = ({ id }: { id: string }): Promise<never> => {
    probedIds.push(id);
    return Promise.reject(new Error('connection refused'));
  };
  const cache = new PrimaryPositionCache(new RealClock(), catalog, { connect }, () => true);
  cache.recordDemand();
  order('a', true);
  order('b', true);
  await cache.probeMissing();
  t.same(probedIds, []);
  order('b', false);
  await cache.probeMissing();
  t.same(probedIds, ['p']);
});

/** Catalog service of a leader whose log is `propose`. */
function serviceOf(
  catalog: Catalog,
  propose: (command: whinyoke.ICatalogCommand) => Promise<whinyoke.CatalogResult>,
): CatalogService {
  return new CatalogService({
    node: { role: 'leader', isReadyLeader: true, leaderAddress: '', address: '' },
    catalog,
    propose,
    log: () => undefined,
  } as unknown as CatalogServiceDependencies);
}

void t.test(
  'an order committed by a leader that was lost is acknowledged when it is repeated',
  async (t) => {
    const { catalog, apply } = createCatalog();
    const evacuation = { zone: 'a', begins: true };
    const lost = serviceOf(catalog, (command) => {
      apply(command);
      return Promise.reject(new Error('leadership lost'));
    });
    t.match(await lost.handle({ evacuation }), { outcome: CatalogOutcome.UNAVAILABLE });
    const version = catalog.version;
    const next = serviceOf(catalog, (command) => Promise.resolve(apply(command)));
    t.match(await next.handle({ evacuation }), { outcome: CatalogOutcome.DONE });
    t.same(
      catalog.evacuations,
      [{ zone: 'a', begunAt: version, version }],
      'the evacuation began once',
    );
    const alone = serviceOf(catalog, () => Promise.reject(new Error('no majority')));
    const again = await alone.handle({ evacuation });
    t.match(
      again,
      { outcome: CatalogOutcome.UNAVAILABLE },
      'an order in effect is acknowledged only by a leader with a majority',
    );
  },
);

void t.test('a finish that follows an uncommitted begin is not lost', async (t) => {
  const { catalog, apply } = createCatalog();
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

void t.test('an order and a configuration submitted together both take effect', (t) => {
  const { catalog, apply, order } = createCatalog();
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

/** Posts orders to a control machine that knows some zones and always gives the same reply. */
async function statusesOf(
  t: Test,
  zones: readonly string[],
  reply: whinyoke.ICatalogReply,
  paths: readonly string[],
): Promise<{ statuses: readonly number[]; orders: whinyoke.ICatalogRequest[] }> {
  const orders: whinyoke.ICatalogRequest[] = [];
  const core = {
    knownZones: new Set(zones),
    submit: (request: whinyoke.ICatalogRequest) => {
      orders.push(request);
      return Promise.resolve(reply);
    },
  } as unknown as AppointedControl;
  const api = new ControlApi(core, new PlatformDocumentReader(), noop, noop);
  const server = await api.listen('127.0.0.1:0');
  t.teardown(async () => {
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
  });
  const { port } = server.address() as AddressInfo;
  const statuses: number[] = [];
  for (const path of paths) {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { method: 'POST' });
    statuses.push(response.status);
  }
  return { statuses, orders };
}

void t.test('the HTTP status tells an operator the outcome of an order', async (t) => {
  const done = { outcome: CatalogOutcome.DONE };
  const paths = ['/evacuation/z%201/begin', '/evacuation/z%201/finish'];
  const accepted = await statusesOf(t, ['z 1'], done, paths);
  t.same(accepted.statuses, [200, 200]);
  t.same(accepted.orders, [
    { evacuation: { zone: 'z 1', begins: true } },
    { evacuation: { zone: 'z 1', begins: false } },
  ]);
  const wrong = ['/evacuation/b/begin', '/evacuation/%E0%A4%A/begin', '/evacuation/a/pause'];
  const refused = await statusesOf(t, ['a'], done, wrong);
  t.same(refused.statuses, [404, 400, 404]);
  t.same(refused.orders, []);
  const proper = ['/evacuation/a/begin'];
  const unsure = await statusesOf(t, ['a'], { outcome: CatalogOutcome.UNAVAILABLE }, proper);
  t.same(unsure.statuses, [503], 'no majority');
  const unread = await statusesOf(t, [], done, proper);
  t.same(unread.statuses, [503], 'a machine that knows no zones cannot validate the order');
  const older = await statusesOf(t, ['a'], { ...done, document: documentOf(1, 'one') }, proper);
  t.same(older.statuses, [503], 'a leader of an older version read the document instead');
});

void t.test('an order whose HTTP call was aborted is not submitted', async (t) => {
  const orders: whinyoke.ICatalogRequest[] = [];
  const core = {
    knownZones: new Set(['a']),
    submit: (request: whinyoke.ICatalogRequest) => {
      orders.push(request);
      return Promise.resolve({ outcome: CatalogOutcome.DONE });
    },
  } as unknown as AppointedControl;
  const api = new ControlApi(core, new PlatformDocumentReader(), noop, noop);
  const server = await api.listen('127.0.0.1:0');
  const { port } = server.address() as AddressInfo;
  const abortedCall = connect(port, '127.0.0.1');
  abortedCall.end('POST /evacuation/a/begin HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n');
  await once(abortedCall, 'close');
  server.close();
  await once(server, 'close');
  await delay(new RealClock(), 100);
  t.same(orders, []);
});

/** Opens a control machine on a folder and waits until it leads alone. */
async function openSingleControl(
  t: Test,
  path: string,
  isFirstStart: boolean,
): Promise<AppointedControl> {
  const folder = await RealFolder.open(path);
  const unreachable = (): Promise<never> => Promise.reject(new Error('unreachable'));
  const clock = new RealClock();
  const messenger = { request: unreachable, serve: () => undefined };
  const runtime = { clock, random: new SeededRandom(1), messenger, folder };
  const address = '127.0.0.1:7101';
  const core = await AppointedControl.open(runtime, {
    name: 'control-1',
    address,
    seeds: [address],
    isFirstStart,
    voterCount: 1,
    connector: { connect: unreachable },
    appointer: { prepare: () => Promise.resolve(undefined) },
    log: () => undefined,
    documents: new PlatformDocumentReader(),
    quotaRules: { windowMs: 5000, overage: 0.1, tolerance: 20 },
    placementRules: { ...DEFAULT_PLACEMENT_RULES, regionByZone: new Map([['a', 'r']]) },
  });
  t.teardown(async () => {
    core.stop();
    await folder.close();
  });
  await core.start();
  while (!core.node.isReadyLeader) await delay(clock, 10);
  return core;
}

void t.test('an order survives a restart of a control machine on its data folder', async (t) => {
  const path = t.testdir({});
  const first = await openSingleControl(t, path, true);
  t.ok(first.knownZones.has('a'), 'a zone from the settings without any instance');
  const reply = await first.submit({ evacuation: { zone: 'a', begins: true } });
  t.match(reply, { outcome: CatalogOutcome.DONE });
  first.stop();
  const { evacuations } = first.catalog;
  const second = await openSingleControl(t, path, false);
  t.same(second.catalog.evacuations, evacuations);
});
