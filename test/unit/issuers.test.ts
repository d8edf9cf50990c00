/**
 * Issuers of operations in one zone, with one failure per test. That no schedule exceeds the limit is tested in
 * tenancy.test.ts.
 */
import t from 'tap';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import { AdmittedOperation } from '../../src/appointed/tenancy/admitted_operation.js';
import { AllowanceClient } from '../../src/appointed/tenancy/allowance_client.js';
import { IssuerSelector } from '../../src/appointed/tenancy/issuer_selector.js';
import {
  RESERVE_LEASE_MS,
  GRANT_VALIDITY_MS,
} from '../../src/appointed/tenancy/operation_budget.js';
import type { OperationLimit, Tenant } from '../../src/appointed/tenancy/tenant.js';
import type { GrantResult } from '../../src/appointed/tenancy/tenant_allowance.js';
import { fromWireRate, toLeasedWireRate } from '../../src/appointed/tenancy/wire_rate.js';
import type { whinyoke } from '../../src/protocol/generated/messages.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { QuotaLeader, RULES } from '../tools/quota_fleet.js';

const ZONE = 'zone-1';
const NETWORK_DELAY_MS = 1;
const MAX_WAIT_MS = 60;

/** One proxy of the zone. */
interface TestProxy {
  readonly address: string;
  readonly client: AllowanceClient;
  readonly issuers: IssuerSelector;
}

/** Proxies of one zone and their leader. */
class TestZone {
  readonly scheduler = new Scheduler();
  readonly clock = new VirtualProcess('p', this.scheduler, new SeededRandom(1), 0).clock;
  readonly leader = new QuotaLeader(new Map(), 0);
  readonly proxies: TestProxy[];
  /** Addresses that do not answer; `leader` is the leader's. */
  readonly unresponsive = new Set<string>();
  limit: OperationLimit | undefined = { ratePerSecond: 4, burst: 4 };
  /** Delay of the replies of issuers. */
  answerMs = NETWORK_DELAY_MS;
  /** Operations that proxies returned to the leader. */
  returned = 0;
  private operationCount = 0;

  constructor(count: number) {
    this.leader.ledger.recordAllReservesKnown();
    this.proxies = Array.from({ length: count }, (_, index) => this.createProxy(`p${index}`));
    for (const { issuers } of this.proxies) issuers.update(this.zones);
  }

  get tenant(): Tenant {
    return { name: 'ana', limit: this.limit ?? { ratePerSecond: 4, burst: 4 } };
  }

  get issuer(): TestProxy {
    return this.proxies.find(({ issuers }) => issuers.isOwnProxyIssuer('ana'))!;
  }

  get otherProxy(): TestProxy {
    return this.proxies.find(({ issuers }) => !issuers.isOwnProxyIssuer('ana'))!;
  }

  /** Takes all operations that the issuer can grant now, and returns their number. */
  get operationsInReserve(): number {
    const demands = [{ tenant: 'ana', waiting: 50 }];
    return this.issuer.client.issuer.answer({ demands }).allowances?.[0]?.granted ?? 0;
  }

  /** Replaces a proxy by a new process at the same address. */
  replace(index: number): void {
    this.proxies[index]!.client.stop();
    this.proxies[index] = this.createProxy(`p${index}`);
    this.proxies[index].issuers.update(this.zones);
  }

  /** Requests one operation through a proxy and runs for `forMs`; returns whether it was granted. */
  async acquire({ client }: TestProxy, forMs = MAX_WAIT_MS + 5): Promise<boolean> {
    let result: GrantResult | undefined;
    void Promise.resolve(client.acquire(this.tenant, MAX_WAIT_MS)).then(
      (settled) => (result = settled),
    );
    await this.scheduler.runUntil(this.scheduler.now + forMs);
    return result?.isGranted ?? false;
  }

