/** Credentials must never be logged, tenants must stay within their limits, and connections must not be shared by tenants. */
import { inspect } from 'node:util';
import fc from 'fast-check';
import t from 'tap';
import { LineCallerCodec } from '../../platform/caller_codec.js';
import { PlatformDocumentReader } from '../../platform/routing_document.js';
import {
  type ConnectionRequest,
  PooledConnection,
} from '../../src/appointed/connections/pooled_connection.js';
import { IdleConnections } from '../../src/appointed/connections/idle_connections.js';
import { FakeConnection } from '../tools/fake_connection.js';
import {
  QuotaFleet,
  QuotaLeader,
  type QuotaStep,
  PROXY_COUNT,
  RULES,
} from '../tools/quota_fleet.js';
import { CountingConnector, createTestPool } from '../tools/instance_pool.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { documentFreshnessMs } from '../../src/appointed/tenancy/admission.js';
import {
  LEADER_OVERLAP_MS,
  RESERVE_LEASE_MS,
} from '../../src/appointed/tenancy/operation_budget.js';
import { TenantAllowance } from '../../src/appointed/tenancy/tenant_allowance.js';
import { type OperationLimit, TenantDirectory } from '../../src/appointed/tenancy/tenant.js';

const SECRET = 'k3y-that-nobody-may-see';

function documentWith(tenants: object[]): string {
  const route = { name: 'r1', hostname: 'db1', timeout_ms: 800, service: 's1' };
  return JSON.stringify({
    version: 3,
    routes: [
      { ...route, route_type: 'primary' },
      { ...route, name: 'r2', hostname: 'db2', route_type: 'primary', public: true },
    ],
    services: [{ name: 's1', connection_limit: 32 }],
    tenants,
  });
}

void t.test(
  'a credential identifies its tenant and appears in no log, inspection or error',
  (t) => {
    const reader = new PlatformDocumentReader();
    const table = reader.read(
      documentWith([{ name: 'ana', api_keys: [SECRET], rate_per_s: 5, burst: 7 }]),
    );
    t.match(table.tenants.findByCredential(SECRET), {
      name: 'ana',
      limit: { ratePerSecond: 5, burst: 7 },
    });
    t.equal(table.tenants.findByCredential('other'), undefined);
    t.equal(table.routeByDatabase.get('db1')?.isPublic, false);
    t.equal(table.routeByDatabase.get('db2')?.isPublic, true);
    t.notMatch(inspect(table, { depth: 9, showHidden: true }) + JSON.stringify(table), SECRET);
    const shared = [
      { name: 'ana', api_keys: [SECRET] },
      { name: 'eva', api_keys: ['x', SECRET] },
    ];
    t.throws(() => reader.read(documentWith(shared)), /tenants ana and eva share a credential/);
    try {
      reader.read(documentWith(shared));
    } catch (error) {
      t.notMatch(inspect(error), SECRET);
    }
    t.throws(() => new TenantDirectory([...twice('ana')]), /two tenants are named ana/);
    t.end();
  },
);

function twice(name: string): { tenant: { name: string; limit: undefined }; credentials: [] }[] {
  return [1, 2].map(() => ({ tenant: { name, limit: undefined }, credentials: [] }));
}

void t.test('the line protocol carries a credential and the error for an unknown one', (t) => {
  const codec = new LineCallerCodec();
  t.same(codec.newReader().push(Buffer.from(`START db1 ${SECRET}\r\n`)), [
    { kind: 'start', database: 'db1', credential: SECRET },
  ]);
  t.equal(codec.encodeError('unauthenticated', 'why'), 'ERROR UNAUTHED why\r\n');
  t.ok(documentFreshnessMs(5000) < 5000 - 500, 'a deposed leader may confirm documents for 500 ms');
  t.end();
});

const limits = fc.record({
  ratePerSecond: fc.integer({ min: 1, max: 200 }),
  burst: fc.integer({ min: 0, max: 200 }),
});

