/**
 * Control at scale: the real control machines and the control side of many real proxies (heartbeats,
 * membership, distribution and storage of configurations) share one process on virtual time. Processor
 * time is that of this machine, attributed to the simulated host whose event ran.
 */
import { stringify } from 'yaml';
import { OperatorClient } from '../../src/cli/operator_client.js';
import { ControlCore } from '../../src/control/control_core.js';
import { ProtectionSet } from '../../src/gateway/protections.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { ProxyCore } from '../../src/proxy/proxy_core.js';
import { hostOf } from '../../src/runtime/address.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { Scheduler } from '../simulation/scheduler.js';
import { VirtualDisk } from '../simulation/virtual_disk.js';
import { AddressBook, VirtualMessenger } from '../simulation/virtual_messenger.js';
import { VirtualNetwork } from '../simulation/virtual_network.js';
import { VirtualProcess } from '../simulation/virtual_process.js';
import type { Report, ReportRow } from './report.js';

const CONTROLS = 3;
const WARM_UP_MS = 6000;
const MEASURE_MS = 10_000;
const CHANGES_PER_DAY = 37_000;
const SECONDS_PER_DAY = 86_400;
const RESTARTS_PER_DAY = 5730;
const FULL_SIZE = 4900;
const FULL_DATABASES = 38_000;
const INSTANCES_PER_GROUP = 3;
const CONTROL_PORT = 7000;
const BYTES_PER_KILOBYTE = 1000;
const BYTES_PER_MEGABYTE = 1e6;

interface Hollow {
  readonly host: string;
  readonly process: VirtualProcess;
  readonly core: ProxyCore;
}

function hostNumbered(prefix: number, index: number): string {
  return `10.${prefix}.${index >> 8}.${index & 255}`;
}

/** Many hollow proxies and real control machines. */
class ScaleWorld {
  readonly scheduler = new Scheduler();
  readonly random = new SeededRandom(1);
  readonly network = new VirtualNetwork(this.scheduler, this.random, {
    hostMs: 1.5,
    callerMs: 1,
    jitterMs: 0.3,
  });
  readonly addresses = new AddressBook();
  readonly controls = Array.from(
    { length: CONTROLS },
    (_, index) => `${hostNumbered(1, index)}:${CONTROL_PORT}`,
  );
  readonly cores: ControlCore[] = [];
  readonly proxies: Hollow[] = [];
  /** Time from acceptance until each proxy had the newest revision in force, in milliseconds. */
  readonly delays: number[] = [];
  private acceptedAt = new Map<number, number>();

  async startControls(): Promise<void> {
    for (const address of this.controls) {
      const { process, runtime } = this.newProcess(address);
      const options = { address, controls: this.controls, protections: ProtectionSet.all };
      void ControlCore.open(runtime, options).then(async (core) => {
        this.cores.push(core);
        await core.start();
        return process;
      });
    }
    await this.run(3000);
  }

  startProxy(index: number): void {
    const address = `${hostNumbered(2, index)}:${CONTROL_PORT}`;
    const { process, runtime } = this.newProcess(address);
    const neverConnects = { connect: () => new Promise<never>(() => undefined) };
    const id = `proxy-${index}`;
    const options = { id, address, zone: `zone-${index % 11}`, controls: this.controls };
    const core = new ProxyCore(runtime, neverConnects, options, {
      onConfiguration: (revision) => this.noteInForce(revision),
    });
    this.proxies[index] = { host: process.host, process, core };
    void core.start();
  }

  run(milliseconds: number): Promise<void> {
    return this.scheduler.runUntil(this.scheduler.now + milliseconds);
  }

  /** Submits a document with one group. */
  async apply(name: string, version: number): Promise<void> {
    const { runtime } = this.newProcess(`10.9.0.1:1`);
    const client = new OperatorClient(this.controls, runtime.messenger, runtime.clock);
    const number = Number(name.slice(1));
    const instances = Array.from({ length: INSTANCES_PER_GROUP }, (_, index) => ({
      address: `${hostNumbered(20 + index, number)}:3306`,
      zone: `zone-${index}`,
    }));
    const group = { name, schemas: [name], instances, reads: { wait_ms: 50 + (version % 50) } };
    const submission: whinyoke.ISubmitRequest = {
      submissionId: `${name}-${version}`,
      kind: whinyoke.SubmissionKind.APPLY,
      name,
      document: stringify({ name, groups: [group] }),
      operator: 'bench',
    };
    const { reply } = await client.submit(submission, 10_000);
    this.acceptedAt.set(reply.revision ?? 0, this.scheduler.now);
  }

  private noteInForce(revision: number): void {
    const accepted = this.acceptedAt.get(revision);
    if (accepted !== undefined) this.delays.push(this.scheduler.now - accepted);
  }

