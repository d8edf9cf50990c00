/** Unit tests for the parts of the proxy's request path: minimum positions, ordering of instances, connection pool, event log. */
import t from 'tap';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { connectionQuota } from '../../src/appointed/connections/connection_quota.js';
import { Events } from '../../src/observability/events.js';
import { BoundedOutput } from '../../src/observability/bounded_output.js';
import { DecisionLogger } from '../../src/observability/decision_logger.js';
import {
  ConnectError,
  type InstanceConnector,
} from '../../src/appointed/instance/instance_connection.js';
import { ConcurrencyLimit } from '../../src/appointed/connections/concurrency_limit.js';
import { IdleTimeout } from '../../src/appointed/connections/idle_timeout.js';
import { InstanceLoad } from '../../src/appointed/connections/instance_load.js';
import { AcquireError } from '../../src/appointed/connections/acquire_error.js';
import { MinimumPosition } from '../../src/appointed/routing/minimum_position.js';
import { PrimaryHealthTracker } from '../../src/appointed/trust/primary_health_tracker.js';
import { orderReadCandidates } from '../../src/appointed/routing/replica_selector.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { connectionRequest as request } from '../tools/connection_request.js';
import { FakeConnection } from '../tools/fake_connection.js';
import { CountingConnector, createTestPool } from '../tools/instance_pool.js';
import { RealClock } from '../../src/runtime/real_clock.js';

const { PrimaryHealth } = whinyoke;

void t.test(
  'a position older than the staleness bound is not the minimum position of a read',
  (t) => {
    const history = new MinimumPosition();
    t.equal(history.oldestSentSince(0), undefined);
    for (let time = 0; time <= 1000; time += 100) {
      history.record(1, time, { term: 1, sequence: time });
    }
    t.equal(history.oldestSentSince(450)?.sequence, 500);
    t.equal(history.oldestSentSince(1001), undefined, 'no request was sent that late');
    history.record(2, 1100, { term: 2, sequence: 1100 });
    t.equal(history.oldestSentSince(0)?.term, 2, 'positions of the previous epoch are dropped');
    history.record(1, 1200, { term: 1, sequence: 1200 });
    t.equal(history.oldestSentSince(1150), undefined, 'a position of an older epoch is ignored');
    t.end();
  },
);

void t.test(
  'reads prefer idle replicas in the same zone over loaded, lagging, failed or remote ones',
  (t) => {
    const candidate = (id: string, zone: string, isPrimary = false) => ({
      id,
      zone,
      isPrimary,
      load: new InstanceLoad(),
    });
    const [near, far, primary] = [
      candidate('n', 'z1'),
      candidate('f', 'z2'),
      candidate('p', 'z1', true),
    ];
    const minimumPosition = { term: 1, sequence: 5 };
    const order = (): string =>
      orderReadCandidates([primary, far, near], { zone: 'z1', now: 100, minimumPosition })
        .map((item) => item.id)
        .join('');
    t.equal(order(), 'nfp');
    near.load.outstanding = 6;
    t.equal(order(), 'fpn', 'a loaded replica is ordered after one in another zone');
    near.load.outstanding = 0;
    near.load.recordPosition({ term: 1, sequence: 4 });
    near.load.recordLagging(90);
    t.equal(order(), 'fp', 'a replica that just lacked the position is left out');
    near.load.recordPosition(minimumPosition);
    t.equal(order(), 'nfp', 'the replica has reached the position');
    near.load.recordPosition({ term: 1, sequence: 4 });
    near.load.recordLagging(-200);
    t.equal(order(), 'nfp', 'an old refusal is no longer considered');
    near.load.recordFailure(100);
    t.equal(order(), 'fpn', 'a replica that just failed is ordered last');
    t.end();
  },
);