  /** Sends an operation every 400 ms through the proxies, round robin; returns how many were refused. */
  async runOperations(forMs: number): Promise<number> {
    let refused = 0;
    for (let elapsed = 0; elapsed < forMs; elapsed += 400) {
      const proxyInTurn = this.proxies[this.operationCount++ % this.proxies.length]!;
      if (!(await this.acquire(proxyInTurn, 400))) refused++;
    }
    return refused;
  }

  stop(): void {
    for (const { client } of this.proxies) client.stop();
  }

  private get zones(): { zone: string; addresses: string[] }[] {
    return [{ zone: ZONE, addresses: this.proxies.map(({ address }) => address) }];
  }

  private createProxy(address: string): TestProxy {
    const issuers = new IssuerSelector(address, ZONE);
    const random = new SeededRandom(2);
    const messenger = {
      request: (to: string, body: whinyoke.IBody, timeoutMs: number): Promise<whinyoke.IBody> =>
        this.deliver(address, to, body.allowanceRequest!, timeoutMs),
      serve: () => undefined,
    };
    const client = new AllowanceClient({
      runtime: { clock: this.clock, random, messenger },
      log: () => undefined,
      rules: RULES,
      proxy: address,
      incarnation: `run-${this.scheduler.now}`,
      issuers,
      limitOf: () => this.limit,
      leaderAddress: () => 'leader',
    });
    return { address, client, issuers };
  }

  private deliver(
    from: string,
    to: string,
    request: whinyoke.IAllowanceRequest,
    timeoutMs: number,
  ): Promise<whinyoke.IBody> {
    return new Promise((resolve, reject) => {
      this.clock.setTimer(timeoutMs, () => reject(new Error('no answer')));
      this.clock.setTimer(NETWORK_DELAY_MS, () => {
        if (this.unresponsive.has(to)) return;
        const issuer = this.proxies.find(({ address }) => address === to)?.client.issuer;
        const allowanceReply = issuer?.answer(request) ?? this.answerAsLeader(from, request);
        this.clock.setTimer(issuer ? this.answerMs : NETWORK_DELAY_MS, () =>
          resolve({ allowanceReply }),
        );
      });
    });
  }

  private answerAsLeader(
    from: string,
    request: whinyoke.IAllowanceRequest,
  ): whinyoke.IAllowanceReply {
    const proxy = Number(from.slice(1));
    const allowances = (request.demands ?? []).map((demand) => {
      const { waiting, returned, held, wantedReserve, heldMost } = {
        ...NO_DEMAND,
        ...(demand as typeof NO_DEMAND),
      };
      this.returned += returned;
      const rates = {
        heldRate: fromWireRate(demand.heldRate),
        wantedRate: fromWireRate(demand.wantedRate),
      };
      const asked = { waiting, returned, held, wantedReserve, heldMost, ...rates };
      const limit = this.tenant.limit!;
      const answer = this.leader.answer(proxy, limit, asked, this.clock.now(), true);
      return { tenant: demand.tenant, ...answer, rate: toLeasedWireRate(answer.rate) };
    });
    return { accepted: true, term: 1, allowances };
  }
}

const NO_DEMAND = { waiting: 0, returned: 0, held: 0, wantedReserve: 0, heldMost: 0 };

void t.test('the issuer of a zone serves a small tenant while there is no leader', async (t) => {
  const zone = new TestZone(20);
  t.equal(await zone.runOperations(10_000), 0);
  zone.unresponsive.add('leader');
  t.equal(await zone.runOperations(2000), 0, 'one operation per 400 ms through 20 proxies');
  const counts = zone.proxies.map(({ client }) => client.counts);
  const [byIssuer, granted, fromReserve] = (['byIssuer', 'granted', 'fromReserve'] as const).map(
    (way) => counts.reduce((sum, each) => sum + each[way], 0),
  );
  t.equal(byIssuer! + granted! + fromReserve!, 30, 'each operation is counted once');
  t.ok(byIssuer! > 20, `${byIssuer} of 30 granted by the issuer`);
  zone.stop();
});

