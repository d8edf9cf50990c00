/**
 * Selection and quotas of connection owners. Guards against instances without usable connections,
 * and against statements that run twice when an owner fails.
 */
import t from 'tap';
import { BackendConnectionLostError, PeerUnreachableError } from '../../src/errors/errors.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { ConnectionOwners } from '../../src/appointed/relay/connection_owners.js';
import { OwnerHealth } from '../../src/appointed/relay/owner_health.js';
import { RelayedConnection } from '../../src/appointed/relay/relayed_connection.js';
import { durationOf } from '../../src/runtime/duration.js';
import { connectionQuota } from '../../src/appointed/connections/connection_quota.js';
import type { Clock, Messenger } from '../../src/runtime/runtime.js';

const { RelayOutcome } = whinyoke;

function zonesOf(
  counts: Readonly<Record<string, number>>,
): { zone: string; addresses: string[] }[] {
  return Object.entries(counts).map(([zone, count]) => ({
    zone,
    addresses: Array.from({ length: count }, (_, index) => `${zone}:${index}`),
  }));
}

void t.test('no two proxies disagree on the connection owners of an instance', (t) => {
  const zones = zonesOf({ a: 27, b: 30, c: 25 });
  const instance = { id: 'i-7', zone: 'b', connectionLimit: 53 };
  const addresses = zones.flatMap((zone) => zone.addresses);
  const views = addresses.map((address) => {
    const owners = new ConnectionOwners(address);
    owners.updateProxies(zones);
    return owners;
  });
  const tenants = Array.from({ length: 84 }, (_, index) => `tenant-${index}`);
  const usedOwners = new Set<string>();
  for (const tenant of tenants) {
    const orders = new Set(views.map((owners) => owners.ownersFor(instance, tenant).join()));
    t.equal(orders.size, 1, `all proxies use the same order for ${tenant}`);
    const [first] = views[0]!.ownersFor(instance, tenant);
    usedOwners.add(first!);
  }
  t.equal(usedOwners.size, 2, 'tenants are spread over both owners');
  t.ok([...usedOwners].every((address) => address.startsWith('b:')));
  const quotas = views.map((owners) => owners.quotaOf(instance, addresses.length));
  const ownerQuotas = quotas.filter((quota) => quota.isOwner);
  t.equal(ownerQuotas.length, 2);
  t.ok(
    ownerQuotas.reduce((sum, { maxConnections }) => sum + maxConnections, 0) <= 53 * 0.9,
    'connections are left for standby owners',
  );
  t.end();
});

void t.test('an instance whose zone loses all proxies has one standby owner elsewhere', (t) => {
  const zones = zonesOf({ a: 27, b: 30, c: 25 });
  const instance = { id: 'i-7', zone: 'b', connectionLimit: 53 };
  const standbyOwners = ['a:0', 'b:3', 'c:9'].map((address) => {
    const owners = new ConnectionOwners(address);
    owners.updateProxies(zones);
    return owners.ownersFor(instance, 'tenant-1').filter((owner) => !owner.startsWith('b:'));
  });
  t.equal(standbyOwners[0]!.length, 1);
  t.same(standbyOwners, [standbyOwners[0], standbyOwners[0], standbyOwners[0]]);
  t.end();
});

void t.test('statements are not relayed where each proxy can have its own connections', (t) => {
  const owners = new ConnectionOwners('a:0');
  owners.updateProxies(zonesOf({ a: 6 }));
  const instance = { id: 'i', zone: 'a', connectionLimit: 34 };
  t.same(owners.ownersFor(instance, ''), []);
  t.same(owners.quotaOf(instance, 6), connectionQuota(34, 6));
  t.end();
});

