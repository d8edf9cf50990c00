/** Guards the decisions of a change of primary: leases, ledger, health reports, catalog, membership. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { documentOf, inflateSource } from '../../src/appointed/catalog/document_source.js';
import { nextMembership } from '../../src/consensus/elastic_membership.js';
import { Membership } from '../../src/consensus/membership.js';
import { FailoverController } from '../../src/appointed/failover/failover_controller.js';
import { InstanceMonitor } from '../../src/appointed/failover/instance_monitor.js';
import {
  type FencedReplica,
  appointmentObjection,
} from '../../src/appointed/failover/appointment_fence.js';
import { LeaseLedger, type RevocationState } from '../../src/appointed/failover/lease_ledger.js';
import type { PrimaryChangerContext } from '../../src/appointed/failover/primary_changer.js';
import { PrimaryHealthReports } from '../../src/appointed/failover/primary_health_reports.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import type { InstanceStatus } from '../../src/appointed/instance/instance_connection.js';
import { STALE_LEADER_MS } from '../../src/appointed/leases/lease_times.js';
import {
  MAX_REPLICA_LEASE_SILENCE_MS,
  REPLICA_LEASE_MS,
  replicaLeaseObjection,
} from '../../src/appointed/leases/replica_lease.js';
import { PrimaryLeases } from '../../src/appointed/trust/primary_leases.js';
import { tableWithGroup } from '../tools/route_table.js';

const { GroupPhase, InstanceRole, InstanceState, PrimaryHealth } = whinyoke;

function statusAt(sequence: number, term = 3): InstanceStatus {
  return { role: 'replica', term, received: { term, sequence }, fencedTerm: term + 1, lagMs: 0 };
}

const PROXIES = [
  { id: 'p1', incarnation: 'x' },
  { id: 'p2', incarnation: 'y' },
];

void t.test('a lease ends only by confirmation of the same incarnation or by expiry', (t) => {
  const ledger = new LeaseLedger();
  ledger.beginLeadership(-Infinity, 0);
  for (const proxy of PROXIES) ledger.grant('g', proxy, 3000);
  t.notOk(ledger.revocationState('g', 2, PROXIES, 1000).isComplete);
  ledger.confirm(PROXIES[0]!, {
    group: 'g',
    epoch: 2,
    hasPosition: true,
    position: { term: 1, sequence: 5 },
  });
  t.notOk(ledger.revocationState('g', 2, PROXIES, 1000).isComplete);
  t.match(ledger.revocationState('g', 2, PROXIES, 3000), {
    isComplete: true,
    isConfirmedByAll: false,
    acknowledged: { term: 1, sequence: 5 },
  });
  const restarted = [PROXIES[0]!, { id: 'p2', incarnation: 'z' }];
  t.ok(ledger.revocationState('g', 2, restarted, 1000).isComplete, 'no lease after a restart');
  ledger.confirm(restarted[1]!, { group: 'g', epoch: 1 });
  t.notOk(ledger.revocationState('g', 2, restarted, 1000).isConfirmedByAll, 'an older epoch');
  ledger.beginLeadership(9000, 5000);
  t.notOk(
    ledger.revocationState('g', 2, restarted, 8999).isComplete,
    'an earlier leader may have granted a lease',
  );
  t.end();
});

void t.test('no replica is appointed while an unreachable proxy may use the old primary', (t) => {
  const proxies = { knownVersion: 20, trustUntil: 50_000 };
  const objection = (replica: Partial<FencedReplica>, now: number): string | undefined =>
    appointmentObjection({ placedSince: 20, fencedSince: 1000, ...replica }, proxies, now);
  const longEnough = 1000 + REPLICA_LEASE_MS + 200;
  t.equal(objection({}, longEnough), undefined);
  t.match(objection({}, 1000 + REPLICA_LEASE_MS), /only/, 'a lease it confirmed may be valid');
  t.match(objection({ fencedSince: undefined }, longEnough), /not fenced/);
  t.match(objection({ placedSince: 21 }, longEnough), /not know/, 'the proxies would not ask it');
  t.equal(objection({ placedSince: 21 }, 50_001), undefined, 'they have stopped asking');
  t.end();
});

void t.test('the ledger reports the oldest catalog version known to unconfirmed proxies', (t) => {
  const ledger = new LeaseLedger();
  ledger.beginLeadership(-Infinity, 100);
  const state = (): RevocationState => ledger.revocationState('g', 2, PROXIES, 3000);
  t.match(state().unconfirmed, { knownVersion: 0 }, 'no contact yet');
  ledger.recordContact(PROXIES[0]!, 7, 1000);
  ledger.recordContact(PROXIES[1]!, 9, 2000);
  t.equal(state().unconfirmed.knownVersion, 7);
  ledger.confirm(PROXIES[0]!, { group: 'g', epoch: 2 });
  t.equal(state().unconfirmed.knownVersion, 9);
  t.ok(state().unconfirmed.trustUntil > 2000 + MAX_REPLICA_LEASE_SILENCE_MS);
  t.end();
});

void t.test('a proxy may have been in contact with a former leader after this one began', (t) => {
  const ledger = new LeaseLedger();
  ledger.beginLeadership(-Infinity, 5000);
  const trustUntil = (): number =>
    ledger.revocationState('g', 2, PROXIES, 5000).unconfirmed.trustUntil;
  const leastTrust = 5000 + STALE_LEADER_MS + MAX_REPLICA_LEASE_SILENCE_MS + REPLICA_LEASE_MS;
  t.ok(trustUntil() > leastTrust, 'it may have asked the former leader just before that stopped');
  for (const proxy of PROXIES) ledger.recordContact(proxy, 7, 5001);
  t.ok(trustUntil() > leastTrust, 'also after it asked this one');
  t.end();
});

void t.test('a fenced replica, a primary or a newer term does not confirm a lease', (t) => {
  const answer = (change: Partial<InstanceStatus>): string | undefined =>
    replicaLeaseObjection(
      { instance: 'a', status: { ...statusAt(5), fencedTerm: 0, ...change } },
      3,
    );
  t.equal(answer({}), undefined);
  t.equal(answer({ fencedTerm: 3 }), undefined, 'a fence of an earlier change does not count');
  t.match(answer({ fencedTerm: 4 }), /fenced/);
  t.match(answer({ term: 4 }), /follows/);
  t.match(answer({ role: 'primary' }), /primary/);
  t.match(replicaLeaseObjection({ instance: 'a', problem: 'timeout' }, 3), /timeout/);
  t.end();
});

void t.test('replicas extend only a lease that control has granted on the current epoch', (t) => {
  const leases = new PrimaryLeases();
  leases.update([groupEntry(1)], 0);
  leases.extend('g', 1, 5000);
  t.notOk(leases.hasLease(100), 'control has granted no lease');
  t.same(leases.leasedGroups(), []);
  leases.extendAll(1000);
  t.same(leases.leasedGroups(), ['g']);
  leases.extend('g', 1, 5000);
  t.ok(leases.accepts('g', 1, 4999));
  leases.update([groupEntry(2, GroupPhase.CHANGING)], 2000);
  leases.extend('g', 2, 9000);
  leases.extend('g', 1, 9000);
  t.same(leases.leasedGroups(), []);
  t.notOk(leases.accepts('g', 2, 2001));
  t.notOk(leases.accepts('g', 1, 5001), 'an answer in flight is valid until the former lease ends');
  t.end();
});

function groupEntry(epoch: number, phase = GroupPhase.STEADY): whinyoke.IGroupEntry {
  return { group: 'g', epoch, phase, primary: 'i-1', term: 1 };
}

void t.test('a proxy does not use a primary without a lease on the newest epoch', (t) => {
  const leases = new PrimaryLeases();
  leases.update([groupEntry(1)], 0);
  t.equal(leases.primaryOf('g', 0), undefined, 'no lease yet');
  leases.extendAll(3000);
  t.match(leases.primaryOf('g', 2900), { instance: 'i-1', epoch: 1 });
  t.equal(leases.primaryOf('g', 2950), undefined, 'an answer might arrive after the lease');
  t.ok(leases.accepts('g', 1, 2999));
  t.notOk(leases.accepts('g', 1, 3000));
  leases.onCommitStarted('g');
  leases.recordAcknowledged('g', { term: 1, sequence: 4 });
  leases.update([{ ...groupEntry(2, GroupPhase.CHANGING), planned: true }], 1000);
  t.equal(leases.primaryOf('g', 1000), undefined, 'no new statement is sent');
  t.ok(leases.accepts('g', 1, 1100), 'an answer in flight is still valid');
  t.same(leases.endRevokedEpochs(1100), [], 'the confirmation waits for the commit in flight');
  t.notOk(leases.hasDueRevocation(1100));
  leases.update([groupEntry(1)], 1100);
  leases.extendAll(9000);
  t.equal(leases.entryOf('g')?.epoch, 2, 'an older reply changes nothing');
  leases.onCommitEnded('g');
  t.ok(leases.hasDueRevocation(1200));
  t.same(leases.endRevokedEpochs(1200), ['g']);
  const confirmation = { group: 'g', epoch: 2, position: { term: 1, sequence: 4 } };
  t.match(leases.confirmations(), [confirmation]);
  t.notOk(leases.accepts('g', 1, 1200), 'no answer is valid after the confirmation');
  leases.recordConfirmed('g', 2);
  t.same(leases.endRevokedEpochs(1300), []);
  t.match(leases.confirmations(), [confirmation], 'repeated, since a new leader does not know it');
  leases.extendAll(9000);
  t.equal(leases.primaryOf('g', 1300), undefined, 'a changing epoch gets no lease');
  t.end();
});

void t.test('a hanging commit delays a revocation only for a bounded time', (t) => {
  const revoking = (planned: boolean): PrimaryLeases => {
    const leases = new PrimaryLeases();
    leases.update([groupEntry(1)], 0);
    leases.extendAll(3000);
    leases.onCommitStarted('g');
    leases.update([{ ...groupEntry(2, GroupPhase.CHANGING), planned }], 1000);
    return leases;
  };
  const planned = revoking(true);
  t.equal(planned.endRevokedEpochs(1200).length, 0);
  t.equal(planned.endRevokedEpochs(1300).length, 1);
  t.notOk(planned.accepts('g', 1, 1300));
  const unplanned = revoking(false);
  t.equal(unplanned.endRevokedEpochs(1050).length, 0);
  t.equal(unplanned.endRevokedEpochs(1100).length, 1, 'a failed primary gets less time');
  t.notOk(unplanned.accepts('g', 1, 1100));
  t.end();
});

void t.test('health reports count by duration, epoch and age', (t) => {
  const reports = new PrimaryHealthReports();
  const report = (proxy: string, health: whinyoke.PrimaryHealth, sinceMs: number): void =>
    reports.record(proxy, [{ group: 'g', epoch: 1, health, sinceMs }], 1000);
  report('p1', PrimaryHealth.REFUSING, 100);
  report('p2', PrimaryHealth.HEALTHY, 10);
  report('p3', PrimaryHealth.SILENT, 100);
  t.match(reports.summary('g', 1, 1000), { unhealthy: 1, healthy: 1 }, 'silence must last');
  t.match(reports.summary('g', 1, 1500), { unhealthy: 2, healthy: 1 });
  t.match(reports.summary('g', 2, 1500), { unhealthy: 0, healthy: 0 }, 'reports are on one epoch');
  t.match(reports.summary('g', 1, 9000), { unhealthy: 0, healthy: 0 }, 'old reports do not count');
  t.end();
});

void t.test('a late heartbeat is ignored, a restart is not taken for one', (t) => {
  const monitor = new InstanceMonitor();
  const sendHeartbeat = (sequence: number, role: whinyoke.InstanceRole, now: number): void =>
    monitor.recordHeartbeat({ instance: { id: 'i', sequence }, role }, now);
  sendHeartbeat(5, InstanceRole.PRIMARY, 0);
  sendHeartbeat(4, InstanceRole.REPLICA, 100);
  t.equal(monitor.roleOf('i'), InstanceRole.PRIMARY);
  t.equal(monitor.heartbeatAgeMs('i', 1000), 1000);
  sendHeartbeat(1, InstanceRole.REPLICA, 6000);
  t.equal(monitor.roleOf('i'), InstanceRole.REPLICA);
  t.end();
});

void t.test('the catalog rejects older documents, skipped epochs and late heartbeats', (t) => {
  const catalog = new Catalog();
  let index = 0;
  const apply = (command: whinyoke.ICatalogCommand): whinyoke.CatalogResult => {
    index++;
    const bytes = catalog.apply(index, whinyoke.CatalogCommand.encode(command).finish());
    return whinyoke.CatalogResult.decode(bytes);
  };
  t.ok(apply({ putDocument: documentOf(7, 'seven') }).changed);
  t.notOk(apply({ putDocument: documentOf(7, 'other') }).changed);
  t.notOk(apply({ putDocument: documentOf(6, 'six') }).changed);
  t.equal(inflateSource(catalog.document!), 'seven');
  t.notOk(apply({}).changed, 'a read barrier changes nothing');
  t.notOk(apply({ putGroup: groupEntry(2) }).changed);
  t.ok(apply({ putGroup: groupEntry(1) }).changed);
  t.ok(apply({ putGroup: groupEntry(2, GroupPhase.CHANGING) }).changed);
  t.notOk(apply({ putGroup: groupEntry(2) }).changed, 'another leader was first');
  const steadySince = catalog.group('g')!.steadySince!;
  t.ok(apply({ putProxy: PROXIES[0]! }).changed);
  t.ok(catalog.proxyLossVersion < steadySince, 'a first incarnation loses nothing');
  apply({ putProxy: { id: 'p1', incarnation: 'next' } });
  t.ok(catalog.proxyLossVersion > steadySince, 'a restarted proxy has lost what it acknowledged');
  const instance = { id: 'i', group: 'g', state: InstanceState.READY, sequence: 4 };
  t.ok(apply({ putInstance: instance }).changed);
  t.notOk(apply({ putInstance: { ...instance, sequence: 3 } }).changed, 'an older sequence number');
  t.ok(apply({ putInstance: { ...instance, state: InstanceState.GONE } }).changed);
  t.notOk(apply({ putInstance: { ...instance, sequence: 9 } }).changed, 'already gone');
  t.equal(apply({ takeDuty: { holder: 'c1' } }).token, 1);
  t.equal(apply({ takeDuty: { holder: 'c1' } }).token, 1, 'the same holder keeps its token');
  t.equal(apply({ takeDuty: { holder: 'c2' } }).token, 2);
  const copy = new Catalog();
  copy.restore(index, catalog.serialize());
  t.same(copy.serialize(), catalog.serialize());
  t.equal(copy.version, catalog.version);
  t.end();
});

void t.test('proxies receive every change since the version that they know', (t) => {
  const catalog = new Catalog();
  let index = 0;
  const apply = (command: whinyoke.ICatalogCommand): void => {
    catalog.apply(++index, whinyoke.CatalogCommand.encode(command).finish());
  };
  const instance = (id: string, state: whinyoke.InstanceState): whinyoke.ICatalogCommand => ({
    putInstance: { id, group: 'g', state, sequence: 1 },
  });
  apply(instance('i-1', InstanceState.READY));
  apply(instance('i-2', InstanceState.READY));
  apply({ putGroup: groupEntry(1) });
  const known = catalog.version;
  apply({ putProxy: PROXIES[0]! });
  apply({ takeDuty: { holder: 'c1' } });
  t.equal(catalog.version, known, 'proxies and the appointment lease concern control only');
  apply(instance('i-2', InstanceState.GONE));
  t.match(catalog.instancesSince(known), [{ id: 'i-2', state: InstanceState.GONE }]);
  t.same(catalog.groupsSince(known), []);
  t.equal(catalog.instancesSince(0), undefined, 'a proxy without a version gets the whole list');
  for (let number = 0; number < 600; number++) apply(instance(`x${number}`, InstanceState.GONE));
  t.equal(catalog.instancesSince(known), undefined, 'the removal of i-2 is no longer recorded');
  const copy = new Catalog();
  copy.restore(index, catalog.serialize());
  t.equal(copy.instancesSince(known), undefined, 'the same after a snapshot');
  t.ok(copy.replicaLossVersion('g') > known, 'an instance was lost after that version');
  t.notOk(copy.replicaLossVersion('g') > index);
  t.notOk(copy.replicaLossVersion('h') > index - 1, 'an instance of another group');
  t.end();
});

const A = { id: 'a', address: '1', isLearner: false };
const B = { id: 'b', address: '2', isLearner: false };
const C = { id: 'c', address: '3', isLearner: false };
const D = { id: 'd', address: '4', isLearner: true };

function next(
  members: readonly (typeof A)[],
  silent: readonly string[] = [],
  lagging: readonly string[] = [],
): string | undefined {
  const membership = nextMembership(new Membership(members), {
    leaderId: 'a',
    voterCount: 3,
    contactAgeMs: (id) => (silent.includes(id) ? 60_000 : 0),
    missingEntries: (id) => (lagging.includes(id) ? 5 : 0),
  });
  return membership?.members.map((item) => item.id + (item.isLearner ? '?' : '')).join(' ');
}

void t.test('a lost voter is replaced only by a learner that has caught up', (t) => {
  t.equal(next([A, B, C, D]), undefined, 'three voters are enough');
  t.equal(next([A, B, C, D], ['c']), 'a b c d', 'first the successor becomes a voter');
  t.equal(next([A, B, C, D], ['c'], ['d']), undefined, 'the successor has not caught up');
  t.equal(next([A, B, C, { ...D, isLearner: false }], ['c']), 'a b d', 'then the lost voter goes');
  t.equal(next([A, B, C, { ...D, isLearner: false }]), 'a b c d?', 'a surplus voter is demoted');
  const newId = { id: 'c2', address: '3', isLearner: true };
  t.equal(next([A, B, C, newId]), 'a b c2?', 'after a lost disk the old id is removed');
  t.equal(next([A, B, newId], [], ['c2']), undefined, 'the new id has not caught up');
  t.equal(next([A, B, newId]), 'a b c2', 'and the new id becomes a voter');
  t.equal(next([A, B, C, { ...newId, isLearner: false }]), 'a b c2', 'also if it votes already');
  t.equal(next([A, B, C, D], ['d']), 'a b c', 'an unreachable learner is removed');
  t.equal(next([A, B, C], ['b', 'c']), undefined, 'there is no learner to replace them');
  t.end();
});

/** A controller on a leader that knows one group; records the commands that it proposes. */
function createController(): {
  controller: FailoverController;
  reports: PrimaryHealthReports;
  proposed: whinyoke.ICatalogCommand[];
  setNow: (time: number) => void;
  context: PrimaryChangerContext;
} {
  let now = 0;
  const catalog = new Catalog();
  const proposed: whinyoke.ICatalogCommand[] = [];
  let index = 0;
  const propose = (command: whinyoke.ICatalogCommand): Promise<whinyoke.CatalogResult> => {
    index++;
    const bytes = catalog.apply(index, whinyoke.CatalogCommand.encode(command).finish());
    return Promise.resolve(whinyoke.CatalogResult.decode(bytes));
  };
  for (const id of ['i-1', 'i-2']) {
    void propose({
      putInstance: { id, group: 'g', state: InstanceState.READY, address: `${id}:80` },
    });
  }
  void propose({ putGroup: groupEntry(1) });
  const context = {
    clock: { now: () => now, setTimer: () => ({ cancel: () => undefined }) },
    catalog,
    ledger: new LeaseLedger(),
    administrator: { probe: () => Promise.resolve({ kind: 'silent' }) },
    propose: (command: whinyoke.ICatalogCommand) => {
      proposed.push(command);
      return propose(command);
    },
    log: () => undefined,
    isLeading: () => true,
    document: { table: tableWithGroup('g') },
    regionByZone: new Map(),
  } as unknown as PrimaryChangerContext;
  const reports = new PrimaryHealthReports();
  const controller = new FailoverController(context, new InstanceMonitor(), reports);
  return { controller, reports, proposed, context, setNow: (time: number) => (now = time) };
}

