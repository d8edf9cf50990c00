/** Guards the decision that a primary has failed: not on silence alone, and not when only connection owners are lost. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { type ProbeEvidence, PrimaryProber } from '../../src/appointed/failover/primary_prober.js';
import type { ProbeResult } from '../../src/appointed/failover/instance_administrator.js';
import { LeaseLedger } from '../../src/appointed/failover/lease_ledger.js';
import {
  type PrimaryChangerContext,
  PrimaryChanger,
} from '../../src/appointed/failover/primary_changer.js';
import type { PrimaryHealthSummary } from '../../src/appointed/failover/primary_health_reports.js';
import { PrimaryHealthReports } from '../../src/appointed/failover/primary_health_reports.js';
import {
  type PrimaryFailureInput,
  primaryFailureReason,
} from '../../src/appointed/failover/primary_failure.js';
import type { InstanceStatus } from '../../src/appointed/instance/instance_connection.js';
import { PrimaryHealthTracker } from '../../src/appointed/trust/primary_health_tracker.js';
import { START } from '../../src/positions/position.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { tableWithGroup } from '../tools/route_table.js';
import { delay } from '../../src/runtime/runtime.js';

const { GroupPhase, InstanceState, PrimaryHealth } = whinyoke;

const NO_REPORTS: PrimaryHealthSummary = {
  unhealthy: 0,
  silent: 0,
  commitsOnly: 0,
  healthy: 0,
  prevailingFailure: undefined,
  longestFailureMs: 0,
  withoutOwner: 0,
};
const PROBE_ANSWERED: ProbeEvidence = {
  firstProbePendingMs: undefined,
  isAnswered: true,
  consecutiveFailures: 0,
  isReplicationStalled: false,
};
const PROBE_FAILED: ProbeEvidence = {
  ...PROBE_ANSWERED,
  isAnswered: false,
  consecutiveFailures: 2,
};

function failureReason(
  summary: Partial<PrimaryHealthSummary>,
  probeEvidence: ProbeEvidence,
  change: Partial<PrimaryFailureInput> = {},
): string | undefined {
  const input = { heartbeatAgeMs: 31, epochAgeMs: 60_000, probeEvidence, ...change };
  return primaryFailureReason({ healthSummary: { ...NO_REPORTS, ...summary }, ...input });
}

void t.test('a primary that answers probes is not replaced for silence alone', (t) => {
  const mostlySilent = {
    unhealthy: 6,
    healthy: 1,
    prevailingFailure: 'silent',
    longestFailureMs: 500,
  };
  t.equal(
    failureReason(mostlySilent, PROBE_ANSWERED),
    undefined,
    'full queues or dead connections look the same',
  );
  const pending = { ...PROBE_ANSWERED, firstProbePendingMs: 200, isAnswered: false };
  t.equal(
    failureReason(mostlySilent, pending),
    undefined,
    'a proxy uses it, so control waits for the probe',
  );
  const allSilent = { unhealthy: 6, prevailingFailure: 'silent', longestFailureMs: 450 };
  t.equal(failureReason(allSilent, { ...pending, firstProbePendingMs: 50 }), undefined);
  t.match(
    failureReason(allSilent, pending),
    /6 proxies/,
    'no proxy uses it and the probe had its time',
  );
  t.match(
    failureReason(mostlySilent, PROBE_FAILED),
    /^6 proxies find it silent, 1 use it/,
    'the probes fail, too',
  );
  const late = { heartbeatAgeMs: 2760 };
  t.match(
    failureReason(mostlySilent, PROBE_ANSWERED, late),
    /6 proxies/,
    'its heartbeat is late, too',
  );
  const refusing = {
    unhealthy: 2,
    healthy: 1,
    prevailingFailure: 'refusing',
    longestFailureMs: 100,
  };
  t.match(
    failureReason(refusing, PROBE_ANSWERED),
    /refusing/,
    'a refusal comes from the primary itself',
  );
  const unused = { unhealthy: 6, prevailingFailure: 'silent', longestFailureMs: 1600 };
  t.match(failureReason(unused, PROBE_ANSWERED), /6 proxies/, 'no proxy can reach it');
  t.end();
});

void t.test('a primary whose commits reach no replica is replaced although it answers', (t) => {
  const summary = {
    unhealthy: 2,
    commitsOnly: 2,
    healthy: 1,
    prevailingFailure: 'silent',
    longestFailureMs: 450,
  };
  t.equal(failureReason(summary, PROBE_ANSWERED), undefined);
  t.match(failureReason(summary, { ...PROBE_ANSWERED, isReplicationStalled: true }), /2 proxies/);
  t.end();
});

void t.test('lost connection owners are not taken for a lost primary', (t) => {
  t.equal(
    failureReason({ withoutOwner: 40 }, PROBE_ANSWERED),
    undefined,
    'the primary answers, only the owners are lost',
  );
  t.equal(
    failureReason({ withoutOwner: 40 }, { ...PROBE_FAILED, consecutiveFailures: 1 }),
    undefined,
    'one failed probe is not enough',
  );
  t.match(failureReason({ withoutOwner: 2 }, PROBE_FAILED), /^2 proxies reach no connection owner/);
  t.equal(
    failureReason({ withoutOwner: 1 }, PROBE_FAILED),
    undefined,
    'a single proxy may be cut off itself',
  );
  t.equal(
    failureReason({ withoutOwner: 40, healthy: 1 }, PROBE_FAILED),
    undefined,
    'a proxy uses it, so control is cut off',
  );
  t.end();
});

void t.test('a proxy stops reporting silent owners once one answers', (t) => {
  const tracker = new PrimaryHealthTracker();
  tracker.onOwnersSilent(1000);
  t.match(tracker.healthReport(1100), { health: PrimaryHealth.SILENT, isThroughOwners: true });
  tracker.onOwnerAnswered();
  t.equal(tracker.healthReport(1200), undefined);
  tracker.onOwnersSilent(1300);
  t.equal(tracker.healthReport(2400), undefined, 'the report expires without further statements');
  t.end();
});

void t.test(
  'reports through owners are counted separately, and an old healthy report expires',
  (t) => {
    const healthReports = new PrimaryHealthReports();
    const silent = { group: 'g', epoch: 1, health: PrimaryHealth.SILENT, sinceMs: 500 };
    healthReports.record('p1', [{ ...silent, throughOwners: true }], 1000);
    healthReports.record('p2', [{ ...silent, commitsOnly: true }], 1000);
    healthReports.record('p3', [{ group: 'g', epoch: 1, health: PrimaryHealth.HEALTHY }], 1000);
    t.match(healthReports.summary('g', 1, 1000), {
      unhealthy: 1,
      commitsOnly: 1,
      healthy: 1,
      withoutOwner: 1,
    });
    t.match(healthReports.summary('g', 1, 1800), { unhealthy: 1, healthy: 0, withoutOwner: 1 });
    t.end();
  },
);

/** Context of a leader of group `g` with primary i-1 and replicas i-2 and i-3. */
function createContext(administrator: Partial<PrimaryChangerContext['administrator']>): {
  context: PrimaryChangerContext;
  entry: whinyoke.IGroupEntry;
  proposed: whinyoke.ICatalogCommand[];
} {
  const catalog = new Catalog();
  const proposed: whinyoke.ICatalogCommand[] = [];
  let index = 0;
  const propose = (command: whinyoke.ICatalogCommand): Promise<whinyoke.CatalogResult> => {
    proposed.push(command);
    const bytes = catalog.apply(++index, whinyoke.CatalogCommand.encode(command).finish());
    return Promise.resolve(whinyoke.CatalogResult.decode(bytes));
  };
  for (const id of ['i-1', 'i-2', 'i-3']) {
    void propose({
      putInstance: { id, group: 'g', state: InstanceState.READY, address: `${id}:1` },
    });
  }
  const steady = { group: 'g', epoch: 1, phase: GroupPhase.STEADY, primary: 'i-1', term: 3 };
  void propose({ putGroup: steady });
  void propose({ putGroup: { ...steady, epoch: 2, phase: GroupPhase.CHANGING } });
  const context = {
    clock: new RealClock(),
    catalog,
    ledger: new LeaseLedger(),
    document: { table: tableWithGroup('g') },
    regionByZone: new Map(),
    administrator,
    departures: { isServing: () => false },
    // Nothing was lost since the epoch began, and nothing acknowledged before.
    watermarks: { of: () => START },
    appointmentLease: {
      appoint: () => Promise.resolve(whinyoke.AppointOutcome.APPOINTED),
    },
    propose,
    log: () => undefined,
    isLeading: () => true,
  } as unknown as PrimaryChangerContext;
  return { context, entry: catalog.group('g')!, proposed };
}

