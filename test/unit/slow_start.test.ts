/** Slow start: the bound on what a cold instance gets, which instances are cold, who may send to them, and who is refused. */
import fc from 'fast-check';
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { InstanceTable } from '../../src/appointed/catalog/instance_table.js';
import type { SlowStart } from '../../src/appointed/catalog/route_table.js';
import { SlowStartHolders } from '../../src/appointed/control/slow_start_holders.js';
import { WarmUpMonitor } from '../../src/appointed/control/warm_up_monitor.js';
import { STALE_LEADER_MS } from '../../src/appointed/leases/lease_times.js';
import { SlowStartGate } from '../../src/appointed/placement/slow_start_gate.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import {
  MAX_REQUESTS_PER_SECOND,
  type Safeguard,
  SlowStartScenario,
  type Step,
} from '../tools/slow_start_scenario.js';

const ACTIONS: readonly Step['action'][] = [
  ...(['wait', 'wait', 'wait', 'newLeader', 'cut', 'cut', 'freeze', 'restart', 'leave'] as const),
  ...(['warm', 'cool', 'cool', 'uncertain', 'certain'] as const),
];
const STEPS = fc.array(
  fc.record({
    action: fc.constantFrom(...ACTIONS),
    proxy: fc.nat(2),
    drawn: fc.double({ min: 0, max: 1, noNaN: true }),
    durationMs: fc.integer({ min: 100, max: 2500 }),
  }),
  { minLength: 5, maxLength: 25 },
);

function rateBoundHolds(disabledSafeguard?: Safeguard): fc.IAsyncProperty<[Step[]]> {
  return fc.asyncProperty(STEPS, async (steps) => {
    const scenario = new SlowStartScenario(disabledSafeguard);
    await scenario.run(steps);
    return scenario.maxRequestsInASecond <= MAX_REQUESTS_PER_SECOND;
  });
}

void t.test('no schedule gives a cold instance more than its rate in any second', async (t) => {
  const scenario = new SlowStartScenario();
  const wait = { action: 'wait', proxy: 0, drawn: 0, durationMs: 1000 } as const;
  await scenario.run(Array.from({ length: 10 }, () => wait));
  t.equal(scenario.maxRequestsInASecond, MAX_REQUESTS_PER_SECOND, 'which is used');
  await fc.assert(rateBoundHolds(), { numRuns: 300 });
});

void t.test(
  'a proxy that this leader heard may have a later lease of a former leader',
  async (t) => {
    const scenario = new SlowStartScenario();
    const step = (action: Step['action'], durationMs: number, proxy = 0): Step => ({
      action,
      proxy,
      drawn: 0,
      durationMs,
    });
    await scenario.run([step('wait', 2200), step('newLeader', 975), step('newLeader', 600)]);
    // It asks the leader once, then the former one, until it is cut off.
    await scenario.run([step('cut', 1225, 1), step('wait', 1500), step('wait', 1000)]);
    t.ok(
      scenario.maxRequestsInASecond <= MAX_REQUESTS_PER_SECOND,
      `${scenario.maxRequestsInASecond} requests in a second`,
    );
  },
);

const SAFEGUARDS: readonly Safeguard[] = [
  'lease-from-sending',
  'window-between-holders',
  'lease-withheld',
  'former-leader-awaited',
  'window-kept',
  'leaving-stops',
];

for (const safeguard of SAFEGUARDS) {
  void t.test(`without ${safeguard} some schedule breaks the bound`, async (t) => {
    const result = await fc.check(rateBoundHolds(safeguard), {
      numRuns: 2000,
      seed: 7,
      endOnFailure: true,
    });
    t.ok(result.failed, `${result.numRuns} schedules`);
  });
}

const SLOW_START = { warmupMs: 9000, requestsPerSecond: 6 };
const RULES = { slowStartOverage: 1.5, slowStartTolerance: 2 };
const COLD = { id: 'i', group: 'g', isCold: true, holderIncarnation: 'run', holderAddress: 'p:1' };