void t.test(
  'an instance that fails some of its requests is avoided until its failures have aged',
  (t) => {
    const [failing, healthy] = [new InstanceLoad(), new InstanceLoad()];
    const order = (now: number): string =>
      orderReadCandidates(
        [
          { id: 'failing', zone: 'z1', isPrimary: false, load: failing },
          { id: 'healthy', zone: 'z2', isPrimary: false, load: healthy },
        ],
        { zone: 'z1', now, minimumPosition: undefined },
      )[0]!.id;
    t.equal(order(0), 'failing', 'without failures the nearer instance is preferred');
    for (let count = 0; count < 5; count++) {
      failing.recordRefusal(count);
      failing.recordAnswer(10, count);
    }
    t.equal(order(10), 'healthy', 'half of its requests failed');
    t.equal(order(20_000), 'failing', 'its failures have aged');
    for (let count = 0; count < 50; count++) healthy.recordRefusal(20_000);
    for (let count = 0; count < 50; count++) failing.recordRefusal(20_000);
    t.equal(order(20_000), 'failing', 'the nearer instance is preferred if both fail all requests');
    t.end();
  },
);

void t.test('a primary that does not answer reads or commits is reported as unresponsive', (t) => {
  const tracker = new PrimaryHealthTracker();
  t.equal(tracker.healthReport(0), undefined);
  const first = tracker.onStatementSent(false, 0);
  const commit = tracker.onStatementSent(true, 100);
  t.equal(tracker.healthReport(340), undefined);
  t.equal(tracker.healthReport(600)?.health, PrimaryHealth.SILENT);
  first.end(true, 610);
  t.equal(
    tracker.healthReport(620)?.health,
    PrimaryHealth.SILENT,
    'reads are answered but a commit is not',
  );
  commit.end(true, 700);
  t.equal(tracker.healthReport(710)?.health, PrimaryHealth.HEALTHY);
  tracker.onFailure(PrimaryHealth.REFUSING, 800);
  t.match(tracker.healthReport(900), { health: PrimaryHealth.REFUSING, sinceMs: 100 });
  t.end();
});

void t.test('timeouts of single statements do not hide that a primary is unresponsive', (t) => {
  const tracker = new PrimaryHealthTracker();
  const timeOutStatement = (sentAt: number): void =>
    tracker.onStatementSent(true, sentAt).end(false, sentAt + 800);
  for (const sentAt of [0, 900, 1800]) timeOutStatement(sentAt);
  tracker.onStatementSent(true, 2700);
  t.match(tracker.healthReport(3100), { health: PrimaryHealth.SILENT, sinceMs: 3100 });
  tracker.onStatementSent(true, 3110).end(true, 3120);
  timeOutStatement(3200);
  tracker.onStatementSent(true, 9000);
  t.match(
    tracker.healthReport(9400),
    { health: PrimaryHealth.SILENT, sinceMs: 400 },
    'a pause without statements is not counted',
  );
  t.end();
});

void t.test(
  'a pool does not exceed its connection quota and serves waiting requests by priority',
  async (t) => {
    const connector = new CountingConnector();
    const pool = createTestPool(connector);
    const first = await pool.acquire(request(1), 100);
    const second = await pool.acquire(request(1), 100);
    const order: string[] = [];
    const low = pool.acquire(request(2), 1000).then(() => order.push('low'));
    const high = pool.acquire(request(0), 1000).then(() => order.push('high'));
    await t.rejects(pool.acquire(request(3), 5), new AcquireError('timeout'));
    t.equal(connector.opened, 2, 'no connection is opened beyond the quota');
    pool.release(first);
    pool.release(second);
    await Promise.all([low, high]);
    t.same(order, ['high', 'low']);
    t.equal(pool.size, 2);
    const third = createTestPool(connector);
    const [left, right] = [
      await third.acquire(request(1), 50),
      await third.acquire(request(1), 50),
    ];
    left.values.set('v', '1');
    third.release(left);
    third.release(right);
    t.equal(
      await third.acquire(request(1, new Map([['v', '1']])), 50),
      left,
      'a connection with matching session values is preferred',
    );
    t.equal(await third.acquire(request(1), 50), right);
  },
);

