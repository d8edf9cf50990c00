/** Worker thread that runs simulations one after the other, as its parent asks for them. */
import { parentPort } from 'node:worker_threads';
import { ProtectionSet, type Protection } from '../../src/gateway/protections.js';
import { deploymentOf } from '../fleet/deployment.js';
import type { Violation } from '../history/violation.js';
import { formatHistory } from '../history/history.js';
import type { FaultKind } from './faults.js';
import { simulate } from './simulation.js';

/** One run to do. */
export interface SimulationTask {
  readonly seed: number;
  readonly deployment: string;
  readonly faults: readonly FaultKind[];
  readonly disabled: Protection | undefined;
}

/** Outcome of one run. */
export interface SimulationReport {
  readonly seed: number;
  readonly operations: number;
  readonly errors: number;
  readonly violations: readonly Violation[];
  /** Text of the history; only of runs with violations. */
  readonly history: string;
}

/** Runs one task. */
export async function runTask(task: SimulationTask): Promise<SimulationReport> {
  const { seed, deployment, faults, disabled } = task;
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
