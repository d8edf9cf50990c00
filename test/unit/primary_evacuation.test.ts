/** Guards that primaries leave an evacuated zone at a bounded rate, and without losing an acknowledged commit. */
import t from 'tap';
import { tableWithGroups } from '../tools/route_table.js';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { CommitWatermarks } from '../../src/appointed/failover/commit_watermarks.js';
import { FailoverController } from '../../src/appointed/failover/failover_controller.js';
import { InstanceMonitor } from '../../src/appointed/failover/instance_monitor.js';
import { LeaseLedger } from '../../src/appointed/failover/lease_ledger.js';
import type { PrimaryChangerContext } from '../../src/appointed/failover/primary_changer.js';
import { evacuatedPrimaries } from '../../src/appointed/failover/primary_evacuation.js';
import { PrimaryHealthReports } from '../../src/appointed/failover/primary_health_reports.js';
import type {
  InstanceStatus,
  InstanceTarget,
} from '../../src/appointed/instance/instance_connection.js';
import type { RouteTable } from '../../src/appointed/catalog/route_table.js';
import { START } from '../../src/positions/position.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';

const { AppointOutcome, GroupPhase, InstanceState } = whinyoke;

/** A leader with scripted instances; an appointed instance leads at once, with what it had received. */
class LeaderScenario {
  readonly scheduler = new Scheduler();
  readonly catalog = new Catalog();
  readonly healthReports = new PrimaryHealthReports();
  readonly monitor = new InstanceMonitor();
  /** Number of commits that each instance received; undefined where it does not answer. */
  readonly received = new Map<string, number | undefined>();
  readonly appointed: string[] = [];
  private readonly groups: string[] = [];
  readonly causes: string[] = [];
  readonly progress: object[] = [];
  private readonly terms = new Map<string, number>();
  private index = 0;
  private readonly controller: FailoverController;

  constructor() {
    const { clock } = new VirtualProcess('10.8.0.1', this.scheduler, new SeededRandom(1), 0);
    const answer = ({ id }: InstanceTarget): Promise<InstanceStatus | undefined> =>
      Promise.resolve(this.statusOf(id));
    const administrator = { status: answer, pause: answer, stepDown: answer, resume: answer };
    const log = ({ name }: { name: string }, fields: Record<string, unknown>): void => {
      if (name === 'primary_change_begun') this.causes.push(String(fields['cause']));
      if (name === 'evacuation_progress') this.progress.push(fields);
    };
    const { catalog } = this;
    const isLeading = (): boolean => true;
    const shared = { clock, catalog, administrator, log, isLeading };
    const positionRequestedAfter = (): undefined => undefined;
    const context = {
      ...shared,
      ledger: new LeaseLedger(),
      monitor: this.monitor,
      caughtUp: { has: () => false },
      document: this.document,
      regionByZone: new Map(),
      departures: { isServing: () => false },
      watermarks: new CommitWatermarks({ ...shared, positionRequestedAfter }),
      appointmentLease: {
        appoint: (group: string, id: string) => this.appoint(group, id),
      },
      propose: (command: whinyoke.ICatalogCommand) => Promise.resolve(this.apply(command)),
    } as unknown as PrimaryChangerContext;
    this.controller = new FailoverController(context, this.monitor, this.healthReports);
  }

  private get document(): PrimaryChangerContext['document'] {
    const table = (): RouteTable => tableWithGroups(this.groups);
    return {
      get table() {
        return table();
      },
    };
  }

  apply(command: whinyoke.ICatalogCommand): whinyoke.CatalogResult {
    this.index++;
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return whinyoke.CatalogResult.decode(this.catalog.apply(this.index, bytes));
  }

  setEvacuated(zone: string, begins: boolean): void {
    this.apply({ putEvacuation: { zone, begins } });
  }