void t.test(
  'a pool does not open connections for statements that would only queue in the instance',
  async (t) => {
    const connector = new CountingConnector();
    const slots = 2;
    const pool = createTestPool(connector, { quota: { maxConnections: 10 }, slots: () => slots });
    const waiting = Array.from({ length: 10 }, () => pool.acquire(request(1), 1000));
    await new Promise((resolve) => setTimeout(resolve, 60));
    t.equal(connector.opened, slots + 1, 'one more than the slots, for a statement in flight');
    const idleTransaction = await waiting[0]!;
    pool.markIdleInTransaction(idleTransaction);
    await new Promise((resolve) => setTimeout(resolve, 60));
    t.equal(connector.opened, slots + 2, 'an idle transaction does not use a slot');
    pool.close();
    await Promise.allSettled(waiting);
  },
);

void t.test('the position received when a connection is opened is reported', async (t) => {
  const position = { term: 1, sequence: 7 };
  const connector: InstanceConnector = {
    connect: () => Promise.resolve({ connection: new FakeConnection(), position }),
  };
  const reported: { position: unknown; startedAt: number }[] = [];
  const before = new RealClock().now();
  const pool = createTestPool(connector, {
    onOpened: (opened, startedAt) => reported.push({ position: opened, startedAt }),
  });
  pool.release(await pool.acquire(request(1), 100));
  t.match(reported, [{ position }]);
  t.ok(
    reported[0]!.startedAt >= before,
    'the position is dated no earlier than the request for the connection',
  );
  pool.close();
});

void t.test(
  'requests to an unreachable instance are rejected immediately instead of timing out',
  async (t) => {
    const connector: InstanceConnector = {
      connect: () => Promise.reject(new ConnectError('down', { failure: 'refused' })),
    };
    const pool = createTestPool(connector);
    await t.rejects(pool.acquire(request(1), 5000), new AcquireError('unreachable'));
    await t.rejects(
      pool.acquire(request(1), 5000),
      new AcquireError('unreachable'),
      'no new connection attempt during the backoff',
    );
    t.equal(pool.size, 0);
  },
);

void t.test(
  'a pool retries soon after an instance has refused a connection because of its limit',
  async (t) => {
    let attempts = 0;
    const connector: InstanceConnector = {
      connect: () => {
        attempts++;
        if (attempts < 4)
          return Promise.reject(new ConnectError('full', { failure: 'connectionLimit' }));
        return Promise.resolve({ connection: new FakeConnection() });
      },
    };
    const pool = createTestPool(connector);
    const first = pool.acquire(request(1), 1000);
    await new Promise((resolve) => setImmediate(resolve));
    t.ok(await pool.acquire(request(0), 1000), 'a second request waits instead of being rejected');
    t.ok(await first);
    t.ok(attempts >= 4);
    const full: InstanceConnector = {
      connect: () => Promise.reject(new ConnectError('full', { failure: 'connectionLimit' })),
    };
    await t.rejects(createTestPool(full).acquire(request(1), 80), new AcquireError('timeout'));
  },
);

void t.test('idle connections are released early if there is not one for each proxy', (t) => {
  const manyConnections = connectionQuota(34, 6);
  t.match(manyConnections, { maxConnections: 12, minimumIdle: 1 });
  t.ok(
    manyConnections.idleTimeoutMs <= 500,
    'additional connections are released for a proxy that starts',
  );
  const fewConnections = connectionQuota(38, 66);
  t.match(fewConnections, { maxConnections: 7, minimumIdle: 0 });
  t.ok(fewConnections.idleTimeoutMs <= 600, 'all connections are released soon');
  t.match(connectionQuota(225, 68), { maxConnections: 7, minimumIdle: 1 });
  t.ok(
    connectionQuota(0, 1).maxConnections >= 1,
    'one connection is allowed before the first document',
  );
  t.end();
});