function statusAt(sequence: number, change: Partial<InstanceStatus> = {}): InstanceStatus {
  const received = { term: 3, sequence };
  return { role: 'replica', term: 3, received, fencedTerm: 0, lagMs: 0, ...change };
}

void t.test(
  'probes count failures in a row and detect stalled replication behind a busy primary',
  async (t) => {
    const probeResults = new Map<string, ProbeResult>();
    const administrator = {
      probe: ({ id }: { id: string }) =>
        Promise.resolve(probeResults.get(id) ?? { kind: 'silent' }),
    } as unknown as PrimaryChangerContext['administrator'];
    const { context, entry } = createContext(administrator);
    const prober = new PrimaryProber(context);
    const probeRound = async (): Promise<ProbeEvidence> => {
      prober.probe(entry);
      await delay(context.clock, 210);
      return prober.evidenceOn(entry);
    };
    prober.probe(entry);
    t.equal(typeof prober.evidenceOn(entry).firstProbePendingMs, 'number');
    await delay(context.clock, 210);
    t.match(await probeRound(), { consecutiveFailures: 2, isAnswered: false });
    probeResults.set('i-1', { kind: 'answered', status: undefined });
    probeResults.set('i-2', { kind: 'answered', status: statusAt(7) });
    t.match(
      await probeRound(),
      { consecutiveFailures: 0, isAnswered: true, isReplicationStalled: false },
      'a busy primary counts as an answer',
    );
    t.match(
      await probeRound(),
      { isReplicationStalled: true },
      'replicas received nothing between two rounds',
    );
    probeResults.set('i-2', { kind: 'answered', status: statusAt(8) });
    t.match(await probeRound(), { isReplicationStalled: false }, 'a replica received a commit');
    probeResults.set('i-1', { kind: 'answered', status: statusAt(8, { role: 'primary' }) });
    t.match(await probeRound(), { isReplicationStalled: false }, 'replicas are up to date');
    probeResults.set('i-1', { kind: 'answered', status: statusAt(9, { role: 'primary' }) });
    t.match(await probeRound(), { isReplicationStalled: true });
    prober.forget(entry);
    t.match(prober.evidenceOn(entry), { consecutiveFailures: 0, isReplicationStalled: false });
  },
);

