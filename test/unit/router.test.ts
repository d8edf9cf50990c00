/** Parts of the router: floors, order of instances, pool, logs that never block. */
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

void t.test('the floor is the oldest position whose request was sent late enough', (t) => {
  const history = new MinimumPosition();
  t.equal(history.oldestSentSince(0), undefined);
  for (let time = 0; time <= 1000; time += 100) {
    history.record(1, time, { term: 1, sequence: time });
  }
  t.equal(history.oldestSentSince(450)?.sequence, 500);
  t.equal(history.oldestSentSince(1001), undefined, 'nothing is young enough');
  history.record(2, 1100, { term: 2, sequence: 1100 });
  t.equal(history.oldestSentSince(0)?.term, 2, 'a new epoch begins anew');
  history.record(1, 1200, { term: 1, sequence: 1200 });
  t.equal(history.oldestSentSince(1150), undefined, 'an answer of an older epoch does not count');
  t.end();
});

void t.test('reads go to near, idle replicas that are fresh enough', (t) => {
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
  t.equal(order(), 'fpn', 'load counts more than the zone');
  near.load.outstanding = 0;
  near.load.recordPosition({ term: 1, sequence: 4 });
  near.load.recordLagging(90);
  t.equal(order(), 'fp', 'it lacked a position a moment ago, and is not asked for it again yet');
  near.load.recordPosition(minimumPosition);
  t.equal(order(), 'nfp', 'it has this one');
  near.load.recordPosition({ term: 1, sequence: 4 });
  near.load.recordLagging(-200);
  t.equal(order(), 'nfp', 'an old observation says nothing');
  near.load.recordFailure(100);
  t.equal(order(), 'fpn', 'it failed a moment ago');
  t.end();
});

void t.test(
  'an instance that fails a part of its requests is asked less, and again with time',
  (t) => {
    const [failing, healthy] = [new InstanceLoad(), new InstanceLoad()];
    const order = (now: number): string =>
      orderReadCandidates(
        [
          { id: 'grey', zone: 'z1', isPrimary: false, load: failing },
          { id: 'well', zone: 'z2', isPrimary: false, load: healthy },
        ],
        { zone: 'z1', now, minimumPosition: undefined },
      )[0]!.id;
    t.equal(order(0), 'grey', 'it is near');
    for (let count = 0; count < 5; count++) {
      failing.recordRefusal(count);
      failing.recordAnswer(10, count);
    }
    t.equal(order(10), 'well', 'half of its answers were refusals');
    t.equal(order(20_000), 'grey', 'it gets another chance');
    for (let count = 0; count < 50; count++) healthy.recordRefusal(20_000);
    for (let count = 0; count < 50; count++) failing.recordRefusal(20_000);
    t.equal(order(20_000), 'grey', 'where all refuse, they are equal');
    t.end();
  },
);

void t.test('a primary is silent when statements stay without any answer', (t) => {
  const tracker = new PrimaryHealthTracker();
  t.equal(tracker.healthReport(0), undefined);
  const first = tracker.onStatementSent(false, 0);
  const commit = tracker.onStatementSent(true, 100);
  t.equal(tracker.healthReport(340), undefined);
  t.equal(tracker.healthReport(600)?.health, PrimaryHealth.SILENT);
  first(true, 610);
  t.equal(tracker.healthReport(620)?.health, PrimaryHealth.SILENT, 'reads answer, commits hang');
  commit(true, 700);
  t.equal(tracker.healthReport(710)?.health, PrimaryHealth.HEALTHY);
  tracker.onFailure(PrimaryHealth.REFUSING, 800);
  t.match(tracker.healthReport(900), { health: PrimaryHealth.REFUSING, sinceMs: 100 });
  t.end();
});

void t.test(
  'silence lasts beyond statements that were given up, until an answer or a pause',
  (t) => {
    const tracker = new PrimaryHealthTracker();
    const timeOutStatement = (sentAt: number): void =>
      tracker.onStatementSent(true, sentAt)(false, sentAt + 800);
    for (const sentAt of [0, 900, 1800]) timeOutStatement(sentAt);
    tracker.onStatementSent(true, 2700);
    t.match(tracker.healthReport(3100), { health: PrimaryHealth.SILENT, sinceMs: 3100 });
    tracker.onStatementSent(true, 3110)(true, 3120);
    timeOutStatement(3200);
    tracker.onStatementSent(true, 9000);
    t.match(
      tracker.healthReport(9400),
      { health: PrimaryHealth.SILENT, sinceMs: 400 },
      'none asked',
    );
    t.end();
  },
);

