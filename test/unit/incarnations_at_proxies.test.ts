/** Guards against proxies that use a restarted, empty instance as if it were its predecessor. */
import t from 'tap';
import { encodeRelayCommand } from '../../src/appointed/relay/relay_codec.js';
import { ShutdownDeadline } from '../../src/appointed/routing/shutdown_deadline.js';
import { RelayServer } from '../../src/appointed/relay/relay_server.js';
import type { DocumentInForce } from '../../src/appointed/proxy/document_in_force.js';
import { FleetDirectory } from '../../src/appointed/proxy/fleet_directory.js';
import { PrimaryPositions } from '../../src/appointed/proxy/primary_positions.js';
import type { ProxyContext } from '../../src/appointed/proxy/proxy_context.js';
import { DEFAULT_PLACEMENT_RULES } from '../../src/appointed/placement/placement_rules.js';
import { SlowStartGate } from '../../src/appointed/placement/slow_start_gate.js';
import { EvacuatedZones } from '../../src/appointed/placement/evacuated_zones.js';
import { ProxyInstances } from '../../src/appointed/proxy/proxy_instances.js';
import { TenantDirectory } from '../../src/appointed/tenancy/tenant.js';
import { PrimaryHealthTrackers } from '../../src/appointed/trust/primary_health_trackers.js';
import { PrimaryLeases } from '../../src/appointed/trust/primary_leases.js';
import { ReplicaLeaseConfirmer } from '../../src/appointed/trust/replica_lease_confirmer.js';
import type { InstanceAnswer } from '../../src/appointed/instance/instance_connection.js';
import { type Position, START } from '../../src/positions/position.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import type { Clock, Runtime } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { FakeConnection } from '../tools/fake_connection.js';
import { statusUpTo } from '../tools/primary_change_scenario.js';

const { GroupPhase, PrimaryHealth, RelayOutcome } = whinyoke;
const ANY_TENANT_REQUEST = { tenant: '', values: new Map<string, string>(), priority: 0 };
const WAIT_MS = 100;
const LEASE_MS = 3000;

/** A proxy with a lease on instance a of group g, whose replica is b; connections report `position`. */
function createProxy(position: Position) {
  const connections: FakeConnection[] = [];
  const events: string[] = [];
  const connector = {
    connect: () => {
      const connection = new FakeConnection();
      connections.push(connection);
      return Promise.resolve({ connection, position });
    },
  };
  const clock = { now: () => 0, setTimer: () => ({ cancel: () => undefined }) };
  const runtime = {
    clock,
    random: new SeededRandom(1),
    messenger: { request: () => Promise.reject(new Error('unused')), serve: () => undefined },
  } as unknown as Runtime;
  const limits = { group: 'g', connectionLimit: 8 };
  const table = { limitsByGroup: new Map([['g', limits]]), tenants: new TenantDirectory([]) };
  const leases = new PrimaryLeases();
  const primaryHealth = new PrimaryHealthTrackers(leases);
  const log = ({ name }: { name: string }): void => void events.push(name);
  const instances = new ProxyInstances({
    runtime,
    ownAddress: 'p:1',
    regionByZone: new Map(),
    connector,
    log,
    document: { table } as unknown as DocumentInForce,
    fleet: new FleetDirectory(),
    slowStarts: warmGate(clock),
    evacuatedZones: new EvacuatedZones(Infinity, () => undefined),
    leases,
    primaryHealth,
    positions: new PrimaryPositions(clock, leases),
  });
  const beginEpoch = (epoch: number, primaryIncarnation: number): void => {
    const entry = { group: 'g', epoch, phase: GroupPhase.STEADY, primary: 'a', term: 3 };
    const leastPosition = { term: 3, sequence: 90 };
    leases.update([{ ...entry, primaryIncarnation, leastPosition }], 0);
    leases.extendAll(LEASE_MS);
  };
  const updateInstance = (id: string, incarnation: number): void =>
    instances.adopt({ instances: [{ id, group: 'g', address: `${id}:1`, incarnation }] });
  updateInstance('a', 0);
  updateInstance('b', 0);
  beginEpoch(1, 0);
  return {
    clock,
    connections,
    events,
    instances,
    leases,
    primaryHealth,
    beginEpoch,
    updateInstance,
    log,
  };
}

/** Slow-start gate for instances that are warm at once. */
function warmGate(clock: Clock): SlowStartGate {
  return new SlowStartGate({
    clock,
    log: () => undefined,
    incarnation: 'run',
    rules: DEFAULT_PLACEMENT_RULES,
    slowStartOf: () => undefined,
    isLeaving: () => false,
  });
}

