/**
 * Replicas that deregister and serve on: they confirm commits until they end, so their departure
 * counts from their end.
 */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { DepartureMonitor } from '../../src/appointed/failover/departure_monitor.js';
import {
  ConnectError,
  type ConnectFailure,
  type InstanceConnection,
} from '../../src/appointed/instance/instance_connection.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { PrimaryChangeScenario, statusUpTo } from '../tools/primary_change_scenario.js';

const { InstanceState } = whinyoke;

/** Enough time for several attempts of a change of primary. */
const CHANGE_ATTEMPTS_MS = 2500;

/** Group whose replica c deregistered before the present epoch began. */
function createGroup(): PrimaryChangeScenario {
  const group = new PrimaryChangeScenario();
  group.reportInstance('d', 1000, 50);
  group.deregister('c');
  group.beginNextEpoch();
  group.statuses.set('b', statusUpTo(100));
  group.statuses.set('d', statusUpTo(100));
  return group;
}

// Guards against the loss of a commit that only a deregistered replica, which served on, had confirmed.
void t.test('the end of a replica counts, not its deregistration', async (t) => {
  const group = createGroup();
  group.end('c');
  void group.changePrimary(120);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'c may have been the only one that confirmed 3.120');
  group.statuses.set('a', statusUpTo(120, 'primary'));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.equal(group.appointed[0], 'a', 'the old primary has it');
});

void t.test('a deregistered replica that serves on is asked, and can not lead', async (t) => {
  const group = createGroup();
  group.statuses.set('c', statusUpTo(120));
  void group.changePrimary(120);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'it has more than the others');
  group.statuses.set('b', statusUpTo(120));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.equal(group.appointed[0], 'b');
});

void t.test('a deregistered replica that does not answer may have more', async (t) => {
  const group = createGroup();
  void group.changePrimary(100);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'its end is not known');
  group.confirmAll();
  await group.run(CHANGE_ATTEMPTS_MS);
  t.equal(group.appointed[0], 'b', 'all proxies named what they had acknowledged');
});

void t.test('an old primary that has deregistered and serves on proves what it has', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(110));
  group.statuses.set('a', statusUpTo(110, 'primary'));
  group.deregister('a');
  void group.changePrimary(110);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.equal(group.appointed[0], 'b', 'though replica c does not answer');
});

/** A leader that watches the departing instance c; `listens` is what a connection to it meets. */
function watchDeparture(): {
  readonly group: PrimaryChangeScenario;
  readonly address: { meets: ConnectFailure | 'service'; isLeader: boolean; connects: number };
  readonly hasEnded: () => boolean;
  readonly breakConnections: () => void;
} {
  const group = new PrimaryChangeScenario();
  const { scheduler, catalog } = group;
  const address = { meets: 'service' as ConnectFailure | 'service', isLeader: true, connects: 0 };
  const open = new Set<{ closed: boolean; onClosed: (() => void) | undefined }>();
  const connect = (): Promise<{ connection: InstanceConnection }> => {
    address.connects++;
    const { meets } = address;
    if (meets !== 'service') return Promise.reject(new ConnectError(meets, { failure: meets }));
    const connection = {
      closed: false,
      onClosed: undefined as (() => void) | undefined,
      close: () => (connection.closed = true),
      run: () => Promise.reject(new Error('unused')),
    };
    open.add(connection);
    return Promise.resolve({ connection });
  };
  const monitor = new DepartureMonitor({
    clock: {
      now: () => scheduler.now,
      setTimer: (delayMs, callback) => {
        const event = scheduler.schedule(delayMs, callback);
        return { cancel: () => scheduler.cancel(event) };
      },
    },
    catalog,
    connector: { connect },
    propose: (command) => Promise.resolve(group.apply(command)),
    log: () => undefined,
    isLeading: () => address.isLeader,
  });
  monitor.start();
  group.deregister('c');
  const breakConnections = (): void => {
    for (const connection of open) {
      connection.closed = true;
      connection.onClosed?.();
    }
    open.clear();
  };
  const hasEnded = (): boolean => catalog.instance('c')?.hasEnded ?? false;
  return { group, address, hasEnded, breakConnections };
}

void t.test('an instance has ended when nothing listens at its address', async (t) => {
  const { group, address, hasEnded, breakConnections } = watchDeparture();
  await group.run(20_000);
  t.notOk(hasEnded(), 'it serves on for as long as it answers');
  t.ok(address.connects < 10, 'over few connections');
  breakConnections();
  await group.run(1000);
  t.notOk(hasEnded(), 'a broken connection is no end');
  address.meets = 'refused';
  breakConnections();
  await group.run(5000);
  t.notOk(hasEnded(), 'a reset is no end');
  address.meets = 'notListening';
  await group.run(1000);
  t.ok(hasEnded());
  t.ok(group.catalog.replicaLossVersion('g') > group.catalog.group('g')!.steadySince!);
  const { connects } = address;
  await group.run(10_000);
  t.equal(address.connects, connects, 'it is not watched any more');
});

void t.test('an instance has ended when another one answers at its address', async (t) => {
  const { group, address, hasEnded } = watchDeparture();
  address.meets = 'wrongInstance';
  await group.run(4000);
  t.ok(hasEnded());
});

void t.test('silence counts as an end only after a minute, a full instance never', async (t) => {
  const { group, address, hasEnded } = watchDeparture();
  address.meets = 'connectionLimit';
  await group.run(90_000);
  t.notOk(hasEnded(), 'it answers');
  address.meets = 'silent';
  await group.run(50_000);
  t.notOk(hasEnded(), 'it may be cut off from this machine only');
  await group.run(15_000);
  t.ok(hasEnded());
});

void t.test('a machine that does not lead watches no instance', async (t) => {
  const { group, address, hasEnded } = watchDeparture();
  address.meets = 'notListening';
  address.isLeader = false;
  await group.run(5000);
  t.notOk(hasEnded());
  address.isLeader = true;
  await group.run(1000);
  t.ok(hasEnded());
});

void t.test('the end of an instance is kept, once, for its incarnation alone', (t) => {
  const group = new PrimaryChangeScenario();
  const { catalog } = group;
  t.notOk(group.apply({ endInstance: { instance: 'c' } }).changed, 'it has not deregistered');
  group.deregister('c');
  t.same(
    catalog.departingInstances.map(({ id }) => id),
    ['c'],
  );
  t.equal(catalog.replicaLossVersion('g'), 0, 'a deregistration loses nothing');
  t.notOk(group.apply({ endInstance: { instance: 'c', incarnation: 1 } }).changed);
  t.ok(group.apply({ endInstance: { instance: 'c' } }).changed);
  const lostAt = catalog.replicaLossVersion('g');
  t.ok(lostAt > catalog.group('g')!.steadySince!);
  t.notOk(group.apply({ endInstance: { instance: 'c' } }).changed);
  t.equal(catalog.replicaLossVersion('g'), lostAt);
  t.same(catalog.departingInstances, []);
  const copy = new Catalog();
  copy.restore(99, catalog.serialize());
  t.equal(copy.replicaLossVersion('g'), lostAt);
  t.same(copy.departingInstances, []);
  group.reportInstance('c', 2000, 1);
  group.deregister('c');
  t.notOk(catalog.instance('c')?.hasEnded, 'its next incarnation has not ended');
  const unknown = { id: 'x', state: InstanceState.GONE };
  group.apply({ putInstance: unknown });
  t.ok(catalog.replicaLossVersion('g') > lostAt, 'an instance never listed may have been of it');
  t.end();
});