void t.test(
  'proxies with a fair share below two connections use owners instead of having no connections',
  (t) => {
    // At 229 proxies and 400 connections the fair share is below two: without owners, no proxy
    // would keep a connection.
    const zones = zonesOf({ a: 80, b: 80, c: 69 });
    const instance = { id: 'i', zone: 'a', connectionLimit: 400 };
    const owners = new ConnectionOwners('a:0');
    owners.updateProxies(zones);
    const [first] = owners.ownersFor(instance, '');
    t.ok(first, 'statements are relayed through an owner');
    const owner = new ConnectionOwners(first!);
    owner.updateProxies(zones);
    const { maxConnections, idleTimeoutMs } = owner.quotaOf(instance, 229);
    t.ok(maxConnections >= 24, 'the owner has connections for all proxies');
    t.ok(idleTimeoutMs > 5000, 'the owner keeps idle connections');
    t.end();
  },
);

void t.test('an instance in a zone without proxies is reached through owners elsewhere', (t) => {
  const owners = new ConnectionOwners('a:0');
  owners.updateProxies(zonesOf({ a: 40 }));
  t.ok(owners.ownersFor({ id: 'i', zone: 'z', connectionLimit: 20 }, '').length > 0);
  t.end();
});

const FROZEN_CLOCK: Clock = { now: () => 0, setTimer: () => ({ cancel: () => undefined }) };

/** Reply of an owner, or the error if it cannot be reached. */
type OwnerAnswer = whinyoke.IRelayReply | { readonly unreachable: Error };

function connectionVia(replyByOwner: Readonly<Record<string, OwnerAnswer>>): {
  readonly connection: RelayedConnection;
  readonly sentRequests: whinyoke.IRelayRequest[];
  readonly health: OwnerHealth;
} {
  const sentRequests: whinyoke.IRelayRequest[] = [];
  const messenger: Messenger = {
    request: (address, { relayRequest }) => {
      sentRequests.push(relayRequest!);
      const answer = replyByOwner[address]!;
      if ('unreachable' in answer) return Promise.reject(answer.unreachable);
      return Promise.resolve({ relayReply: answer });
    },
    serve: () => undefined,
  };
  const health = new OwnerHealth(FROZEN_CLOCK, messenger);
  const owners = Object.keys(replyByOwner);
  const route = {
    instance: 'i',
    incarnation: 0,
    tenant: 'ana',
    priority: 1,
    objectiveMs: undefined,
    waitMs: 50,
    owners,
  };
  return { connection: new RelayedConnection(route, { messenger, health }), sentRequests, health };
}

const WRITE = { kind: 'data', id: 'q1', statement: { kind: 'write', argument: 'x' } } as const;
const SERVED = { outcome: RelayOutcome.ANSWERED, answer: { signature: 's', state: 'idle' } };

async function mayHaveRun(
  replyByOwner: Readonly<Record<string, OwnerAnswer>>,
): Promise<boolean | undefined> {
  const { connection } = connectionVia(replyByOwner);
  try {
    await connection.run(WRITE, 100);
    return undefined;
  } catch (error) {
    return (error as InstanceType<typeof BackendConnectionLostError>).sent;
  }
}

void t.test('a statement whose deadline has passed is not sent to an owner', async (t) => {
  const { connection, sentRequests } = connectionVia({ h1: SERVED });
  await t.rejects(connection.run(WRITE, -8), BackendConnectionLostError);
  t.same(sentRequests, [], 'nothing is sent');
  t.ok(connection.closed);
});

void t.test('a negative duration sent as unsigned is not used as a timeout', (t) => {
  t.equal(durationOf(undefined), 0);
  t.equal(durationOf(800), 800);
  t.equal(durationOf(4_294_967_288), undefined, 'a negative duration as an unsigned number');
  t.end();
});

