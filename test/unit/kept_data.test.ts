/**
 * Data folders stay readable: a process of this version opens the folder that an earlier version wrote, finds all that
 * was promised, and goes on from there.
 */
import { cpSync } from 'node:fs';
import { join } from 'node:path';
import { inflateRawSync } from 'node:zlib';
import t, { type Test } from 'tap';
import { ControlCore } from '../../src/mysql/control/control_core.js';
import { AppointedControl } from '../../src/appointed/control/appointed_control.js';
import { DEFAULT_PLACEMENT_RULES } from '../../src/appointed/placement/placement_rules.js';
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import {
  ConfigurationKeeper,
  type ConfigurationState,
} from '../../src/mysql/proxy/configuration_keeper.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { RealFolder } from '../../src/runtime/real_folder.js';
import { type Runtime, delay } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';

const { GroupPhase, InstanceState, SubmissionKind } = whinyoke;

const CONTROL_ADDRESS = '127.0.0.1:7001';
const COORDINATOR_ADDRESS = '127.0.0.1:7101';
const POLL_MS = 10;
const LIMIT_MS = 20_000;

/** Surroundings of a process that stands alone on a copy of a kept data folder. */
async function openKept(t: Test, name: string): Promise<Runtime> {
  const path = join(t.testdir({}), name);
  cpSync(join('test/fixtures', name), path, { recursive: true });
  const folder = await RealFolder.open(path);
  t.teardown(() => folder.close());
  const messenger = {
    request: () => Promise.reject(new Error('nobody is there')),
    serve: () => undefined,
  };
  return { clock: new RealClock(), random: new SeededRandom(1), messenger, folder };
}

async function waitUntil(clock: Runtime['clock'], condition: () => boolean): Promise<void> {
  const giveUpAt = clock.now() + LIMIT_MS;
  while (!condition()) {
    if (clock.now() > giveUpAt) throw new Error('the condition was not met in time');
    await delay(clock, POLL_MS);
  }
}

void t.test('a control machine of MySQL groups opens a kept folder and goes on', async (t) => {
  const runtime = await openKept(t, 'control_data_mysql');
  const options = { address: CONTROL_ADDRESS, controls: [CONTROL_ADDRESS] };
  const core = await ControlCore.open(runtime, options);
  t.teardown(() => core.stop());
  const { currentTerm } = core.node;
  t.ok(core.node.log.snapshot, 'the folder holds a snapshot');
  t.equal(currentTerm, 1, 'the vote is known');
  await core.start();
  await waitUntil(runtime.clock, () => core.node.hasQuorum && core.store.revision === 5);
  t.ok(core.node.currentTerm > currentTerm, 'no term is used twice');
  const names = core.store.inForce.map(({ name }) => name);
  t.same(names, ['a', 'c', 'd'], 'accepted documents are in force, a withdrawn one is not');
  const { submitReply: repeated } = await core.handle({
    submitRequest: { submissionId: 's2', name: 'b', document: 'not read' },
  });
  t.equal(repeated?.revision, 2, 'a submission that is sent again gets its first outcome');
  const { submitReply: next } = await core.handle({
    submitRequest: { submissionId: 's6', kind: SubmissionKind.WITHDRAW, name: 'a' },
  });
  t.equal(next?.revision, 6, 'the next change gets the next revision');
  t.same(
    core.store.recentHistory(2).map(({ revision, name, operator }) => [revision, name, operator]),
    [
      [6, 'a', ''],
      [5, 'd', 'ana'],
    ],
  );
});

void t.test(
  'a control machine of appointed primaries opens a kept folder and goes on',
  async (t) => {
    const runtime = await openKept(t, 'control_data_appointed');
    const core = await AppointedControl.open(runtime, {
      name: 'control-1',
      address: COORDINATOR_ADDRESS,
      seeds: [COORDINATOR_ADDRESS],
      isFirstStart: false,
      voterCount: 1,
      connector: { connect: () => Promise.reject(new Error('there are no instances')) },
      appointer: { prepare: () => Promise.resolve(undefined) },
      log: () => undefined,
      documents: {
        read: () => {
          throw new Error('the document is not read');
        },
      },
      quotaRules: { windowMs: 5000, overage: 0.1, tolerance: 20 },
      placementRules: DEFAULT_PLACEMENT_RULES,
    });
    t.teardown(() => core.stop());
    const { catalog, node } = core;
    t.ok(node.log.snapshot, 'the folder holds a snapshot');
    t.equal(node.log.lastIndex, 13, 'and an entry after it');
    await core.start();
    await waitUntil(runtime.clock, () => node.isReadyLeader);
    t.equal(catalog.documentVersion, 7);
    t.equal(
      inflateRawSync(catalog.document?.source ?? Buffer.alloc(0)).toString(),
      '{"routes":[]}',
    );
    t.same(
      catalog.instances.map(({ id, slots, state }) => [id, slots, state]),
      [
        ['i1', 8, InstanceState.READY],
        ['i2', 6, InstanceState.DRAINING],
      ],
    );
    const [group] = catalog.groups;
    t.match(group, { group: 'orders', epoch: 2, phase: GroupPhase.CHANGING, target: 'i2' });
    t.match(group, { primary: 'i1', term: 3, planned: true });
    t.same(
      catalog.proxies.map(({ id, incarnation }) => [id, incarnation]),
      [
        ['p2', 'r2'],
        ['p3', 'r3'],
      ],
    );
    t.match(catalog.appointmentLeaseEntry, { holder: 'control-1', token: 1 });
    const told = { id: 'i1', group: 'orders', address: 'i1:1', sequence: 1000 };
    await core.submit({ beat: { instance: { ...told, born: 5 } } });
    t.match(catalog.instance('i1'), { born: 5, incarnation: 0 }, 'it begins to tell its start');
    await core.submit({ beat: { instance: { ...told, born: 6, sequence: 1 } } });
    t.match(catalog.instance('i1'), { born: 6, incarnation: 1 }, 'and starts again');
    const next = await node.propose(
      whinyoke.CatalogCommand.encode({ takeDuty: { holder: 'control-2' } }).finish(),
    );
    t.equal(whinyoke.CatalogResult.decode(next).token, 2, 'no fencing token is given twice');
  },
);

void t.test('a proxy of MySQL groups puts a kept configuration in force', async (t) => {
  const { folder } = await openKept(t, 'proxy_data_mysql');
  const states: ConfigurationState[] = [];
  const keeper = new ConfigurationKeeper(folder, ProtectionSet.all, (state) => states.push(state));
  await keeper.load();
  t.equal(keeper.revision, 5);
  t.same(
    states.at(-1)?.documents.map(({ name, revision }) => [name, revision]),
    [
      ['a', 2],
      ['c', 4],
    ],
  );
});
