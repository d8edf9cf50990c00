/** Slow start: the request rate of cold instances, which instances are cold, and which proxy may send to them. */
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

void t.test(
  'a cold instance never receives more than its rate in any second, in random schedules',
  async (t) => {
    const scenario = new SlowStartScenario();
    const wait = { action: 'wait', proxy: 0, drawn: 0, durationMs: 1000 } as const;
    await scenario.run(Array.from({ length: 10 }, () => wait));
    t.equal(scenario.maxRequestsInASecond, MAX_REQUESTS_PER_SECOND, 'the full rate is used');
    await fc.assert(rateBoundHolds(), { numRuns: 300 });
  },
);

void t.test(
  'a new leader does not overlook a later lease granted by a former leader',
  async (t) => {
    const scenario = new SlowStartScenario();
    const step = (action: Step['action'], durationMs: number, proxy = 0): Step => ({
      action,
      proxy,
      drawn: 0,
      durationMs,
    });
    await scenario.run([step('wait', 2200), step('newLeader', 975), step('newLeader', 600)]);
    // The proxy contacts the leader once, then the former leader, until it is partitioned.
    await scenario.run([step('cut', 1225, 1), step('wait', 1500), step('wait', 1000)]);
    t.ok(
      scenario.maxRequestsInASecond <= MAX_REQUESTS_PER_SECOND,
      `${scenario.maxRequestsInASecond} requests in one second`,
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
  void t.test(`the scenario detects a missing safeguard: ${safeguard}`, async (t) => {
    const result = await fc.check(rateBoundHolds(safeguard), {
      numRuns: 2000,
      seed: 7,
      endOnFailure: true,
    });
    t.ok(result.failed, `a violation is expected; ${result.numRuns} schedules were run`);
  });
}

const SLOW_START = { warmupMs: 9000, requestsPerSecond: 6 };
const RULES = { slowStartOverage: 1.5, slowStartTolerance: 2 };
const COLD = { id: 'i', group: 'g', isCold: true, holderIncarnation: 'run', holderAddress: 'p:1' };

/** A gate of one proxy incarnation with a manual clock. */
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

void t.test('non-urgent requests do not use up the rate of a cold instance', (t) => {
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
  t.equal(
    waits.filter(Boolean).length,
    11,
    'no more requests wait for a connection than may be sent',
  );
  waits[0]!();
  t.ok(gate.reserve(COLD, true), 'a cancelled reservation is available again');
  t.end();
});

void t.test(
  'a holder that is partitioned from control sends nothing after its lease has expired',
  (t) => {
    const { gate, state, sendAll } = newGate('run');
    gate.extendLease(3000);
    state.now = 2999;
    t.equal(sendAll(true), 11);
    state.now = 5000;
    t.equal(sendAll(true), 0);
    gate.extendLease(2000);
    t.equal(sendAll(true), 0, 'a late reply does not extend the lease');
    t.end();
  },
);

void t.test('a proxy that is not the holder sends nothing to a cold instance', (t) => {
  const { gate, sendAll } = newGate('other');
  gate.extendLease(3000);
  t.equal(sendAll(true), 0);
  t.same(gate.routeTo(COLD, true), { holderAddress: 'p:1', canSend: true });
  t.same(gate.routeTo({ ...COLD, holderAddress: '' }, true), { holderAddress: '', canSend: false });
  t.end();
});

void t.test('requests to a warm instance, or to a group without a rate, are not limited', (t) => {
  const { gate, state, sendAll } = newGate('other');
  t.equal(gate.routeTo({ ...COLD, isCold: false }, false), undefined);
  t.ok(gate.admit({ ...COLD, isCold: false }, false));
  state.slowStart = undefined;
  t.equal(sendAll(false), 100, 'the document no longer sets a rate');
  state.slowStart = SLOW_START;
  t.equal(sendAll(false), 0, 'the document sets a rate again');
  t.end();
});

/** A leader with a catalog; its proposals are committed immediately, or fail on demand. */
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

/** An established leader that has named the holder of a cold instance; no former leader grants leases any more. */
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

void t.test(
  'a failed holder is not replaced before its lease and its window have ended',
  async (t) => {
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
    t.equal(
      holders.leaseFor(first),
      0,
      'the former holder gets no lease while its successor is being named',
    );
    await settle();
    t.equal(catalog.instance('i')?.holder, second.id);
    t.equal(holders.leaseFor(second), 3000);
  },
);

void t.test('a proxy in another region does not become the holder of an instance', async (t) => {
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
  'the former holder gets no lease while the entry of its successor may still be committed',
  async (t) => {
    const { catalog, state, holders, first, second, proposals, apply } = await instanceWithHolder();
    state.now = 4200;
    holders.recordContact(second, false);
    proposals.fail = true;
    holders.assignMissingHolders();
    await settle();
    holders.recordContact(first, false);
    t.equal(holders.leaseFor(first), 0, 'the former holder is in contact again');
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
      'the instance is gone, so the pending change no longer matters',
    );
  },
);

void t.test('a holder that shuts down is not replaced before its window has ended', async (t) => {
  const { catalog, state, holders, first, second } = await instanceWithHolder();
  holders.recordContact(first, true);
  state.now = 1200;
  holders.recordContact(second, false);
  holders.assignMissingHolders();
  await settle();
  t.equal(catalog.instance('i')?.holder, second.id);
});

void t.test(
  'a new leader renews leases immediately, and does not ignore those of its predecessor',
  async (t) => {
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
  },
);

void t.test('an instance stays cold until a heartbeat reports the end of its warm-up', (t) => {
  const { catalog, heartbeat } = newLeader();
  heartbeat(NEW_INSTANCE, 9000);
  t.match(catalog.instance('i'), { isCold: true, coldSince: 1 });
  heartbeat({ ...NEW_INSTANCE, sequence: 2 }, 10);
  t.match(catalog.instance('i'), { isCold: true, coldSince: 1 });
  const restored = new Catalog();
  restored.restore(1, catalog.serialize());
  t.match(restored.instance('i'), { isCold: true, coldSince: 1 }, 'snapshots contain it');
  heartbeat({ ...NEW_INSTANCE, sequence: 3 }, 0);
  t.match(catalog.instance('i'), { isCold: false, coldSince: 0 });
  heartbeat({ ...NEW_INSTANCE, sequence: 4, born: 900 }, 9000);
  t.match(
    catalog.instance('i'),
    { isCold: true, coldSince: 4 },
    'a restarted instance is cold again',
  );
  heartbeat({ id: 'j', group: 'g', zone: 'z', sequence: 1 }, 0);
  t.match(catalog.instance('j'), { isCold: false }, 'the heartbeat reports no warm-up');
  t.end();
});

void t.test('a heartbeat sent before the end of an evacuation does not end slow start', (t) => {
  const { catalog, state, heartbeat } = newLeader();
  heartbeat(NEW_INSTANCE, 0);
  heartbeat({ ...NEW_INSTANCE, sequence: 2 }, 500);
  t.match(catalog.instance('i'), { isCold: true, coldSince: 2 }, 'cold without a new incarnation');
  state.now = 2999;
  heartbeat({ ...NEW_INSTANCE, sequence: 3 }, 0);
  t.ok(catalog.instance('i')?.isCold, 'the heartbeat may have been sent before');
  state.now = 3000;
  heartbeat({ ...NEW_INSTANCE, sequence: 3 }, 0, false);
  t.ok(catalog.instance('i')?.isCold, 'a newer heartbeat was received');
  heartbeat({ ...NEW_INSTANCE, sequence: 4 }, 0);
  t.notOk(catalog.instance('i')?.isCold);
  t.end();
});

void t.test(
  'an entry from before the end of an evacuation does not make its instances warm',
  (t) => {
    const table = new InstanceTable();
    table.put(1, NEW_INSTANCE);
    table.put(2, { ...NEW_INSTANCE, id: 'j', zone: 'y' });
    t.ok(table.markZoneCold('z', 7));
    t.match(table.get('i'), { isCold: true, coldSince: 7, version: 7 });
    t.notOk(table.get('j')?.isCold);
    t.ok(table.setHolder(8, { instance: 'i', holder: 'a', incarnation: 'a1', address: 'a:1' }));
    t.notOk(
      table.setHolder(9, { instance: 'i', incarnation: 'b1' }),
      'the change names no predecessor',
    );
    table.put(10, { ...NEW_INSTANCE, isCold: false, coldSince: 0 });
    t.match(table.get('i'), { isCold: true, coldSince: 7, holder: 'a' });
    table.put(11, { ...NEW_INSTANCE, isCold: false, coldSince: 7 });
    t.match(table.get('i'), { isCold: false, coldSince: 0, holder: 'a' }, 'the holder is kept');
    t.notOk(table.markZoneCold('x', 12));
    t.end();
  },
);
