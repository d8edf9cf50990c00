/** Simulates the queue of a full instance and compares the service order with an order by priority and arrival. */
import t from 'tap';
import { InstanceLoad } from '../../src/appointed/connections/instance_load.js';
import type { ConnectionRequest } from '../../src/appointed/connections/pooled_connection.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { CountingConnector, createTestPool } from '../tools/instance_pool.js';
import { type QueuedRequest, ServiceOrder } from '../../src/appointed/scheduling/service_order.js';

/** One kind of request: its rate, duration, latency objective and timeout. */
interface RequestKind {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: (second: number) => number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly maxWaitMs: number;
  readonly tenant: (drawn: number) => string;
}

interface Job extends QueuedRequest {
  readonly kind: RequestKind;
  refusedAt?: number;
  answeredAt?: number;
}

/** Order of a queue; `PRIORITY_ORDER` is the baseline of the comparisons. */
interface Policy {
  rank(jobs: readonly Job[], now: number): Job[];
  recordStart(job: Job, expectedMs: number, now: number): void;
  displaced(ranked: readonly Job[], spacingMs: number, now: number): readonly Job[];
}

const PRIORITY_ORDER: Policy = {
  rank: (jobs) =>
    jobs.toSorted(
      (left, right) => left.priority - right.priority || left.arrivedAt - right.arrivedAt,
    ),
  recordStart: () => undefined,
  displaced: () => [],
};

const CONCURRENCY = 5;
const STEP_MS = 1;
const MILLISECONDS_PER_SECOND = 1000;

function jobOf(kind: RequestKind, now: number, random: SeededRandom): Job {
  return {
    kind,
    priority: kind.priority,
    tenant: kind.tenant(random.next()),
    arrivedAt: now,
    latestStartAt: now + kind.objectiveMs - kind.workMs,
    expiresAt: now + kind.maxWaitMs,
  };
}

/** Simulates the queue of one connection owner that sends five statements at a time; returns all requests. */
function simulateQueue(policy: Policy, kinds: readonly RequestKind[], seconds: number): Job[] {
  const random = new SeededRandom(5);
  const all: Job[] = [];
  let waiting: Job[] = [];
  let running: Job[] = [];
  let meanWorkMs = 10;
  for (let now = 0; now < seconds * MILLISECONDS_PER_SECOND; now += STEP_MS) {
    running = running.filter(({ answeredAt }) => answeredAt! > now);
    for (const kind of kinds) {
      const perStep =
        (kind.perSecond(now / MILLISECONDS_PER_SECOND) * STEP_MS) / MILLISECONDS_PER_SECOND;
      if (random.next() >= perStep) continue;
      const job = jobOf(kind, now, random);
      all.push(job);
      const position = policy.rank([...waiting, job], now).indexOf(job);
      // Both orders refuse a request on arrival if it would time out in the queue.
      if ((position / CONCURRENCY) * meanWorkMs > kind.maxWaitMs) job.refusedAt = now;
      else waiting.push(job);
    }
    const ranked = policy.rank(waiting, now);
    for (const job of policy.displaced(ranked, meanWorkMs / CONCURRENCY, now)) job.refusedAt = now;
    for (const job of waiting) if (now >= job.expiresAt) job.refusedAt ??= now;
    waiting = waiting.filter(({ refusedAt }) => refusedAt === undefined);
    while (running.length < CONCURRENCY && waiting.length > 0) {
      const [job] = policy.rank(waiting, now);
      waiting.splice(waiting.indexOf(job!), 1);
      job!.answeredAt = now + job!.kind.workMs * (0.5 + random.next());
      meanWorkMs += 0.1 * (job!.kind.workMs - meanWorkMs);
      policy.recordStart(job!, meanWorkMs, now);
      running.push(job!);
    }
  }
  return all;
}

/** Fraction of the requests that were answered within their objective. */
function fractionInTime(jobs: readonly Job[], matches: (job: Job) => boolean = () => true): number {
  const matching = jobs.filter(matches);
  const served = matching.filter(
    ({ answeredAt = Infinity, arrivedAt, kind }) => answeredAt - arrivedAt <= kind.objectiveMs,
  );
  return served.length / matching.length;
}

/** Mean time until a request was refused, over all refused requests, in milliseconds. */
function meanUntilRefused(jobs: readonly Job[]): number {
  const refused = jobs.filter(({ refusedAt }) => refusedAt !== undefined);
  const total = refused.reduce((sum, { refusedAt, arrivedAt }) => sum + refusedAt! - arrivedAt, 0);
  return total / Math.max(1, refused.length);
}

const drawTenant = (drawn: number): string => `t${Math.floor(drawn * 40)}`;
const hasKind =
  (name: string) =>
  (job: Job): boolean =>
    job.kind.name === name;

/** Load of one of six groups whose replicas are unavailable, so that the primary serves all requests. */
const KINDS: readonly RequestKind[] = [
  {
    name: 'urgent',
    priority: 0,
    perSecond: () => 45,
    workMs: 5,
    objectiveMs: 150,
    maxWaitMs: 480,
    tenant: drawTenant,
  },
  {
    name: 'usual',
    priority: 1,
    perSecond: () => 200,
    workMs: 14,
    objectiveMs: 250,
    maxWaitMs: 480,
    tenant: drawTenant,
  },
  {
    name: 'patient',
    priority: 2,
    // A burst of 2.2 times the usual rate from the 2nd to the 6th second.
    perSecond: (second) => (second > 2 && second < 6 ? 132 : 60),
    workMs: 22,
    objectiveMs: 800,
    maxWaitMs: 900,
    tenant: drawTenant,
  },
];

