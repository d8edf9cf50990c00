/** Evacuation at a proxy. With the bound of 5 s idle transactions end after 1.25 s, everything else after 2.5 s. */
import t from 'tap';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { ProxyMetrics } from '../../src/appointed/daemon/proxy_metrics.js';
import { AcquireError } from '../../src/appointed/connections/acquire_error.js';
import { EvacuatedZones } from '../../src/appointed/placement/evacuated_zones.js';
import { DEFAULT_PLACEMENT_RULES } from '../../src/appointed/placement/placement_rules.js';
import { connectionRequest as request } from '../tools/connection_request.js';
import { CountingConnector, createTestPool } from '../tools/instance_pool.js';
import { SingleProxyHarness } from '../tools/single_proxy_harness.js';

const { GroupPhase, RelayOutcome } = whinyoke;
const HALF_MS = DEFAULT_PLACEMENT_RULES.evacuationMs / 2;
/** Time until an order reaches the proxy, in milliseconds. */
const ORDER_DELAY_MS = 20;

/** A started proxy in z1 with the primary `a` and the replicas `b` and `c`. */
async function startProxy(zones: Readonly<Record<string, string>>): Promise<SingleProxyHarness> {
  const proxy = new SingleProxyHarness(zones);
  await proxy.start();
  return proxy;
}

void t.test('no read is sent to an evacuated zone until the evacuation has ended', async (t) => {
  const proxy = await startProxy({ a: 'z3', b: 'z1', c: 'z2' });
  const session = proxy.session('any');
  await proxy.runUntilSettled(session.read());
  t.ok(
    proxy.instancesReachedSince(0).includes('b'),
    'the replica in the zone of the proxy is preferred',
  );
  proxy.setEvacuation('z1', true);
  await proxy.run(ORDER_DELAY_MS);
  const orderReceivedAt = proxy.now;
  for (let count = 0; count < 20; count++) await proxy.runUntilSettled(session.read());
  t.same(proxy.instancesReachedSince(orderReceivedAt), ['c']);
  const metrics = new ProxyMetrics();
  metrics.watch(proxy.core);
  const shown = await metrics.registry.metrics();
  t.match(shown, /^whinyoke_evacuated_zone_idle_seconds{zone="z1"} 0\.\d+$/m);
  const openedBefore = proxy.openedInstances.length;
  await proxy.run(2000);
  t.notOk(proxy.openedInstances.slice(openedBefore).includes('b'), 'no spare connection is opened');
  proxy.setEvacuation('z1', false);
  await proxy.run(ORDER_DELAY_MS);
  const finishedAt = proxy.now;
  await proxy.runUntilSettled(proxy.session('own').write());
  await proxy.runUntilSettled(session.read());
  t.ok(proxy.instancesReachedSince(finishedAt).includes('b'));
  t.ok(proxy.events.includes('zone_evacuated') && proxy.events.includes('zone_readmitted'));
});

void t.test(
  'a pool in an evacuated zone keeps neither waiting requests nor connections',
  async (t) => {
    const connector = new CountingConnector();
    const pool = createTestPool(connector, { quota: { minimumIdle: 2 } });
    const running = await pool.acquire(request(1), 100);
    const idle = await pool.acquire(request(1), 100);
    const waiting = pool.acquire(request(1), 5000);
    pool.suspend();
    await t.rejects(waiting, new AcquireError('evacuated'));
    await t.rejects(pool.acquire(request(1), 100), new AcquireError('evacuated'));
    t.notOk(running.connection.closed, 'a statement in flight is not aborted');
    t.equal(pool.closeIdleTransactions(0), 0);
    pool.markIdleInTransaction(running);
    t.equal(pool.closeIdleTransactions(1000), 0, 'the transaction has not been idle for long');
    t.equal(pool.closeIdleTransactions(0), 1);
    pool.discard(running);
    pool.release(idle);
    t.ok(idle.connection.closed);
    pool.maintain();
    pool.probeByConnecting();
    t.equal(connector.opened, 2, 'no spare connection and no probe is opened');
    const systemRequest = { tenant: undefined, values: new Map(), priority: 0 };
    const systemConnection = await pool.acquire(systemRequest, 100);
    pool.release(systemConnection);
    pool.release(await pool.acquire(systemRequest, 100));
    t.equal(connector.opened, 3, 'internal requests share one connection');
    pool.resume();
    pool.release(await pool.acquire(request(1), 100));
    t.notOk(pool.refusalCounts.has('closed'));
  },
);