/** The gate of one run, on a clock that the test moves. */
function newGate(incarnation: string): {
  readonly gate: SlowStartGate;
  readonly state: { now: number; slowStart: SlowStart | undefined };
  readonly sendAll: (isUrgent: boolean) => number;
} {
  const state = { now: 0, slowStart: SLOW_START as SlowStart | undefined };
  const gate = new SlowStartGate({
    clock: { now: () => state.now, setTimer: () => ({ cancel: () => undefined }) },
    log: () => undefined,
    incarnation,
    rules: RULES,
    slowStartOf: () => state.slowStart,
    isLeaving: () => false,
  });
  const sendAll = (isUrgent: boolean): number => {
    let sent = 0;
    while (sent < 100 && gate.admit(COLD, isUrgent)) sent++;
    return sent;
  };
  return { gate, state, sendAll };
}

void t.test('the holder sends the rate, and leaves a quarter of it to urgent requests', (t) => {
  const { gate, state, sendAll } = newGate('run');
  t.equal(sendAll(true), 0, 'no lease');
  gate.extendLease(3000);
  t.equal(sendAll(false), 8);
  t.same(gate.routeTo(COLD, false), { holderAddress: 'p:1', canSend: false });
  t.same(gate.routeTo(COLD, true), { holderAddress: 'p:1', canSend: true });
  t.equal(sendAll(true), 3);
  state.now = 1099;
  t.equal(sendAll(true), 0);
  state.now = 1100;
  t.equal(sendAll(true), 11);
  t.match(gate.counts, { sent: 22 });
  state.now = 2200;
  const waits = Array.from({ length: 12 }, () => gate.reserve(COLD, true));
  t.equal(waits.filter(Boolean).length, 11, 'no more wait for a connection than can be sent');
  waits[0]!();
  t.ok(gate.reserve(COLD, true), 'one of them was given up');
  t.end();
});

void t.test('a holder that is cut off from control sends nothing once its lease has ended', (t) => {
  const { gate, state, sendAll } = newGate('run');
  gate.extendLease(3000);
  state.now = 2999;
  t.equal(sendAll(true), 11);
  state.now = 5000;
  t.equal(sendAll(true), 0);
  gate.extendLease(2000);
  t.equal(sendAll(true), 0, 'an answer that comes late brings none');
  t.end();
});

void t.test('a proxy that does not hold the instance sends it nothing, and knows who does', (t) => {
  const { gate, sendAll } = newGate('other');
  gate.extendLease(3000);
  t.equal(sendAll(true), 0);
  t.same(gate.routeTo(COLD, true), { holderAddress: 'p:1', canSend: true });
  t.same(gate.routeTo({ ...COLD, holderAddress: '' }, true), { holderAddress: '', canSend: false });
  t.end();
});

void t.test('an instance that turns warm, or whose group has no rate, gets all', (t) => {
  const { gate, state, sendAll } = newGate('other');
  t.equal(gate.routeTo({ ...COLD, isCold: false }, false), undefined);
  t.ok(gate.admit({ ...COLD, isCold: false }, false));
  state.slowStart = undefined;
  t.equal(sendAll(false), 100, 'the document takes the rate away');
  state.slowStart = SLOW_START;
  t.equal(sendAll(false), 0, 'and brings it back');
  t.end();
});

/** A leader with a catalog of two proxies and a cold instance, whose proposals are committed at once. */
function newLeader(): {
  readonly catalog: Catalog;
  readonly state: { now: number };
  readonly proposals: { fail: boolean };
  readonly newHolders: () => SlowStartHolders;
  readonly apply: (command: whinyoke.ICatalogCommand) => void;
  readonly heartbeat: (
    instance: whinyoke.IInstanceEntry,
    warmupMs: number,
    isNewest?: boolean,
  ) => void;
} {
  const catalog = new Catalog();
  const state = { now: 0 };
  let index = 0;
  const clock = { now: () => state.now, setTimer: () => ({ cancel: () => undefined }) };
  const apply = (command: whinyoke.ICatalogCommand): void => {
    catalog.apply(++index, whinyoke.CatalogCommand.encode(command).finish());
  };
  const warmUps = new WarmUpMonitor(clock, catalog, () => undefined);
  const heartbeat = (instance: whinyoke.IInstanceEntry, warmupMs: number, isNewest = true): void =>
    apply({ putInstance: { ...instance, ...warmUps.evaluate(instance, warmupMs, isNewest) } });
  const proposals = { fail: false };
  const newHolders = (): SlowStartHolders => {
    const holders = new SlowStartHolders({
      clock,
      catalog,
      propose: (command) => {
        if (proposals.fail) return Promise.reject(new Error('no majority'));
        apply(command);
        return Promise.resolve(whinyoke.CatalogResult.create());
      },
      log: () => undefined,
      isLeading: () => true,
      regionOf: (zone) => REGIONS[zone],
      slowStartOf: () => SLOW_START,
    });
    holders.begin();
    return holders;
  };
  return { catalog, state, proposals, newHolders, apply, heartbeat };
}