  private newProcess(address: string): { process: VirtualProcess; runtime: Runtime } {
    const host = hostOf(address);
    const random = new SeededRandom(this.random.integer(0, 2 ** 31 - 1));
    const process = new VirtualProcess(host, this.scheduler, random);
    const messenger = new VirtualMessenger(this.network, this.addresses, process, address);
    const folder = new VirtualDisk(random, 0.5).open(process);
    return { process, runtime: { clock: process.clock, random, folder, messenger } };
  }
}

async function measure(nodes: number, groups: number): Promise<ReportRow> {
  globalThis.gc?.();
  const memoryBefore = process.memoryUsage().heapUsed;
  const world = new ScaleWorld();
  await world.startControls();
  for (let group = 0; group < groups; group++) {
    const applied = world.apply(`g${group}`, 0);
    await world.run(20);
    await applied;
  }
  for (let index = 0; index < nodes; index++) world.startProxy(index);
  await world.run(WARM_UP_MS);
  const memory = (process.memoryUsage().heapUsed - memoryBefore) / BYTES_PER_MEGABYTE;
  world.network.resetTraffic();
  world.scheduler.startAccounting();
  world.delays.length = 0;
  await runChanges(world, nodes, groups);
  const processorMs = world.scheduler.stopAccounting();
  const traffic = world.network.traffic;
  const seconds = MEASURE_MS / 1000;
  const controlHosts = new Set(world.controls.map((address) => address.split(':')[0]!));
  const sums = { node: 0, control: 0 };
  for (const [host, milliseconds] of processorMs) {
    if (controlHosts.has(host)) sums.control += milliseconds;
    else if (host.startsWith('10.2.')) sums.node += milliseconds;
  }
  const bytes = { node: 0, control: 0 };
  const messages = { node: 0, control: 0 };
  for (const [host, item] of traffic) {
    const role = controlHosts.has(host) ? 'control' : 'node';
    bytes[role] += item.bytes;
    messages[role] += item.messages;
  }
  const sorted = [...world.delays].sort((left, right) => left - right);
  return {
    nodes,
    groups,
    'node: messages / s': messages.node / nodes / seconds,
    'node: kB / s': bytes.node / nodes / seconds / BYTES_PER_KILOBYTE,
    'node: % of a core': sums.node / nodes / seconds / 10,
    'control: messages / s': messages.control / CONTROLS / seconds,
    'control: kB / s': bytes.control / CONTROLS / seconds / BYTES_PER_KILOBYTE,
    'control: % of a core': sums.control / CONTROLS / seconds / 10,
    'heap MB / node': memory / nodes,
    'in force everywhere, ms (longest)': sorted.at(-1) ?? NaN,
  };
}

/** Configuration changes and restarts at the rates of the full size, in proportion to the nodes. */
async function runChanges(world: ScaleWorld, nodes: number, groups: number): Promise<void> {
  const share = nodes / FULL_SIZE;
  const changes = Math.max(2, Math.round((CHANGES_PER_DAY / SECONDS_PER_DAY) * share * 10));
  const restarts = Math.round((RESTARTS_PER_DAY / SECONDS_PER_DAY) * share * 10);
  const step = MEASURE_MS / (changes + 1);
  for (let change = 1; change <= changes; change++) {
    const applied = world.apply(`g${change % groups}`, change);
    await world.run(step);
    await applied;
    if (change <= restarts) {
      world.proxies[change]!.process.kill();
      world.startProxy(change);
    }
  }
  await world.run(step);
}

/** Runs the experiment. */
export async function benchScale(sizes: readonly number[]): Promise<Report> {
  const rows: ReportRow[] = [];
  for (const nodes of sizes) {
    const groups = Math.max(2, Math.round((FULL_DATABASES / FULL_SIZE / 3) * 10));
    rows.push(await measure(nodes, groups));
  }
  for (const groups of [100, 400]) rows.push(await measure(100, groups));
  return {
    name: 'scale',
    title: 'Control at scale',
    notes: [
      `Real control machines (${CONTROLS}) and the control side of real proxies in one process on virtual time, ${MEASURE_MS / 1000} s measured after ${WARM_UP_MS / 1000} s. Proxies open no connections to instances here.`,
      `Configuration changes at ${CHANGES_PER_DAY} a day and restarts at ${RESTARTS_PER_DAY} a day for ${FULL_SIZE} nodes, in proportion to the nodes, at least two changes.`,
      'Processor time is measured on this machine and includes encoding and decoding, not the kernel. Bytes are those of encoded messages, both directions.',
    ],
    rows,
    plot: {
      title: 'Load of one control machine',
      xLabel: 'nodes',
      yLabel: '% of a core',
      series: [
        {
          label: 'control machine',
          points: rows
            .slice(0, sizes.length)
            .map((row) => [Number(row['nodes']), Number(row['control: % of a core'])] as const),
        },
      ],
    },
  };
}
