/** Data residency: requests never reach an instance or another proxy outside their allowed regions. */
import fc from 'fast-check';
import t from 'tap';
import { PlatformDocumentReader } from '../../platform/routing_document.js';
import type { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import type { CallerStatement } from '../../src/appointed/instance/statement.js';
import {
  type DocumentRegions,
  type Placement,
  PlacedProxy,
  documentWith,
} from '../tools/placed_proxy.js';

const READ: CallerStatement = { kind: 'read', argument: 'k' };
const WRITE: CallerStatement = { kind: 'write', argument: 'k v' };
const REGIONS = { n1: 'north', n2: 'north', s1: 'south', s2: 'south' };
/** The primary and the nearest replica are in the north. */
const MIXED: Placement = {
  zone: 'n1',
  instances: [
    { id: 'p', zone: 'n1' },
    { id: 'near', zone: 'n1' },
    { id: 'far', zone: 's1' },
  ],
  primary: 'p',
  regionByZone: REGIONS,
};
const OUTSIDE_REGIONS_TEXT = /^no instance within the homes may run it; retry after 1000 ms$/;

async function withProxy(
  t: { teardown(end: () => void): void },
  placement: Placement,
  regions: DocumentRegions,
): Promise<{ proxy: PlacedProxy; session: RoutedSession }> {
  const proxy = new PlacedProxy(placement, regions);
  t.teardown(() => proxy.core.stop());
  return { proxy, session: await proxy.start() };
}

/** Runs a statement; returns the instances that received it, with the connection owner if relayed, and its error. */
async function run(proxy: PlacedProxy, session: RoutedSession, statement: CallerStatement) {
  const startedAt = proxy.clock.now();
  const { error } = await session.execute('q', statement);
  const tookMs = proxy.clock.now() - startedAt;
  const destinations = proxy
    .takeSentCommands()
    .map(({ instance, via }) => (via ? `${instance} by ${via}` : instance));
  return { destination: [...new Set(destinations)].join(), error: error?.text ?? '', tookMs };
}

/** Whether a statement was refused immediately because of its allowed regions, and reached no instance. */
async function isRefusedAtOnce(
  proxy: PlacedProxy,
  session: RoutedSession,
  statement: CallerStatement,
): Promise<boolean> {
  const { destination, error, tookMs } = await run(proxy, session, statement);
  return destination === '' && OUTSIDE_REGIONS_TEXT.test(error) && tookMs < 300;
}

void t.test('an empty or missing list of regions does not restrict a route', (t) => {
  const allowedRegionsOf = (route: DocumentRegions['route']): unknown =>
    new PlatformDocumentReader().read(documentWith(1, { route })).routeByDatabase.get('db')!
      .allowedRegions;
  t.equal(allowedRegionsOf([]), undefined);
  t.equal(allowedRegionsOf(null), undefined);
  t.same(allowedRegionsOf(['north']), new Set(['north']));
  t.end();
});

void t.test('a read is not sent to a near replica outside its allowed regions', async (t) => {
  const { proxy, session } = await withProxy(t, MIXED, { route: ['south'] });
  for (let count = 0; count < 5; count++) {
    t.equal((await run(proxy, session, READ)).destination, 'far');
  }
  await proxy.putDocument({});
  t.not(
    (await run(proxy, session, READ)).destination,
    'far',
    'an unrestricted read is sent to a near instance',
  );
});

void t.test('a write does not wait for a primary outside its allowed regions', async (t) => {
  const { proxy, session } = await withProxy(t, MIXED, { route: ['south'] });
  t.ok(await isRefusedAtOnce(proxy, session, WRITE));
  await session.execute('b', { kind: 'begin', readOnly: false });
  t.ok(await isRefusedAtOnce(proxy, session, WRITE), 'in a transaction');
});

void t.test(
  'a restricted read is not refused before the position of a primary elsewhere is known',
  async (t) => {
    const proxy = new PlacedProxy(MIXED, { route: ['south'] });
    t.teardown(() => proxy.core.stop());
    proxy.reportsPositions = false;
    const session = await proxy.start();
    // Requests wait for the first positions after the start of a proxy anyway.
    await new Promise((resolve) => setTimeout(resolve, 400));
    proxy.clock.setTimer(60, () => (proxy.reportsPositions = true));
    t.equal((await run(proxy, session, READ)).destination, 'far');
    await session.execute('b', { kind: 'begin', readOnly: true });
    t.equal((await run(proxy, session, READ)).destination, 'far', 'in a read-only transaction');
  },
);

void t.test(
  'no instance serves a request whose route and tenant allow disjoint regions',
  async (t) => {
    const regions = { route: ['south'], tenant: ['north'] };
    const { proxy, session } = await withProxy(t, MIXED, regions);
    t.ok(await isRefusedAtOnce(proxy, session, READ));
    await proxy.putDocument({ route: ['south'], tenant: ['north', 'south'] });
    t.equal((await run(proxy, session, READ)).destination, 'far', 'both lists apply');
  },
);

void t.test(
  'an instance in a zone without a region does not serve restricted requests',
  async (t) => {
    const placement = { ...MIXED, regionByZone: { n1: 'north' } };
    const { proxy, session } = await withProxy(t, placement, { route: ['s1', 'south'] });
    t.ok(await isRefusedAtOnce(proxy, session, READ));
  },
);

void t.test('open sessions and transactions do not keep outdated allowed regions', async (t) => {
  const { proxy, session } = await withProxy(t, MIXED, { routeType: 'primary' });
  await session.execute('b', { kind: 'begin', readOnly: false });
  t.equal((await run(proxy, session, WRITE)).destination, 'p');
  await proxy.putDocument({ routeType: 'primary', route: ['south'] });
  t.ok(await isRefusedAtOnce(proxy, session, WRITE));
  t.equal(session.state, 'failed');
  await session.execute('r', { kind: 'rollback' });
  t.ok(await isRefusedAtOnce(proxy, session, READ), 'the open session is restricted');
  await proxy.putDocument({ routeType: 'primary', route: ['north'] });
  await session.execute('b', { kind: 'begin', readOnly: false });
  await run(proxy, session, WRITE);
  await proxy.putDocument({ routeType: 'primary', route: ['south'] });
  const { error } = await session.execute('c', { kind: 'commit' });
  t.match(error, { kind: 'aborted', text: OUTSIDE_REGIONS_TEXT }, 'COMMIT is not sent');
  t.same(proxy.takeSentCommands(), []);
});

const FEW_CONNECTIONS: Placement = {
  zone: 's1',
  instances: [{ id: 'p', zone: 'n1' }],
  primary: 'p',
  connectionLimit: 2,
  proxies: Array.from({ length: 6 }, (_, index) => ({ id: `o${index}:1`, zone: 's2' })),
  regionByZone: REGIONS,
};

void t.test('a restricted statement is not relayed through owners in another region', async (t) => {
  const { proxy, session } = await withProxy(t, FEW_CONNECTIONS, {});
  t.match(
    (await run(proxy, session, WRITE)).destination,
    /^p by o/,
    'an owner relays an unrestricted statement',
  );
  await proxy.putDocument({ route: ['north'] });
  t.equal((await run(proxy, session, WRITE)).destination, 'p');
});

void t.test(
  'a transaction relayed by an owner outside newer allowed regions does not continue',
  async (t) => {
    const { proxy, session } = await withProxy(t, FEW_CONNECTIONS, { routeType: 'primary' });
    await session.execute('b', { kind: 'begin', readOnly: false });
    t.match((await run(proxy, session, WRITE)).destination, /^p by o/);
    await proxy.putDocument({ routeType: 'primary', route: ['north'] });
    t.ok(await isRefusedAtOnce(proxy, session, WRITE));
  },
);

void t.test('no ROLLBACK is relayed to a closed zone', async (t) => {
  const { proxy, session } = await withProxy(t, FEW_CONNECTIONS, { routeType: 'primary' });
  await session.execute('b', { kind: 'begin', readOnly: false });
  t.match((await run(proxy, session, WRITE)).destination, /^p by o/);
  proxy.evacuatedZones = ['n1'];
  await proxy.putDocument({ routeType: 'primary' });
  await session.execute('r', { kind: 'rollback' });
  t.same(proxy.takeSentCommands(), []);
});

void t.test('a restricted read is not refused while its only instance is cold', async (t) => {
  const [primary, , far] = MIXED.instances;
  const instances = [primary!, { ...far!, isCold: true }];
  const placement = { ...MIXED, instances, coldRequestsPerSecond: 5 };
  const proxies = [{ id: 'o:1', zone: 's1' }];
  const { proxy, session } = await withProxy(t, { ...placement, proxies }, { route: ['south'] });
  const reading = run(proxy, session, READ);
  await new Promise((resolve) => setTimeout(resolve, 60));
  proxy.holderAddress = 'o:1';
  await proxy.putDocument({ route: ['south'] });
  t.equal((await reading).destination, 'far by o:1');
});

void t.test(
  'a connection owner does not run a statement outside its allowed regions',
  async (t) => {
    const { proxy } = await withProxy(t, MIXED, {});
    const command = { data: { id: 'q', argument: 'k' } };
    const relayStatement = (instance: string, regions: string[]) =>
      proxy.receiveRelayed({
        instance,
        tenant: 'ana',
        waitMs: 50,
        timeoutMs: 50,
        command,
        homes: { regions },
      });
    const refusal = { outcome: 1, cause: 'no instance within the homes may run it' };
    t.match(await relayStatement('near', ['south']), refusal, 'the owner is outside');
    t.match(await relayStatement('far', ['north']), refusal, 'the instance is outside');
    t.match(await relayStatement('near', []), refusal, 'no region is allowed');
    t.match(await relayStatement('near', ['north']), { outcome: 0 });
    t.same(proxy.takeSentCommands(), [{ instance: 'near' }]);
  },
);

const ZONES = ['n1', 'n2', 's1', 's2', 'e1', 'unknown'];
const REGION_OF: Readonly<Record<string, string>> = { ...REGIONS, e1: 'east' };
const someRegions = fc.option(
  fc.uniqueArray(fc.constantFrom<string>('north', 'south', 'east', 'nowhere'), { maxLength: 3 }),
  { nil: undefined },
);
const membersWithPrefix = (prefix: string) =>
  fc
    .array(fc.constantFrom(...ZONES), { minLength: 1, maxLength: 6 })
    .map((zones) => zones.map((zone, index) => ({ id: `${prefix}${index}:1`, zone })));

void t.test(
  'requests never reach an instance or proxy outside their allowed regions, in random placements',
  async (t) => {
    let served = 0;
    const property = fc.asyncProperty(
      membersWithPrefix('i'),
      membersWithPrefix('o'),
      fc.constantFrom(...ZONES),
      someRegions,
      someRegions,
      async (instances, proxies, zone, route, tenant) => {
        const placement = { zone, instances, proxies, primary: 'i0:1', connectionLimit: 2 };
        const proxy = new PlacedProxy({ ...placement, regionByZone: REGION_OF }, { route, tenant });
        const session = await proxy.start();
        for (const statement of [READ, READ, WRITE]) await session.execute('q', statement);
        await session.execute('b', { kind: 'begin', readOnly: false });
        await session.execute('q', WRITE);
        session.close();
        proxy.core.stop();
        const zoneOf = new Map([...instances, ...proxies].map((item) => [item.id, item.zone]));
        const isAllowed = (id: string): boolean => {
          const region = REGION_OF[zoneOf.get(id)!];
          const lists = [route, tenant].filter((list) => list !== undefined && list.length > 0);
          return lists.every((list) => region !== undefined && list!.includes(region));
        };
        const passed = proxy.takeSentCommands();
        served += passed.length;
        return passed.every(({ instance, via }) => isAllowed(instance) && (!via || isAllowed(via)));
      },
    );
    await fc.assert(property, { seed: 36, numRuns: 60 });
    t.ok(served > 60, `${served} commands were sent`);
  },
);