void t.test('no sequence of demands and leader changes exceeds the limit in any window', (t) => {
  const oneIn = (count: number): fc.Arbitrary<boolean> =>
    fc.integer({ min: 1, max: count }).map((drawn) => drawn === 1);
  const step = fc.record({
    proxy: fc.integer({ min: 0, max: PROXY_COUNT - 1 }),
    waitMs: fc.integer({ min: 0, max: 900 }),
    waiting: fc.integer({ min: 0, max: 60 }),
    wantedReserve: fc.integer({ min: 0, max: 60 }),
    wantedRate: fc.integer({ min: 0, max: 100 }),
    usesWholeReserve: fc.boolean(),
    usesLeasedRate: fc.boolean(),
    isNewLeader: oneIn(5),
    isPowerLost: oneIn(20),
    asksFormerLeader: fc.boolean(),
    isReplyLost: oneIn(8),
    commits: fc.integer({ min: 0, max: 9 }).map((drawn) => drawn > 0),
  });
  fc.assert(
    fc.property(limits, fc.array(step, { maxLength: 120 }), (limit, steps) => {
      const fleet = new QuotaFleet(limit);
      for (const { waitMs, isNewLeader, isPowerLost, ...drawn } of steps) {
        if (isPowerLost) fleet.losePower(waitMs);
        else fleet.now += waitMs;
        if (isNewLeader) fleet.elect();
        fleet.ask(drawn);
      }
      return !fleet.exceedsLimit;
    }),
    { numRuns: 1000, seed: 7 },
  );
  t.pass('1,000 generated schedules');
  t.end();
});

/** An issuer that requests as much as it may get. */
const GREEDY_STEP: QuotaStep = {
  proxy: 0,
  waiting: 0,
  wantedReserve: 200,
  wantedRate: 200,
  usesWholeReserve: false,
  usesLeasedRate: false,
  asksFormerLeader: true,
  isReplyLost: false,
  commits: true,
};
const CALM_MS = 9000;
const RUSH_MS = 7000;
const STEP_INTERVAL_MS = 50;

/** A sudden load of a tenant, and a failure around its start. */
interface Rush {
  readonly change: 'none' | 'leader' | 'power' | 'cut';
  readonly changeAtMs: number;
  readonly leaderlessMs: number;
  /** Number of issuers that reach no leader after a partition, and when they use their reserves. */
  readonly cutOff: number;
  readonly cutSpendMs: number;
  /** For how long most issuers send no requests, because their leases are valid. */
  readonly silentMs: number;
}

/** Sends one request, or uses reserves without a request if the issuer is partitioned or silent. */
function runRushStep(fleet: QuotaFleet, proxy: number, sinceRush: number, drawn: Rush): void {
  const sinceChange = drawn.change === 'none' ? -Infinity : sinceRush - drawn.changeAtMs;
  const isCutOff = drawn.change === 'cut' && sinceChange >= 0 && proxy < drawn.cutOff;
  const isSilent = sinceRush >= 0 && proxy > 1 && sinceRush < drawn.silentMs;
  if (isSilent || (isCutOff && sinceChange >= drawn.cutSpendMs)) fleet.useAll(proxy);
  if (isSilent || isCutOff) return;
  const isRush = sinceRush >= 0;
  const waiting = isRush ? 400 : 0;
  fleet.ask({ ...GREEDY_STEP, proxy, waiting, usesWholeReserve: isRush, usesLeasedRate: isRush });
}

void t.test(
  'a sudden load during a leader change or a partition does not exceed the limit',
  (t) => {
    const drawnRush: fc.Arbitrary<Rush> = fc.record({
      change: fc.constantFrom('none', 'leader', 'power', 'cut'),
      changeAtMs: fc.integer({ min: -3500, max: 5000 }),
      leaderlessMs: fc.integer({ min: 0, max: 2000 }),
      cutOff: fc.integer({ min: 0, max: 3 }),
      cutSpendMs: fc.integer({ min: 0, max: 4000 }),
      silentMs: fc.integer({ min: 0, max: RESERVE_LEASE_MS }),
    });
    fc.assert(
      fc.property(limits, drawnRush, (limit, drawn) => {
        const fleet = new QuotaFleet(limit);
        const rushAt = fleet.now + CALM_MS;
        let isChanged = drawn.change === 'none';
        for (let step = 0; fleet.now < rushAt + RUSH_MS; step++) {
          fleet.now += STEP_INTERVAL_MS;
          const isDue = !isChanged && fleet.now >= rushAt + drawn.changeAtMs;
          if (isDue && drawn.change === 'power') fleet.losePower(drawn.leaderlessMs);
          if (isDue && drawn.change !== 'power') fleet.elect();
          isChanged ||= isDue;
          runRushStep(fleet, step % PROXY_COUNT, fleet.now - rushAt, drawn);
        }
        return !fleet.exceedsLimit;
      }),
      { numRuns: 500, seed: 7 },
    );
    t.pass('500 generated load changes');
    t.end();
  },
);