void t.test(
  'a read that waits for an instance in the zone is sent elsewhere without a timeout',
  async (t) => {
    const proxy = new SingleProxyHarness({ a: 'z3', b: 'z1', c: 'z2' });
    proxy.unreachableInstances.add('b');
    await proxy.start();
    const startedAt = proxy.now;
    const read = proxy.session('any').read();
    await proxy.run(2);
    t.same(proxy.instancesReachedSince(startedAt), [], 'the read waits for a connection to b');
    proxy.setEvacuation('z1', true);
    t.notOk((await proxy.runUntilSettled(read)).error);
    t.same(proxy.instancesReachedSince(startedAt), ['c']);
    t.ok(proxy.now - startedAt < 25, 'long before its wait for b would have timed out');
  },
);

void t.test('a zone is closed immediately if the bound is shorter than the safety margin', (t) => {
  const zones = new EvacuatedZones(2000, () => undefined);
  zones.applyUpdate({ evacuations: [{ zone: 'z1', begunAt: 1 }] }, 100);
  t.equal(zones.stageOf('z1', 100), 'closed');
  t.equal(zones.stageOf('z2', 100), undefined);
  zones.applyUpdate({ isWhole: true }, 100);
  t.equal(
    zones.stageOf('z1', 100),
    undefined,
    'a complete update without the zone ends its evacuation',
  );
  t.end();
});

void t.test('a primary in an evacuated zone is not used after half of the bound', async (t) => {
  const proxy = await startProxy({ a: 'z2', b: 'z1', c: 'z1' });
  const session = proxy.session('own');
  proxy.setEvacuation('z2', true);
  const orderedAt = proxy.now;
  await proxy.run(ORDER_DELAY_MS);
  const early = await proxy.runUntilSettled(session.write());
  t.notOk(early.error, 'the primary has not been replaced yet');
  await proxy.run(HALF_MS);
  const closedAt = proxy.now;
  const late = await proxy.runUntilSettled(session.write());
  t.match(late.error, { kind: 'busy', text: /in an evacuated zone; retry after 1000 ms/ });
  t.ok(proxy.now - closedAt <= 2, 'the write is refused immediately');
  const read = await proxy.runUntilSettled(session.read());
  t.match(read.error, { kind: 'busy', text: /in an evacuated zone/ });
  t.same(proxy.instancesReachedSince(orderedAt + HALF_MS), []);
  proxy.setPrimary('a', 2, GroupPhase.CHANGING);
  await proxy.run(ORDER_DELAY_MS);
  const waiting = session.write();
  await proxy.run(100);
  proxy.setPrimary('c', 3);
  const moved = await proxy.runUntilSettled(waiting);
  t.notOk(moved.error, 'the write waits for a change that is expected to end soon');
  t.same(proxy.instancesReachedSince(closedAt), ['c']);
});

void t.test(
  'an evacuation lets active transactions end and aborts idle ones with its cause',
  async (t) => {
    const proxy = await startProxy({ a: 'z2', b: 'z1', c: 'z3' });
    const [idle, busy, last] = [proxy.session('any'), proxy.session('any'), proxy.session('any')];
    for (const session of [idle, busy, last]) {
      await proxy.runUntilSettled(session.execute({ kind: 'begin', readOnly: true }));
      await proxy.runUntilSettled(session.read());
    }
    const beganAt = proxy.now;
    t.ok(proxy.instancesReachedSince(0).includes('b'));
    proxy.setEvacuation('z1', true);
    while (proxy.now < beganAt + HALF_MS - 400) {
      await proxy.runUntilSettled(busy.read());
      await proxy.runUntilSettled(last.read());
      await proxy.run(90);
    }
    const idleReply = await proxy.runUntilSettled(idle.read());
    t.match(idleReply.error, { kind: 'aborted', text: /the zone of its instance is evacuated/ });
    const committed = await proxy.runUntilSettled(last.execute({ kind: 'commit' }));
    t.notOk(committed.error, 'an active transaction may end');
    proxy.unresponsiveInstances.add('b');
    const inFlight = busy.read();
    await proxy.run(200);
    proxy.unresponsiveInstances.delete('b');
    t.notOk((await proxy.runUntilSettled(inFlight)).error, 'a statement in flight is answered');
    await proxy.run(600);
    const late = await proxy.runUntilSettled(busy.execute({ kind: 'commit' }));
    t.match(late.error, { kind: 'aborted', text: /the zone of its instance is evacuated/ });
    const sentToZone = proxy.sentCommands.filter(({ instance }) => instance === 'b');
    t.ok(sentToZone.at(-1)!.at < beganAt + HALF_MS, 'nothing is sent to the zone later');
    t.ok(proxy.events.includes('transactions_evacuated'));
  },
);

