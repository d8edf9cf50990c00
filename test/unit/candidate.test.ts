/** Guards the choice of a new primary: no instance that may lack an acknowledged commit is chosen. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import {
  type CandidateReport,
  type ChoiceInput,
  chooseCandidate,
} from '../../src/appointed/failover/candidate.js';
import { inheritedPositionOf } from '../../src/appointed/failover/inherited_position.js';
import type { InstanceStatus } from '../../src/appointed/instance/instance_connection.js';
import { START } from '../../src/positions/position.js';
import { PrimaryChangeScenario, statusUpTo } from '../tools/primary_change_scenario.js';

/** Enough time for several attempts of a change of primary. */
const CHANGE_ATTEMPTS_MS = 2500;

function statusAt(sequence: number, term = 3): InstanceStatus {
  return { role: 'replica', term, received: { term, sequence }, fencedTerm: term + 1, lagMs: 0 };
}

function reportOf(instance: string, sequence: number, isEligible = true): CandidateReport {
  return { instance, status: statusAt(sequence), isEligible };
}

function choiceOf(change: Partial<ChoiceInput>): string | undefined {
  const input: ChoiceInput = {
    reports: [reportOf('a', 10), reportOf('b', 12)],
    missing: 0,
    oldPrimary: undefined,
    revocation: { isConfirmedByAll: false, acknowledged: undefined },
    proxyWatermark: undefined,
    replicaWatermark: START,
    inheritedPosition: START,
    oldTerm: 3,
    ...change,
  };
  const choice = chooseCandidate(input);
  return choice && `${choice.instance} ${choice.evidence}`;
}

function confirmed(sequence?: number): ChoiceInput['revocation'] {
  const acknowledged = sequence === undefined ? undefined : { term: 3, sequence };
  return { isConfirmedByAll: true, acknowledged };
}

const ONLY_A = [reportOf('a', 10)];

void t.test('no replica is chosen that may lack an acknowledged commit', (t) => {
  t.equal(choiceOf({}), 'b allReplicas', 'all replicas answered: the newest one');
  t.equal(choiceOf({ reports: ONLY_A, missing: 1 }), undefined, 'a silent replica may hold more');
  t.equal(
    choiceOf({ reports: ONLY_A, missing: 1, oldPrimary: statusAt(10) }),
    'a oldPrimary',
    'the old primary holds no more',
  );
  t.equal(
    choiceOf({ reports: ONLY_A, missing: 1, oldPrimary: statusAt(11) }),
    undefined,
    'the old primary holds more',
  );
  const complete = { reports: ONLY_A, missing: 1, proxyWatermark: START };
  t.equal(choiceOf({ ...complete, revocation: confirmed(10) }), 'a confirmations');
  t.equal(choiceOf({ ...complete, revocation: confirmed(11) }), undefined);
  t.equal(choiceOf({ ...complete, revocation: confirmed() }), 'a confirmations', 'same term');
  t.equal(
    choiceOf({ reports: ONLY_A, missing: 1, revocation: confirmed(10) }),
    undefined,
    'a lost proxy may have acknowledged more',
  );
  const reported = { revocation: confirmed(13) };
  t.equal(
    choiceOf(reported),
    'b allReplicas',
    'the reported position may lie beyond what any replica received',
  );
  t.equal(choiceOf({ ...reported, reports: ONLY_A, missing: 1 }), undefined, 'one did not answer');
  const leaving = [reportOf('a', 10), reportOf('b', 12, false)];
  t.equal(choiceOf({ reports: leaving }), undefined, 'the newest replica is leaving');
  t.end();
});

// Guards against the loss of a commit whose replica has ended and whose proxy can't name it any more.
void t.test('after a loss a proof needs the position of the primary', (t) => {
  const at = (sequence: number) => ({ term: 3, sequence });
  for (const revocation of [confirmed(), confirmed(12), confirmed(13)]) {
    t.equal(
      choiceOf({ replicaWatermark: undefined, revocation }),
      undefined,
      'a replica that ended may have been the only one with an acknowledged commit',
    );
  }
  t.equal(choiceOf({ replicaWatermark: at(13) }), undefined, 'the primary held more');
  t.equal(choiceOf({ replicaWatermark: at(12) }), 'b allReplicas');
  const proxies = { reports: ONLY_A, missing: 1, revocation: confirmed(9) };
  t.equal(choiceOf({ ...proxies, proxyWatermark: at(11) }), undefined);
  t.equal(choiceOf({ ...proxies, proxyWatermark: at(10) }), 'a confirmations');
  t.equal(
    choiceOf({ ...proxies, proxyWatermark: at(10), replicaWatermark: undefined }),
    'a confirmations',
    'what all proxies acknowledged needs no other replica',
  );
  t.equal(
    choiceOf({ replicaWatermark: undefined, oldPrimary: statusAt(12) }),
    'b oldPrimary',
    'nor does what the old primary held',
  );
  t.end();
});