const PROXIES = ['a', 'b'].map((id) => ({
  id,
  incarnation: `${id}1`,
  address: `${id}:1`,
  zone: 'z',
}));
const REGIONS: Readonly<Record<string, string>> = { z: 'here', y: 'here', x: 'elsewhere' };
const NEW_INSTANCE = { id: 'i', group: 'g', zone: 'z', sequence: 1, born: 500 };
const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** A leader, for long enough that no former one grants leases, that has named the holder of a cold instance. */
async function instanceWithHolder() {
  const leader = newLeader();
  leader.apply({ putProxies: { proxies: PROXIES } });
  leader.heartbeat(NEW_INSTANCE, 9000);
  leader.state.now = -STALE_LEADER_MS;
  const holders = leader.newHolders();
  leader.state.now = 0;
  for (const proxy of PROXIES) holders.recordContact(proxy, false);
  holders.assignMissingHolders();
  await settle();
  const { holder } = leader.catalog.instance('i')!;
  const [first, second] = holder === 'a' ? PROXIES : PROXIES.toReversed();
  return { ...leader, holders, first: first!, second: second! };
}

void t.test('a holder that died is followed once its lease and its window are over', async (t) => {
  const { catalog, state, holders, first, second } = await instanceWithHolder();
  t.equal(catalog.instance('i')?.holderIncarnation, first.incarnation);
  t.equal(holders.leaseFor(first), 3000);
  t.equal(holders.leaseFor(second), 0);
  for (const at of [1500, 3000, 4199]) {
    state.now = at;
    holders.recordContact(second, false);
    holders.assignMissingHolders();
    t.equal(catalog.instance('i')?.holder, first.id, `not after ${at} ms`);
  }
  state.now = 4200;
  holders.assignMissingHolders();
  t.equal(holders.leaseFor(first), 0, 'the former gets no lease while the next is being named');
  await settle();
  t.equal(catalog.instance('i')?.holder, second.id);
  t.equal(holders.leaseFor(second), 3000);
});

void t.test('an instance has a holder of its own region, or none', async (t) => {
  const leader = newLeader();
  const far = { id: 'far', incarnation: 'far1', address: 'far:1', zone: 'x' };
  const near = { id: 'near', incarnation: 'near1', address: 'near:1', zone: 'y' };
  leader.apply({ putProxies: { proxies: [far, near] } });
  leader.heartbeat(NEW_INSTANCE, 9000);
  const holders = leader.newHolders();
  holders.recordContact(far, false);
  holders.assignMissingHolders();
  await settle();
  t.equal(leader.catalog.instance('i')?.holder, '');
  holders.recordContact(near, false);
  holders.assignMissingHolders();
  await settle();
  t.equal(leader.catalog.instance('i')?.holder, 'near');
});

void t.test(
  'a new holder that may or may not be committed costs the former its lease until it is',
  async (t) => {
    const { catalog, state, holders, first, second, proposals, apply } = await instanceWithHolder();
    state.now = 4200;
    holders.recordContact(second, false);
    proposals.fail = true;
    holders.assignMissingHolders();
    await settle();
    holders.recordContact(first, false);
    t.equal(holders.leaseFor(first), 0, 'although it is back');
    proposals.fail = false;
    holders.assignMissingHolders();
    await settle();
    t.equal(catalog.instance('i')?.holder, second.id);
    proposals.fail = true;
    state.now = 8400;
    holders.recordContact(first, false);
    holders.assignMissingHolders();
    await settle();
    holders.recordContact(second, false);
    t.equal(holders.leaseFor(second), 0);
    apply({ putInstance: { ...catalog.instance('i'), state: whinyoke.InstanceState.GONE } });
    holders.assignMissingHolders();
    t.equal(
      holders.leaseFor(second),
      3000,
      'the instance is gone: nothing is left to be taken over',
    );
  },
);