void t.test(
  'spare connections of many proxies do not occupy all slots of an instance at once',
  async (t) => {
    const proxyCount = 200;
    let now = 0;
    const clock = { now: () => now, setTimer: () => ({ cancel: () => undefined }) };
    const connector = new CountingConnector();
    const random = new SeededRandom(1);
    const quota = { minimumIdle: 1, idleTimeoutMs: 400 };
    const options = { quota, slots: () => 2, proxyCount: () => proxyCount, random, clock };
    const pools = Array.from({ length: proxyCount }, () => createTestPool(connector, options));
    const runUntil = async (time: number): Promise<void> => {
      for (; now < time; now += 100) {
        for (const pool of pools) pool.maintain();
        await new Promise(setImmediate);
      }
    };
    // Opening 200 connections of 15 ms each would occupy two slots for 1.5 s.
    await runUntil(1500);
    t.ok(
      connector.opened <= proxyCount / 4,
      `${connector.opened} connections were opened within 1.5 s`,
    );
    await runUntil(10_000);
    t.equal(connector.opened, proxyCount, 'each proxy has a spare connection eventually');
  },
);

void t.test(
  'idle connections are released sooner after the instance has reached its connection limit',
  (t) => {
    const idleTimeout = new IdleTimeout();
    const maxIdleMs = 600;
    t.equal(idleTimeout.effectiveMs(maxIdleMs), maxIdleMs);
    for (let count = 0; count < 100; count++) idleTimeout.recordOpened();
    idleTimeout.recordConnectionLimit(maxIdleMs);
    t.equal(
      idleTimeout.effectiveMs(maxIdleMs),
      maxIdleMs / 2,
      'the timeout is halved regardless of previous successes',
    );
    for (let count = 0; count < 10; count++) idleTimeout.recordConnectionLimit(maxIdleMs);
    const shortest = idleTimeout.effectiveMs(maxIdleMs);
    t.ok(shortest > 0);
    t.ok(shortest <= 50);
    for (let count = 0; count < 5; count++) idleTimeout.recordOpened();
    t.ok(idleTimeout.effectiveMs(maxIdleMs) > shortest, 'the timeout increases gradually');
    t.ok(idleTimeout.effectiveMs(maxIdleMs) < maxIdleMs);
    t.end();
  },
);

void t.test('a log reader that stops reading loses lines but does not block the proxy', (t) => {
  const held: ((error: null, written: number) => void)[] = [];
  const written: Buffer[] = [];
  const output = new BoundedOutput((bytes, callback) => {
    written.push(bytes);
    held.push(callback);
  }, 100);
  for (let line = 0; line < 50; line++) output.write(`${'x'.repeat(9)}\n`);
  t.equal(written.length, 1, 'only one write is in flight');
  t.ok(output.droppedLines >= 39, 'lines beyond the buffer are dropped');
  held.shift()!(null, written[0]!.length);
  t.equal(written.length, 2, 'the buffered lines are written next');
  const rest = written[1]!.length;
  held.shift()!(null, rest - 5);
  t.equal(written[2]!.length, 5, 'a partial write is completed');
  t.end();
});

void t.test('frequent events of one kind neither flood the log nor suppress other kinds', (t) => {
  const lines: number[] = [];
  let now = 0;
  const clock = { now: () => now, setTimer: () => ({ cancel: () => undefined }) };
  const logger = new DecisionLogger({ event: (kind) => lines.push(kind.number) }, clock);
  for (let count = 0; count < 100; count++) logger.log(Events.requestRefused, {});
  logger.log(Events.requestInDoubt, {});
  t.equal(lines.filter((number) => number === Events.requestRefused.number).length, 20);
  t.ok(lines.includes(Events.requestInDoubt.number), 'other kinds have separate budgets');
  now = 1000;
  logger.log(Events.requestRefused, {});
  t.ok(lines.includes(Events.linesLeftOut.number));
  t.end();
});

