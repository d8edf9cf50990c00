/** Instances that start again, empty, under their identifier: what no longer counts, and what begins anew. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { classifyEntry } from '../../src/appointed/catalog/incarnation_order.js';
import { AddressClaims } from '../../src/appointed/control/address_claim.js';
import { CatalogService } from '../../src/appointed/control/catalog_service.js';
import { CaughtUpInstances } from '../../src/appointed/failover/caught_up_instances.js';
import type { RaftNode } from '../../src/consensus/raft_node.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { PrimaryChangeScenario, statusUpTo } from '../tools/primary_change_scenario.js';

const { CatalogOutcome, InstanceState } = whinyoke;

/** Time for several tries of a change, in milliseconds. */
const CHANGE_ATTEMPTS_MS = 2500;

void t.test('an old primary that started again is no evidence', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(100));
  group.statuses.set('a', statusUpTo());
  group.reportInstance('a', 2000, 1);
  void group.changePrimary(95);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'c may alone hold up to 3.120');
  group.statuses.set('c', statusUpTo(120));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed[0], 'c');
});

void t.test('a replica that started again does not speak for the one that it was', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(100));
  group.statuses.set('c', statusUpTo());
  group.reportInstance('c', 2000, 1);
  void group.changePrimary(120);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'the former c alone had confirmed 3.120');
  group.statuses.set('a', statusUpTo(120, 'primary'));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed[0], 'a', 'only the old primary has it');
});

void t.test('answers of incarnations of which control has not heard yet', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(100));
  group.statuses.set('a', statusUpTo());
  void group.changePrimary(95);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'an old primary with a log shorter than that of its epoch');
  group.statuses.set('c', statusUpTo(99));
  group.openedAt.set('c', group.scheduler.now);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'a replica that may be a new incarnation');
  group.reportInstance('c', 1000, 60);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(
    group.appointed[0],
    'b',
    'its heartbeat came long after the connection: it never had more',
  );
});

void t.test(
  'confirmations of all proxies need no word of a replica that started again',
  async (t) => {
    const group = new PrimaryChangeScenario();
    group.statuses.set('b', statusUpTo(100));
    group.statuses.set('c', statusUpTo(91));
    group.reportInstance('c', 2000, 1);
    void group.changePrimary(100);
    group.confirmAll();
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(group.appointed[0], 'b');
  },
);

void t.test(
  'a log that is shorter than that of the epoch at its begin is not chosen',
  async (t) => {
    const group = new PrimaryChangeScenario();
    group.statuses.set('b', statusUpTo(89));
    group.statuses.set('c', statusUpTo(80));
    void group.changePrimary(50);
    group.confirmAll();
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(
      group.appointed,
      [],
      'the primary may alone hold 3.90, acknowledged in an earlier epoch',
    );
    group.statuses.set('b', statusUpTo(90));
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(group.appointed[0], 'b');
  },
);

void t.test('an instance that starts again after it was appointed does not lead', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(119));
  group.statuses.set('c', statusUpTo(120));
  group.onAppoint = (instance) => {
    const state = instance === 'c' ? statusUpTo() : group.statuses.get(instance)!;
    group.statuses.set(instance, { ...state, role: 'primary', term: 3 + group.appointed.length });
  };
  void group.changePrimary(119);
  group.confirmAll();
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, ['c', 'b']);
  const entry = {
    epoch: 3,
    primary: 'b',
    leastPosition: { term: 3, sequence: 119 },
  };
  t.match(group.catalog.group('g'), entry);
});

void t.test('a new incarnation counts once it holds what the primary held', async (t) => {
  const group = new PrimaryChangeScenario();
  const { catalog, scheduler } = group;
  group.statuses.set('a', statusUpTo(120, 'primary'));
  group.statuses.set('c', statusUpTo(110));
  group.reportInstance('c', 2000, 1);
  const caughtUp = new CaughtUpInstances({
    clock: { now: () => scheduler.now, setTimer: () => ({ cancel: () => undefined }) },
    catalog,
    administrator: { status: ({ id }) => Promise.resolve(group.statuses.get(id)) },
    log: () => undefined,
    isLeading: () => true,
  });
  const isCaughtUp = async (): Promise<boolean> => {
    await caughtUp.checkAll();
    return caughtUp.has(catalog.instance('c')!);
  };
  t.notOk(await isCaughtUp());
  group.statuses.set('a', statusUpTo());
  group.statuses.set('c', statusUpTo(120));
  t.ok(await isCaughtUp(), 'the position that the primary told counts, whatever becomes of it');
  group.reportInstance('c', 3000, 1);
  t.notOk(await isCaughtUp(), 'the next incarnation, while the primary itself started again');
  t.notOk(caughtUp.has(catalog.instance('c')!));
});

void t.test('which entries tell of a new incarnation', (t) => {
  const known = { born: 2000, sequence: 9, incarnation: 4, state: InstanceState.READY };
  const order = (told: whinyoke.IInstanceEntry, change = {}): string =>
    classifyEntry({ ...known, ...change }, told);
  const isGone = { state: InstanceState.GONE };
  t.equal(order({ born: 2000, sequence: 9 }), 'same');
  t.equal(order({ born: 2000, sequence: 8 }), 'late');
  t.equal(order({ born: 2001, sequence: 1 }), 'next');
  t.equal(order({ born: 1999, sequence: 99 }), 'late', 'of the one before');
  t.equal(order({ born: 1999, sequence: 1, incarnation: 5 }), 'next', 'a clock was set back');
  t.equal(order({ born: 1999, sequence: 1, incarnation: 4 }), 'late', 'another was faster');
  t.equal(order({ sequence: 10 }), 'same', 'it said it once and does not now');
  t.equal(order({ sequence: 8 }), 'late');
  t.equal(order({ born: 2000, sequence: 10 }, isGone), 'late');
  t.equal(order({ born: 2001, sequence: 1 }, isGone), 'next', 'it comes back');
  t.equal(order({ sequence: 10 }, isGone), 'late', 'gone for good, as ever');
  t.equal(order({ born: 2000, sequence: 10 }, { born: 0 }), 'same', 'it begins to tell');
  t.equal(order({ born: 2000, sequence: 1 }, { born: 0 }), 'next');
  t.end();
});