void t.test(
  'connections and load figures of an incarnation end when its instance restarts',
  async (t) => {
    const { events, instances, leases, updateInstance } = createProxy({ term: 3, sequence: 95 });
    const former = instances.connectionsTo('b')!;
    const inUse = await former.acquire(ANY_TENANT_REQUEST, WAIT_MS);
    former.load.recordFailure(0);
    updateInstance('b', 1);
    t.ok(inUse.connection.closed, 'connections in use are closed, too');
    const present = instances.connectionsTo('b')!;
    t.not(present, former);
    t.notOk(present.load.isEjected(1));
    await t.rejects(
      former.acquire(ANY_TENANT_REQUEST, WAIT_MS),
      'the pool of the former incarnation opens no connection',
    );
    t.ok(events.includes('instance_replaced'));
    t.ok(leases.hasLease(0), 'the lease on the primary, another instance, continues');
    updateInstance('b', 1);
    t.equal(instances.connectionsTo('b'), present, 'the same incarnation keeps its connections');
  },
);

void t.test('a restarted primary gets no lease in its epoch', (t) => {
  const { leases, beginEpoch, updateInstance } = createProxy(START);
  updateInstance('a', 1);
  t.notOk(leases.accepts('g', 1, 0), 'its answers are not valid');
  leases.extendAll(LEASE_MS);
  leases.extend('g', 1, LEASE_MS);
  t.notOk(leases.hasLease(0), 'neither control nor replicas extend it');
  beginEpoch(3, 1);
  t.ok(leases.hasLease(0), 'the next epoch is for the new incarnation');
  t.end();
});

void t.test('a primary that accepts a connection with an empty log loses its lease', async (t) => {
  const { instances, leases, primaryHealth, clock } = createProxy(START);
  await instances.connectionsTo('a')!.acquire(ANY_TENANT_REQUEST, WAIT_MS);
  t.notOk(leases.hasLease(0));
  t.equal(primaryHealth.of('g', 1).healthReport(clock.now())?.health, PrimaryHealth.NOT_PRIMARY);
});

void t.test('a primary whose applied position is slightly behind keeps its lease', async (t) => {
  const { instances, leases } = createProxy({ term: 3, sequence: 89 });
  await instances.connectionsTo('a')!.acquire(ANY_TENANT_REQUEST, WAIT_MS);
  t.ok(leases.hasLease(0), 'commits received but not applied yet are not lost');
});

void t.test('a replica that restarts while it is asked confirms no lease', async (t) => {
  const { clock, leases, instances, updateInstance, log, connections } = createProxy({
    term: 3,
    sequence: 95,
  });
  const status = statusUpTo(95);
  const answer: InstanceAnswer = { rows: [], signature: '-', state: 'idle', status };
  const confirmer = new ReplicaLeaseConfirmer({
    clock,
    leases,
    log,
    replicasOf: (group) => instances.replicasOf(group),
  });
  const pool = instances.localPool('b')!;
  pool.release(await pool.acquire(ANY_TENANT_REQUEST, WAIT_MS));
  let reply: (given: InstanceAnswer) => void = () => undefined;
  const answered = new Promise<InstanceAnswer>((resolve) => (reply = resolve));
  connections[0]!.run = () => answered;
  confirmer.maintain(2000);
  await new Promise(setImmediate);
  updateInstance('b', 1);
  reply(answer);
  await new Promise(setImmediate);
  t.notOk(leases.accepts('g', 1, LEASE_MS), 'the lease was not extended');
  t.ok(leases.accepts('g', 1, LEASE_MS - 1));
});

void t.test('a connection owner refuses commands for another incarnation', async (t) => {
  const { clock, instances, leases, updateInstance, log } = createProxy(START);
  const shutdown = new ShutdownDeadline(clock);
  const context = { clock, leases, log, shutdown } as unknown as ProxyContext;
  const server = new RelayServer(context, (id) => instances.localPool(id), 'run');
  updateInstance('b', 2);
  const outcomeFor = async (instanceIncarnation: number): Promise<string> => {
    const command = encodeRelayCommand({ kind: 'status' });
    const times = { waitMs: WAIT_MS, timeoutMs: WAIT_MS };
    const request = { instance: 'b', instanceIncarnation, command, ...times, anyTenant: true };
    const { outcome, cause } = await server.handle(request, false);
    return `${RelayOutcome[outcome!]} ${cause ?? ''}`;
  };
  t.match(await outcomeFor(1), /NOT_RUN_HERE another incarnation/);
  t.match(await outcomeFor(3), /NOT_RUN_HERE another incarnation/);
  t.notMatch(await outcomeFor(2), /another incarnation/);
  t.notMatch(
    await outcomeFor(0),
    /another incarnation/,
    'a proxy of an older version names no incarnation',
  );
  updateInstance('a', 1);
  const command = encodeRelayCommand({ kind: 'status' });
  const request = { instance: 'a', command, waitMs: WAIT_MS, timeoutMs: WAIT_MS, anyTenant: true };
  const { outcome, cause } = await server.handle(request, false);
  t.match(`${RelayOutcome[outcome!]} ${cause}`, 'NOT_RUN_HERE the primary started again');
});