void t.test(
  'a pool does not overload a busy instance and rejects requests that it would serve too late',
  async (t) => {
    const connector: InstanceConnector = {
      connect: () => Promise.resolve({ connection: new FakeConnection() }),
    };
    const pool = createTestPool(connector, { quota: { maxConnections: 4 } });
    const held = await Promise.all(Array.from({ length: 4 }, () => pool.acquire(request(1), 100)));
    pool.recordBusy();
    pool.release(held[0]!);
    pool.release(held[1]!);
    const order: string[] = [];
    const low = pool.acquire(request(2), 1000).then((pooled) => {
      order.push('low');
      return pooled;
    });
    const high = pool.acquire(request(0), 1000).then((pooled) => {
      order.push('high');
      return pooled;
    });
    await t.rejects(
      pool.acquire(request(3), 0.1),
      new AcquireError('full'),
      'rejected immediately',
    );
    t.same(order, [], 'only two statements run at a time although connections are idle');
    pool.markIdleInTransaction(held[2]!);
    await high;
    t.same(order, ['high'], 'an idle transaction frees a slot');
    pool.markActive(held[2]!);
    pool.release(held[2]!);
    pool.release(held[3]!);
    await low;
    t.same(order, ['high', 'low']);
  },
);

void t.test(
  'the concurrency limit of an instance halves while it is busy and increases afterwards',
  (t) => {
    const limit = new ConcurrencyLimit(new SeededRandom(1));
    t.ok(limit.allows(1000, 0), 'there is no limit initially');
    limit.recordBusy(8, 0);
    t.ok(limit.allows(3, 0));
    t.notOk(limit.allows(4, 0));
    limit.recordBusy(8, 5);
    t.equal(limit.maxInFlight, 4, 'refusals at the same time count once');
    limit.recordBusy(4, 100);
    limit.recordBusy(2, 200);
    t.equal(limit.maxInFlight, 1);
    t.ok(limit.remainingPauseMs(200) > 0);
    t.notOk(limit.allows(0, 200), 'no statement is allowed during a pause');
    const first = limit.remainingPauseMs(200);
    let longest = 0;
    for (let time = 300; time < 5000; time += 100) {
      limit.recordBusy(1, time);
      longest = Math.max(longest, limit.remainingPauseMs(time));
    }
    t.ok(longest > first * 4, 'pauses are doubled');
    t.ok(longest < 1000, 'pauses are bounded');
    const later = 10_000;
    for (let count = 0; count < 10; count++) limit.recordServed();
    t.ok(limit.allows(3, later), 'each served statement increases the limit');
    for (let count = 0; count < 3000; count++) limit.recordServed();
    t.equal(limit.maxInFlight, Infinity, 'the limit is eventually removed');
    t.end();
  },
);

void t.test(
  'a request does not wait for a busy connection longer than opening a new one takes',
  async (t) => {
    const CONNECT_MS = 10;
    let opened = 0;
    const connector: InstanceConnector = {
      connect: async () => {
        opened++;
        await new Promise((resolve) => setTimeout(resolve, CONNECT_MS));
        return { connection: new FakeConnection() };
      },
    };
    const pool = createTestPool(connector, { quota: { maxConnections: 10 } });
    for (let count = 0; count < 50; count++) pool.load.recordAnswer(10, 0);
    const wait = (): Promise<void> =>
      pool.acquire(request(1), 1000).then((pooled) => pool.release(pooled));
    await Promise.all([wait(), wait()]);
    t.equal(opened, 1, 'two statements of 10 ms share one connection');
    const transaction = await pool.acquire(request(1), 1000);
    pool.markIdleInTransaction(transaction);
    await wait();
    t.equal(opened, 2, 'a request does not wait for an idle transaction');
    await pool.acquire(request(1), 1000);
    await wait();
    t.equal(opened, 3, 'a request does not wait long for a statement that does not end');
    await Promise.all(Array.from({ length: 20 }, wait));
    t.ok(opened > 3, 'many concurrent requests open another connection');
  },
);
