/**
 * The demonstration: a whole deployment as processes, the booking workload, one killed primary, and what
 * callers saw of it.
 */
import { rmSync, writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { checkHistory, operationsOf } from '../history/checker.js';
import { HistoryRecorder, formatHistory } from '../history/history.js';
import { printSummary } from '../history/summary.js';
import type { Fleet } from './fleet.js';
import { startFleet, startWorkload } from './fleet_workload.js';

/** Options of the demonstration. */
export interface DemoOptions {
  readonly deployment: string;
  /** Length of the workload, in milliseconds. */
  readonly durationMs: number;
  readonly sessions: number;
  /** Where to write the history; nowhere when undefined. */
  readonly historyFile?: string;
  readonly labProgram: string;
  readonly proxyProgram: string;
}

/** Longest time without a successful write in a group around a moment. */
function failoverGap(history: HistoryRecorder, group: string, killedAt: number): number {
  const writes = operationsOf(history.events)
    .filter(({ invoke, ok }) => ok && invoke.group === group && invoke.kind !== 'read')
    .map(({ ok }) => ok!.at)
    .sort((left, right) => left - right);
  const before = writes.filter((at) => at <= killedAt).at(-1) ?? killedAt;
  const after = writes.find((at) => at > killedAt + 20) ?? Infinity;
  return after - before;
}

async function readShare(fleet: Fleet): Promise<string> {
  const counts = { replica: 0, primary: 0 };
  for (const proxy of fleet.layout.proxies) {
    const response = await fetch(`http://${proxy.metrics}/metrics`);
    for (const line of (await response.text()).split('\n')) {
      const value = Number(line.split(' ').at(-1));
      if (line.includes('kind="replicaReads"')) counts.replica += value;
      if (line.includes('kind="primaryReads"')) counts.primary += value;
    }
  }
  const total = counts.replica + counts.primary;
  return `${((100 * counts.replica) / Math.max(1, total)).toFixed(1)}% of ${total}`;
}

async function runWorkload(
  fleet: Fleet,
  options: DemoOptions,
  history: HistoryRecorder,
): Promise<{ killedGroup: string; killedAt: number }> {
  const { deployment } = fleet.layout;
  const workload = await startWorkload(fleet, options.sessions, history);
  const killedGroup = deployment.groups[0]!;
  let killedAt = 0;
  for (let elapsed = 0; elapsed < options.durationMs; elapsed += 1000) {
    await sleep(1000);
    console.log(`  ${elapsed / 1000 + 1} s: ${workload.operationsDone()} operations done`);
    if (killedAt !== 0 || elapsed < options.durationMs / 2) continue;
    const primary = await fleet.primaryOf(killedGroup);
    if (!primary) continue;
    console.log(`  killing the primary of ${killedGroup} (${primary.mysql})`);
    killedAt = performance.now();
    await fleet.kill(primary.mysql);
  }
  await workload.finish();
  return { killedGroup, killedAt };
}

/** Runs the demonstration; resolves with whether every invariant held. */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  console.log(`starting deployment ${options.deployment}`);
  const { fleet, folder } = await startFleet(options, 1);
  const history = new HistoryRecorder();
  try {
    console.log('all processes run, the configuration is in force on each proxy');
    const { killedGroup, killedAt } = await runWorkload(fleet, options, history);
    const violations = checkHistory(history.events);
    const gap = failoverGap(history, killedGroup, killedAt);
    console.log(`reads on replicas:  ${await readShare(fleet)}`);
    console.log(`failover gap:       ${Math.round(gap)} ms for writes of ${killedGroup}`);
    printSummary(history.events, violations);
    if (options.historyFile !== undefined) {
      writeFileSync(options.historyFile, formatHistory(history.events));
    }
    return violations.length === 0 && Number.isFinite(gap);
  } finally {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}
