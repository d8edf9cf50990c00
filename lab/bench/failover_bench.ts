/**
 * Gap in service during a failover: for each caller the time from its last acknowledged write before a
 * fault of the primary to the first one after. Whole deployments on virtual time.
 */
import type { GatewayOptions } from '../../src/mysql/gateway/group_gateway.js';
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import { DEFAULT_MONITOR_OPTIONS } from '../../src/mysql/topology/group_monitor.js';
import type { Deployment } from '../fleet/deployment.js';
import { checkHistory, operationsOf } from '../history/checker.js';
import type { HistoryEvent } from '../history/history.js';
import type { FaultKind } from '../simulation/faults.js';
import type { Experiment, Variant } from './experiment.js';
import { Latency } from './latency.js';
import type { ReportRow } from './report.js';
import { startScenario } from './scenario.js';

const FAULTS: readonly FaultKind[] = ['kill-primary', 'freeze-primary', 'isolate-primary'];
const RUNS_PER_FAULT = 12;
/** Seed of the first run of each fault; the others follow. */
const FIRST_SEED = 1000;
const SESSIONS = 8;
/** Rows that sessions write: four for each, so that they seldom wait for each other's locks. */
const REGISTERS = SESSIONS * 4;
/** Usual lag of the secondaries, in milliseconds. */
const LAG_MS = 20;
const BEFORE_FAULT_MS = 1500;
const AFTER_FAULT_MS = 6000;
/** Writes that end with the fault, within this many milliseconds, were on their way before it. */
const MICRO_GAP_MS = 1;

interface FailoverVariant extends Variant {
  readonly protections: ProtectionSet;
  readonly gateway: Partial<GatewayOptions>;
}

const VARIANTS: readonly FailoverVariant[] = [
  { name: 'whinyoke', protections: ProtectionSet.all, gateway: {} },
  {
    name: 'baseline: trusts a monitor of 1 s',
    protections: ProtectionSet.without('commit-evidence'),
    gateway: {
      monitor: {
        ...DEFAULT_MONITOR_OPTIONS,
        ...{ intervalMs: 1000, urgentIntervalMs: 1000, timeoutMs: 900 },
      },
    },
  },
];

interface Measured {
  readonly gaps: Latency;
  readonly elections: Latency;
  readonly ratios: number[];
  wrongAnswers: number;
  unrecovered: number;
}

/** Gap of each session around the fault; undefined for sessions that never wrote again. */
function gapsOf(events: readonly HistoryEvent[], faultAt: number): (number | undefined)[] {
  const writes = operationsOf(events).filter(({ invoke, ok }) => ok && invoke.kind === 'write');
  const bySession = new Map<string, number[]>();
  for (const { invoke, ok } of writes) {
    const times = bySession.get(invoke.session) ?? [];
    times.push(ok!.at);
    bySession.set(invoke.session, times);
  }
  return [...bySession.values()].map((times) => {
    const before = times.filter((at) => at <= faultAt).at(-1) ?? faultAt;
    const after = times.find((at) => at > faultAt + MICRO_GAP_MS && at - before > 0);
    return after === undefined ? undefined : after - before;
  });
}

async function runOne(
  deployment: Deployment,
  variant: FailoverVariant,
  fault: FaultKind,
  seed: number,
  measured: Measured,
): Promise<void> {
  const scenario = await startScenario({
    seed,
    deployment,
    protections: variant.protections,
    gateway: variant.gateway,
    lagMs: LAG_MS,
    sessions: SESSIONS,
    tokens: true,
    writeShare: 1,
    thinkMs: 0,
    registers: REGISTERS,
  });
  const { world } = scenario;
  await world.run(BEFORE_FAULT_MS);
  const faultAt = world.scheduler.now;
  const end = scenario.startFault(fault);
  await world.run(AFTER_FAULT_MS);
  end?.();
  await scenario.finish();
  const events = world.history.events;
  const elected = events.find((event) => event.type === 'elected' && event.at > faultAt);
  const electionMs = elected ? elected.at - faultAt : NaN;
  if (elected) measured.elections.add(electionMs);
  for (const gap of gapsOf(events, faultAt)) {
    if (gap === undefined) {
      measured.unrecovered++;
      continue;
    }
    measured.gaps.add(gap);
    if (elected) measured.ratios.push(gap / electionMs);
  }
  measured.wrongAnswers += checkHistory(events).length;
}

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? NaN;
}

async function measure(
  deployment: Deployment,
  variant: FailoverVariant,
  fault: FaultKind,
): Promise<ReportRow> {
  const measured: Measured = {
    gaps: new Latency(),
    elections: new Latency(),
    ratios: [],
    wrongAnswers: 0,
    unrecovered: 0,
  };
  for (let run = 0; run < RUNS_PER_FAULT; run++) {
    await runOne(deployment, variant, fault, FIRST_SEED + run, measured);
  }
  const { gaps, elections, ratios, unrecovered, wrongAnswers } = measured;
  return {
    fault,
    failovers: elections.count,
    'election ms (median)': elections.percentile(50),
    'gap ms (minimum)': gaps.minimum,
    'gap ms (median)': gaps.percentile(50),
    'gap ms (99%)': gaps.percentile(99),
    'gap ms (longest)': gaps.maximum,
    'gap / election (median)': median(ratios),
    'sessions never served again': unrecovered,
    'wrong answers': wrongAnswers,
  };
}

/** The experiment. */
export const FAILOVER: Experiment<FailoverVariant, FaultKind> = {
  name: 'failover',
  title: 'Failover gap',
  variants: VARIANTS,
  settings: FAULTS,
  measure,
  notes: ({ networkMs, callerMs }) => [
    `Virtual time, one group of three, ${SESSIONS} sessions that write without pause and roam over all proxies; ${RUNS_PER_FAULT} failovers for each fault; one-way delay ${networkMs} ms between machines, ${callerMs} ms to callers.`,
    'The gap is that of each session: from its last acknowledged write before the fault to its first one after. The election is the time from the fault to the new primary.',
    'Wrong answers are violations that the history checker finds.',
  ],
};
