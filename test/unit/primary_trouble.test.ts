/** When a primary that some proxies can't use has failed, and what control finds out itself. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import {
  type DirectEvidence,
  DirectQuestions,
} from '../../src/appointed/failover/direct_questions.js';
import type { Presence } from '../../src/appointed/failover/instance_administrator.js';
import { LeaseLedger } from '../../src/appointed/failover/lease_ledger.js';
import {
  type ChangerContext,
  PrimaryChanger,
} from '../../src/appointed/failover/primary_changer.js';
import type { PrimaryVerdict } from '../../src/appointed/failover/primary_health_opinions.js';
import { PrimaryHealthOpinions } from '../../src/appointed/failover/primary_health_opinions.js';
import { type TroubleInput, troubleOf } from '../../src/appointed/failover/primary_trouble.js';
import type { InstanceStatus } from '../../src/appointed/instance/instance_connection.js';
import { PrimaryHealthTracker } from '../../src/appointed/trust/primary_health_tracker.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { tableNaming } from '../tools/route_table.js';
import { delay } from '../../src/runtime/runtime.js';

const { GroupPhase, InstanceState, PrimaryHealth } = whinyoke;

const NOBODY: PrimaryVerdict = {
  bad: 0,
  silent: 0,
  commitsOnly: 0,
  good: 0,
  trouble: undefined,
  lastsMs: 0,
  withoutOwner: 0,
};
const ANSWERED: DirectEvidence = {
  pendingMs: undefined,
  isAnswered: true,
  silentInRow: 0,
  isReplicationStalled: false,
};
const SILENT: DirectEvidence = { ...ANSWERED, isAnswered: false, silentInRow: 2 };

function trouble(
  verdict: Partial<PrimaryVerdict>,
  direct: DirectEvidence,
  change: Partial<TroubleInput> = {},
): string | undefined {
  const input = { heartbeatAgeMs: 31, steadyMs: 60_000, direct, ...change };
  return troubleOf({ verdict: { ...NOBODY, ...verdict }, ...input });
}

void t.test('a primary that answers control is kept, though proxies find it silent', (t) => {
  const replayed = { bad: 6, good: 1, trouble: 'silent', lastsMs: 500 };
  t.equal(trouble(replayed, ANSWERED), undefined, 'queues full, connections silent after a cut');
  const pending = { ...ANSWERED, pendingMs: 200, isAnswered: false };
  t.equal(trouble(replayed, pending), undefined, 'one uses it: control waits for the answer');
  const dark = { bad: 6, trouble: 'silent', lastsMs: 450 };
  t.equal(trouble(dark, { ...pending, pendingMs: 50 }), undefined);
  t.match(trouble(dark, pending), /6 proxies/, 'nobody uses it: it had its time');
  t.match(trouble(replayed, SILENT), /^6 proxies find it silent, 1 use it/, 'it is lost');
  const late = { heartbeatAgeMs: 2760 };
  t.match(trouble(replayed, ANSWERED, late), /6 proxies/, 'its heartbeats are missing, too');
  const refusing = { bad: 2, good: 1, trouble: 'refusing', lastsMs: 100 };
  t.match(trouble(refusing, ANSWERED), /refusing/, 'a refusal is an answer of the primary itself');
  const unused = { bad: 6, trouble: 'silent', lastsMs: 1600 };
  t.match(trouble(unused, ANSWERED), /6 proxies/, 'all ways from proxies to it are cut');
  t.end();
});

void t.test('a primary whose commits reach no replica is replaced, though it answers', (t) => {
  const verdict = { bad: 2, commitsOnly: 2, good: 1, trouble: 'silent', lastsMs: 450 };
  t.equal(trouble(verdict, ANSWERED), undefined);
  t.match(trouble(verdict, { ...ANSWERED, isReplicationStalled: true }), /2 proxies/);
  t.end();
});

void t.test('losing all connection owners is told from losing the primary', (t) => {
  t.equal(trouble({ withoutOwner: 40 }, ANSWERED), undefined, 'only the owners are lost');
  t.equal(
    trouble({ withoutOwner: 40 }, { ...SILENT, silentInRow: 1 }),
    undefined,
    'once is chance',
  );
  t.match(trouble({ withoutOwner: 2 }, SILENT), /^2 proxies reach no owner/);
  t.equal(trouble({ withoutOwner: 1 }, SILENT), undefined, 'the proxy may be cut off itself');
  t.equal(trouble({ withoutOwner: 40, good: 1 }, SILENT), undefined, 'control is cut off from it');
  t.end();
});

void t.test('a proxy reports that no owner answered, until one does', (t) => {
  const tracker = new PrimaryHealthTracker();
  tracker.ownersSilent(1000);
  t.match(tracker.opinion(1100), { health: PrimaryHealth.SILENT, isThroughOwners: true });
  tracker.ownerAnswered();
  t.equal(tracker.opinion(1200), undefined);
  tracker.ownersSilent(1300);
  t.equal(tracker.opinion(2400), undefined, 'nobody has asked an owner since');
  t.end();
});

void t.test(
  'reports through owners are counted apart; a proxy that is cut off vouches no longer',
  (t) => {
    const opinions = new PrimaryHealthOpinions();
    const silent = { group: 'g', epoch: 1, health: PrimaryHealth.SILENT, sinceMs: 500 };
    opinions.note('p1', [{ ...silent, throughOwners: true }], 1000);
    opinions.note('p2', [{ ...silent, commitsOnly: true }], 1000);
    opinions.note('p3', [{ group: 'g', epoch: 1, health: PrimaryHealth.HEALTHY }], 1000);
    t.match(opinions.verdict('g', 1, 1000), { bad: 1, commitsOnly: 1, good: 1, withoutOwner: 1 });
    t.match(opinions.verdict('g', 1, 1800), { bad: 1, good: 0, withoutOwner: 1 });
    t.end();
  },
);

/** A leader's surroundings with group `g`: primary i-1, replicas i-2 and i-3. */
function surroundings(administrator: Partial<ChangerContext['administrator']>): {
  context: ChangerContext;
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
    document: { table: tableNaming('g') },
    regionByZone: new Map(),
    administrator,
    appointmentLease: {
      appoint: () => Promise.resolve(whinyoke.AppointOutcome.APPOINTED),
    },
    propose,
    log: () => undefined,
    isLeading: () => true,
  } as unknown as ChangerContext;
  return { context, entry: catalog.group('g')!, proposed };
}