void t.test(
  'busy replicas are fenced before the leases end, and released after the change',
  async (t) => {
    const LEASE_MS = 900;
    const attempts = { pause: 0, resume: 0 };
    const fencedAt: number[] = [];
    let isPrimary = false;
    const administrator = {
      status: ({ id }: { id: string }) => {
        const isNew = isPrimary && id === 'i-2';
        const change = isNew ? { role: 'primary' as const, term: 4 } : { fencedTerm: 4 };
        return Promise.resolve(fencedAt.length > 0 ? statusAt(5, change) : undefined);
      },
      pause: () => {
        attempts.pause++;
        // The first two are refused for want of a connection slot.
        if (attempts.pause <= 2) return Promise.resolve(undefined);
        fencedAt.push(context.clock.now());
        return Promise.resolve(statusAt(5, { fencedTerm: 4 }));
      },
      stepDown: () => Promise.resolve(undefined),
      resume: () => {
        attempts.resume++;
        return Promise.resolve(attempts.resume < 3 ? undefined : statusAt(5));
      },
    } as unknown as PrimaryChangerContext['administrator'];
    const { context, entry, proposed } = createContext(administrator);
    const proxy = { id: 'p1', incarnation: 'x' };
    await context.propose({ putProxy: proxy });
    const begunAt = context.clock.now();
    context.ledger.beginLeadership(-Infinity, begunAt);
    context.ledger.recordContact(proxy, 1000, begunAt);
    context.ledger.grant('g', proxy, begunAt + LEASE_MS);
    const lease = context.appointmentLease as unknown as { appoint: () => Promise<unknown> };
    lease.appoint = () => {
      isPrimary = true;
      return Promise.resolve(whinyoke.AppointOutcome.APPOINTED);
    };
    await new PrimaryChanger(context, entry).run();
    t.ok(Math.max(...fencedAt) < begunAt + LEASE_MS / 2, 'fenced well before the leases end');
    t.match(proposed.at(-1), { putGroup: { epoch: 3, phase: GroupPhase.STEADY, primary: 'i-2' } });
    await delay(context.clock, 800);
    t.ok(attempts.resume >= 3, 'a release without an answer is retried');
  },
);