// Guards against the loss of a commit of an earlier epoch whose proxy restarted and whose other holders are down.
void t.test('no proof holds without what was acknowledged in earlier epochs', (t) => {
  const inherit = (sequence: number, term = 3) => ({ inheritedPosition: { term, sequence } });
  const complete = { reports: ONLY_A, missing: 1, proxyWatermark: START };
  t.equal(
    choiceOf({ ...complete, ...inherit(10), revocation: confirmed() }),
    'a confirmations',
    'nothing was acknowledged in this epoch',
  );
  t.equal(choiceOf({ ...complete, ...inherit(11), revocation: confirmed() }), undefined);
  const earlier = { ...complete, oldTerm: 4, revocation: confirmed(10) };
  t.equal(choiceOf({ ...earlier, ...inherit(11) }), undefined, 'a lost proxy acknowledged 3.11');
  t.equal(choiceOf({ ...earlier, ...inherit(10) }), 'a confirmations');
  t.equal(choiceOf(inherit(13)), undefined, 'only the old primary held 3.13');
  t.equal(choiceOf(inherit(12)), 'b allReplicas');
  t.equal(
    choiceOf({ ...inherit(12), oldTerm: 4, revocation: confirmed(13) }),
    'b allReplicas',
    'in an earlier epoch no more than what was inherited was acknowledged',
  );
  t.equal(
    choiceOf({ ...inherit(13), oldTerm: 4, revocation: confirmed(13) }),
    undefined,
    'acknowledged in an earlier epoch',
  );
  t.equal(choiceOf(inherit(12, 2)), 'b allReplicas', 'numbers go on in a new term');
  t.equal(choiceOf(inherit(13, 2)), undefined, 'a later term with a lower number lacks it');
  t.end();
});

void t.test('an epoch inherits the position with which its primary was chosen', async (t) => {
  const group = new PrimaryChangeScenario(90, 0);
  group.statuses.set('b', statusUpTo(110));
  group.onAppoint = (instance) => group.lead(instance);
  const change = group.changePrimary();
  group.confirmAll();
  await group.run(CHANGE_ATTEMPTS_MS);
  await change;
  t.match(group.catalog.group('g'), { primary: 'b', inheritedPosition: { sequence: 110 } });
  const copy = new Catalog();
  copy.restore(99, group.catalog.serialize());
  t.match(copy.group('g'), { inheritedPosition: { term: 3, sequence: 110 } }, 'in a snapshot');
  // The primary of this epoch and the one before are down; the only answer is of a replica that is behind.
  group.statuses.delete('b');
  group.statuses.set('c', statusUpTo(100));
  void group.changePrimary(95);
  group.confirmAll();
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, ['b'], 'a lost proxy may have acknowledged 3.110 in the first epoch');
  group.statuses.set('a', statusUpTo(110));
  await group.run(CHANGE_ATTEMPTS_MS);
  t.equal(group.appointed[1], 'a');
});

void t.test('an old primary without what it inherited proves nothing', async (t) => {
  const group = new PrimaryChangeScenario();
  group.statuses.set('a', statusUpTo(80, 'primary'));
  group.statuses.set('b', statusUpTo(80));
  void group.changePrimary();
  await group.run(CHANGE_ATTEMPTS_MS);
  t.same(group.appointed, []);
});

void t.test('an epoch of an earlier program inherits what its primary held', (t) => {
  const leastPosition = { term: 3, sequence: 90 };
  t.same(inheritedPositionOf({ leastPosition }), leastPosition);
  t.equal(inheritedPositionOf({ leastPosition, target: 'b' }), undefined, 'it is that of b');
  const inheritedPosition = { term: 3, sequence: 80 };
  t.same(inheritedPositionOf({ leastPosition, inheritedPosition }), inheritedPosition);
  t.equal(inheritedPositionOf({}), undefined);
  t.end();
});