void t.test('a primary that becomes silent long after its epoch began is replaced at once', (t) => {
  const { controller, reports, proposed, setNow } = createController();
  controller.checkAll();
  setNow(60_000);
  const silent = { group: 'g', epoch: 1, health: PrimaryHealth.SILENT, sinceMs: 600 };
  reports.record('p1', [silent], 60_000);
  reports.record('p2', [silent], 60_000);
  controller.checkAll();
  t.match(proposed, [{ putGroup: { epoch: 2, phase: GroupPhase.CHANGING } }]);
  t.end();
});

void t.test('a new leader applies no settling time to an epoch that it finds', async (t) => {
  const { controller, reports, proposed } = createController();
  const silent = { group: 'g', epoch: 1, health: PrimaryHealth.SILENT, sinceMs: 600 };
  reports.record('p1', [silent], 0);
  reports.record('p2', [silent], 0);
  controller.checkAll();
  t.equal(proposed.length, 0, 'its heartbeat may be fresh, so control probes it first');
  await nextTurn();
  controller.checkAll();
  t.equal(proposed.length, 1, 'control got no answer either');
});

void t.test('a restarted primary is replaced at once', async (t) => {
  const { controller, reports, proposed, context } = createController();
  await context.propose({ putInstance: { id: 'i-1', group: 'g', address: 'i-1', born: 1 } });
  reports.record('p1', [{ group: 'g', epoch: 1, health: PrimaryHealth.HEALTHY, sinceMs: 1 }], 0);
  controller.checkAll();
  t.equal(proposed.length, 1, 'a start time reported for the first time is no restart');
  await context.propose({ putInstance: { id: 'i-1', group: 'g', address: 'i-1', born: 2 } });
  controller.checkAll();
  t.match(proposed.at(-1), { putGroup: { epoch: 2, phase: GroupPhase.CHANGING, planned: false } });
  t.end();
});

void t.test('a primary is kept when one proxy reports a failure and another uses it', (t) => {
  const { controller, reports, proposed } = createController();
  reports.record('p1', [{ group: 'g', epoch: 1, health: PrimaryHealth.REFUSING, sinceMs: 600 }], 0);
  reports.record('p2', [{ group: 'g', epoch: 1, health: PrimaryHealth.HEALTHY, sinceMs: 1 }], 0);
  controller.checkAll();
  t.equal(proposed.length, 0);
  t.end();
});