function statusAt(sequence: number, change: Partial<InstanceStatus> = {}): InstanceStatus {
  const received = { term: 3, sequence };
  return { role: 'replica', term: 3, received, fencedTerm: 0, lagMs: 0, ...change };
}

void t.test(
  'questions of control: silence in a row, a full queue, replication that stands still',
  async (t) => {
    const present = new Map<string, Presence>();
    const administrator = {
      presenceOf: ({ id }: { id: string }) =>
        Promise.resolve(present.get(id) ?? { kind: 'silent' }),
    } as unknown as ChangerContext['administrator'];
    const { context, entry } = surroundings(administrator);
    const questions = new DirectQuestions(context);
    const round = async (): Promise<DirectEvidence> => {
      questions.ask(entry);
      await delay(context.clock, 210);
      return questions.evidenceOn(entry);
    };
    questions.ask(entry);
    t.equal(typeof questions.evidenceOn(entry).pendingMs, 'number');
    await delay(context.clock, 210);
    t.match(await round(), { silentInRow: 2, isAnswered: false });
    present.set('i-1', { kind: 'answered', status: undefined });
    present.set('i-2', { kind: 'answered', status: statusAt(7) });
    t.match(
      await round(),
      { silentInRow: 0, isAnswered: true, isReplicationStalled: false },
      'busy',
    );
    t.match(await round(), { isReplicationStalled: true }, 'replicas received nothing meanwhile');
    present.set('i-2', { kind: 'answered', status: statusAt(8) });
    t.match(await round(), { isReplicationStalled: false }, 'commits go through');
    present.set('i-1', { kind: 'answered', status: statusAt(8, { role: 'primary' }) });
    t.match(await round(), { isReplicationStalled: false }, 'nothing to receive');
    present.set('i-1', { kind: 'answered', status: statusAt(9, { role: 'primary' }) });
    t.match(await round(), { isReplicationStalled: true });
    questions.forget(entry);
    t.match(questions.evidenceOn(entry), { silentInRow: 0, isReplicationStalled: false });
  },
);

void t.test(
  'replicas that are busy are held beside the wait for leases, and released again',
  async (t) => {
    const LEASE_MS = 900;
    const tries = { pause: 0, resume: 0 };
    const heldAt: number[] = [];
    let isPrimary = false;
    const administrator = {
      status: ({ id }: { id: string }) => {
        const isNew = isPrimary && id === 'i-2';
        const change = isNew ? { role: 'primary' as const, term: 4 } : { fencedTerm: 4 };
        return Promise.resolve(heldAt.length > 0 ? statusAt(5, change) : undefined);
      },
      pause: () => {
        tries.pause++;
        // The first two are refused: no slot was free.
        if (tries.pause <= 2) return Promise.resolve(undefined);
        heldAt.push(context.clock.now());
        return Promise.resolve(statusAt(5, { fencedTerm: 4 }));
      },
      stepDown: () => Promise.resolve(undefined),
      resume: () => {
        tries.resume++;
        return Promise.resolve(tries.resume < 3 ? undefined : statusAt(5));
      },
    } as unknown as ChangerContext['administrator'];
    const { context, entry, proposed } = surroundings(administrator);
    const proxy = { id: 'p1', incarnation: 'x' };
    await context.propose({ putProxy: proxy });
    const begunAt = context.clock.now();
    context.ledger.begin(-Infinity, begunAt);
    context.ledger.noteContact(proxy, 1000, begunAt);
    context.ledger.grant('g', proxy, begunAt + LEASE_MS);
    const lease = context.appointmentLease as unknown as { appoint: () => Promise<unknown> };
    lease.appoint = () => {
      isPrimary = true;
      return Promise.resolve(whinyoke.AppointOutcome.APPOINTED);
    };
    await new PrimaryChanger(context, entry).run();
    t.ok(Math.max(...heldAt) < begunAt + LEASE_MS / 2, 'held well before the leases end');
    t.match(proposed.at(-1), { putGroup: { epoch: 3, phase: GroupPhase.STEADY, primary: 'i-2' } });
    await delay(context.clock, 800);
    t.ok(tries.resume >= 3, 'a replica that refuses to be released is asked again');
  },
);
