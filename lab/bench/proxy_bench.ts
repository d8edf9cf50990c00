/**
 * Cost of the proxy: throughput, latency and processor time against direct connections in the same run, and
 * memory for each idle caller. Real processes on loopback.
 */
import { readFileSync, rmSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { type Connection, type ConnectionOptions, createConnection } from 'mysql2/promise';
import type { Fleet } from '../fleet/fleet.js';
import { BACKEND_ACCOUNT, CALLER_ACCOUNT } from '../fleet/layout.js';
import { callerConnector, prepareGroup, startFleet } from '../fleet/fleet_workload.js';
import { Latency } from './latency.js';
import type { Report, ReportRow } from './report.js';

const DURATION_MS = 3000;
const WARM_UP_MS = 700;
const CONNECTIONS = [1, 32];
const IDLE_CONNECTIONS = 1000;
const CLOCK_TICKS_PER_SECOND = 100;
const STATEMENT = "SELECT id, version, writer FROM registers WHERE id = 'r1'";

/** Processor time of a process so far, in seconds. */
function processorSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

/** Resident memory of a process, in bytes. */
function residentBytes(pid: number): number {
  const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match?.[1]) * 1024;
}

function open(address: string, account: ConnectionOptions): Promise<Connection> {
  const [host, port] = address.split(':');
  return createConnection({ host, port: Number(port), ...account });
}

interface Target {
  readonly name: string;
  readonly address: string;
  readonly account: ConnectionOptions;
  /** Process whose processor time counts. */
  readonly pid: number;
}

async function drive(target: Target, connections: number): Promise<ReportRow> {
  const open_ = Array.from({ length: connections }, () => open(target.address, target.account));
  const clients = await Promise.all(open_);
  const latency = new Latency();
  let deadline = performance.now() + WARM_UP_MS;
  const loop = async (client: Connection, record: boolean): Promise<void> => {
    while (performance.now() < deadline) {
      const sentAt = performance.now();
      await client.query({ sql: STATEMENT, rowsAsArray: true });
      if (record) latency.add(performance.now() - sentAt);
    }
  };
  await Promise.all(clients.map((client) => loop(client, false)));
  const processorBefore = processorSeconds(target.pid);
  const startedAt = performance.now();
  deadline = startedAt + DURATION_MS;
  await Promise.all(clients.map((client) => loop(client, true)));
  const seconds = (performance.now() - startedAt) / 1000;
  const processor = processorSeconds(target.pid) - processorBefore;
  for (const client of clients) client.destroy();
  return {
    path: target.name,
    connections,
    'statements / s': Math.round(latency.count / seconds),
    'statements / s of processor time': Math.round(latency.count / processor),
    'ms (median)': latency.percentile(50),
    'ms (99%)': latency.percentile(99),
  };
}

async function idleMemory(target: Target): Promise<ReportRow> {
  const before = residentBytes(target.pid);
  const clients: Connection[] = [];
  for (let index = 0; index < IDLE_CONNECTIONS; index++) {
    clients.push(await open(target.address, target.account));
  }
  await sleep(1000);
  const perConnection = (residentBytes(target.pid) - before) / IDLE_CONNECTIONS;
  for (const client of clients) client.destroy();
  return {
    path: `${target.name}, idle`,
    connections: IDLE_CONNECTIONS,
    'kB of memory each': perConnection / 1000,
  };
}

/** Processor time of all proxies without callers: heartbeats, and probes of every instance. */
async function idleProcessor(fleet: Fleet): Promise<ReportRow> {
  const pids = fleet.layout.proxies.map((proxy) => fleet.pidOf(proxy.id));
  const total = (): number => pids.reduce((sum, pid) => sum + processorSeconds(pid), 0);
  const before = total();
  await sleep(DURATION_MS);
  const share = (total() - before) / (DURATION_MS / 1000);
  return {
    path: `${pids.length} proxies, no callers, ${fleet.layout.instances.length} instances probed`,
    connections: 0,
    '% of a core for each instance': (100 * share) / fleet.layout.instances.length,
  };
}

function ratio(rows: readonly ReportRow[], column: string, path: string, count: number): number {
  const find = (name: string): number => {
    const row = rows.find((item) => item['path'] === name && item['connections'] === count);
    return Number(row?.[column]);
  };
  return find(path) / find('direct');
}

async function targetsOf(fleet: Fleet, group: string): Promise<Target[]> {
  const { layout } = fleet;
  const primary = await fleet.primaryOf(group);
  const replica = layout.instances.find((item) => item.group === group && item !== primary)!;
  const { proxies } = await fleet.status();
  const gateway = proxies.find((proxy) => proxy.groups?.some((item) => item.group === group));
  const isGateway = (id: string): boolean => id === gateway?.id;
  const serving = layout.proxies.find((place) => isGateway(place.id))!;
  const other = layout.proxies.find((place) => !isGateway(place.id))!;
  const caller = { ...CALLER_ACCOUNT, database: group };
  return [
    {
      name: 'direct',
      address: replica.mysql,
      account: { ...BACKEND_ACCOUNT, database: group },
      pid: fleet.pidOf(replica.mysql),
    },
    { name: 'proxy', address: serving.listen, account: caller, pid: fleet.pidOf(serving.id) },
    {
      name: 'proxy, forwarded',
      address: other.listen,
      account: caller,
      pid: fleet.pidOf(other.id),
    },
  ];
}

/** Runs the experiment with real processes. */
export async function benchProxy(labProgram: string, proxyProgram: string): Promise<Report> {
  const programs = { deployment: 'quetzal', labProgram, proxyProgram };
  const { fleet, folder } = await startFleet(programs, 0, 1);
  try {
    const group = fleet.layout.deployment.groups[0]!;
    const connection = await callerConnector(fleet).connect('proxy-1', group);
    await prepareGroup(connection);
    connection.close();
    await sleep(500);
    const targets = await targetsOf(fleet, group);
    const rows: ReportRow[] = [];
    const idle = await idleProcessor(fleet);
    for (const count of CONNECTIONS) {
      for (const target of targets) rows.push(await drive(target, count));
    }
    const perCore = 'statements / s of processor time';
    const ratios = CONNECTIONS.map((count) => {
      const throughput = ratio(rows, perCore, 'proxy', count).toFixed(2);
      const latency = ratio(rows, 'ms (median)', 'proxy', count).toFixed(2);
      return `At ${count} connections: ${throughput} of the direct statements per second of processor time, ${latency} times the direct median latency.`;
    });
    rows.push(await idleMemory(targets[1]!), idle);
    return {
      name: 'proxy',
      title: 'Cost of the proxy',
      notes: [
        'Real processes on loopback, deployment quetzal without added delay; a lookup of one row by key; the load generator shares the machine.',
        'Processor time is that of the process under test: the instance when direct, the proxy otherwise. The proxy reads without a token, so each batch of reads also waits for a quorum barrier.',
        ...ratios,
      ],
      rows,
    };
  } finally {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}