  /** Adds a group with an instance in each of these zones; the first one leads. */
  addGroup(group: string, zones: readonly string[]): void {
    this.groups.push(group);
    for (const [index, zone] of zones.entries()) this.putInstance(group, index, zone);
    this.terms.set(`${group}-0`, 1);
    const { STEADY: phase } = GroupPhase;
    const first = { group, epoch: 1, phase, inheritedPosition: START };
    this.apply({ putGroup: { ...first, primary: `${group}-0`, term: 1 } });
  }

  putInstance(group: string, index: number, zone: string, state = InstanceState.READY): void {
    const id = `${group}-${index}`;
    if (!this.received.has(id)) this.received.set(id, 10);
    this.apply({ putInstance: { id, group, address: `${id}:1`, zone, state } });
  }

  primaryOf(group: string): string {
    const { phase, primary } = this.catalog.group(group)!;
    return phase === GroupPhase.CHANGING ? 'changing' : primary!;
  }

  run(milliseconds: number): Promise<void> {
    this.controller.start();
    return this.scheduler.runUntil(this.scheduler.now + milliseconds).then(() => {
      this.controller.stop();
    });
  }

  private appoint(group: string, id: string): Promise<whinyoke.AppointOutcome> {
    this.appointed.push(id);
    const newest = Math.max(...this.terms.values());
    this.terms.set(id, newest + 1);
    for (const other of this.received.keys()) {
      const isFollower = other.startsWith(`${group}-`);
      if (isFollower && this.received.get(other) !== undefined) {
        this.received.set(other, this.received.get(id));
      }
    }
    return Promise.resolve(AppointOutcome.APPOINTED);
  }

  private statusOf(id: string): InstanceStatus | undefined {
    const sequence = this.received.get(id);
    if (sequence === undefined) return undefined;
    const term = this.terms.get(id) ?? 1;
    const role = term > 1 ? 'primary' : 'replica';
    return { role, term, received: { term: 1, sequence }, fencedTerm: 9, lagMs: 0 };
  }
}

void t.test('all primaries leave an evacuated zone, and do not move back afterwards', async (t) => {
  const leader = new LeaderScenario();
  for (const group of ['g', 'h', 'k']) leader.addGroup(group, ['z1', 'z2', 'z3']);
  leader.addGroup('m', ['z2', 'z1', 'z3']);
  leader.setEvacuated('z1', true);
  t.same(evacuatedPrimaries(leader.catalog).length, 3);
  await leader.run(300);
  t.same(
    ['g', 'h', 'k', 'm'].map((group) => leader.primaryOf(group)),
    ['g-1', 'h-1', 'k-1', 'm-0'],
  );
  t.same(leader.causes, Array(3).fill('zone z1 is evacuated'));
  t.same(leader.progress.at(-1), { zone: 'z1', evacuated: true, primaries: 0, stuck: 0 });
  leader.setEvacuated('z1', false);
  await leader.run(3000);
  t.same(leader.primaryOf('g'), 'g-1', 'it stays after the end of the evacuation');
  t.same(leader.progress.at(-1), { zone: 'z1', evacuated: false });
  t.equal(leader.causes.length, 3);
});

void t.test('the number of changes begun in a second is limited', async (t) => {
  const leader = new LeaderScenario();
  const groups = Array.from({ length: 60 }, (_, place) => `g${place}`);
  for (const group of groups) leader.addGroup(group, ['z1', 'z2']);
  leader.setEvacuated('z1', true);
  await leader.run(900);
  t.equal(leader.causes.length, 25);
  await leader.run(2000);
  t.ok(groups.every((group) => leader.primaryOf(group) === `${group}-1`));
});

void t.test(
  'no primary is appointed in an evacuated zone while another instance provably holds everything',
  async (t) => {
    const leader = new LeaderScenario();
    leader.addGroup('g', ['z1', 'z2', 'z3']);
    leader.setEvacuated('z1', true);
    leader.setEvacuated('z2', true);
    await leader.run(1000);
    t.equal(leader.primaryOf('g'), 'g-2');
    const late = new LeaderScenario();
    late.addGroup('g', ['z1', 'z2', 'z3']);
    late.apply({
      putGroup: { group: 'g', epoch: 2, phase: GroupPhase.CHANGING, primary: 'g-0', term: 1 },
    });
    late.setEvacuated('z2', true);
    await late.run(1000);
    t.same(late.appointed, ['g-2'], 'an evacuation that begins during a change applies to it');
  },
);

