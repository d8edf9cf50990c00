/** The `simulate` command: many seeds on worker threads, a verdict, and how to replay what failed. */
import { writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { Worker } from 'node:worker_threads';
import type { Protection } from '../../src/mysql/gateway/protections.js';
import { APPOINTED_DEPLOYMENTS } from '../appointed/appointed_deployment.js';
import {
  type AppointedFaultKind,
  faultsOf as appointedFaultsOf,
  nameableFaultsOf as nameableAppointedFaultsOf,
} from '../appointed/appointed_faults.js';
import type { AppointedProtection } from '../appointed/disabled_protections.js';
import { type HistoryEvent, parseHistory } from '../history/history.js';
import { DISK_FAULT_KINDS, FAULT_KINDS, type FaultKind } from './faults.js';
import type { SimulationReport, SimulationTask } from './simulation_worker.js';

/** Options of the command. */
export interface SimulateOptions {
  readonly deployment: string;
  readonly firstSeed: number;
  readonly lastSeed: number;
  readonly faults: readonly (FaultKind | AppointedFaultKind)[];
  readonly disabled?: Protection | AppointedProtection;
  /** Worker threads; half of the processors when undefined. */
  readonly jobs?: number;
  /** Stop at the first seed with a violation. */
  readonly stopAtFailure: boolean;
  /** Where to write the history of the last run that failed. */
  readonly historyFile?: string;
}

/** Totals over all seeds. */
export interface SimulateSummary {
  readonly passed: number;
  readonly failed: readonly SimulationReport[];
  readonly operations: number;
  readonly errors: number;
}

const SHOWN_VIOLATIONS = 5;
const MAXIMUM_TIMELINE = 60;
const WORKER_FILE = new URL('./simulation_worker.js', import.meta.url);

/** Runs all seeds; reports arrive in any order. */
export async function runSeeds(
  options: SimulateOptions,
  onReport: (report: SimulationReport) => void = () => undefined,
): Promise<SimulateSummary> {
  const reports: SimulationReport[] = [];
  let nextSeed = options.firstSeed;
  let isStopped = false;
  const count = options.lastSeed - options.firstSeed + 1;
  const jobs = Math.min(count, options.jobs ?? Math.ceil(availableParallelism() / 2));
  const runWorker = async (): Promise<void> => {
    const worker = new Worker(WORKER_FILE);
    try {
      while (nextSeed <= options.lastSeed && !isStopped) {
        const report = await runOn(worker, options, nextSeed++);
        reports.push(report);
        onReport(report);
        if (options.stopAtFailure && report.violations.length > 0) isStopped = true;
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(Array.from({ length: jobs }, runWorker));
  reports.sort((left, right) => left.seed - right.seed);
  return {
    passed: reports.filter((report) => report.violations.length === 0).length,
    failed: reports.filter((report) => report.violations.length > 0),
    operations: reports.reduce((sum, report) => sum + report.operations, 0),
    errors: reports.reduce((sum, report) => sum + report.errors, 0),
  };
}

function runOn(worker: Worker, options: SimulateOptions, seed: number): Promise<SimulationReport> {
  const { deployment, faults, disabled } = options;
  const task: SimulationTask = { seed, deployment, faults, disabled };
  return new Promise((resolve, reject) => {
    const onMessage = (report: SimulationReport): void => {
      worker.off('error', onError);
      resolve(report);
    };
    const onError = (error: unknown): void => {
      worker.off('message', onMessage);
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    worker.once('message', onMessage);
    worker.once('error', onError);
    worker.postMessage(task);
  });
}

/** Kinds of faults that a deployment knows. */
export function faultsOf(deployment: string): readonly (FaultKind | AppointedFaultKind)[] {
  const appointed = APPOINTED_DEPLOYMENTS.get(deployment);
  return appointed ? appointedFaultsOf(appointed) : FAULT_KINDS;
}

/** Kinds of faults that may be named for a deployment. */
export function nameableFaultsOf(deployment: string): readonly (FaultKind | AppointedFaultKind)[] {
  const appointed = APPOINTED_DEPLOYMENTS.get(deployment);
  return appointed ? nameableAppointedFaultsOf(appointed) : [...FAULT_KINDS, ...DISK_FAULT_KINDS];
}

/** Command that runs one seed again. */
function replayCommand(options: SimulateOptions, seed: number): string {
  const parts = [
    `whinyoke-lab simulate --deployment ${options.deployment} --seeds ${seed}-${seed}`,
  ];
  if (options.faults.join() !== faultsOf(options.deployment).join())
    parts.push(`--faults ${options.faults.join(',')}`);
  if (options.disabled !== undefined) parts.push(`--disable ${options.disabled}`);
  return parts.join(' ');
}

function describe(event: HistoryEvent): string | undefined {
  switch (event.type) {
    case 'fault':
      return event.description;
    case 'elected':
      return `${event.instance} became primary of ${event.group} in term ${event.term}`;
    case 'stop':
      return `planned stop of ${event.proxy}`;
    case 'invoke':
      return `${event.operation}: ${event.kind} ${event.group}/${event.key} at ${event.proxy}`;
    case 'ok':
      return `${event.operation}: ok, version ${event.version ?? '-'}, term ${event.term ?? '-'}`;
    case 'error':
      return `${event.operation}: ${event.verdict}: ${event.message}`;
    default:
      return undefined;
  }
}

/** What happened around the operations that a report's violations name. */
function timelineOf(report: SimulationReport): string[] {
  const isPlainText = !report.history.startsWith('{');
  if (isPlainText) return report.history.split('\n').slice(0, MAXIMUM_TIMELINE);
  const named = new Set(
    report.violations
      .slice(0, SHOWN_VIOLATIONS)
      .flatMap(({ message }) => message.match(/\bs\d+\.\d+\b/g) ?? []),
  );
  const lines = parseHistory(report.history).flatMap((event) => {
    const isOperation = event.type === 'invoke' || event.type === 'ok' || event.type === 'error';
    if (isOperation && !named.has(event.operation)) return [];
    const text = describe(event);
    return text === undefined ? [] : [`${event.at.toFixed(1).padStart(9)} ms  ${text}`];
  });
  return lines.slice(0, MAXIMUM_TIMELINE);
}

function printFailure(report: SimulationReport, options: SimulateOptions): void {
  console.log(`seed ${report.seed}: ${report.violations.length} violations`);
  for (const { check, message } of report.violations.slice(0, SHOWN_VIOLATIONS)) {
    console.log(`  ${check}: ${message}`);
  }
  console.log(`  replay: ${replayCommand(options, report.seed)}`);
  for (const line of timelineOf(report)) console.log(`  ${line}`);
}

/** Runs the command; resolves with whether no run had a violation. */
export async function runSimulateCommand(options: SimulateOptions): Promise<boolean> {
  const summary = await runSeeds(options);
  for (const report of summary.failed.slice(0, SHOWN_VIOLATIONS)) printFailure(report, options);
  const last = summary.failed.at(-1);
  if (last && options.historyFile !== undefined) writeFileSync(options.historyFile, last.history);
  const seeds = summary.failed.map((report) => report.seed).join(' ');
  if (seeds !== '') console.log(`failed seeds: ${seeds}`);
  console.log(`${summary.operations} operations, ${summary.errors} errors to callers`);
  console.log(`${summary.passed} passed, ${summary.failed.length} failed`);
  return summary.failed.length === 0;
}
