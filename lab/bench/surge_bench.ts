/**
 * Surge: lookups arrive at up to ten times the capacity of the replicas, emergency bookings go on beside
 * them, and proxies die and leave meanwhile. Open loop, on virtual time.
 */
import type { GatewayOptions } from '../../src/mysql/gateway/group_gateway.js';
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import { delay } from '../../src/runtime/runtime.js';
import type { Deployment } from '../fleet/deployment.js';
import { checkLimits } from '../history/checker.js';
import type { World } from '../simulation/world.js';
import { CallerError } from '../workload/caller.js';
import type { Experiment, Variant } from './experiment.js';
import { Latency } from './latency.js';
import type { ReportRow } from './report.js';
import { startGroup } from './scenario.js';

const SEED = 5;
/** Usual lag of the secondaries, in milliseconds. */
const LAG_MS = 5;
const REGISTERS = 3;
/** Time that a statement holds its slot, in milliseconds. */
const STATEMENT_MS = 20;
/** Load over what the replicas can serve. */
const FACTORS = [0.5, 1, 2, 5, 10];
const RAMP_MS = 2000;
const DURATION_MS = 4000;
const PATIENCE_MS = 2000;
const EMERGENCIES_PER_SECOND = 10;
const REPLICAS = 2;

interface SurgeVariant extends Variant {
  readonly queue: number;
  readonly gateway: Partial<GatewayOptions>;
}

const VARIANTS: readonly SurgeVariant[] = [
  { name: 'whinyoke', queue: 500, gateway: { queueTimeoutMs: 1000 } },
  { name: 'baseline: long queue', queue: 100_000, gateway: { queueTimeoutMs: 60_000 } },
];

class Totals {
  readonly latency = new Latency();
  readonly refusal = new Latency();
  offered = 0;
  served = 0;
  refusedWithRetry = 0;
  failed = 0;
}

class Load {
  readonly lookups = new Totals();
  readonly emergencies = new Totals();
  private isOver = false;
  private nextKey = 1;

  constructor(
    private readonly world: World,
    private readonly group: string,
    /** Lookups a second at full load. */
    private readonly rate: number,
  ) {}

  stop(): void {
    this.isOver = true;
  }

  async runLookups(measureFrom: number): Promise<void> {
    const { clock, random } = this.world.outside;
    const startedAt = clock.now();
    while (!this.isOver) {
      const share = Math.min(1, (clock.now() - startedAt) / RAMP_MS + 0.05);
      await delay(clock, (-Math.log(1 - random.next()) * 1000) / (this.rate * share));
      const sql = `SELECT version FROM registers WHERE id = 'r${random.integer(0, REGISTERS - 1)}'`;
      void this.send(sql, this.lookups, clock.now() >= measureFrom);
    }
  }

  async runEmergencies(measureFrom: number): Promise<void> {
    const { clock } = this.world.outside;
    while (!this.isOver) {
      await delay(clock, 1000 / EMERGENCIES_PER_SECOND);
      const key = `e${this.nextKey++}`;
      const sql =
        `INSERT INTO payments (attempt, once_key) VALUES ('${key}', '${key}')` +
        ` /*whinyoke_once='${key}'*/`;
      void this.send(sql, this.emergencies, clock.now() >= measureFrom);
    }
  }

  private async send(sql: string, totals: Totals, isMeasured: boolean): Promise<void> {
    const { clock, random } = this.world.outside;
    const connector = this.world.callerConnector();
    const live = this.world.proxies.filter((proxy) => proxy.isUp && !proxy.core?.isStopping);
    const proxy = live[random.integer(0, live.length - 1)]?.name ?? connector.proxies[0]!;
    const counted = isMeasured ? totals : new Totals();
    counted.offered++;
    const sentAt = clock.now();
    try {
      const connection = await connector.connect(proxy, this.group);
      await connection.execute(sql).finally(() => connection.close());
      const took = clock.now() - sentAt;
      counted.latency.add(took);
      if (took <= PATIENCE_MS) counted.served++;
      else counted.failed++;
    } catch (error) {
      if (!(error instanceof CallerError)) throw error;
      const isRefused = error.verdict === 'not_run' && error.retryAfterMs !== undefined;
      if (isRefused) counted.refusedWithRetry++;
      else counted.failed++;
      counted.refusal.add(clock.now() - sentAt);
    }
  }
}

/** Lookups that the two replicas serve at most, a second. */
function capacityOf({ slots }: Deployment): number {
  return (REPLICAS * slots * 1000) / STATEMENT_MS;
}

async function measure(
  deployment: Deployment,
  variant: SurgeVariant,
  factor: number,
): Promise<ReportRow> {
  const options = {
    seed: SEED,
    deployment,
    protections: ProtectionSet.all,
    gateway: variant.gateway,
    lagMs: LAG_MS,
    statementMs: STATEMENT_MS,
  };
  const limits = { queue: variant.queue };
  const { world, group } = await startGroup(options, { registers: REGISTERS, limits });
  const load = new Load(world, group, capacityOf(deployment) * factor);
  const measureFrom = world.scheduler.now + RAMP_MS;
  const running = [load.runLookups(measureFrom), load.runEmergencies(measureFrom)];
  await world.run(RAMP_MS + DURATION_MS / 2);
  const [first, second] = world.proxies;
  first?.kill();
  await world.run(DURATION_MS / 4);
  first?.start();
  second?.stopPlanned();
  await world.run(DURATION_MS / 4);
  load.stop();
  await Promise.all([world.run(PATIENCE_MS * 3), ...running]);
  for (const instance of world.instances) instance.recordUsage();
  const { lookups, emergencies } = load;
  const seconds = DURATION_MS / 1000;
  return {
    'load / capacity': factor,
    'lookups offered / s': lookups.offered / seconds,
    'served / s': lookups.served / seconds,
    'refused with retry-after / s': lookups.refusedWithRetry / seconds,
    'failed or late / s': lookups.failed / seconds,
    'lookup ms (median)': lookups.latency.percentile(50),
    'lookup ms (99%)': lookups.latency.percentile(99),
    'refusal ms (99%)': lookups.refusal.percentile(99),
    'emergencies served': `${emergencies.served} of ${emergencies.offered}`,
    'emergency ms (median)': emergencies.latency.percentile(50),
    'emergency ms (99%)': emergencies.latency.percentile(99),
    'limits exceeded': checkLimits(world.history.events).length,
  };
}

/** The experiment. */
export const SURGE: Experiment<SurgeVariant, number> = {
  name: 'surge',
  title: 'Surge',
  variants: VARIANTS,
  settings: FACTORS,
  measure,
  notes: (deployment) => [
    `Virtual time, open loop, one group of three with ${deployment.slots} slots and ${deployment.connections} connections an instance, ${STATEMENT_MS} ms a statement: the two replicas serve at most ${capacityOf(deployment)} lookups a second. Full load is reached within ${RAMP_MS / 1000} s; then ${DURATION_MS / 1000} s are measured.`,
    `${EMERGENCIES_PER_SECOND} emergency bookings a second go on beside, each a marked write. Half way one proxy is killed, later started, and another is stopped.`,
    `Served means answered within ${PATIENCE_MS / 1000} s.`,
  ],
  plot: {
    title: 'Lookups served',
    xLabel: 'load / capacity',
    yLabel: 'served per second',
    xColumn: 'load / capacity',
    yColumn: 'served / s',
    variants: VARIANTS,
    label: ({ name }) => name,
    includes: () => true,
  },
};