void t.test('reserves take nothing from waiting requests, and unused ones are returned', (t) => {
  const leader = new QuotaLeader(new Map(), 0);
  leader.ledger.recordAllReservesKnown();
  const limit = { ratePerSecond: 4, burst: 4 };
  // No refill yet.
  const now = LEADER_OVERLAP_MS;
  const nothing = { waiting: 0, returned: 0, held: 0, wantedReserve: 0 };
  // The first request creates the successor reserve of the tenant in the log.
  leader.answer(1, limit, nothing, now, true);
  const stocked = leader.answer(1, limit, { ...nothing, wantedReserve: 50 }, now, true);
  t.equal(stocked.added, 5, 'the part of the bucket of 12 above the successor reserve');
  const asking = { ...nothing, waiting: 9 };
  t.equal(
    leader.answer(2, limit, asking, now, true).granted,
    7,
    'the rest of the bucket is left for waiting requests',
  );
  t.equal(leader.answer(2, limit, { ...nothing, waiting: 1 }, now, true).granted, 0);
  const idle = { ...nothing, returned: stocked.added };
  t.equal(leader.answer(1, limit, idle, now, true).added, 0);
  const again = { ...nothing, waiting: 20 };
  t.equal(
    leader.answer(2, limit, again, now, true).granted,
    stocked.added,
    'the returned operations',
  );
  t.end();
});

void t.test('a tenant below its limit is never refused, even through many proxies', (t) => {
  const leader = new QuotaLeader(new Map(), 0);
  const limit = { ratePerSecond: 4, burst: 4 };
  let refused = 0;
  for (let now = 0; now < 60_000; now += 400) {
    const demand = { waiting: 1, returned: 0, held: 0, wantedReserve: 0 };
    const { granted } = leader.answer(now % 82, limit, demand, now, true);
    refused += 1 - granted;
  }
  t.equal(refused, 0, '2.5 of 4 operations/s');
  const many = { waiting: 40, returned: 0, held: 0, wantedReserve: 0 };
  const dry = leader.answer(1, limit, many, 60_000, true);
  t.ok(dry.granted < 40, 'the bucket is empty');
  t.ok(
    dry.retryAfterMs > 0 && dry.retryAfterMs <= 250,
    'the next operation accrues within 1 / rate',
  );
  t.end();
});

void t.test('a new leader adds to no reserve before it knows all reserves', (t) => {
  const log = new Map<string, number>();
  const limit = { ratePerSecond: 100, burst: 100 };
  const nothing = { waiting: 0, returned: 0, held: 0, wantedReserve: 0 };
  const first = new QuotaLeader(log, 0);
  first.ledger.recordAllReservesKnown();
  first.answer(1, limit, nothing, 9000, true);
  const { added } = first.answer(1, limit, { ...nothing, wantedReserve: 20 }, 9000, true);
  t.equal(added, 20);
  const wanting = { ...nothing, wantedReserve: 20 };
  const uninformed = new QuotaLeader(log, 10_000);
  t.equal(
    uninformed.answer(2, limit, wanting, 10_900, true).added,
    0,
    'the reserve of the first proxy is unknown',
  );
  const informed = new QuotaLeader(log, 10_000);
  informed.answer(1, limit, { ...nothing, held: 20, wantedReserve: 20 }, 10_100, true);
  informed.ledger.recordAllReservesKnown();
  t.equal(informed.answer(2, limit, wanting, 10_900, true).added, 20, 'all proxies have reported');
  const later = 10_000 + LEADER_OVERLAP_MS + RESERVE_LEASE_MS;
  t.equal(
    uninformed.answer(2, limit, wanting, later, true).added,
    20,
    'unknown reserves have expired',
  );
  t.end();
});

/** Load of 220 operations/s through 63 proxies by a tenant with a limit of 350; returns how many were refused. */
function refusedAfter(leader: QuotaLeader, from: number, forMs: number): number {
  const limit = { ratePerSecond: 350, burst: 350 };
  let refused = 0;
  for (let count = 0; count < (forMs * 220) / 1000; count++) {
    const now = from + (count * 1000) / 220;
    const demand = { waiting: 1, returned: 0, held: 0, wantedReserve: 0 };
    refused += 1 - leader.answer(count % 63, limit, demand, now, true).granted;
  }
  return refused;
}