void t.test('a write that an owner may have run is never sent to another owner', async (t) => {
  const unsent = { unreachable: new PeerUnreachableError('refused', { sent: false }) };
  const silent = { unreachable: new PeerUnreachableError('no answer') };
  t.equal(await mayHaveRun({ h1: SERVED }), undefined);
  t.equal(await mayHaveRun({ h1: unsent, h2: SERVED }), undefined, 'the next owner serves it');
  t.equal(await mayHaveRun({ h1: { outcome: RelayOutcome.NOT_HOME }, h2: SERVED }), undefined);
  t.equal(await mayHaveRun({ h1: unsent, h2: unsent }), false, 'nothing was sent');
  t.equal(
    await mayHaveRun({ h1: silent, h2: SERVED }),
    true,
    'a second owner must not run it again',
  );
  t.equal(await mayHaveRun({ h1: { outcome: RelayOutcome.LOST, cause: 'x' }, h2: SERVED }), true);
  t.equal(await mayHaveRun({ h1: { outcome: RelayOutcome.NOT_RUN_HERE, cause: 'full' } }), false);
});

void t.test('a transaction keeps its owner while that is marked unavailable', async (t) => {
  const open = { signature: '-', state: 'open' };
  const { connection, sentRequests, health } = connectionVia({
    h1: { outcome: RelayOutcome.ANSWERED, connection: 'k.1', answer: open },
    h2: SERVED,
  });
  await connection.run({ kind: 'set', name: 'v', value: '1' }, 100);
  t.equal(sentRequests.length, 0, 'values are sent along with the next statement');
  await connection.run({ kind: 'begin', readOnly: false }, 100);
  health.recordFailure('h1');
  await connection.run(WRITE, 100);
  t.match(sentRequests, [
    { tenant: 'ana', values: [{ name: 'v', value: '1' }] },
    { connection: 'k.1', values: [{ name: 'v', value: '1' }] },
  ]);
  connection.close();
  t.match(sentRequests.at(-1), { connection: 'k.1', closes: true });
  await t.rejects(connection.run(WRITE, 100), /closed/);
});

void t.test(
  'closing a relayed connection fails its command in flight at once instead of at the timeout',
  async (t) => {
    const messenger: Messenger = {
      request: () => new Promise(() => undefined),
      serve: () => undefined,
    };
    const health = new OwnerHealth(FROZEN_CLOCK, messenger);
    const route = {
      instance: 'i',
      incarnation: 0,
      tenant: 'ana',
      priority: 1,
      objectiveMs: undefined,
      waitMs: 50,
      owners: ['h1', 'h2'],
    };
    const connection = new RelayedConnection(route, { messenger, health });
    let closings = 0;
    connection.onClosed = () => closings++;
    const answer = connection.run(WRITE, 100);
    connection.close();
    await t.rejects(answer, /closed while the command was in flight/);
    t.equal(closings, 1);
  },
);

void t.test('no statement waits for an unavailable owner, which is probed instead', async (t) => {
  const timers: (() => void)[] = [];
  let now = 0;
  let isUnavailable = true;
  let probeCount = 0;
  const clock: Clock = {
    now: () => now,
    setTimer: (_delayMs, callback) => {
      timers.push(callback);
      return { cancel: () => undefined };
    },
  };
  const messenger: Messenger = {
    request: () => {
      probeCount++;
      return isUnavailable
        ? Promise.reject(new Error('no answer'))
        : Promise.resolve({ relayReply: {} });
    },
    serve: () => undefined,
  };
  const health = new OwnerHealth(clock, messenger);
  const tick = async (): Promise<void> => {
    now += 250;
    timers.shift()?.();
    await new Promise((resolve) => setImmediate(resolve));
  };
  health.recordFailure('h');
  for (let round = 0; round < 5; round++) {
    t.notOk(health.isAvailable('h'), 'statements skip it');
    await tick();
  }
  t.equal(probeCount, 5);
  isUnavailable = false;
  await tick();
  t.ok(health.isAvailable('h'));
  isUnavailable = true;
  health.recordFailure('h');
  now += 10_000;
  await tick();
  t.ok(health.isAvailable('h'), 'not requested for a while: the next statement tries it');
  t.equal(timers.length, 0);
});