/** A leader that takes heartbeats, without others at any address. */
function createLeader(): {
  readonly group: PrimaryChangeScenario;
  readonly sendHeartbeat: (
    told: whinyoke.IInstanceEntry,
    leaves?: boolean,
  ) => Promise<whinyoke.InstanceState | null | undefined>;
} {
  const group = new PrimaryChangeScenario();
  const { catalog, monitor, scheduler } = group;
  const clock = { now: () => scheduler.now, setTimer: () => ({ cancel: () => undefined }) };
  const fail = (): Promise<never> => Promise.reject(new Error('unused'));
  const service = new CatalogService({
    clock,
    messenger: { request: fail, serve: () => undefined },
    node: { role: 'leader', isReadyLeader: true } as unknown as RaftNode,
    catalog,
    monitor,
    claims: new AddressClaims(clock, catalog, monitor, { connect: fail }),
    propose: (command) => Promise.resolve(group.apply(command)),
    log: () => undefined,
  });
  const sendHeartbeat = async (told: whinyoke.IInstanceEntry, leaves = false) => {
    const instance = { id: 'b', group: 'g', address: 'b', ...told };
    const { outcome } = await service.submit({ beat: { instance, leaves } });
    t.equal(outcome, CatalogOutcome.DONE);
    return catalog.instance('b')?.state;
  };
  return { group, sendHeartbeat };
}

void t.test('late messages of an incarnation that ended change nothing', async (t) => {
  const { group, sendHeartbeat } = createLeader();
  const present = { born: 2000, incarnation: 1, address: 'new', state: InstanceState.READY };
  await sendHeartbeat({ born: 2000, sequence: 1, address: 'new' });
  t.match(group.catalog.instance('b'), present);
  await sendHeartbeat({ born: 1000, sequence: 51, address: 'b' });
  t.match(group.catalog.instance('b'), present, 'a heartbeat');
  await sendHeartbeat({ born: 1000 }, true);
  t.match(group.catalog.instance('b'), present, 'a deregister');
  t.ok(group.monitor.hasHeartbeatSince('b', 2000, 0));
  t.equal(await sendHeartbeat({ born: 2000 }, true), InstanceState.GONE, 'its own counts');
  t.equal(
    await sendHeartbeat({ born: 2000, sequence: 2 }),
    InstanceState.GONE,
    'its late heartbeat does not',
  );
  t.equal(await sendHeartbeat({ born: 3000, sequence: 1 }), InstanceState.READY, 'it comes back');
  t.equal(group.catalog.instance('b')?.incarnation, 2);
});

void t.test('an earlier start time is believed after the silence of the known one', async (t) => {
  const { group, sendHeartbeat } = createLeader();
  await sendHeartbeat({ born: 900, sequence: 1 });
  t.match(group.catalog.instance('b'), { born: 1000, incarnation: 0 });
  await group.run(3001);
  await sendHeartbeat({ born: 900, sequence: 2 });
  t.match(group.catalog.instance('b'), { born: 900, incarnation: 1 });
  await sendHeartbeat({ born: 1000, sequence: 52 });
  t.match(
    group.catalog.instance('b'),
    { born: 1000, incarnation: 2 },
    'it was late: nothing is lost',
  );
});

void t.test('a new leader takes a heartbeat of a former incarnation for late', async (t) => {
  const { group, sendHeartbeat } = createLeader();
  await sendHeartbeat({ born: 2000, sequence: 1 });
  group.monitor.beginLeadership(group.scheduler.now);
  await group.run(1000);
  await sendHeartbeat({ born: 1000, sequence: 51 });
  t.match(group.catalog.instance('b'), { born: 2000, incarnation: 1 });
  t.notOk(group.monitor.hasHeartbeatSince('b', 1000, 0));
});

void t.test('a snapshot keeps which incarnations there are', (t) => {
  const group = new PrimaryChangeScenario();
  const steadySince = group.catalog.group('g')!.steadySince!;
  group.reportInstance('c', 2000, 1);
  const copy = new Catalog();
  copy.restore(9, group.catalog.serialize());
  t.same(copy.serialize(), group.catalog.serialize());
  t.match(copy.instance('c'), { born: 2000, incarnation: 1 });
  t.ok(copy.incarnationStartIndex('c') > steadySince);
  t.equal(copy.incarnationStartIndex('b'), 0);
  group.apply({ putInstance: { id: 'c', group: 'other', born: 3000, sequence: 1 } });
  t.ok(group.catalog.hasLostInstanceSince('g', steadySince), 'it started again in another group');
  t.end();
});

void t.test(
  'an old primary that may have started again, in an epoch that began empty',
  async (t) => {
    const group = new PrimaryChangeScenario(0);
    group.statuses.set('a', statusUpTo());
    group.openedAt.set('a', group.scheduler.now);
    void group.changePrimary();
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(group.appointed, [], 'no log is shorter than that of the epoch');
    group.reportInstance('a', 1000, 60);
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(group.appointed[0], 'a', 'its heartbeat came long after the connection');
  },
);
