/** Guards that allowed regions of routes influence the choice of a primary only among instances that lose no commit. */
import fc from 'fast-check';
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import type { RouteTable } from '../../src/appointed/catalog/route_table.js';
import { type ChoiceInput, chooseCandidate } from '../../src/appointed/failover/candidate.js';
import { FailoverController } from '../../src/appointed/failover/failover_controller.js';
import { InstanceMonitor } from '../../src/appointed/failover/instance_monitor.js';
import type { PrimaryChangerContext } from '../../src/appointed/failover/primary_changer.js';
import { PrimaryHealthReports } from '../../src/appointed/failover/primary_health_reports.js';
import { countServableRoutes } from '../../src/appointed/placement/servable_routes.js';
import { START } from '../../src/positions/position.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { tableWithGroup } from '../tools/route_table.js';

const { GroupPhase, InstanceState } = whinyoke;
const REGIONS = new Map([
  ['n', 'north'],
  ['s', 'south'],
]);
const SOUTH = new Set(['south']);

void t.test('a route counts only for instances within its allowed regions', (t) => {
  const document = { table: tableWithGroup('g', SOUTH, undefined, new Set(['north', 'south'])) };
  const served = (zone: string, group = 'g'): number =>
    countServableRoutes({ id: 'i', group, zone }, { document, regionByZone: REGIONS });
  t.equal(served('s'), 2);
  t.equal(served('n'), 1);
  t.equal(served('unknown'), 0);
  t.equal(served('s', 'other'), 0);
  t.end();
});

const report = fc.record({
  sequence: fc.integer({ min: 8, max: 12 }),
  isEligible: fc.boolean(),
  routes: fc.integer({ min: 0, max: 2 }),
});

void t.test('allowed regions never override the proof that no commit is lost', (t) => {
  const status = (sequence: number) =>
    ({
      role: 'replica',
      term: 3,
      received: { term: 3, sequence },
      fencedTerm: 4,
      lagMs: 0,
    }) as const;
  const position = fc.option(fc.integer({ min: 8, max: 12 }), { nil: undefined });
  let chosenOfSeveral = 0;
  const property = fc.property(
    fc.array(report, { minLength: 1, maxLength: 4 }),
    fc.integer({ min: 0, max: 1 }),
    position,
    position,
    fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()),
    (drawn, missing, old, acknowledged, [isConfirmedByAll, areProxiesKnown, areReplicasKnown]) => {
      const reports = drawn.map(({ sequence, isEligible }, index) => {
        return { instance: `${index}`, status: status(sequence), isEligible };
      });
      const input: ChoiceInput = {
        reports,
        missing,
        oldPrimary: old === undefined ? undefined : status(old),
        revocation: {
          isConfirmedByAll,
          acknowledged:
            acknowledged === undefined ? undefined : { term: 3, sequence: acknowledged },
        },
        proxyWatermark: areProxiesKnown ? START : undefined,
        replicaWatermark: areReplicasKnown ? START : undefined,
        inheritedPosition: START,
        oldTerm: 3,
      };
      const routesOf = (instance: string): number => drawn[Number(instance)]!.routes;
      const choice = chooseCandidate({ ...input, servedRoutes: routesOf });
      // Instances that would be chosen if they alone were eligible: their own proof, without any preference.
      const proven = reports.filter(({ instance, isEligible }) => {
        const only = reports.map((item) => ({ ...item, isEligible: item.instance === instance }));
        return isEligible && chooseCandidate({ ...input, reports: only }) !== undefined;
      });
      if (proven.length > 1) chosenOfSeveral++;
      if (!choice) return proven.length === 0;
      const maxRoutes = Math.max(...proven.map(({ instance }) => routesOf(instance)));
      const isProven = proven.some(({ instance }) => instance === choice.instance);
      return isProven && routesOf(choice.instance) === maxRoutes;
    },
  );
  fc.assert(property, { seed: 36, numRuns: 2000 });
  t.ok(chosenOfSeveral > 100, `several instances were proven in ${chosenOfSeveral} runs`);
  t.end();
});

