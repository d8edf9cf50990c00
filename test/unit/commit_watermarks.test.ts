/**
 * After a proxy or an instance was lost, what the others report proves nothing about earlier commits until the primary has
 * reported its position.
 */
import t from 'tap';
import type { EvidenceSource } from '../../src/appointed/failover/commit_watermarks.js';
import { START } from '../../src/positions/position.js';
import { PrimaryChangeScenario, statusUpTo } from '../tools/primary_change_scenario.js';

/** Enough time for several attempts of a change of primary. */
const CHANGE_ATTEMPTS_MS = 2500;
/** Enough time to learn the position of a primary that answers. */
const RENEWAL_MS = 1000;

function sequenceOf(group: PrimaryChangeScenario, source: EvidenceSource): number | undefined {
  return group.watermarks.of(group.catalog.group('g')!, source)?.sequence;
}

function loseReplica(group: PrimaryChangeScenario): void {
  group.deregister('c');
  group.end('c');
}

// Guards against the loss of a commit whose replica has left and whose proxy was restarted.
void t.test('the loss of a replica and of a proxy leaves no proof but the primary', async (t) => {
  const group = new PrimaryChangeScenario(90, 0);
  group.reportInstance('d', 0, 50);
  for (const replica of ['b', 'd']) group.statuses.set(replica, statusUpTo(100));
  loseReplica(group);
  group.restartProxy();
  void group.changePrimary();
  group.confirmAll();
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, [], 'c and p1 may have been the only ones to know of 3.101');
  group.statuses.set('a', statusUpTo(101, 'primary'));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.equal(group.appointed[0], 'a');
});

void t.test(
  'once the primary has reported its position, the others prove what is later',
  async (t) => {
    const chosenWith = async (sequence: number): Promise<string | undefined> => {
      const group = new PrimaryChangeScenario(90, 0);
      group.reportInstance('d', 0, 50);
      group.statuses.set('a', statusUpTo(101, 'primary'));
      loseReplica(group);
      await group.run(RENEWAL_MS);
      group.statuses.delete('a');
      for (const replica of ['b', 'd']) group.statuses.set(replica, statusUpTo(sequence));
      void group.changePrimary();
      await group.run(CHANGE_ATTEMPTS_MS);
      return group.appointed[0];
    };
    t.equal(await chosenWith(100), undefined, 'the primary held more');
    t.equal(await chosenWith(101), 'b');
  },
);

void t.test('after the restart of a proxy the confirmations need the watermark', async (t) => {
  const chosenWith = async (sequence: number): Promise<string | undefined> => {
    const group = new PrimaryChangeScenario(90, 0);
    group.statuses.set('a', statusUpTo(101, 'primary'));
    group.restartProxy();
    await group.run(RENEWAL_MS);
    group.statuses.delete('a');
    group.statuses.set('b', statusUpTo(sequence));
    void group.changePrimary();
    group.confirmAll();
    await group.run(CHANGE_ATTEMPTS_MS);
    return group.appointed[0];
  };
  t.equal(await chosenWith(100), undefined, 'the former incarnation may have acknowledged 3.101');
  t.equal(await chosenWith(101), 'b', 'though c does not answer');
});

void t.test('a loss concerns its own source, and each loss needs a later position', async (t) => {
  const group = new PrimaryChangeScenario();
  t.equal(sequenceOf(group, 'proxies'), 90, 'nothing was lost since the epoch began');
  t.equal(sequenceOf(group, 'replicas'), 90);
  group.restartProxy();
  t.equal(sequenceOf(group, 'proxies'), undefined);
  t.equal(sequenceOf(group, 'replicas'), 90);
  await group.run(RENEWAL_MS);
  t.equal(sequenceOf(group, 'proxies'), undefined, 'the primary does not answer');
  group.statuses.set('a', statusUpTo(101, 'primary'));
  await group.run(RENEWAL_MS);
  t.equal(sequenceOf(group, 'proxies'), 101);
  loseReplica(group);
  t.equal(sequenceOf(group, 'replicas'), undefined);
  t.equal(sequenceOf(group, 'proxies'), 101);
  group.statuses.set('a', statusUpTo(105, 'primary'));
  await group.run(RENEWAL_MS);
  t.equal(sequenceOf(group, 'replicas'), 105);
  t.equal(sequenceOf(group, 'proxies'), 101, 'a later position would only be harder to hold');
  group.apply({ removeProxy: 'p1' });
  t.equal(sequenceOf(group, 'proxies'), undefined, 'a proxy that was removed is lost as well');
  await group.run(RENEWAL_MS);
  t.equal(sequenceOf(group, 'proxies'), 105);
  group.beginNextEpoch();
  t.equal(sequenceOf(group, 'proxies'), 90, 'what the next epoch inherited');
});

void t.test(
  'positions reported by proxies count if they were requested after the loss',
  async (t) => {
    const group = new PrimaryChangeScenario();
    group.statuses.set('a', statusUpTo(200, 'primary'));
    group.reportedPosition = { term: 3, sequence: 101 };
    group.reportedAt = group.scheduler.now;
    group.restartProxy();
    await group.run(150);
    t.equal(
      sequenceOf(group, 'proxies'),
      undefined,
      'requested before this leader knew of the loss',
    );
    group.reportedAt = group.scheduler.now;
    await group.run(100);
    t.equal(sequenceOf(group, 'proxies'), 101, 'the primary was not asked');
  },
);

void t.test('only the primary of the epoch is believed', async (t) => {
  const group = new PrimaryChangeScenario();
  group.restartProxy();
  group.statuses.set('a', statusUpTo(101));
  await group.run(RENEWAL_MS);
  t.equal(sequenceOf(group, 'proxies'), undefined, 'it has stepped down');
  group.statuses.set('a', { ...statusUpTo(101, 'primary'), term: 4 });
  await group.run(RENEWAL_MS);
  t.equal(sequenceOf(group, 'proxies'), undefined, 'it leads another term');
  group.statuses.set('a', statusUpTo(80, 'primary'));
  await group.run(RENEWAL_MS);
  t.equal(sequenceOf(group, 'proxies'), undefined, 'it has restarted empty');
  group.reportInstance('a', 2000, 1);
  group.statuses.set('a', statusUpTo(101, 'primary'));
  await group.run(RENEWAL_MS);
  t.equal(sequenceOf(group, 'proxies'), undefined, 'another incarnation than that of the epoch');
});

void t.test('an epoch without an inherited position needs that of its primary', async (t) => {
  const group = new PrimaryChangeScenario(90, 0);
  const { epoch, ...entry } = group.catalog.group('g')!;
  const next = { ...entry, epoch: (epoch ?? 0) + 1, inheritedPosition: undefined };
  group.apply({ putGroup: next });
  for (const source of ['proxies', 'replicas'] as const) {
    t.equal(sequenceOf(group, source), undefined, 'it was begun by an earlier program');
  }
  group.statuses.set('a', statusUpTo(0, 'primary'));
  await group.run(RENEWAL_MS);
  for (const source of ['proxies', 'replicas'] as const) {
    t.same(group.watermarks.of(group.catalog.group('g')!, source), { ...START, term: 3 });
  }
});