void t.test('a holder that leaves is followed after a window', async (t) => {
  const { catalog, state, holders, first, second } = await instanceWithHolder();
  holders.recordContact(first, true);
  state.now = 1200;
  holders.recordContact(second, false);
  holders.assignMissingHolders();
  await settle();
  t.equal(catalog.instance('i')?.holder, second.id);
});

void t.test('a new leader renews at once, and counts on leases of its predecessor', async (t) => {
  const { catalog, state, newHolders, first, second } = await instanceWithHolder();
  state.now = 100;
  const successor = newHolders();
  t.equal(successor.leaseFor(first), 3000);
  for (const at of [4300, 5299]) {
    state.now = at;
    successor.recordContact(second, false);
    successor.assignMissingHolders();
    t.equal(catalog.instance('i')?.holder, first.id, `not after ${at} ms`);
  }
  state.now = 5300;
  successor.assignMissingHolders();
  await settle();
  t.equal(catalog.instance('i')?.holder, second.id);
});

void t.test('an instance is cold from its first heartbeat until one that tells the end', (t) => {
  const { catalog, heartbeat } = newLeader();
  heartbeat(NEW_INSTANCE, 9000);
  t.match(catalog.instance('i'), { isCold: true, coldSince: 1 });
  heartbeat({ ...NEW_INSTANCE, sequence: 2 }, 10);
  t.match(catalog.instance('i'), { isCold: true, coldSince: 1 });
  const restored = new Catalog();
  restored.restore(1, catalog.serialize());
  t.match(restored.instance('i'), { isCold: true, coldSince: 1 }, 'snapshots hold it');
  heartbeat({ ...NEW_INSTANCE, sequence: 3 }, 0);
  t.match(catalog.instance('i'), { isCold: false, coldSince: 0 });
  heartbeat({ ...NEW_INSTANCE, sequence: 4, born: 900 }, 9000);
  t.match(catalog.instance('i'), { isCold: true, coldSince: 4 }, 'born again');
  heartbeat({ id: 'j', group: 'g', zone: 'z', sequence: 1 }, 0);
  t.match(catalog.instance('j'), { isCold: false }, 'it tells no warm-up');
  t.end();
});

void t.test('a heartbeat from before an evacuation ended does not end the coldness', (t) => {
  const { catalog, state, heartbeat } = newLeader();
  heartbeat(NEW_INSTANCE, 0);
  heartbeat({ ...NEW_INSTANCE, sequence: 2 }, 500);
  t.match(catalog.instance('i'), { isCold: true, coldSince: 2 }, 'cold without a new incarnation');
  state.now = 2999;
  heartbeat({ ...NEW_INSTANCE, sequence: 3 }, 0);
  t.ok(catalog.instance('i')?.isCold, 'it may have been sent before');
  state.now = 3000;
  heartbeat({ ...NEW_INSTANCE, sequence: 3 }, 0, false);
  t.ok(catalog.instance('i')?.isCold, 'a newer one was heard');
  heartbeat({ ...NEW_INSTANCE, sequence: 4 }, 0);
  t.notOk(catalog.instance('i')?.isCold);
  t.end();
});

void t.test(
  'the end of an evacuation cools a zone, and an opinion of before changes nothing',
  (t) => {
    const table = new InstanceTable();
    table.put(1, NEW_INSTANCE);
    table.put(2, { ...NEW_INSTANCE, id: 'j', zone: 'y' });
    t.ok(table.markZoneCold('z', 7));
    t.match(table.get('i'), { isCold: true, coldSince: 7, version: 7 });
    t.notOk(table.get('j')?.isCold);
    t.ok(table.setHolder(8, { instance: 'i', holder: 'a', incarnation: 'a1', address: 'a:1' }));
    t.notOk(table.setHolder(9, { instance: 'i', incarnation: 'b1' }), 'it follows nobody');
    table.put(10, { ...NEW_INSTANCE, isCold: false, coldSince: 0 });
    t.match(table.get('i'), { isCold: true, coldSince: 7, holder: 'a' });
    table.put(11, { ...NEW_INSTANCE, isCold: false, coldSince: 7 });
    t.match(table.get('i'), { isCold: false, coldSince: 0, holder: 'a' }, 'the holder stays');
    t.notOk(table.markZoneCold('x', 12));
    t.end();
  },
);
