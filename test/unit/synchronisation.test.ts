/**
 * State that the leader shares with many proxies: registrations, encoded updates, primary positions
 * and their ages.
 */
import fc from 'fast-check';
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { documentOf } from '../../src/appointed/catalog/document_source.js';
import { CatalogUpdates } from '../../src/appointed/control/catalog_updates.js';
import { PrimaryPositionCache } from '../../src/appointed/control/primary_position_cache.js';
import { ProxyRegistrar } from '../../src/appointed/control/proxy_registrar.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import {
  ConnectError,
  type InstanceConnector,
} from '../../src/appointed/instance/instance_connection.js';
import { SharedPositions, sharedPositionsOf } from '../../src/appointed/proxy/shared_positions.js';
import type { Clock } from '../../src/runtime/runtime.js';

const { GroupPhase } = whinyoke;
const POSITION = { term: 3, sequence: 40 };

/** A catalog and a function that applies commands to it. */
function createCatalog(): {
  catalog: Catalog;
  apply: (command: whinyoke.ICatalogCommand) => Promise<whinyoke.CatalogResult>;
} {
  const catalog = new Catalog();
  let index = 0;
  const apply = (command: whinyoke.ICatalogCommand): Promise<whinyoke.CatalogResult> => {
    index++;
    const bytes = catalog.apply(index, whinyoke.CatalogCommand.encode(command).finish());
    return Promise.resolve(whinyoke.CatalogResult.decode(bytes));
  };
  return { catalog, apply };
}

function steadyGroup(epoch: number): whinyoke.ICatalogCommand {
  return {
    putGroup: { group: 'g', epoch, phase: GroupPhase.STEADY, primary: `i-${epoch}`, term: epoch },
  };
}

/** A clock that advances only when told to. */
class ManualClock implements Clock {
  constructor(private time: number) {}

  now(): number {
    return this.time;
  }

  setTimer(): { cancel(): void } {
    return { cancel: () => undefined };
  }

  advance(durationMs: number): void {
    this.time += durationMs;
  }
}

const REFUSING_CONNECTOR: InstanceConnector = {
  connect: () => Promise.reject(new ConnectError('connection refused', { failure: 'refused' })),
};

function cacheOf(
  catalog: Catalog,
  clock: Clock,
  connector = REFUSING_CONNECTOR,
): PrimaryPositionCache {
  return new PrimaryPositionCache(clock, catalog, connector, () => true);
}

void t.test('all waiting proxies are registered with one log entry', async (t) => {
  const { catalog, apply } = createCatalog();
  const commands: whinyoke.ICatalogCommand[] = [];
  const registrar = new ProxyRegistrar(catalog, (command) => {
    commands.push(command);
    return apply(command);
  });
  const proxies = Array.from({ length: 200 }, (_, number) => ({
    id: `p${number}`,
    incarnation: 'first',
  }));
  const outcomes = await Promise.all(proxies.map((proxy) => registrar.register(proxy)));
  t.ok(outcomes.every((isRegistered) => isRegistered));
  t.equal(commands.length, 1);
  t.ok(await registrar.register(proxies[0]!), 'a registered incarnation needs no entry');
  t.equal(commands.length, 1);
  t.ok(await registrar.register({ id: 'p0', incarnation: 'second' }));
  t.equal(commands.length, 2);
});

void t.test(
  'a failed registration is reported to all waiting proxies and can be repeated',
  async (t) => {
    const { catalog, apply } = createCatalog();
    let isFailing = true;
    const registrar = new ProxyRegistrar(catalog, (command) =>
      isFailing ? Promise.reject(new Error('no majority')) : apply(command),
    );
    const proxy = { id: 'p', incarnation: 'first' };
    t.same(await Promise.all([registrar.register(proxy), registrar.register(proxy)]), [
      false,
      false,
    ]);
    isFailing = false;
    t.ok(await registrar.register(proxy));
  },
);

void t.test('an update is encoded once for all proxies with the same version', async (t) => {
  const { catalog, apply } = createCatalog();
  const updates = new CatalogUpdates(catalog);
  await apply({ putDocument: documentOf(5, 'five') });
  await apply(steadyGroup(1));
  const first = updates.since(0, 0);
  t.equal(updates.since(0, 0), first, 'the same bytes');
  t.match(whinyoke.CatalogUpdate.decode(first), { isWhole: true, document: { version: 5 } });
  t.equal(updates.since(catalog.version, 5).length, 0, 'no changes');
  const known = catalog.version;
  await apply(steadyGroup(2));
  t.not(updates.since(0, 0), first, 'the catalog has changed');
  const update = whinyoke.CatalogUpdate.decode(updates.since(known, 5));
  t.match(update, { isWhole: false, groups: [{ group: 'g', epoch: 2 }] });
  t.equal(update.document, null);
});

