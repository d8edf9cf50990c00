/** When a primary that some proxies can't use has failed, and what control finds out itself. */
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

void t.test('a primary that answers control is kept, though proxies find it silent', (t) => {
  const mostlySilent = {
    unhealthy: 6,
    healthy: 1,
    prevailingFailure: 'silent',
    longestFailureMs: 500,
  };
  t.equal(
    failureReason(mostlySilent, PROBE_ANSWERED),
    undefined,
    'queues full, connections silent after a cut',
  );
  const pending = { ...PROBE_ANSWERED, firstProbePendingMs: 200, isAnswered: false };
  t.equal(
    failureReason(mostlySilent, pending),
    undefined,
    'one uses it: control waits for the answer',
  );
  const allSilent = { unhealthy: 6, prevailingFailure: 'silent', longestFailureMs: 450 };
  t.equal(failureReason(allSilent, { ...pending, firstProbePendingMs: 50 }), undefined);
  t.match(failureReason(allSilent, pending), /6 proxies/, 'nobody uses it: it had its time');
  t.match(
    failureReason(mostlySilent, PROBE_FAILED),
    /^6 proxies find it silent, 1 use it/,
    'it is lost',
  );
  const late = { heartbeatAgeMs: 2760 };
  t.match(
    failureReason(mostlySilent, PROBE_ANSWERED, late),
    /6 proxies/,
    'its heartbeats are missing, too',
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
    'a refusal is an answer of the primary itself',
  );
  const unused = { unhealthy: 6, prevailingFailure: 'silent', longestFailureMs: 1600 };
  t.match(
    failureReason(unused, PROBE_ANSWERED),
    /6 proxies/,
    'all ways from proxies to it are cut',
  );
  t.end();
});

void t.test('a primary whose commits reach no replica is replaced, though it answers', (t) => {
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

void t.test('losing all connection owners is told from losing the primary', (t) => {
  t.equal(
    failureReason({ withoutOwner: 40 }, PROBE_ANSWERED),
    undefined,
    'only the owners are lost',
  );
  t.equal(
    failureReason({ withoutOwner: 40 }, { ...PROBE_FAILED, consecutiveFailures: 1 }),
    undefined,
    'once is chance',
  );
  t.match(failureReason({ withoutOwner: 2 }, PROBE_FAILED), /^2 proxies reach no owner/);
  t.equal(
    failureReason({ withoutOwner: 1 }, PROBE_FAILED),
    undefined,
    'the proxy may be cut off itself',
  );
  t.equal(
    failureReason({ withoutOwner: 40, healthy: 1 }, PROBE_FAILED),
    undefined,
    'control is cut off from it',
  );
  t.end();
});

void t.test('a proxy reports that no owner answered, until one does', (t) => {
  const tracker = new PrimaryHealthTracker();
  tracker.onOwnersSilent(1000);
  t.match(tracker.healthReport(1100), { health: PrimaryHealth.SILENT, isThroughOwners: true });
  tracker.onOwnerAnswered();
  t.equal(tracker.healthReport(1200), undefined);
  tracker.onOwnersSilent(1300);
  t.equal(tracker.healthReport(2400), undefined, 'nobody has asked an owner since');
  t.end();
});

void t.test(
  'reports through owners are counted apart; a proxy that is cut off vouches no longer',
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

/** A leader's surroundings with group `g`: primary i-1, replicas i-2 and i-3. */
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
  'questions of control: silence in a row, a full queue, replication that stands still',
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
      'busy',
    );
    t.match(
      await probeRound(),
      { isReplicationStalled: true },
      'replicas received nothing meanwhile',
    );
    probeResults.set('i-2', { kind: 'answered', status: statusAt(8) });
    t.match(await probeRound(), { isReplicationStalled: false }, 'commits go through');
    probeResults.set('i-1', { kind: 'answered', status: statusAt(8, { role: 'primary' }) });
    t.match(await probeRound(), { isReplicationStalled: false }, 'nothing to receive');
    probeResults.set('i-1', { kind: 'answered', status: statusAt(9, { role: 'primary' }) });
    t.match(await probeRound(), { isReplicationStalled: true });
    prober.forget(entry);
    t.match(prober.evidenceOn(entry), { consecutiveFailures: 0, isReplicationStalled: false });
  },
);

void t.test(
  'replicas that are busy are held beside the wait for leases, and released again',
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
        // The first two are refused: no slot was free.
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
    t.ok(Math.max(...fencedAt) < begunAt + LEASE_MS / 2, 'held well before the leases end');
    t.match(proposed.at(-1), { putGroup: { epoch: 3, phase: GroupPhase.STEADY, primary: 'i-2' } });
    await delay(context.clock, 800);
    t.ok(attempts.resume >= 3, 'a replica that refuses to be released is asked again');
  },
);
