/**
 * Share of reads that replicas serve, and what freshness costs in latency, over replication lag, write
 * share, and with or without session tokens. Whole deployments on virtual time.
 */
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import type { Deployment } from '../fleet/deployment.js';
import { checkHistory, operationsOf } from '../history/checker.js';
import type { Experiment, Variant } from './experiment.js';
import { Latency } from './latency.js';
import type { ReportRow } from './report.js';
import { startScenario } from './scenario.js';

const LAGS_MS = [5, 50, 500, 5000];
const WRITE_SHARES = [0.02, 0.1, 0.3];
const SETTINGS = WRITE_SHARES.flatMap((writeShare) =>
  LAGS_MS.map((lagMs) => ({ writeShare, lagMs })),
);
/** Share of writes whose rows are drawn. */
const DRAWN_WRITE_SHARE = 0.1;
const SEED = 77;
const DURATION_MS = 4000;
const REGISTERS = 50;
const SESSIONS = 12;
const THINK_MS = 40;
const STALE_CHECKS = new Set(['read-your-writes', 'monotonic-reads', 'fresh-reads', 'dirty-reads']);

interface ReadVariant extends Variant {
  readonly tokens: boolean;
  readonly protections: ProtectionSet;
  /** All reads go to the primary. */
  readonly primaryOnly: boolean;
  /** Pause of each session after a write, in milliseconds. */
  readonly pauseAfterWriteMs?: number;
}

const VARIANTS: readonly ReadVariant[] = [
  { name: 'tokens', tokens: true, protections: ProtectionSet.all, primaryOnly: false },
  { name: 'no tokens', tokens: false, protections: ProtectionSet.all, primaryOnly: false },
  {
    name: 'baseline: primary only',
    tokens: false,
    protections: ProtectionSet.all,
    primaryOnly: true,
  },
  {
    name: 'baseline: any replica, 100 ms after a write',
    tokens: true,
    protections: ProtectionSet.without('read-position'),
    primaryOnly: false,
    pauseAfterWriteMs: 100,
  },
  {
    name: 'baseline: any replica',
    tokens: true,
    protections: ProtectionSet.without('read-position'),
    primaryOnly: false,
  },
];

type ReadSetting = (typeof SETTINGS)[number];

async function measure(
  deployment: Deployment,
  variant: ReadVariant,
  { lagMs, writeShare }: ReadSetting,
): Promise<ReportRow> {
  const scenario = await startScenario({
    seed: SEED,
    deployment,
    protections: variant.protections,
    lagMs,
    sessions: SESSIONS,
    tokens: variant.tokens,
    writeShare,
    thinkMs: THINK_MS,
    registers: REGISTERS,
    withoutToken: variant.primaryOnly ? 'primary' : 'barrier',
    pauseAfterWriteMs: variant.pauseAfterWriteMs,
  });
  const { world } = scenario;
  await world.run(DURATION_MS);
  await scenario.finish();
  const latency = new Latency();
  for (const { invoke, ok } of operationsOf(world.history.events)) {
    if (invoke.kind === 'read' && ok) latency.add(ok.at - invoke.at);
  }
  const gateways = world.proxies.flatMap((proxy) => proxy.core?.activeGateways ?? []);
  const sum = (pick: 'replicaReads' | 'primaryReads'): number =>
    gateways.reduce((total, gateway) => total + gateway.counters[pick], 0);
  const [replica, primary] = [sum('replicaReads'), sum('primaryReads')];
  const stale = checkHistory(world.history.events).filter(({ check }) => STALE_CHECKS.has(check));
  return {
    'lag ms': lagMs,
    'write share': writeShare,
    reads: replica + primary,
    'replica share %': (100 * replica) / (replica + primary),
    'read ms (median)': latency.percentile(50),
    'read ms (99%)': latency.percentile(99),
    'stale reads': stale.length,
  };
}

/** The experiment. */
export const REPLICA_READS: Experiment<ReadVariant, ReadSetting> = {
  name: 'replica-reads',
  title: 'Reads on replicas',
  variants: VARIANTS,
  settings: SETTINGS,
  measure,
  notes: () => [
    `Virtual time, one group of three, ${SESSIONS} sessions that choose another proxy for each request, ${DURATION_MS / 1000} s for each line, ${REGISTERS} registers.`,
    'Lag is the time between receiving and executing on each secondary. Stale reads are what the history checker finds.',
  ],
  plot: {
    title: 'Share of reads on replicas',
    xLabel: 'replication lag, ms',
    yLabel: 'replica share, %',
    xColumn: 'lag ms',
    yColumn: 'replica share %',
    variants: VARIANTS.slice(0, 2),
    label: ({ name }) => `${name}, 10% writes`,
    includes: (row) => row['write share'] === DRAWN_WRITE_SHARE,
  },
};