void t.test('the leader passes on positions of the current epoch only', async (t) => {
  const { catalog, apply } = createCatalog();
  const clock = new ManualClock(1000);
  const cache = cacheOf(catalog, clock);
  await apply(steadyGroup(1));
  t.equal(cache.newest(), undefined);
  cache.recordReports([{ group: 'g', epoch: 2, position: POSITION, askedAt: 900 }]);
  t.equal(cache.newest(), undefined, 'of an unknown epoch');
  cache.recordReports([{ group: 'g', epoch: 1, position: POSITION, askedAt: 1100 }]);
  t.equal(cache.newest(), undefined, 'from the future');
  cache.recordReports([{ group: 'g', epoch: 1, position: POSITION, askedAt: 900 }]);
  cache.recordReports([
    { group: 'g', epoch: 1, position: { term: 3, sequence: 39 }, askedAt: 800 },
  ]);
  t.same(cache.newest(), { terms: [3], sequences: [40], agesMs: [100] });
  clock.advance(5000);
  t.equal(cache.newest(), undefined, 'too old');
  cache.recordReports([{ group: 'g', epoch: 1, position: POSITION, askedAt: 5900 }]);
  await apply({ putGroup: { group: 'g', epoch: 2, phase: GroupPhase.CHANGING } });
  t.equal(cache.newest(), undefined, 'the primary is being changed');
});

void t.test(
  'the leader probes a primary if a position is requested and no proxy reports it',
  async (t) => {
    const { catalog, apply } = createCatalog();
    const clock = new ManualClock(1000);
    const probedIds: string[] = [];
    const cache = cacheOf(catalog, clock, {
      connect: (target) => {
        probedIds.push(target.id);
        const connection = {
          run: () => Promise.reject(new Error('nothing is run')),
          close: () => undefined,
          closed: false,
          onClosed: undefined,
        };
        return Promise.resolve({ connection, position: POSITION });
      },
    });
    await apply({ putInstance: { id: 'i-1', group: 'g', address: '10.0.0.1:5000' } });
    await apply(steadyGroup(1));
    await cache.probeMissing();
    t.same(probedIds, [], 'no proxy requested a position');
    cache.recordDemand();
    await cache.probeMissing();
    t.same(probedIds, ['i-1']);
    t.same(cache.newest(), { terms: [3], sequences: [40], agesMs: [1] });
    clock.advance(500);
    cache.recordDemand();
    await cache.probeMissing();
    t.same(probedIds, ['i-1'], 'recent enough');
    clock.advance(200);
    await cache.probeMissing();
    t.same(probedIds, ['i-1', 'i-1']);
  },
);

void t.test('a position never appears newer than it is, for any clock offsets and delays', (t) => {
  const delays = fc.nat({ max: 5000 });
  fc.assert(
    fc.property(
      fc.record({
        leaderOffset: fc.nat({ max: 1_000_000 }),
        writerOffset: fc.nat({ max: 1_000_000 }),
        readerOffset: fc.nat({ max: 1_000_000 }),
        clockReplyDelay: delays,
        asked: fc.integer({ min: -400, max: 400 }),
        requestDelay: delays,
        longPollDelay: delays,
        readerRequestDelay: delays,
        readerReplyDelay: delays,
      }),
      (sample) => {
        // True time 10,000: the leader sends its clock to the proxy that is connected to the
        // primary.
        const clockSentAt = 10_000;
        const clockReadAt = clockSentAt + sample.clockReplyDelay;
        const writer = new SharedPositions();
        const reply = { term: 1, clockMs: Math.floor(clockSentAt + sample.leaderOffset) };
        writer.recordLeaderClock(reply, clockReadAt + sample.writerOffset);
        const askedAt = clockReadAt + sample.asked;
        writer.recordOwn('g', 1, askedAt + sample.writerOffset, POSITION);
        const reportAt = Math.max(askedAt, clockReadAt) + 5;
        const reports = writer.takeReports(reportAt + sample.writerOffset);
        const reportedAskedAt = (reports[0]?.askedAt ?? 0) - sample.leaderOffset;
        if (reportedAskedAt > askedAt) return false;
        // The leader answers another proxy.
        const readerSentAt = reportAt + sample.requestDelay + sample.longPollDelay;
        const answeredAt = readerSentAt + sample.readerRequestDelay;
        const positions = {
          terms: [3],
          sequences: [40],
          agesMs: [Math.max(1, Math.ceil(answeredAt - reportedAskedAt))],
        };
        const [seen] = sharedPositionsOf({ positions }, ['g'], readerSentAt + sample.readerOffset);
        return seen!.askedAt - sample.readerOffset <= askedAt;
      },
    ),
  );
  t.end();
});

void t.test(
  'positions are requested while replicas are read without contact to the primary',
  (t) => {
    const shared = new SharedPositions();
    t.notOk(shared.needsSharedPositions(0));
    shared.recordRead('g', 0);
    t.ok(shared.needsSharedPositions(10));
    shared.recordOwn('g', 1, 10, POSITION);
    t.notOk(shared.needsSharedPositions(20), 'in contact with the primary');
    t.ok(shared.needsSharedPositions(1000), 'no recent contact');
    t.notOk(shared.needsSharedPositions(4000), 'no recent reads');
    t.same(shared.takeReports(20), [], 'no leader clock is known');
    t.end();
  },
);

void t.test('positions for another set of groups are ignored', (t) => {
  const positions = { terms: [3, 0], sequences: [40, 0], agesMs: [10, 0] };
  t.same(sharedPositionsOf({ positions }, ['a'], 100), []);
  t.same(sharedPositionsOf({ positions }, ['a', 'b'], 100), [
    { group: 'a', position: POSITION, askedAt: 90 },
  ]);
  t.end();
});
