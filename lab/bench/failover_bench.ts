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
import { Latency } from './latency.js';
import type { Report, ReportRow } from './report.js';
import { startScenario } from './scenario.js';

const FAULTS: readonly FaultKind[] = ['kill-primary', 'freeze-primary', 'isolate-primary'];
const RUNS_PER_FAULT = 12;
const SESSIONS = 8;
const ELECTION_TIMEOUT_MS = 300;
const BEFORE_FAULT_MS = 1500;
const AFTER_FAULT_MS = 6000;
const MICRO_GAP_MS = 1;

interface Variant {
  readonly name: string;
  readonly protections: ProtectionSet;
  readonly gateway: Partial<GatewayOptions>;
}

const VARIANTS: readonly Variant[] = [
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
  variant: Variant,
  fault: FaultKind,
  seed: number,
  measured: Measured,
): Promise<void> {
  const scenario = await startScenario({
    seed,
    deployment: { ...deployment, groups: deployment.groups.slice(0, 1) },
    protections: variant.protections,
    gateway: variant.gateway,
    lagMs: 20,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
    sessions: SESSIONS,
    tokens: true,
    writeShare: 1,
    thinkMs: 0,
    registers: SESSIONS * 4,
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

/** Runs the experiment for one deployment. */
export async function benchFailover(deployment: Deployment): Promise<Report> {
  const rows: ReportRow[] = [];
  for (const variant of VARIANTS) {
    for (const fault of FAULTS) {
      const measured: Measured = {
        gaps: new Latency(),
        elections: new Latency(),
        ratios: [],
        wrongAnswers: 0,
        unrecovered: 0,
      };
      for (let run = 0; run < RUNS_PER_FAULT; run++) {
        await runOne(deployment, variant, fault, 1000 + run, measured);
      }
      rows.push({
        variant: variant.name,
        fault,
        failovers: measured.elections.count,
        'election ms (median)': measured.elections.percentile(50),
        'gap ms (minimum)': measured.gaps.minimum,
        'gap ms (median)': measured.gaps.percentile(50),
        'gap ms (99%)': measured.gaps.percentile(99),
        'gap ms (longest)': measured.gaps.maximum,
        'gap / election (median)': median(measured.ratios),
        'sessions never served again': measured.unrecovered,
        'wrong answers': measured.wrongAnswers,
      });
    }
  }
  return {
    name: `failover-${deployment.name}`,
    title: `Failover gap, deployment ${deployment.name}`,
    notes: [
      `Virtual time, one group of three, ${SESSIONS} sessions that write without pause and roam over all proxies; ${RUNS_PER_FAULT} failovers for each fault; one-way delay ${deployment.networkMs} ms between machines, ${deployment.callerMs} ms to callers.`,
      'The gap is that of each session: from its last acknowledged write before the fault to its first one after. The election is the time from the fault to the new primary.',
      'Wrong answers are violations that the history checker finds.',
    ],
    rows,
  };
}