void t.test('a pool keeps to its share, serves by priority, prefers matching values', async (t) => {
  const connector = new CountingConnector();
  const pool = createTestPool(connector);
  const first = await pool.acquire(request(1), 100);
  const second = await pool.acquire(request(1), 100);
  const order: string[] = [];
  const low = pool.acquire(request(2), 1000).then(() => order.push('low'));
  const high = pool.acquire(request(0), 1000).then(() => order.push('high'));
  await t.rejects(pool.acquire(request(3), 5), new AcquireError('timeout'));
  t.equal(connector.opened, 2, 'no connection beyond the share');
  pool.release(first);
  pool.release(second);
  await Promise.all([low, high]);
  t.same(order, ['high', 'low']);
  t.equal(pool.size, 2);
  const third = createTestPool(connector);
  const [left, right] = [await third.acquire(request(1), 50), await third.acquire(request(1), 50)];
  left.values.set('v', '1');
  third.release(left);
  third.release(right);
  t.equal(
    await third.acquire(request(1, new Map([['v', '1']])), 50),
    left,
    'holds the values already',
  );
  t.equal(await third.acquire(request(1), 50), right);
});

void t.test(
  'no connection is opened for statements that would only wait in the instance',
  async (t) => {
    const connector = new CountingConnector();
    const slots = 2;
    const pool = createTestPool(connector, { quota: { maxConnections: 10 }, slots: () => slots });
    const waiting = Array.from({ length: 10 }, () => pool.acquire(request(1), 1000));
    await new Promise((resolve) => setTimeout(resolve, 60));
    t.equal(connector.opened, slots + 1, 'one more than the slots, for what is on its way');
    const idleTransaction = await waiting[0]!;
    pool.markIdleInTransaction(idleTransaction);
    await new Promise((resolve) => setTimeout(resolve, 60));
    t.equal(connector.opened, slots + 2, 'a transaction that rests takes no slot');
    pool.close();
    await Promise.allSettled(waiting);
  },
);

void t.test('the position told at the start of a connection is passed on', async (t) => {
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
  t.ok(reported[0]!.startedAt >= before, 'with a time before the connection was asked for');
  pool.close();
});

void t.test('an instance that can not be reached is told at once', async (t) => {
  const connector: InstanceConnector = {
    connect: () => Promise.reject(new ConnectError('down', { failure: 'refused' })),
  };
  const pool = createTestPool(connector);
  await t.rejects(pool.acquire(request(1), 5000), new AcquireError('unreachable'));
  await t.rejects(
    pool.acquire(request(1), 5000),
    new AcquireError('unreachable'),
    'no new try yet',
  );
  t.equal(pool.size, 0);
});

void t.test('a pool that finds no connection left at an instance tries again soon', async (t) => {
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
  t.ok(await pool.acquire(request(0), 1000), 'a second one is not turned away meanwhile');
  t.ok(await first);
  t.ok(attempts >= 4);
  const full: InstanceConnector = {
    connect: () => Promise.reject(new ConnectError('full', { failure: 'connectionLimit' })),
  };
  await t.rejects(createTestPool(full).acquire(request(1), 80), new AcquireError('timeout'));
});

void t.test(
  'connections are kept where each proxy can have its own, else given back at once',
  (t) => {
    const manyConnections = connectionQuota(34, 6);
    t.match(manyConnections, { maxConnections: 12, minimumIdle: 1 });
    t.ok(
      manyConnections.idleTimeoutMs <= 500,
      'those beyond the first leave room for a proxy that starts',
    );
    const fewConnections = connectionQuota(38, 66);
    t.match(fewConnections, { maxConnections: 7, minimumIdle: 0 });
    t.ok(fewConnections.idleTimeoutMs <= 600, 'lent for a moment');
    t.match(connectionQuota(225, 68), { maxConnections: 7, minimumIdle: 1 });
    t.ok(connectionQuota(0, 1).maxConnections >= 1, 'before the first document');
    t.end();
  },
);

void t.test('spare connections of many proxies leave slots for statements', async (t) => {
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
  // 200 openings of 15 ms fill two slots for 1.5 s.
  await runUntil(1500);
  t.ok(
    connector.opened <= proxyCount / 4,
    `${connector.opened} openings in the time that all of them take`,
  );
  await runUntil(10_000);
  t.equal(connector.opened, proxyCount, 'each proxy has its spare connection');
});

void t.test('idle connections are kept for longer while the instance has some left', (t) => {
  const idleTimeout = new IdleTimeout();
  const maxIdleMs = 600;
  t.equal(idleTimeout.effectiveMs(maxIdleMs), maxIdleMs);
  for (let count = 0; count < 100; count++) idleTimeout.recordOpened();
  idleTimeout.recordConnectionLimit(maxIdleMs);
  t.equal(
    idleTimeout.effectiveMs(maxIdleMs),
    maxIdleMs / 2,
    'at once, whatever was gathered before',
  );
  for (let count = 0; count < 10; count++) idleTimeout.recordConnectionLimit(maxIdleMs);
  const shortest = idleTimeout.effectiveMs(maxIdleMs);
  t.ok(shortest > 0);
  t.ok(shortest <= 50);
  for (let count = 0; count < 5; count++) idleTimeout.recordOpened();
  t.ok(idleTimeout.effectiveMs(maxIdleMs) > shortest, 'and grows again step by step');
  t.ok(idleTimeout.effectiveMs(maxIdleMs) < maxIdleMs);
  t.end();
});