/** A leader that knows a primary in the north and a replica in the south; records the commands that it proposes. */
function createLeader(table: RouteTable): {
  controller: FailoverController;
  proposed: whinyoke.ICatalogCommand[];
  setNow: (time: number) => void;
  setTable: (next: RouteTable) => void;
  apply: (command: whinyoke.ICatalogCommand) => void;
  /** Records a heartbeat of an instance. */
  hear: (id: string) => void;
} {
  const document = { table };
  let now = 0;
  const catalog = new Catalog();
  const proposed: whinyoke.ICatalogCommand[] = [];
  let index = 0;
  const apply = (command: whinyoke.ICatalogCommand): void =>
    void catalog.apply(++index, whinyoke.CatalogCommand.encode(command).finish());
  const { READY: state } = InstanceState;
  apply({ putInstance: { id: 'p', group: 'g', zone: 'n', state, address: '10.0.0.1:80' } });
  apply({ putInstance: { id: 'r', group: 'g', zone: 's', state, address: '10.0.0.2:80' } });
  const { STEADY: phase } = GroupPhase;
  apply({ putGroup: { group: 'g', epoch: 1, phase, primary: 'p', term: 1 } });
  const context = {
    clock: { now: () => now, setTimer: () => ({ cancel: () => undefined }) },
    catalog,
    propose: (command: whinyoke.ICatalogCommand) => {
      proposed.push(command);
      apply(command);
      // The steps of the change are not under test.
      return Promise.reject(new Error('ends here'));
    },
    log: () => undefined,
    isLeading: () => proposed.length === 0,
    document,
    regionByZone: REGIONS,
  } as unknown as PrimaryChangerContext;
  const monitor = new InstanceMonitor();
  const hear = (id: string): void =>
    monitor.recordHeartbeat({ instance: { id, sequence: now } }, now);
  const controller = new FailoverController(context, monitor, new PrimaryHealthReports());
  const setTable = (next: RouteTable): void => void (document.table = next);
  return { controller, proposed, setNow: (time) => (now = time), setTable, apply, hear };
}

void t.test(
  'a healthy primary is replaced as planned by an instance that may serve more routes',
  (t) => {
    const bound = createLeader(tableWithGroup('g', SOUTH, undefined));
    bound.controller.checkAll();
    t.match(bound.proposed, [
      { putGroup: { epoch: 2, phase: GroupPhase.CHANGING, planned: true } },
    ]);
    for (const allowedRegions of [undefined, new Set(['north']), new Set(['nowhere'])]) {
      const other = createLeader(tableWithGroup('g', allowedRegions));
      other.controller.checkAll();
      t.equal(
        other.proposed.length,
        0,
        `no change for ${allowedRegions ? [...allowedRegions].join() : 'no allowed regions'}`,
      );
    }
    t.end();
  },
);

void t.test('a change that ended outside the allowed regions is not retried at once', (t) => {
  const leader = createLeader(tableWithGroup('g', undefined));
  const { controller, proposed, setNow, setTable, apply, hear } = leader;
  controller.checkAll();
  const { CHANGING, STEADY } = GroupPhase;
  apply({ putGroup: { group: 'g', epoch: 2, phase: CHANGING, primary: 'p', term: 1 } });
  apply({ putGroup: { group: 'g', epoch: 3, phase: STEADY, primary: 'p', term: 2 } });
  controller.checkAll();
  setTable(tableWithGroup('g', SOUTH));
  setNow(4900);
  hear('r');
  controller.checkAll();
  t.equal(proposed.length, 0);
  setNow(30_100);
  hear('p');
  controller.checkAll();
  t.equal(proposed.length, 0, 'not to an instance without a recent heartbeat');
  hear('r');
  controller.checkAll();
  t.match(proposed, [{ putGroup: { epoch: 4, phase: CHANGING, planned: true } }]);
  t.end();
});
