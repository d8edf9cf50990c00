/** Three control machines for appointed primaries as processes, whose API and messages a test calls directly. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const PROGRAMS = fileURLToPath(new URL('../../platform/programs.js', import.meta.url));
const RUN_CONTROL = `import { runControl } from '${PROGRAMS}'; await runControl(); process.exit(0);`;
const API_PORT = 8782;
const INTERNAL_PORT = 7440;
/** Processes of one test run use a network of their own. */
const NETWORK = `127.60.${process.pid % 250}`;
const START_LIMIT_MS = 15_000;

/** One control machine. */
export class ControlProcess {
  readonly api: string;
  readonly internal: string;
  private readonly process: ChildProcess;
  private readonly ended: Promise<unknown>;
  /** When it began to lead, by the clock of this process; undefined while it does not lead. */
  leadsSince: number | undefined;
  /** When it last ceased to lead. */
  ledUntil: number | undefined;

  constructor(host: string, folder: string, seeds: readonly string[]) {
    this.api = `${host}:${API_PORT}`;
    this.internal = `${host}:${INTERNAL_PORT}`;
    mkdirSync(join(folder, host));
    const settings = join(folder, `${host}.conf`);
    writeFileSync(settings, settingsOf(host, join(folder, host), seeds));
    this.process = spawn(process.execPath, ['--input-type=module', '-e', RUN_CONTROL], {
      env: { ...process.env, WHINYOKE_CONFIG: settings },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.ended = once(this.process, 'exit');
    createInterface({ input: this.process.stdout! }).on('line', (line) => this.readLog(line));
  }

  /** Sends SIGTERM; resolves with the exit code. */
  async stop(): Promise<unknown> {
    this.process.kill('SIGTERM');
    await this.ended;
    return this.process.exitCode;
  }

  private readLog(line: string): void {
    if (!line.includes('"event_name":"role_changed"')) return;
    if (line.includes('"role":"leader"')) this.leadsSince = performance.now();
    else this.endLeadership();
  }

  private endLeadership(): void {
    if (this.leadsSince !== undefined) this.ledUntil = performance.now();
    this.leadsSince = undefined;
  }
}

function settingsOf(host: string, folder: string, seeds: readonly string[]): string {
  return [
    `node_name=control-${host}`,
    `ip=${host}`,
    'zone=z1',
    'zones.z1=r1',
    `listen_addresses.control_plane=${host}:${API_PORT}`,
    `internal_port_range=${INTERNAL_PORT},${INTERNAL_PORT + 15}`,
    `seeds=${seeds.join()}`,
    'bootstrap=true',
    `data_directory=${folder}`,
    'fault_tolerance.machines=1',
    `cloud.address=${NETWORK}.9:8783`,
  ].join('\n');
}

/** Three control machines. */
export class ControlProcesses {
  readonly machines: readonly ControlProcess[];
  private readonly folder = mkdtempSync(join(tmpdir(), 'whinyoke-control-'));

  constructor() {
    const hosts = [1, 2, 3].map((index) => `${NETWORK}.${index}`);
    const seeds = hosts.map((host) => `${host}:${API_PORT}`);
    this.machines = hosts.map((host) => new ControlProcess(host, this.folder, seeds));
  }

  /** Resolves with the machine that leads, other than `former`. */
  async awaitLeader(former?: ControlProcess): Promise<ControlProcess> {
    const giveUpAt = performance.now() + START_LIMIT_MS;
    for (;;) {
      const leader = this.machines.find(
        (machine) => machine !== former && machine.leadsSince !== undefined,
      );
      if (leader) return leader;
      if (performance.now() > giveUpAt) throw new Error('no control machine leads');
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.machines.map((machine) => machine.stop()));
    rmSync(this.folder, { recursive: true });
  }
}
