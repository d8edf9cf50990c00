/** Runs a whole deployment as separate processes on loopback, and ends them by process identifier. */
import { type ChildProcess, spawn } from 'node:child_process';
import { closeSync, mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { stringify } from 'yaml';
import { WhinyokeError } from '../../src/errors/errors.js';
import { OperatorClient } from '../../src/cli/operator_client.js';
import { type DeploymentStatus, mergeStatuses } from '../../src/cli/status_view.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { TcpMessenger } from '../../src/runtime/tcp_messenger.js';
import { FaultLink } from './fault_link.js';
import {
  BACKEND_ACCOUNT,
  CALLER_ACCOUNT,
  type DaemonPlace,
  type InstancePlace,
  type Layout,
  SHARED_KEY,
} from './layout.js';

/** Options of a fleet. */
export interface FleetOptions {
  readonly folder: string;
  /** Compiled entry points. */
  readonly proxyProgram: string;
  readonly labProgram: string;
  /** Time a statement takes on an instance, in milliseconds. */
  readonly statementMs: number;
  /** Delay between receiving and executing on secondaries, in milliseconds. */
  readonly lagMs: number;
  readonly electionTimeoutMs: number;
  /** Longest planned stop of a proxy, in milliseconds; the program's default if undefined. */
  readonly stopDeadlineMs?: number;
  /** Whether proxies reach the instances through links that can misbehave. */
  readonly withLinks?: boolean;
}

/** State that an instance shows on its fault port. */
export interface InstanceState {
  readonly writable: boolean;
  readonly term: number;
  /** Whether it is a full member, not recovering. */
  readonly online: boolean;
  readonly usage: {
    readonly highestConnections: number;
    readonly highestRunning: number;
    readonly refusedStatements: number;
  };
}

const START_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const ADMIN_TIMEOUT_MS = 1000;
const STOP_TIMEOUT_MS = 8000;

/** A running deployment. */
export class Fleet {
  private readonly children = new Map<string, ChildProcess>();
  private readonly links = new Map<string, FaultLink>();
  private readonly messenger = new TcpMessenger({
    host: '127.0.0.1',
    port: 0,
    sharedKey: Buffer.from(SHARED_KEY),
  });
  private readonly operators: OperatorClient;

  constructor(
    readonly layout: Layout,
    private readonly options: FleetOptions,
  ) {
    const controls = layout.controls.map((control) => control.internal);
    this.operators = new OperatorClient(controls, this.messenger, new RealClock());
    mkdirSync(options.folder, { recursive: true });
    writeFileSync(this.path('shared.key'), `${SHARED_KEY}\n`);
    writeFileSync(this.path('caller.password'), `${CALLER_ACCOUNT.password}\n`);
    writeFileSync(this.path('backend.password'), `${BACKEND_ACCOUNT.password}\n`);
  }

  /** Starts every process. */
  start(): void {
    this.startPlatform();
    for (const instance of this.layout.instances) this.startInstance(instance);
    for (const control of this.layout.controls) this.startControl(control);
    for (const proxy of this.layout.proxies) this.startProxy(proxy);
  }

  /** Opens the links to all instances, where the options ask for them. */
  async openLinks(): Promise<void> {
    if (!this.options.withLinks) return;
    for (const { mysql, hidden } of this.layout.instances) {
      this.links.set(mysql, await FaultLink.open(mysql, hidden));
    }
  }

  /** Link to an instance; undefined where there is none. */
  linkTo(instance: InstancePlace): FaultLink | undefined {
    return this.links.get(instance.mysql);
  }

  /** Starts the platform. */
  private startPlatform(): void {
    const settings = {
      listen: this.layout.platform,
      machines: this.layout.instances.map(({ mysql }) => ({ address: mysql, state: 'live' })),
    };
    this.spawnLab('platform', 'platform', settings);
  }

  /** Ends an instance and removes its data folder; `startInstance` with `lostDisk` lets it rejoin. */
  async loseDisk(instance: InstancePlace): Promise<void> {
    await this.kill(instance.mysql);
    rmSync(this.path(dataFolderOf(instance)), { recursive: true, force: true });
  }

  /**
   * Starts an instance.
   * @param lostDisk - its data folder was lost
   */
  startInstance(instance: InstancePlace, lostDisk = false): void {
    const { deployment } = this.layout;
    const members = this.layout.instances.filter((other) => other.group === instance.group);
    this.spawnLab(instance.mysql, 'database', {
      data_folder: dataFolderOf(instance),
      lost_disk: lostDisk,
      listen: this.options.withLinks ? instance.hidden : instance.mysql,
      group_address: instance.member,
      members: members.map((member) => member.member),
      admin: instance.admin,
      ...BACKEND_ACCOUNT,
      slots: deployment.slots,
      connections: deployment.connections,
      connect_ms: deployment.connectMs,
      statement_ms: this.options.statementMs,
      lag_ms: this.options.lagMs,
      election_timeout_ms: this.options.electionTimeoutMs,
    });
  }

  /** Starts a control machine. */
  startControl(control: DaemonPlace): void {
    this.spawnDaemon(control.id, 'control', {
      data_folder: `data-${control.id}`,
      internal: control.internal,
      controls: this.layout.controls.map((other) => other.internal),
      shared_key_file: 'shared.key',
      metrics: control.metrics,
      platform_url: `http://${this.layout.platform}/machines`,
    });
  }

  /** Starts a proxy. */
  startProxy(proxy: DaemonPlace): void {
    this.spawnDaemon(proxy.id, 'proxy', {
      id: proxy.id,
      zone: proxy.zone,
      data_folder: `data-${proxy.id}`,
      listen: proxy.listen,
      internal: proxy.internal,
      metrics: proxy.metrics,
      controls: this.layout.controls.map((control) => control.internal),
      shared_key_file: 'shared.key',
      callers: [{ user: CALLER_ACCOUNT.user, password_file: 'caller.password' }],
      backend: { user: BACKEND_ACCOUNT.user, password_file: 'backend.password' },
      stop_deadline_ms: this.options.stopDeadlineMs,
    });
  }

  /** Identifier of a running process. */
  pidOf(name: string): number {
    const pid = this.children.get(name)?.pid;
    if (pid === undefined) throw new WhinyokeError(`${name} does not run`);
    return pid;
  }

  /** Sends a signal to a process that this fleet started. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }

  /** Ends a process without warning; resolves when it is gone. */
  async kill(name: string): Promise<void> {
    const child = this.children.get(name);
    if (!child) return;
    this.children.delete(name);
    await endChild(child, 'SIGKILL');
  }

  /** Asks a process to stop; resolves when it is gone. */
  async stopOne(name: string): Promise<void> {
    const child = this.children.get(name);
    if (!child) return;
    this.children.delete(name);
    await endChild(child, 'SIGTERM');
  }

  /** Submits the configuration and waits until it is in force everywhere. */
  async apply(name: string, document: string, submissionId: string): Promise<number> {
    const submission = {
      submissionId,
      kind: whinyoke.SubmissionKind.APPLY,
      name,
      document,
      operator: 'fleet',
    };
    const { reply } = await this.operators.submit(submission, START_TIMEOUT_MS);
    if ((reply.outcome ?? 0) !== whinyoke.SubmissionOutcome.ACCEPTED) {
      throw new WhinyokeError(`configuration was not accepted: ${reply.detail}`);
    }
    const revision = reply.revision ?? 0;
    await this.waitUntil('configuration in force', async () => {
      const { proxies } = await this.status();
      const behind = proxies.filter((proxy) => (proxy.revision ?? 0) < revision);
      return proxies.length >= this.layout.proxies.length && behind.length === 0;
    });
    return revision;
  }

  /** Waits until each group has a trusted primary and a gateway with slots. */
  async waitForGroups(): Promise<void> {
    const count = this.layout.deployment.groups.length;
    await this.waitUntil('trusted primaries', async () => {
      const { proxies } = await this.status();
      const reports = proxies.flatMap((proxy) => proxy.groups ?? []);
      const ready = reports.filter((report) => {
        const primary = report.instances?.find((item) => item.address === report.primary);
        return report.trusted && (primary?.slotShare ?? 0) > 0;
      });
      return new Set(ready.map((report) => report.group)).size === count;
    });
  }

  /** Merged status of all control machines. */
  async status(): Promise<DeploymentStatus> {
    return mergeStatuses(await this.operators.statuses());
  }

  /** State of an instance, from its fault port. */
  async instanceState(instance: InstancePlace): Promise<InstanceState> {
    const response = await this.askInstance(instance, { method: 'GET' });
    return (await response.json()) as InstanceState;
  }

  /** Sets faults of an instance. */
  async fault(instance: InstancePlace, fault: object): Promise<void> {
    const response = await this.askInstance(instance, {
      method: 'POST',
      body: JSON.stringify(fault),
    });
    if (!response.ok) throw new WhinyokeError(`fault refused: ${await response.text()}`);
  }

  /** Waits until the fault ports of all instances answer: a process that was just started may not listen yet. */
  async waitForInstances(): Promise<void> {
    await this.waitUntil('the fault ports of all instances', async () => {
      try {
        await Promise.all(this.layout.instances.map((instance) => this.instanceState(instance)));
        return true;
      } catch {
        return false;
      }
    });
  }

  private askInstance(instance: InstancePlace, request: RequestInit): Promise<Response> {
    const signal = AbortSignal.timeout(ADMIN_TIMEOUT_MS);
    return fetch(`http://${instance.admin}/`, { ...request, signal });
  }

  /** The instance of a group that says it is the writable primary, at the highest term. */
  async primaryOf(group: string): Promise<InstancePlace | undefined> {
    let best: { place: InstancePlace; term: number } | undefined;
    for (const place of this.layout.instances.filter((item) => item.group === group)) {
      try {
        const state = await this.instanceState(place);
        const isBetter = state.writable && (!best || state.term > best.term);
        if (isBetter) best = { place, term: state.term };
      } catch {
        // A killed instance is no primary.
      }
    }
    return best?.place;
  }

  /** Polls until the condition holds; throws after a while. */
  async waitUntil(what: string, condition: () => Promise<boolean>): Promise<void> {
    const deadline = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      if (await condition()) return;
      if (Date.now() > deadline) throw new WhinyokeError(`timed out waiting for ${what}`);
      await sleep(POLL_MS);
    }
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    const children = [...this.children.values()];
    this.children.clear();
    for (const child of children) child.kill('SIGCONT');
    await Promise.all(children.map((child) => endChild(child, 'SIGTERM')));
    await Promise.all([...this.links.values()].map((link) => link.close()));
    this.links.clear();
    await this.messenger.close();
  }

  private path(name: string): string {
    return join(this.options.folder, name);
  }

  private spawnLab(name: string, command: string, settings: object): void {
    this.spawnProgram(name, this.options.labProgram, command, settings);
  }

  private spawnDaemon(name: string, command: string, settings: object): void {
    this.spawnProgram(name, this.options.proxyProgram, command, settings);
  }

  private spawnProgram(name: string, program: string, command: string, settings: object): void {
    const fileName = name.replace(':', '-');
    const settingsFile = this.path(`${fileName}.yaml`);
    writeFileSync(settingsFile, stringify(settings));
    const log = openSync(this.path(`${fileName}.log`), 'a');
    const child = spawn(process.execPath, [program, command, '--settings', settingsFile], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.children.set(name, child);
  }
}

function dataFolderOf(instance: InstancePlace): string {
  return `data-${instance.mysql.replace(':', '-')}`;
}

async function endChild(child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const gone = new Promise<void>((resolve) => child.once('exit', () => resolve()));
  child.kill(signal);
  const timeout = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
  await gone;
  clearTimeout(timeout);
}