void t.test(
  'a transaction that wrote in an evacuated zone is aborted, not left in doubt',
  async (t) => {
    const proxy = await startProxy({ a: 'z2', b: 'z1', c: 'z1' });
    const session = proxy.session('own');
    await proxy.runUntilSettled(session.execute({ kind: 'begin', readOnly: false }));
    await proxy.runUntilSettled(session.write());
    proxy.setEvacuation('z2', true);
    await proxy.run(HALF_MS + ORDER_DELAY_MS);
    const reply = await proxy.runUntilSettled(session.execute({ kind: 'commit' }));
    t.match(reply.error, { kind: 'aborted', text: /the zone of its instance is evacuated/ });
    t.notOk(
      proxy.sentCommands.some(({ command }) => command.kind === 'commit'),
      'no COMMIT was sent',
    );
  },
);

void t.test(
  'a proxy that starts during an evacuation sends nothing to the zone, nor to new instances in it',
  async (t) => {
    const proxy = new SingleProxyHarness({ a: 'z2', b: 'z1', c: 'z1' });
    proxy.setEvacuation('z1', true);
    await proxy.start();
    proxy.placeInstance('d', 'z1');
    await proxy.run(500);
    for (let count = 0; count < 5; count++)
      await proxy.runUntilSettled(proxy.session('any').read());
    t.same(proxy.instancesReachedSince(-1), ['a']);
    t.same([...new Set(proxy.openedInstances)], ['a']);
  },
);

void t.test('requests do not wait for a timeout while all zones are evacuated', async (t) => {
  const proxy = await startProxy({ a: 'z1', b: 'z2' });
  proxy.setEvacuation('z1', true);
  proxy.setEvacuation('z2', true);
  await proxy.run(HALF_MS + ORDER_DELAY_MS);
  const at = proxy.now;
  const reply = await proxy.runUntilSettled(proxy.session('any').read());
  t.match(reply.error, { kind: 'busy', text: /in an evacuated zone/ });
  t.ok(proxy.now - at < 100);
  t.same(proxy.instancesReachedSince(at - ORDER_DELAY_MS), []);
  proxy.setEvacuation('z2', false);
  await proxy.run(ORDER_DELAY_MS);
  t.match((await proxy.runUntilSettled(proxy.session('own').write())).error, { kind: 'busy' });
});

void t.test(
  'a proxy that is partitioned from control does not use a zone longer than the bounds allow',
  async (t) => {
    const proxy = await startProxy({ a: 'z2', b: 'z1', c: 'z1' });
    proxy.isControlUnresponsive = true;
    await proxy.run(400);
    proxy.setEvacuation('z2', true);
    const orderedAt = proxy.now;
    const { contactTimeoutMs, maxStretchMs } = DEFAULT_PLACEMENT_RULES;
    while (proxy.now < orderedAt + contactTimeoutMs + maxStretchMs + 5000) {
      await proxy.runUntilSettled(proxy.session('own').write());
      await proxy.runUntilSettled(proxy.session('any').read());
      await proxy.run(50);
    }
    const last = proxy.sentCommands.filter(({ command }) => command.kind === 'data').at(-1)!;
    t.ok(last.at - orderedAt > 10_000, 'leases confirmed by replicas are used');
    t.ok(last.at - orderedAt < contactTimeoutMs + maxStretchMs);
  },
);

void t.test(
  'a connection owner does not run relayed statements for an evacuated zone',
  async (t) => {
    const proxy = await startProxy({ a: 'z2', b: 'z1', c: 'z1' });
    const read = { data: { id: 'r', argument: 'x' } };
    const relay = async (
      command: whinyoke.IRelayCommand,
      connection = '',
    ): Promise<whinyoke.IRelayReply> => {
      const relayRequest = { instance: 'b', waitMs: 500, timeoutMs: 500, usefulMs: 500, command };
      const body = await proxy.handle({ relayRequest: { ...relayRequest, connection } }, '');
      return body.relayReply ?? {};
    };
    const begun = await proxy.runUntilSettled(relay({ begin: { readOnly: true } }));
    t.equal(begun.outcome, RelayOutcome.ANSWERED);
    proxy.setEvacuation('z1', true);
    await proxy.run(ORDER_DELAY_MS);
    const refused = await proxy.runUntilSettled(relay(read));
    t.match(refused, { outcome: RelayOutcome.NOT_RUN_HERE, cause: /evacuated/ });
    const goesOn = await proxy.runUntilSettled(relay(read, begun.connection!));
    t.equal(goesOn.outcome, RelayOutcome.ANSWERED, 'an open transaction may end');
    await proxy.run(HALF_MS);
    const ended = await proxy.runUntilSettled(relay(read, begun.connection!));
    t.equal(ended.outcome, RelayOutcome.NOT_RUN_HERE);
  },
);
