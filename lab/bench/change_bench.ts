/**
 * Cost of one configuration change on a proxy, over the number of groups in force: processor time until the
 * new revision is stored and used, bytes written, and memory held.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { stringify } from 'yaml';
import type { whinyoke } from '../../src/protocol/generated/messages.js';
import { ProxyCore } from '../../src/mysql/proxy/proxy_core.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { RealFolder } from '../../src/runtime/real_folder.js';
import type { DataFolder, Messenger } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { Latency } from './latency.js';
import type { Report, ReportRow } from './report.js';

const GROUP_COUNTS = [100, 1000, 4000, 12_667];
const CHANGES = 60;
const OTHER_PROXIES = 4899;
const CHANGES_PER_SECOND = 37_000 / 86_400;
const BYTES_PER_MEGABYTE = 1e6;

/** Counts what is written. */
function counting(folder: DataFolder, count: (bytes: number) => void): DataFolder {
  return {
    read: (name) => folder.read(name),
    sync: (name) => folder.sync(name),
    truncate: (name, length) => folder.truncate(name, length),
    remove: (name) => folder.remove(name),
    list: () => folder.list(),
    append: (name, bytes) => {
      count(bytes.length);
      return folder.append(name, bytes);
    },
    replace: (name, bytes) => {
      count(bytes.length);
      return folder.replace(name, bytes);
    },
  };
}

function documentOf(index: number, revision: number): whinyoke.IConfigurationDocument {
  const name = `g${index}`;
  const instances = [1, 2, 3].map((instance) => ({
    address: `10.${20 + instance}.${index >> 8}.${index & 255}:3306`,
    zone: `zone-${instance}`,
  }));
  const reads = { wait_ms: 50 + (revision % 50) };
  const group = { name, schemas: [name], instances, reads };
  return { name, revision, document: stringify({ name, groups: [group] }) };
}

/** Knows a fleet of many other proxies, so that this one is the gateway of few groups. */
const fleetMessenger: Messenger = {
  request: (_address, body) => {
    if (!body.heartbeatRequest) return new Promise(() => undefined);
    const changed = Array.from({ length: OTHER_PROXIES }, (_, index) => ({
      id: `other-${index}`,
      address: `10.3.${index >> 8}.${index & 255}:7000`,
    }));
    return Promise.resolve({ heartbeatReply: { epoch: 'e', version: 1, full: true, changed } });
  },
  serve: () => undefined,
};

async function measure(groups: number): Promise<ReportRow> {
  const path = mkdtempSync(join(tmpdir(), 'whinyoke-change-'));
  globalThis.gc?.();
  const memoryBefore = process.memoryUsage().heapUsed;
  let written = 0;
  const realFolder = await RealFolder.open(path);
  const folder = counting(realFolder, (bytes) => {
    written += bytes;
  });
  const never = (): Promise<never> => new Promise(() => undefined);
  const random = new SeededRandom(1);
  const core = new ProxyCore(
    { clock: new RealClock(), random, folder, messenger: fleetMessenger },
    { connect: never },
    { id: 'proxy-0', address: '10.2.0.1:7000', zone: 'zone-1', controls: ['10.1.0.1:7000'] },
  );
  await core.start();
  await sleep(50);
  const documents = Array.from({ length: groups }, (_, index) => documentOf(index, 1));
  await core.handle({ watchReply: { revision: 1, documents, complete: true } });
  globalThis.gc?.();
  const memory = (process.memoryUsage().heapUsed - memoryBefore) / BYTES_PER_MEGABYTE;
  written = 0;
  const elapsed = new Latency();
  const processorBefore = process.cpuUsage();
  for (let change = 0; change < CHANGES; change++) {
    const revision = change + 2;
    const changed = [documentOf((change * 37) % groups, revision)];
    const startedAt = performance.now();
    await core.handle({ watchReply: { revision, documents: changed, complete: false } });
    elapsed.add(performance.now() - startedAt);
  }
  const used = process.cpuUsage(processorBefore);
  core.finishStop();
  const processorMs = (used.user + used.system) / 1000 / CHANGES;
  await realFolder.close();
  rmSync(path, { recursive: true, force: true });
  return {
    groups,
    'processor ms / change': processorMs,
    'ms until in force (median)': elapsed.percentile(50),
    'kB written / change': written / CHANGES / 1000,
    'heap MB': memory,
    '% of a core at 37,000 changes a day': (processorMs * CHANGES_PER_SECOND) / 10,
  };
}

/** Runs the experiment. */
export async function benchChange(): Promise<Report> {
  const rows: ReportRow[] = [];
  for (const groups of GROUP_COUNTS) rows.push(await measure(groups));
  return {
    name: 'change',
    title: 'Cost of a configuration change on a proxy',
    notes: [
      `One of ${OTHER_PROXIES + 1} proxies, gateway of few groups, with a real data folder; ${CHANGES} changes of one group each.`,
      '12,667 groups of three instances are 38,000 databases.',
    ],
    rows,
  };
}