void t.test('an issuer that crashes costs a proxy only one timeout', async (t) => {
  const zone = new TestZone(4);
  await zone.runOperations(4000);
  const { otherProxy, issuer } = zone;
  zone.unresponsive.add(issuer.address);
  t.ok(await zone.acquire(otherProxy), 'granted by the leader after the timeout of the issuer');
  t.equal(otherProxy.client.counts.issuerLate, 1);
  t.ok(
    await zone.acquire(otherProxy, 20),
    'granted by the second issuer or the leader within 20 ms',
  );
  t.equal(otherProxy.client.counts.issuerLate, 1);
  zone.stop();
});

void t.test('an issuer that resumes after its lease expired grants nothing', async (t) => {
  const zone = new TestZone(4);
  await zone.runOperations(4000);
  zone.unresponsive.add('leader');
  await zone.scheduler.runUntil(zone.scheduler.now + RESERVE_LEASE_MS + 1);
  t.equal(zone.operationsInReserve, 0);
  t.notOk(await zone.acquire(zone.otherProxy));
  zone.stop();
});

void t.test(
  'a grant of an issuer that stalled before replying arrives too late to be used',
  async (t) => {
    const zone = new TestZone(8);
    await zone.runOperations(4000);
    zone.unresponsive.add('leader');
    const { otherProxy } = zone;
    const { byIssuer } = otherProxy.client.counts;
    zone.answerMs = GRANT_VALIDITY_MS + 1;
    t.notOk(await zone.acquire(otherProxy, 500));
    t.equal(otherProxy.client.counts.byIssuer, byIssuer);
    zone.stop();
  },
);

void t.test('an issuer returns its reserve before it stops', async (t) => {
  const zone = new TestZone(4);
  await zone.runOperations(4000);
  const { issuer } = zone;
  t.ok(issuer.client.allowances.find('ana')?.hasReserve(zone.clock.now()));
  issuer.client.returnReserves();
  await zone.scheduler.runUntil(zone.scheduler.now + 200);
  t.notOk(
    issuer.client.allowances.find('ana')?.hasReserve(zone.clock.now()),
    'returned to the leader',
  );
  t.equal(await zone.runOperations(4000), 0);
  const successors = zone.proxies.filter(
    ({ client }) => client !== issuer.client && client.counts.issued > 0,
  );
  t.equal(successors.length, 1, 'another proxy became the issuer');
  zone.stop();
});

void t.test('a lowered limit reduces the reserves', async (t) => {
  const zone = new TestZone(4);
  zone.limit = { ratePerSecond: 50, burst: 50 };
  for (let count = 0; count < 200; count++) await zone.acquire(zone.otherProxy, 40);
  zone.limit = { ratePerSecond: 1, burst: 1 };
  await zone.runOperations(RESERVE_LEASE_MS);
  t.ok(zone.operationsInReserve <= 11, 'at most half of the bucket of the lower limit');
  zone.stop();
});

void t.test(
  'operations of a tenant that the issuer does not know are granted by the leader',
  async (t) => {
    const zone = new TestZone(4);
    zone.limit = undefined;
    t.ok(await zone.acquire(zone.otherProxy), 'the tenant was just added');
    const { byIssuer, granted } = zone.otherProxy.client.counts;
    t.same([byIssuer, granted], [0, 1]);
    zone.limit = { ratePerSecond: 4, burst: 4 };
    t.equal(await zone.runOperations(4000), 0);
    zone.limit = undefined;
    t.equal(
      zone.operationsInReserve,
      0,
      'a removed tenant gets nothing from the remaining reserve',
    );
    zone.stop();
  },
);

void t.test('a rolling replacement of the proxies refuses nothing', async (t) => {
  const zone = new TestZone(4);
  let refused = await zone.runOperations(4000);
  for (let index = 0; index < 4; index++) {
    zone.replace(index);
    refused += await zone.runOperations(1200);
  }
  t.equal(refused, 0);
  zone.stop();
});

