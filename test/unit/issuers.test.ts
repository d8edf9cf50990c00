/**
 * Issuers of operations: proxies of one zone, a leader that answers or doesn't, one failure each. What no schedule may run too much is
 * tested in tenancy.test.ts.
 */
import t from 'tap';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import { AdmittedOperation } from '../../src/appointed/tenancy/admitted_operation.js';
import { AllowanceClient } from '../../src/appointed/tenancy/allowance_client.js';
import { IssuerChoice } from '../../src/appointed/tenancy/issuer_choice.js';
import {
  RESERVE_LIFE_MS,
  WAITING_ALLOWANCE_MS,
} from '../../src/appointed/tenancy/operation_budget.js';
import type { OperationLimit, Tenant } from '../../src/appointed/tenancy/tenant.js';
import type { OperationVerdict } from '../../src/appointed/tenancy/tenant_allowance.js';
import { perSecondOf, leasedRate } from '../../src/appointed/tenancy/wire_rate.js';
import type { whinyoke } from '../../src/protocol/generated/messages.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { PlayedLeader, RULES } from '../tools/played_fleet.js';

const ZONE = 'zone-1';
const TRIP_MS = 1;
const PATIENCE_MS = 60;

/** One proxy of the zone. */
interface PlayedProxy {
  readonly address: string;
  readonly client: AllowanceClient;
  readonly issuers: IssuerChoice;
}

/** Proxies of one zone and their leader. */
class PlayedZone {
  readonly scheduler = new Scheduler();
  readonly clock = new VirtualProcess('p', this.scheduler, new SeededRandom(1), 0).clock;
  readonly leader = new PlayedLeader(new Map(), 0);
  readonly proxies: PlayedProxy[];
  /** Who answers nothing; `leader` for the leader. */
  readonly silent = new Set<string>();
  limit: OperationLimit | undefined = { ratePerSecond: 4, burst: 4 };
  /** Time of an answer of an issuer, in milliseconds. */
  answerMs = TRIP_MS;
  /** Operations that proxies gave back to the leader. */
  returned = 0;
  private runs = 0;

  constructor(count: number) {
    this.leader.ledger.noteAllKnown();
    this.proxies = Array.from({ length: count }, (_, index) => this.proxy(`p${index}`));
    for (const { issuers } of this.proxies) issuers.update(this.zones);
  }

  get tenant(): Tenant {
    return { name: 'ana', limit: this.limit ?? { ratePerSecond: 4, burst: 4 } };
  }

  get issuer(): PlayedProxy {
    return this.proxies.find(({ issuers }) => issuers.isOwn('ana'))!;
  }

  get member(): PlayedProxy {
    return this.proxies.find(({ issuers }) => !issuers.isOwn('ana'))!;
  }

  /** Operations that the issuer would grant now, all at once. */
  get inReserve(): number {
    const demands = [{ tenant: 'ana', waiting: 50 }];
    return this.issuer.client.issuer.answer({ demands }).allowances?.[0]?.granted ?? 0;
  }

  /** Another run of a proxy, at the same address. */
  replace(index: number): void {
    this.proxies[index]!.client.stop();
    this.proxies[index] = this.proxy(`p${index}`);
    this.proxies[index].issuers.update(this.zones);
  }

  /** Asks for one operation through a proxy, and lets time pass. */
  async take({ client }: PlayedProxy, forMs = PATIENCE_MS + 5): Promise<boolean> {
    let verdict: OperationVerdict | undefined;
    void Promise.resolve(client.take(this.tenant, PATIENCE_MS)).then((told) => (verdict = told));
    await this.scheduler.runUntil(this.scheduler.now + forMs);
    return verdict?.isGranted ?? false;
  }

  /** An operation each 400 ms through the proxies in turn; returns how many were refused. */
  async use(forMs: number): Promise<number> {
    let refused = 0;
    for (let elapsed = 0; elapsed < forMs; elapsed += 400) {
      const proxy = this.proxies[this.runs++ % this.proxies.length]!;
      if (!(await this.take(proxy, 400))) refused++;
    }
    return refused;
  }

  stop(): void {
    for (const { client } of this.proxies) client.stop();
  }

  private get zones(): { zone: string; addresses: string[] }[] {
    return [{ zone: ZONE, addresses: this.proxies.map(({ address }) => address) }];
  }