void t.test('an instance that may lack a commit leads only after it has caught up', async (t) => {
  const leader = new LeaderScenario();
  leader.addGroup('g', ['z1', 'z2', 'z3']);
  leader.received.set('g-2', 9);
  leader.received.set('g-0', undefined);
  leader.apply({ putProxy: { id: 'p', incarnation: 'lost' } });
  leader.setEvacuated('z1', true);
  leader.setEvacuated('z2', true);
  await leader.run(1000);
  t.equal(
    leader.primaryOf('g'),
    'changing',
    'the instance in z3 may lack a commit that the one in z2 has',
  );
  await leader.run(700);
  t.equal(
    leader.primaryOf('g'),
    'g-1',
    'an instance in an evacuated zone leads, so that the other one can catch up',
  );
  await leader.run(1500);
  t.equal(leader.primaryOf('g'), 'g-2', 'then the change is retried');
  t.same(leader.appointed, ['g-1', 'g-2']);
});

void t.test('no change begins while all zones of a group are evacuated', async (t) => {
  const leader = new LeaderScenario();
  leader.addGroup('g', ['z1', 'z2']);
  leader.setEvacuated('z1', true);
  leader.setEvacuated('z2', true);
  await leader.run(1000);
  t.same(leader.causes, []);
  t.match(leader.progress, [
    { zone: 'z1', primaries: 1, stuck: 1 },
    { zone: 'z2', primaries: 0 },
  ]);
  leader.putInstance('g', 2, 'z3');
  await leader.run(300);
  t.equal(leader.primaryOf('g'), 'g-2', 'a new instance in another zone takes over');
});

void t.test('a primary is not replaced by an instance without a recent heartbeat', async (t) => {
  const leader = new LeaderScenario();
  leader.addGroup('g', ['z1', 'z2']);
  await leader.run(3500);
  leader.setEvacuated('z1', true);
  const sendHeartbeat = (id: string): void =>
    leader.monitor.recordHeartbeat({ instance: { id, sequence: 1 } }, leader.scheduler.now);
  sendHeartbeat('g-0');
  await leader.run(500);
  t.equal(leader.primaryOf('g'), 'g-0');
  sendHeartbeat('g-1');
  await leader.run(500);
  t.equal(leader.primaryOf('g'), 'g-1');
});

void t.test(
  'a draining instance is no replacement, and a draining primary is replaced as planned',
  async (t) => {
    const leader = new LeaderScenario();
    leader.addGroup('g', ['z1', 'z2', 'z3']);
    leader.putInstance('g', 1, 'z2', InstanceState.DRAINING);
    leader.setEvacuated('z1', true);
    await leader.run(300);
    t.equal(leader.primaryOf('g'), 'g-2');
    leader.addGroup('h', ['z1', 'z2']);
    leader.putInstance('h', 0, 'z1', InstanceState.DRAINING);
    await leader.run(300);
    t.equal(leader.causes.at(-1), 'the primary leaves');
    t.equal(leader.primaryOf('h'), 'h-1');
  },
);

void t.test('an unreachable primary in an evacuated zone is replaced elsewhere', async (t) => {
  for (const isCutFirst of [true, false]) {
    const leader = new LeaderScenario();
    leader.addGroup('g', ['z1', 'z2', 'z3']);
    if (isCutFirst) leader.received.set('g-0', undefined);
    leader.setEvacuated('z1', true);
    leader.received.set('g-0', undefined);
    await leader.run(1000);
    t.equal(leader.primaryOf('g'), 'g-1');
  }
});
