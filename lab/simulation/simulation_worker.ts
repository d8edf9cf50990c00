/** Worker thread that runs simulations one after the other, as its parent asks for them. */
import { parentPort } from 'node:worker_threads';
import { ProtectionSet, type Protection } from '../../src/mysql/gateway/protections.js';
import { deploymentOf } from '../fleet/deployment.js';
import type { CheckName } from '../history/violation.js';
import { formatHistory } from '../history/history.js';
import {
  APPOINTED_DEPLOYMENTS,
  type AppointedDeployment,
} from '../appointed/appointed_deployment.js';
import type { AppointedFaultKind } from '../appointed/appointed_faults.js';
import { runAppointed } from '../appointed/appointed_simulation.js';
import type { ViolationKind } from '../appointed/appointed_judge.js';
import type { AppointedProtection } from '../appointed/disabled_protections.js';
import type { FaultKind } from './faults.js';
import { simulate } from './simulation.js';

/** One run to do. */
export interface SimulationTask {
  readonly seed: number;
  readonly deployment: string;
  readonly faults: readonly (FaultKind | AppointedFaultKind)[];
  readonly disabled: Protection | AppointedProtection | undefined;
}

/** A broken promise: the check that found it, and what it found. */
export interface FoundViolation {
  readonly check: CheckName | ViolationKind;
  readonly message: string;
}

/** Outcome of one run. */
export interface SimulationReport {
  readonly seed: number;
  readonly operations: number;
  readonly errors: number;
  readonly violations: readonly FoundViolation[];
  /** Text of the history; only of runs with violations. */
  readonly history: string;
}

/** Runs one task. */
export async function runTask(task: SimulationTask): Promise<SimulationReport> {
  const appointed = APPOINTED_DEPLOYMENTS.get(task.deployment);
  return appointed ? runAppointedTask(task, appointed) : runElectedTask(task);
}

async function runAppointedTask(
  task: SimulationTask,
  deployment: AppointedDeployment,
): Promise<SimulationReport> {
  const { seed } = task;
  const report = await runAppointed({
    deployment,
    seed,
    faults: task.faults as readonly AppointedFaultKind[],
    disabled: task.disabled === undefined ? [] : [task.disabled as AppointedProtection],
  });
  const broken = report.violations.map(({ kind, at, detail }) => ({
    check: kind,
    message: `${at} ms: ${detail}`,
  }));
  const unwritable = report.unwritable.map((group) => ({
    check: 'recovery' as const,
    message: `${group} can't be written after the faults`,
  }));
  const violations = [...broken, ...unwritable];
  const { runs = 0, refused = 0, inDoubt = 0 } = report.counts;
  const history = report.faults.map((fault) => `${fault}\n`).join('');
  return { seed, operations: runs, errors: refused + inDoubt, violations, history };
}

async function runElectedTask(task: SimulationTask): Promise<SimulationReport> {
  const { seed, deployment } = task;
  const faults = task.faults as readonly FaultKind[];
  const disabled = task.disabled as Protection | undefined;
  const { violations, history } = await simulate({
    seed,
    deployment: deploymentOf(deployment),
    protections: disabled === undefined ? ProtectionSet.all : ProtectionSet.without(disabled),
    faults,
  });
  return {
    seed,
    operations: history.filter((event) => event.type === 'invoke').length,
    errors: history.filter((event) => event.type === 'error').length,
    violations,
    history: violations.length > 0 ? formatHistory(history) : '',
  };
}

parentPort?.on('message', (task: SimulationTask) => {
  const failed = (error: unknown): SimulationReport => ({
    seed: task.seed,
    operations: 0,
    errors: 0,
    violations: [{ check: 'recovery', message: `the run broke off: ${String(error)}` }],
    history: '',
  });
  void runTask(task)
    .catch(failed)
    .then((report) => parentPort?.postMessage(report));
});