void t.test('a reader that stops reading loses lines, and holds up nothing', (t) => {
  const held: ((error: null, written: number) => void)[] = [];
  const written: Buffer[] = [];
  const output = new BoundedOutput((bytes, callback) => {
    written.push(bytes);
    held.push(callback);
  }, 100);
  for (let line = 0; line < 50; line++) output.write(`${'x'.repeat(9)}\n`);
  t.equal(written.length, 1, 'one write is under way');
  t.ok(output.droppedLines >= 39, 'what does not fit is dropped');
  held.shift()!(null, written[0]!.length);
  t.equal(written.length, 2, 'the rest follows');
  const rest = written[1]!.length;
  held.shift()!(null, rest - 5);
  t.equal(written[2]!.length, 5, 'a short write is finished');
  t.end();
});

void t.test('each kind of event has a budget; what is left out is told', (t) => {
  const lines: number[] = [];
  let now = 0;
  const clock = { now: () => now, setTimer: () => ({ cancel: () => undefined }) };
  const logger = new DecisionLogger({ event: (kind) => lines.push(kind.number) }, clock);
  for (let count = 0; count < 100; count++) logger.log(Events.requestRefused, {});
  logger.log(Events.requestInDoubt, {});
  t.equal(lines.filter((number) => number === Events.requestRefused.number).length, 20);
  t.ok(lines.includes(Events.requestInDoubt.number), 'other kinds have budgets of their own');
  now = 1000;
  logger.log(Events.requestRefused, {});
  t.ok(lines.includes(Events.linesLeftOut.number));
  t.end();
});

void t.test(
  'a pool sends a busy instance less, by priority, and refuses requests that it would serve too late',
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
    await t.rejects(pool.acquire(request(3), 0.1), new AcquireError('full'), 'at once');
    t.same(order, [], 'two statements at a time, although connections are idle');
    pool.markIdleInTransaction(held[2]!);
    await high;
    t.same(order, ['high'], 'a transaction that rests makes room');
    pool.markActive(held[2]!);
    pool.release(held[2]!);
    pool.release(held[3]!);
    await low;
    t.same(order, ['high', 'low']);
  },
);

void t.test(
  'the concurrency limit of an instance halves when it is busy, pauses at one, and grows again',
  (t) => {
    const limit = new ConcurrencyLimit(new SeededRandom(1));
    t.ok(limit.allows(1000, 0), 'no limit at first');
    limit.recordBusy(8, 0);
    t.ok(limit.allows(3, 0));
    t.notOk(limit.allows(4, 0));
    limit.recordBusy(8, 5);
    t.equal(limit.maxInFlight, 4, 'refusals that come together count once');
    limit.recordBusy(4, 100);
    limit.recordBusy(2, 200);
    t.equal(limit.maxInFlight, 1);
    t.ok(limit.remainingPauseMs(200) > 0);
    t.notOk(limit.allows(0, 200), 'not even one');
    const first = limit.remainingPauseMs(200);
    let longest = 0;
    for (let time = 300; time < 5000; time += 100) {
      limit.recordBusy(1, time);
      longest = Math.max(longest, limit.remainingPauseMs(time));
    }
    t.ok(longest > first * 4, 'pauses double');
    t.ok(longest < 1000, 'up to a bound');
    const later = 10_000;
    for (let count = 0; count < 10; count++) limit.recordServed();
    t.ok(limit.allows(3, later), 'each served statement makes room');
    for (let count = 0; count < 3000; count++) limit.recordServed();
    t.equal(limit.maxInFlight, Infinity, 'and the limit is gone in the end');
    t.end();
  },
);

void t.test(
  'a connection is opened when that is sooner than a turn on those there are',
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
    t.equal(opened, 1, 'two statements of 10 ms take turns on one connection');
    const transaction = await pool.acquire(request(1), 1000);
    pool.markIdleInTransaction(transaction);
    await wait();
    t.equal(opened, 2, 'no request waits for a transaction that rests');
    await pool.acquire(request(1), 1000);
    await wait();
    t.equal(opened, 3, 'nor for long for a statement that does not end');
    await Promise.all(Array.from({ length: 20 }, wait));
    t.ok(opened > 3, 'many at once are worth another one');
  },
);
