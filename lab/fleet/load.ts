/** A deployment of real processes under the workload and random faults, with its history checked. */
import { rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { checkHistory } from '../history/checker.js';
import { HistoryRecorder, formatHistory } from '../history/history.js';
import { printSummary } from '../history/summary.js';
import type { Fleet } from './fleet.js';
import { type FleetPrograms, startFleet, startWorkload } from './fleet_workload.js';
import { injectProcessFaults } from './process_faults.js';

/** Options of a run. */
export interface LoadOptions extends FleetPrograms {
  readonly durationMs: number;
  readonly sessions: number;
  readonly withFaults: boolean;
  /** Chooses the faults. */
  readonly seed: number;
  readonly historyFile?: string;
  /** Whether logs and history are kept when an invariant was broken. */
  readonly keepsFailures?: boolean;
}

const HISTORY_FILE = 'history.jsonl';
const CALM_MS = 5000;

async function recordUsage(fleet: Fleet, history: HistoryRecorder): Promise<void> {
  const { slots, connections } = fleet.layout.deployment;
  for (const instance of fleet.layout.instances) {
    const { usage } = await fleet.instanceState(instance);
    history.add({
      type: 'usage',
      at: performance.now(),
      instance: instance.mysql,
      highestRunning: usage.highestRunning,
      slots,
      highestConnections: usage.highestConnections,
      connections,
      refusedStatements: usage.refusedStatements,
    });
  }
}

/** Runs it; resolves with whether every invariant held. */
export async function runLoad(options: LoadOptions): Promise<boolean> {
  const { fleet, folder } = await startFleet(options, 1);
  const history = new HistoryRecorder();
  let isKept = options.keepsFailures === true;
  try {
    const workload = await startWorkload(fleet, options.sessions, history);
    const random = new SeededRandom(options.seed);
    if (options.withFaults) {
      const count = await injectProcessFaults(fleet, random, history, options.durationMs);
      console.log(`${count} faults`);
      await sleep(CALM_MS);
    } else {
      await sleep(options.durationMs);
    }
    await workload.finish();
    await recordUsage(fleet, history);
    const violations = checkHistory(history.events);
    printSummary(history.events, violations);
    if (options.historyFile !== undefined) {
      writeFileSync(options.historyFile, formatHistory(history.events));
    }
    isKept &&= violations.length > 0;
    if (isKept) writeFileSync(join(folder, HISTORY_FILE), formatHistory(history.events));
    return violations.length === 0;
  } finally {
    await fleet.stop();
    if (isKept) console.log(`logs and history are kept in ${folder}`);
    else rmSync(folder, { recursive: true, force: true });
  }
}

/** Runs a deployment until SIGINT or SIGTERM, and prints where it listens. */
export async function runFleet(options: FleetPrograms, stop: Promise<unknown>): Promise<void> {
  const { fleet, folder } = await startFleet(options, 1);
  try {
    for (const { id, listen, metrics } of fleet.layout.proxies) {
      console.log(`${id}: callers ${listen}, metrics http://${metrics}/metrics`);
    }
    for (const { mysql, admin, group } of fleet.layout.instances) {
      console.log(`${group}: instance ${mysql}, faults http://${admin}/`);
    }
    await stop;
  } finally {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}
