/** Guards against two instances of a group of which both may become primary, by calls whose outcome is not known. */
import t from 'tap';
import { CALL_LIFETIME_MS } from '../../src/appointed/failover/pending_appointments.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { PrimaryChangeScenario, statusUpTo } from '../tools/primary_change_scenario.js';

const { AppointOutcome } = whinyoke;

/** Enough time for several attempts of a change of primary. */
const CHANGE_ATTEMPTS_MS = 2500;

/** A group whose replicas b and c hold everything, b a little more, and whose primary a is lost. */
function createGroup(): PrimaryChangeScenario {
  const group = new PrimaryChangeScenario();
  group.statuses.set('b', statusUpTo(101));
  group.statuses.set('c', statusUpTo(100));
  return group;
}

void t.test('a call without an answer binds its group to its instance', async (t) => {
  const group = createGroup();
  group.onAppoint = () => AppointOutcome.UNKNOWN;
  void group.changePrimary(100);
  group.confirmAll();
  await group.run(100);
  t.same(group.appointed, ['b']);
  const { b } = Object.fromEntries(group.statuses);
  group.statuses.delete('b');
  await group.run(CALL_LIFETIME_MS / 2);
  t.same(group.appointed, ['b'], 'b may still become primary');
  group.statuses.set('b', b!);
  group.onAppoint = (instance) => group.lead(instance);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, ['b', 'b']);
  t.match(group.catalog.group('g'), { epoch: 3, primary: 'b' });
  t.equal(
    group.catalog.pendingAppointment('g')?.calls?.length,
    1,
    'the answered one of the two calls is over',
  );
});

void t.test('once the call can no longer take effect another instance is appointed', async (t) => {
  const group = createGroup();
  group.onAppoint = () => AppointOutcome.UNKNOWN;
  void group.changePrimary(100);
  group.confirmAll();
  await group.run(100);
  group.statuses.delete('b');
  await group.run(CHANGE_ATTEMPTS_MS);
  group.onAppoint = (instance) => group.lead(instance);
  group.endCalls();
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, ['b', 'c']);
});

void t.test('a change ends without a further call once its target leads', async (t) => {
  const group = createGroup();
  group.onAppoint = (instance) => {
    group.lead(instance);
    return AppointOutcome.UNKNOWN;
  };
  void group.changePrimary(100);
  group.confirmAll();
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, ['b'], 'the platform carried the call out, its answer was lost');
  t.match(group.catalog.group('g'), { epoch: 3, primary: 'b' });
  t.equal(group.catalog.pendingAppointment('g'), undefined);
});

void t.test('the target of an earlier leader is kept without a new proof', async (t) => {
  const group = createGroup();
  group.onAppoint = () => AppointOutcome.UNKNOWN;
  void group.changePrimary(100);
  group.confirmAll();
  await group.run(100);
  // Without c, and without the confirmations, nothing is proven any more.
  group.statuses.delete('c');
  group.ledger.beginLeadership(-Infinity, group.scheduler.now - 60_000);
  group.onAppoint = (instance) => group.lead(instance);
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, ['b', 'b']);
  t.match(group.catalog.group('g'), { epoch: 3, primary: 'b' });
});

void t.test('a target that lost its log is not kept', async (t) => {
  const group = createGroup();
  group.onAppoint = () => AppointOutcome.UNKNOWN;
  void group.changePrimary(100);
  group.confirmAll();
  await group.run(100);
  group.statuses.set('b', statusUpTo(50));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, ['b']);
});

void t.test('a target that received again meanwhile is not kept without a proof', async (t) => {
  for (const born of [1000, 0]) {
    const group = new PrimaryChangeScenario(90, born);
    group.statuses.set('b', statusUpTo(101));
    group.statuses.set('c', statusUpTo(100));
    group.onAppoint = () => AppointOutcome.UNKNOWN;
    void group.changePrimary(100);
    await group.run(CHANGE_ATTEMPTS_MS);
    t.equal(group.appointed[0], 'b');
    // Both replicas start again with their logs, which lifts their fences; p2, which is cut off from control, has them
    // confirm its lease, and c alone receives its next commits.
    const before = group.appointed.length;
    group.statuses.set('b', statusUpTo(101));
    group.statuses.set('c', statusUpTo(110));
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(group.appointed.slice(before), [], 'b lacks acknowledged commits');
  }
});

void t.test('a change ends once the old primary leads again without an answer', async (t) => {
  const group = createGroup();
  group.statuses.set('a', statusUpTo(110, 'primary'));
  group.statuses.delete('c');
  group.onAppoint = (instance) => {
    group.lead(instance);
    return AppointOutcome.UNKNOWN;
  };
  void group.changePrimary(105);
  group.confirmAll();
  await group.run(2 * CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, ['a'], 'the platform carried the call out, its answer was lost');
  t.match(group.catalog.group('g'), { epoch: 3, primary: 'a' });
});

void t.test(
  'a change ends with an instance that leads, also if the old primary has ended',
  async (t) => {
    const group = createGroup();
    group.statuses.delete('c');
    group.statuses.set('b', { ...statusUpTo(101, 'primary'), term: 5 });
    group.deregister('a');
    group.end('a');
    void group.changePrimary(100);
    await group.run(CHANGE_ATTEMPTS_MS);
    t.same(group.appointed, [], 'a former leader appointed it');
    t.match(group.catalog.group('g'), { epoch: 3, primary: 'b' });
  },
);