void t.test('a new leader refuses nothing to a tenant below its limit', (t) => {
  const log = new Map<string, number>();
  t.equal(refusedAfter(new QuotaLeader(log, 0), 0, 10_000), 0);
  // Only the log of the first leader remains, as after a power loss of all machines.
  const successor = new QuotaLeader(log, 12_000);
  t.equal(
    refusedAfter(successor, 12_000, 5000),
    0,
    'the successor starts with the committed reserve, not with an empty bucket',
  );
  t.end();
});

/** Sends operations of one tenant through random proxies; returns the fractions refused and requested from the leader one by one. */
function runProxies(limit: OperationLimit, perSecond: number, proxies: number): [number, number] {
  const random = new SeededRandom(3);
  const leader = new QuotaLeader(new Map(), 0);
  leader.ledger.recordAllReservesKnown();
  const allowances = Array.from({ length: proxies }, () => new TenantAllowance('ana', 0));
  let [asked, refused, direct] = [0, 0, 0];
  const ask = (proxy: number, waiting: number, now: number): number => {
    const allowance = allowances[proxy]!;
    const demand = { ...allowance.prepareDemand(now), waiting };
    const answer = leader.answer(proxy, limit, demand, now, true);
    allowance.addReserve(answer, now, now);
    return answer.granted;
  };
  for (let now = 0; now < 60_000; now += 5) {
    if (random.next() < (perSecond * 5) / 1000) {
      const proxy = random.integer(0, proxies - 1);
      const allowance = allowances[proxy]!;
      asked++;
      allowance.recordRequests(limit, RULES, now);
      if (!allowance.takeFromReserve(now)) {
        direct++;
        refused += 1 - ask(proxy, 1, now);
      }
    }
    // Every proxy serves other tenants too, so it sends requests periodically.
    if (now % 150 !== 0) continue;
    for (let proxy = 0; proxy < proxies; proxy++) {
      if (allowances[proxy]!.shouldRequestReserve(now)) ask(proxy, 0, now);
    }
  }
  return [refused / asked, direct / asked];
}

void t.test('reserves at rarely used proxies do not cause refusals', (t) => {
  const [small] = runProxies({ ratePerSecond: 2.56, burst: 2.56 }, 1.9, 63);
  t.equal(small, 0, 'none refused at three quarters of a small limit');
  const [large, direct] = runProxies({ ratePerSecond: 350, burst: 350 }, 220, 63);
  t.equal(large, 0, 'none refused below a large limit');
  t.ok(direct < 0.2, `${direct} of the operations wait for a reply of the leader`);
  t.end();
});

function forTenant(tenant: string | undefined): ConnectionRequest {
  return { tenant, values: new Map(), priority: 1 };
}

void t.test(
  'an idle connection is never reused for another tenant; the oldest is closed first',
  (t) => {
    const idle = new IdleConnections();
    const [ana, eva] = ['ana', 'eva'].map(
      (name) => new PooledConnection(new FakeConnection(), name),
    );
    idle.add(ana!, 1);
    idle.add(eva!, 2);
    t.equal(idle.takeClosest(forTenant('ida')), undefined);
    t.equal(idle.takeClosest(forTenant('eva')), eva);
    idle.add(eva!, 3);
    t.ok(idle.hasConnectionFor(undefined), 'internal requests may use any connection');
    t.ok(idle.closeOldest());
    t.ok(ana!.connection.closed);
    t.notOk(eva!.connection.closed);
    t.end();
  },
);

void t.test(
  'a pool never shares a connection between tenants, and closes idle ones to make room',
  async (t) => {
    const connector = new CountingConnector();
    const pool = createTestPool(connector, {
      quota: { minimumIdle: 1 },
      slots: () => 6,
      opensSpareConnections: () => false,
    });
    pool.maintain();
    t.same(connector.tenants, [], 'no spare connection is opened while the tenant is unknown');
    const ana = await pool.acquire(forTenant('ana'), 500);
    const eva = await pool.acquire(forTenant('eva'), 500);
    pool.release(ana);
    t.equal(await pool.acquire(forTenant('ana'), 500), ana, 'the same tenant reuses it');
    const waiting = pool.acquire(forTenant('ida'), 500);
    pool.release(ana);
    const ida = await waiting;
    t.equal(ida.tenant, 'ida', 'another tenant gets its own connection');
    t.ok(ana.connection.closed, 'the idle connection was closed to make room');
    t.same(connector.tenants, ['ana', 'eva', 'ida']);
    pool.release(eva);
    t.equal(
      (await pool.acquire(forTenant(undefined), 500)).tenant,
      'eva',
      'internal requests reuse a connection',
    );
    pool.close();
  },
);