void t.test(
  'a burst of requests with low priority does not delay urgent requests at a full instance',
  (t) => {
    const baseline = simulateQueue(PRIORITY_ORDER, KINDS, 8);
    const actual = simulateQueue(new ServiceOrder(), KINDS, 8);
    const text = (jobs: readonly Job[]): string =>
      KINDS.map(({ name }) => `${name} ${fractionInTime(jobs, hasKind(name)).toFixed(3)}`).join(
        ', ',
      );
    t.comment(
      `baseline: ${text(baseline)}; refused after ${meanUntilRefused(baseline).toFixed(0)} ms`,
    );
    t.comment(
      `service order: ${text(actual)}; refused after ${meanUntilRefused(actual).toFixed(0)} ms`,
    );
    t.ok(fractionInTime(actual) >= fractionInTime(baseline));
    t.ok(fractionInTime(actual, hasKind('urgent')) >= 0.98);
    t.ok(meanUntilRefused(actual) < meanUntilRefused(baseline), 'requests are refused sooner');
    t.end();
  },
);

void t.test(
  'a tenant at seven times its usual rate does not make others miss more than a tenth of their objectives',
  (t) => {
    const drawRushTenant = (drawn: number): string =>
      drawn < 0.6 ? 'rush' : drawTenant((drawn - 0.6) / 0.4);
    const kinds = KINDS.map((kind) => ({
      ...kind,
      perSecond: (second: number) =>
        kind.name === 'usual' ? (second > 1 && second < 6 ? 520 : 180) : 20,
      tenant: kind.name === 'usual' ? drawRushTenant : kind.tenant,
    }));
    const isOther = ({ tenant }: Job): boolean => tenant !== 'rush';
    const baseline = fractionInTime(simulateQueue(PRIORITY_ORDER, kinds, 7), isOther);
    const actual = fractionInTime(simulateQueue(new ServiceOrder(), kinds, 7), isOther);
    t.comment(
      `other tenants in time: baseline ${baseline.toFixed(3)}, service order ${actual.toFixed(3)}`,
    );
    t.ok(baseline < 0.9, 'in the baseline order other tenants miss more than a tenth');
    t.ok(actual >= 0.9);
    t.end();
  },
);

void t.test('urgent requests that fill the instance do not starve other requests', (t) => {
  const kinds = KINDS.map((kind) => ({
    ...kind,
    perSecond: () => (kind.name === 'urgent' ? 900 : 15),
    workMs: kind.name === 'urgent' ? 8 : kind.workMs,
  }));
  const baseline = simulateQueue(PRIORITY_ORDER, kinds, 6);
  const actual = simulateQueue(new ServiceOrder(), kinds, 6);
  t.comment(
    `patient: ${fractionInTime(baseline, hasKind('patient'))} ${fractionInTime(actual, hasKind('patient'))}`,
  );
  t.ok(
    fractionInTime(actual, hasKind('patient')) > fractionInTime(baseline, hasKind('patient')) + 0.2,
  );
  t.end();
});

void t.test(
  'requests that are already late do not delay requests that can still meet their objective',
  (t) => {
    const order = new ServiceOrder();
    const waiting = (priority: number, latestStartAt: number): QueuedRequest => {
      return { priority, tenant: 'ana', arrivedAt: 0, latestStartAt, expiresAt: 1000 };
    };
    const [late, later, soon] = [waiting(0, 90), waiting(1, 400), waiting(1, 200)];
    t.same(order.rank([late, later, soon], 100), [soon, later, late]);
    t.same(
      order.displaced([soon, later, late], 800, 300),
      [later, late],
      'requests that would time out in the queue are refused',
    );
    t.end();
  },
);

void t.test(
  'a short urgent statement is not treated as late when other statements exceed its objective',
  async (t) => {
    const load = new InstanceLoad();
    for (let answer = 0; answer < 50; answer++) load.recordAnswer(300, 0);
    const quota = { maxConnections: 1, isOwner: true };
    const options = { quota, slots: () => 1, opensSpareConnections: () => false, load };
    const pool = createTestPool(new CountingConnector(), options);
    const connectionRequest = (priority: number, objectiveMs: number): ConnectionRequest => {
      return { tenant: 'ana', values: new Map(), priority, objectiveMs };
    };
    const first = await pool.acquire(connectionRequest(1, 800), 5000);
    const served: string[] = [];
    const wait = async (name: string, request: ConnectionRequest): Promise<void> => {
      const pooled = await pool.acquire(request, 5000);
      served.push(name);
      pool.release(pooled);
    };
    const both = [
      wait('patient', connectionRequest(2, 800)),
      wait('urgent', connectionRequest(0, 150)),
    ];
    pool.release(first);
    await Promise.all(both);
    t.same(served, ['urgent', 'patient']);
    pool.close();
  },
);
