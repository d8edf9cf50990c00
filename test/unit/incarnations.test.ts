/**
 * Instances that restart empty under their identifier: data of the former incarnation must not
 * count for the new one.
 */
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

/** Enough time for several attempts of a change of primary. */
const CHANGE_ATTEMPTS_MS = 2500;

void t.test('a restarted old primary is no evidence of its former log', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(100));
  group.statuses.set('a', statusUpTo());
  group.reportInstance('a', 2000, 1);
  void group.changePrimary(95);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'c may be the only one with entries up to 3.120');
  group.statuses.set('c', statusUpTo(120));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed[0], 'c');
});

void t.test('a restarted replica is no evidence of its former log', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(100));
  group.statuses.set('c', statusUpTo());
  group.reportInstance('c', 2000, 1);
  void group.changePrimary(120);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'only the former incarnation of c had confirmed 3.120');
  group.statuses.set('a', statusUpTo(120, 'primary'));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed[0], 'a', 'only the old primary has 3.120');
});

void t.test('replies of incarnations that control does not know yet do not count', async (t) => {
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
    'its heartbeat came long after the connection, so it never had more entries',
  );
});

void t.test(
  'with confirmations of all proxies the log of a restarted replica is not needed',
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

void t.test('a log shorter than that at the start of the epoch is not chosen', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(89));
  group.statuses.set('c', statusUpTo(80));
  void group.changePrimary(50);
  group.confirmAll();
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(
    group.appointed,
    [],
    'the primary may be the only one with 3.90, acknowledged in an earlier epoch',
  );
  group.statuses.set('b', statusUpTo(90));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed[0], 'b');
});

void t.test(
  'an instance that restarts after its appointment does not become primary',
  async (t) => {
    const group = new PrimaryChangeScenario();
    group.statuses.set('b', statusUpTo(119));
    group.statuses.set('c', statusUpTo(120));
    group.onAppoint = (instance) => {
      if (instance === 'c') group.statuses.set('c', statusUpTo());
      group.lead(instance);
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
  },
);

void t.test('a new incarnation counts once it has all entries that the primary had', async (t) => {
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
  t.ok(await isCaughtUp(), 'the reported position of the primary counts even if it restarts');
  group.reportInstance('c', 3000, 1);
  t.notOk(await isCaughtUp(), 'the next incarnation, while the primary itself has restarted');
  t.notOk(caughtUp.has(catalog.instance('c')!));
});

void t.test('entries of new incarnations are told apart from late entries', (t) => {
  const known = { born: 2000, sequence: 9, incarnation: 4, state: InstanceState.READY };
  const order = (reported: whinyoke.IInstanceEntry, change = {}): string =>
    classifyEntry({ ...known, ...change }, reported);
  const isGone = { state: InstanceState.GONE };
  t.equal(order({ born: 2000, sequence: 9 }), 'same');
  t.equal(order({ born: 2000, sequence: 8 }), 'late');
  t.equal(order({ born: 2001, sequence: 1 }), 'next');
  t.equal(order({ born: 1999, sequence: 99 }), 'late', 'of the previous incarnation');
  t.equal(order({ born: 1999, sequence: 1, incarnation: 5 }), 'next', 'the clock was set back');
  t.equal(
    order({ born: 1999, sequence: 1, incarnation: 4 }),
    'late',
    'another incarnation has this number already',
  );
  t.equal(order({ sequence: 10 }), 'same', 'it no longer reports a start time');
  t.equal(order({ sequence: 8 }), 'late');
  t.equal(order({ born: 2000, sequence: 10 }, isGone), 'late');
  t.equal(order({ born: 2001, sequence: 1 }, isGone), 'next', 'it returns');
  t.equal(order({ sequence: 10 }, isGone), 'late', 'without a start time it stays gone');
  t.equal(order({ born: 2000, sequence: 10 }, { born: 0 }), 'same', 'first report of a start time');
  t.equal(order({ born: 2000, sequence: 1 }, { born: 0 }), 'next');
  t.end();
});

/** A leader that handles heartbeats; no instance answers at any address. */
function createLeader(): {
  readonly group: PrimaryChangeScenario;
  readonly sendHeartbeat: (
    reported: whinyoke.IInstanceEntry,
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
  const sendHeartbeat = async (reported: whinyoke.IInstanceEntry, leaves = false) => {
    const instance = { id: 'b', group: 'g', address: 'b', ...reported };
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
  t.equal(
    await sendHeartbeat({ born: 2000 }, true),
    InstanceState.GONE,
    'a deregistration of the current incarnation counts',
  );
  t.equal(
    await sendHeartbeat({ born: 2000, sequence: 2 }),
    InstanceState.GONE,
    'a late heartbeat after it does not',
  );
  t.equal(await sendHeartbeat({ born: 3000, sequence: 1 }), InstanceState.READY, 'it returns');
  t.equal(group.catalog.instance('b')?.incarnation, 2);
});

void t.test(
  'an earlier start time is accepted only after the known incarnation timed out',
  async (t) => {
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
      'the known incarnation was only delayed and is accepted again',
    );
  },
);

void t.test('a new leader treats a heartbeat of a former incarnation as late', async (t) => {
  const { group, sendHeartbeat } = createLeader();
  await sendHeartbeat({ born: 2000, sequence: 1 });
  group.monitor.beginLeadership(group.scheduler.now);
  await group.run(1000);
  await sendHeartbeat({ born: 1000, sequence: 51 });
  t.match(group.catalog.instance('b'), { born: 2000, incarnation: 1 });
  t.notOk(group.monitor.hasHeartbeatSince('b', 1000, 0));
});

void t.test('a snapshot preserves the incarnations', (t) => {
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
  t.ok(group.catalog.replicaLossVersion('g') > steadySince, 'it restarted in another group');
  t.end();
});

void t.test(
  'an old primary that may have restarted does not count, even in an epoch that began empty',
  async (t) => {
    const group = new PrimaryChangeScenario(0);
    group.statuses.set('a', statusUpTo());
    group.openedAt.set('a', group.scheduler.now);
    void group.changePrimary();
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(group.appointed, [], 'no log can be shorter than that of the epoch');
    group.reportInstance('a', 1000, 60);
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(group.appointed[0], 'a', 'its heartbeat came long after the connection');
  },
);
