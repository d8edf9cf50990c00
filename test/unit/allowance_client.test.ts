/** Requests of a proxy for operations: late replies, leader changes, and leaders that do not know the tenant. */
import t from 'tap';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import type { whinyoke } from '../../src/protocol/generated/messages.js';
import type { Messenger } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { AllowanceClient } from '../../src/appointed/tenancy/allowance_client.js';
import { IssuerSelector } from '../../src/appointed/tenancy/issuer_selector.js';
import type { GrantResult } from '../../src/appointed/tenancy/tenant_allowance.js';

const RULES = { windowMs: 5000, overage: 0.1, tolerance: 20 };
const TENANT = { name: 'ana', limit: { ratePerSecond: 100, burst: 100 } };
const MAX_WAIT_MS = 60;

/** A request as received by a leader. */
interface ReceivedRequest extends whinyoke.IAllowanceRequest {
  readonly address: string;
  readonly lane: number;
}

/** Reply of a leader and its delay; undefined for no reply. */
type Leader = (
  asked: ReceivedRequest,
) => { readonly afterMs: number; readonly reply: whinyoke.IAllowanceReply } | undefined;

class TestProxy {
  readonly scheduler = new Scheduler();
  readonly received: ReceivedRequest[] = [];
  readonly client: AllowanceClient;
  address = 'control-1';
  private readonly clock = new VirtualProcess('p', this.scheduler, new SeededRandom(1), 0).clock;

  constructor(leader: Leader) {
    const messenger: Messenger = {
      request: (address, { allowanceRequest }, timeoutMs, lane = 0) =>
        new Promise((resolve, reject) => {
          const asked = { ...allowanceRequest, address, lane };
          this.received.push(asked);
          const answer = leader(asked);
          this.clock.setTimer(timeoutMs, () => reject(new Error('no answer')));
          if (!answer) return;
          this.clock.setTimer(answer.afterMs, () => resolve({ allowanceReply: answer.reply }));
        }),
      serve: () => undefined,
    };
    const runtime = { clock: this.clock, random: new SeededRandom(2), messenger };
    this.client = new AllowanceClient({
      runtime,
      log: () => undefined,
      rules: RULES,
      proxy: 'p',
      incarnation: 'run-1',
      issuers: new IssuerSelector('p', 'zone-1'),
      limitOf: () => TENANT.limit,
      leaderAddress: () => this.address,
    });
  }

  /** Requests one operation and runs for `forMs`; returns the result if there is one by then. */
  async acquire(forMs: number): Promise<GrantResult | undefined> {
    let result: GrantResult | undefined;
    void Promise.resolve(this.client.acquire(TENANT, MAX_WAIT_MS)).then(
      (settled) => (result = settled),
    );
    await this.scheduler.runUntil(this.scheduler.now + forMs);
    return result;
  }
}

function granting(granted: number, added = 0, term = 1): whinyoke.IAllowanceReply {
  return { accepted: true, term, allowances: [{ tenant: 'ana', granted, added }] };
}

void t.test('a request without a timely reply is repeated on another connection', async (t) => {
  const proxy = new TestProxy(({ lane }) => ({
    afterMs: lane === 0 ? 180 : 3,
    reply: granting(1),
  }));
  t.match(await proxy.acquire(MAX_WAIT_MS), { isGranted: true });
  t.same(
    proxy.received.map(({ lane, waitingOnly = false }) => [lane, waitingOnly]),
    [
      [0, false],
      [1, true],
    ],
  );
  t.equal(proxy.client.counts.secondWay, 1);
  proxy.client.stop();
});

void t.test('a leader that does not know the tenant yet is not flooded with retries', async (t) => {
  const reply = { accepted: true, term: 1, allowances: [] };
  const proxy = new TestProxy(() => ({ afterMs: 1, reply }));
  t.match(await proxy.acquire(MAX_WAIT_MS + 5), { isGranted: false });
  t.ok(proxy.received.length <= 4, `${proxy.received.length} requests in ${MAX_WAIT_MS} ms`);
  proxy.client.stop();
});

void t.test(
  'a new leader receives a full report; a former one adds no reserve afterwards',
  async (t) => {
    let isSilent = false;
    const proxy = new TestProxy(({ address }) => {
      if (address === 'control-2')
        return isSilent ? undefined : { afterMs: 1, reply: granting(1, 0, 2) };
      return { afterMs: 1, reply: granting(1, 5) };
    });
    await proxy.acquire(20);
    proxy.address = 'control-2';
    isSilent = true;
    await proxy.acquire(250);
    const [fullReport] = proxy.received.filter(({ address }) => address === 'control-2');
    t.match(fullReport, { complete: true, demands: [{ tenant: 'ana' }] });
    // The former leader is the leader again; the other one may count on the report it received.
    proxy.address = 'control-1';
    const before = proxy.received.length;
    for (let count = 0; count < 8; count++) await proxy.acquire(20);
    const direct = proxy.received.slice(before).filter(({ address }) => address === 'control-1');
    t.ok(direct.length >= 4, 'no reserve was added, so operations are requested one by one');
    proxy.client.stop();
  },
);

void t.test(
  'a proxy process reports its age only while a single leader has answered it',
  async (t) => {
    const proxy = new TestProxy(({ address, freshTerm }) => {
      const term = address === 'control-1' ? 1 : 2;
      return { afterMs: 1, reply: { ...granting(1, 0, term), needsAll: freshTerm === 0 } };
    });
    await proxy.acquire(100);
    proxy.address = 'control-2';
    await proxy.acquire(100);
    const complete = proxy.received.filter((asked) => asked.complete);
    t.same(
      complete.map(({ address, freshMs, freshTerm }) => [address, freshMs, freshTerm]),
      [
        ['control-1', 1, 0],
        ['control-1', 42, 1],
        ['control-2', 101, 1],
      ],
      'at its start, again once it drops replies of former leaders, and with the former term to another leader',
    );
    proxy.client.stop();
  },
);

void t.test(
  'a caller that waits for an unresponsive former leader is served by the new one',
  async (t) => {
    const proxy = new TestProxy(({ address }) =>
      address === 'control-2' ? { afterMs: 2, reply: granting(2, 0, 2) } : undefined,
    );
    const first = proxy.acquire(20);
    await first;
    proxy.address = 'control-2';
    t.match(
      await proxy.acquire(10),
      { isGranted: true },
      'within 10 ms, not after the timeout of 200 ms',
    );
    proxy.client.stop();
  },
);