  private proxy(address: string): PlayedProxy {
    const issuers = new IssuerChoice(address, ZONE);
    const random = new SeededRandom(2);
    const messenger = {
      request: (to: string, body: whinyoke.IBody, timeoutMs: number): Promise<whinyoke.IBody> =>
        this.carry(address, to, body.allowanceRequest!, timeoutMs),
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

  private carry(
    from: string,
    to: string,
    request: whinyoke.IAllowanceRequest,
    timeoutMs: number,
  ): Promise<whinyoke.IBody> {
    return new Promise((resolve, reject) => {
      this.clock.setTimer(timeoutMs, () => reject(new Error('no answer')));
      this.clock.setTimer(TRIP_MS, () => {
        if (this.silent.has(to)) return;
        const issuer = this.proxies.find(({ address }) => address === to)?.client.issuer;
        const allowanceReply = issuer?.answer(request) ?? this.lead(from, request);
        this.clock.setTimer(issuer ? this.answerMs : TRIP_MS, () => resolve({ allowanceReply }));
      });
    });
  }

  private lead(from: string, request: whinyoke.IAllowanceRequest): whinyoke.IAllowanceReply {
    const proxy = Number(from.slice(1));
    const allowances = (request.demands ?? []).map((demand) => {
      const { waiting, returned, held, wantedReserve, heldMost } = {
        ...NO_DEMAND,
        ...(demand as typeof NO_DEMAND),
      };
      this.returned += returned;
      const rates = {
        heldRate: perSecondOf(demand.heldRate),
        wantedRate: perSecondOf(demand.wantedRate),
      };
      const asked = { waiting, returned, held, wantedReserve, heldMost, ...rates };
      const limit = this.tenant.limit!;
      const answer = this.leader.answer(proxy, limit, asked, this.clock.now(), true);
      return { tenant: demand.tenant, ...answer, rate: leasedRate(answer.rate) };
    });
    return { accepted: true, term: 1, allowances };
  }
}

const NO_DEMAND = { waiting: 0, returned: 0, held: 0, wantedReserve: 0, heldMost: 0 };

void t.test('the issuer of a zone serves a small tenant while nobody leads', async (t) => {
  const zone = new PlayedZone(20);
  t.equal(await zone.use(10_000), 0);
  zone.silent.add('leader');
  t.equal(await zone.use(2000), 0, 'an operation each 400 ms through 20 proxies');
  const counts = zone.proxies.map(({ client }) => client.counts);
  const [byIssuer, granted, fromReserve] = (['byIssuer', 'granted', 'fromReserve'] as const).map(
    (way) => counts.reduce((sum, each) => sum + each[way], 0),
  );
  t.equal(byIssuer! + granted! + fromReserve!, 30, 'told apart in the counts');
  t.ok(byIssuer! > 20, `${byIssuer} of 30 by the issuer`);
  zone.stop();
});

void t.test('an issuer that dies without a word costs one late answer', async (t) => {
  const zone = new PlayedZone(4);
  await zone.use(4000);
  const { member, issuer } = zone;
  zone.silent.add(issuer.address);
  t.ok(await zone.take(member), 'the leader is asked when the issuer is late');
  t.equal(member.client.counts.issuerLate, 1);
  t.ok(await zone.take(member, 20), 'the next of the zone, or the leader, within 20 ms');
  t.equal(member.client.counts.issuerLate, 1);
  zone.stop();
});

void t.test('an issuer that wakes after its lease grants nothing', async (t) => {
  const zone = new PlayedZone(4);
  await zone.use(4000);
  zone.silent.add('leader');
  await zone.scheduler.runUntil(zone.scheduler.now + RESERVE_LIFE_MS + 1);
  t.equal(zone.inReserve, 0);
  t.notOk(await zone.take(zone.member));
  zone.stop();
});

void t.test('what an issuer granted before it froze comes too late to count', async (t) => {
  const zone = new PlayedZone(8);
  await zone.use(4000);
  zone.silent.add('leader');
  const { member } = zone;
  const { byIssuer } = member.client.counts;
  zone.answerMs = WAITING_ALLOWANCE_MS + 1;
  t.notOk(await zone.take(member, 500));
  t.equal(member.client.counts.byIssuer, byIssuer);
  zone.stop();
});

void t.test('an issuer that is to stop hands its reserve over', async (t) => {
  const zone = new PlayedZone(4);
  await zone.use(4000);
  const { issuer } = zone;
  t.ok(issuer.client.allowances.find('ana')?.holdsReserve(zone.clock.now()));
  issuer.client.leave();
  await zone.scheduler.runUntil(zone.scheduler.now + 200);
  t.notOk(
    issuer.client.allowances.find('ana')?.holdsReserve(zone.clock.now()),
    'the leader has it',
  );
  t.equal(await zone.use(4000), 0);
  const successors = zone.proxies.filter(
    ({ client }) => client !== issuer.client && client.counts.issued > 0,
  );
  t.equal(successors.length, 1, 'another proxy became the issuer');
  zone.stop();
});

void t.test('a lower limit takes reserves back', async (t) => {
  const zone = new PlayedZone(4);
  zone.limit = { ratePerSecond: 50, burst: 50 };
  for (let count = 0; count < 200; count++) await zone.take(zone.member, 40);
  zone.limit = { ratePerSecond: 1, burst: 1 };
  await zone.use(RESERVE_LIFE_MS);
  t.ok(zone.inReserve <= 11, 'half of the bucket of the lower limit at most');
  zone.stop();
});

void t.test('a tenant that the issuer does not know is granted by the leader', async (t) => {
  const zone = new PlayedZone(4);
  zone.limit = undefined;
  t.ok(await zone.take(zone.member), 'a tenant that was just added');
  const { byIssuer, granted } = zone.member.client.counts;
  t.same([byIssuer, granted], [0, 1]);
  zone.limit = { ratePerSecond: 4, burst: 4 };
  t.equal(await zone.use(4000), 0);
  zone.limit = undefined;
  t.equal(zone.inReserve, 0, 'one that was removed gets nothing of what is left');
  zone.stop();
});

void t.test('proxies that are replaced in turn refuse nothing', async (t) => {
  const zone = new PlayedZone(4);
  let refused = await zone.use(4000);
  for (let index = 0; index < 4; index++) {
    zone.replace(index);
    refused += await zone.use(1200);
  }
  t.equal(refused, 0);
  zone.stop();
});

void t.test('an operation that waited in vain for 200 ms comes back in time', async (t) => {
  const zone = new PlayedZone(1);
  const [{ client }] = zone.proxies as [PlayedProxy];
  await zone.take(zone.proxies[0]!);
  const operation = new AdmittedOperation(zone.tenant, zone.clock.now());
  const before = zone.returned;
  await zone.scheduler.runUntil(zone.scheduler.now + 200);
  client.giveBack(operation);
  await zone.scheduler.runUntil(zone.scheduler.now + 60);
  t.equal(zone.returned - before, 1, '260 ms after it was counted; 350 ms are allowed');
  const late = new AdmittedOperation(zone.tenant, zone.clock.now());
  await zone.scheduler.runUntil(zone.scheduler.now + 250);
  client.giveBack(late);
  await zone.scheduler.runUntil(zone.scheduler.now + 200);
  t.equal(zone.returned - before, 1, 'one that would be late is not given back');
  zone.silent.add('leader');
  client.giveBack(new AdmittedOperation(zone.tenant, zone.clock.now()));
  void zone.take(zone.proxies[0]!, 0);
  await zone.scheduler.runUntil(zone.scheduler.now + 600);
  zone.silent.clear();
  await zone.use(800);
  t.equal(zone.returned - before, 1, 'nor is one that no leader took in time');
  zone.stop();
});

void t.test('rates leased to all issuers stay within their part of the limit', (t) => {
  const leader = new PlayedLeader(new Map(), 0);
  leader.ledger.noteAllKnown();
  const limit = { ratePerSecond: 100, burst: 100 };
  const asking = { waiting: 0, returned: 0, held: 0, wantedReserve: 20, wantedRate: 20 };
  const rates = [1, 2, 3].map((run) => leader.answer(run, limit, asking, 5000, true).rate);
  t.same(rates, [20, 10, 0], '30 of 100 operations a second');
  const keeping = { ...asking, heldRate: 20, heldMost: 20 };
  t.equal(leader.answer(1, limit, keeping, 6000, true).rate, 20, 'kept');
  const later = 6000 + RESERVE_LIFE_MS;
  t.equal(
    leader.answer(3, limit, asking, later, true).rate,
    20,
    'those that were not renewed ended',
  );
  t.end();
});

void t.test('after a loss of all power the first second is not dry', (t) => {
  const log = new Map<string, number>();
  const limit = { ratePerSecond: 100, burst: 100 };
  const calm = { waiting: 0, returned: 0, held: 0, wantedReserve: 0 };
  const before = new PlayedLeader(log, 0);
  before.noteTold(0);
  before.ledger.noteAllKnown();
  for (let now = 600; now < 9000; now += 100) {
    before.answer(1, limit, { ...calm, waiting: 6 }, now, true);
  }
  const refusedBy = (isFresh: boolean): number => {
    const leader = new PlayedLeader(new Map(log), 10_000);
    // All proxies started 300 ms before the leader was elected.
    if (isFresh) leader.ledger.noteOnlyOwnSince(9700);
    if (isFresh) leader.ledger.noteAllKnown();
    let refused = 0;
    for (let now = 10_050; now < 11_050; now += 50) {
      // Twice the usual, since callers return.
      const { granted } = leader.answer(1, limit, { ...calm, waiting: 6 }, now, true);
      refused += 6 - granted;
    }
    return refused;
  };
  t.equal(refusedBy(true), 0);
  t.ok(refusedBy(false) > 0, 'where proxies may use what former leaders granted, it must wait');
  t.end();
});