void t.test('an operation that did not run after waiting 200 ms is returned in time', async (t) => {
  const zone = new TestZone(1);
  const [{ client }] = zone.proxies as [TestProxy];
  await zone.acquire(zone.proxies[0]!);
  const operation = new AdmittedOperation(zone.tenant, zone.clock.now());
  const before = zone.returned;
  await zone.scheduler.runUntil(zone.scheduler.now + 200);
  client.returnUnused(operation);
  await zone.scheduler.runUntil(zone.scheduler.now + 60);
  t.equal(zone.returned - before, 1, 'returned 260 ms after it was counted, within 350 ms');
  const late = new AdmittedOperation(zone.tenant, zone.clock.now());
  await zone.scheduler.runUntil(zone.scheduler.now + 250);
  client.returnUnused(late);
  await zone.scheduler.runUntil(zone.scheduler.now + 200);
  t.equal(zone.returned - before, 1, 'an operation that would arrive too late is not returned');
  zone.unresponsive.add('leader');
  client.returnUnused(new AdmittedOperation(zone.tenant, zone.clock.now()));
  void zone.acquire(zone.proxies[0]!, 0);
  await zone.scheduler.runUntil(zone.scheduler.now + 600);
  zone.unresponsive.clear();
  await zone.runOperations(800);
  t.equal(zone.returned - before, 1, 'nor is an operation that no leader received in time');
  zone.stop();
});

void t.test('the rates leased to all issuers stay within the leasable part of the limit', (t) => {
  const leader = new QuotaLeader(new Map(), 0);
  leader.ledger.recordAllReservesKnown();
  const limit = { ratePerSecond: 100, burst: 100 };
  const asking = { waiting: 0, returned: 0, held: 0, wantedReserve: 20, wantedRate: 20 };
  const rates = [1, 2, 3].map((run) => leader.answer(run, limit, asking, 5000, true).rate);
  t.same(rates, [20, 10, 0], '30 of 100 operations/s');
  const keeping = { ...asking, heldRate: 20, heldMost: 20 };
  t.equal(leader.answer(1, limit, keeping, 6000, true).rate, 20, 'a leased rate is kept');
  const later = 6000 + RESERVE_LEASE_MS;
  t.equal(
    leader.answer(3, limit, asking, later, true).rate,
    20,
    'leases that were not renewed have expired',
  );
  t.end();
});

void t.test(
  'a leader elected after a power loss of all machines refuses nothing in its first second',
  (t) => {
    const log = new Map<string, number>();
    const limit = { ratePerSecond: 100, burst: 100 };
    const calm = { waiting: 0, returned: 0, held: 0, wantedReserve: 0 };
    const before = new QuotaLeader(log, 0);
    before.recordReport(0);
    before.ledger.recordAllReservesKnown();
    for (let now = 600; now < 9000; now += 100) {
      before.answer(1, limit, { ...calm, waiting: 6 }, now, true);
    }
    const refusedBy = (isFresh: boolean): number => {
      const leader = new QuotaLeader(new Map(log), 10_000);
      // All proxies started 300 ms before the leader was elected.
      if (isFresh) leader.ledger.recordOnlyOwnGrantsSince(9700);
      if (isFresh) leader.ledger.recordAllReservesKnown();
      let refused = 0;
      for (let now = 10_050; now < 11_050; now += 50) {
        // Twice the usual load, because all callers return.
        const { granted } = leader.answer(1, limit, { ...calm, waiting: 6 }, now, true);
        refused += 6 - granted;
      }
      return refused;
    };
    t.equal(refusedBy(true), 0);
    t.ok(
      refusedBy(false) > 0,
      'while proxies may use grants of former leaders, refusals are necessary',
    );
    t.end();
  },
);
