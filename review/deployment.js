/**
 * A small deployment on loopback: three controls and some proxies, started with the commands of
 * `deploy/system.toml`, each with an address and a settings file of its own.
 */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call } from './heartbeats.js';
import { until } from './record.js';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const ZONES = ['zona-10', 'mixco', 'villa-nueva'];
const CONTROL_HOSTS = ['127.0.0.11', '127.0.0.12', '127.0.0.13'];
/** Ports after the first one of a run. */
const PORTS = {
  internal: 0,
  control: 16,
  frontend: 17,
  ready: 18,
  metrics: 19,
  instance: 20,
  cloud: 21,
};
const PORT_COUNT = 22;
const PLATFORM_HOST = '127.0.0.40';
const START_MS = 20_000;

/** Settings that all processes of the deployment share, as in `fleetbench wire`. */
const BOUNDS = {
  seed_lag_s: 3,
  address_reuse_s: 2,
  contact_timeout_ms: 4000,
  ack_timeout_ms: 5000,
  catch_up_s: 4,
  drain_timeout_ms: 7000,
  grace_period_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 3000,
  rollback_slack_ms: 250,
  max_stretch_ms: 12000,
  recovery_s: 12,
  fencing_required: false,
  thaw_slack_ms: 300,
};

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** First of a range of ports that nobody uses on the addresses of the deployment. */
async function findPorts(hosts) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const first = 20_000 + 100 * Math.floor(Math.random() * 120);
    const ports = [...Array(PORT_COUNT).keys()].map((offset) => first + offset);
    const checks = hosts.flatMap((host) => ports.map((port) => isFree(host, port)));
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
  throw new Error('no free range of ports');
}

/** A log line without the fields that name the machine. */
function shortened(line) {
  const { event_name: event, at_ms: at, ...fields } = JSON.parse(line);
  for (const name of ['name', 'node', 'hostname', 'pid', 'level', 'event', 'time', 'v', 'msg']) {
    delete fields[name];
  }
  return `${at} ms ${event} ${JSON.stringify(fields)}`;
}

export class Deployment {
  /** @param {{ record: import('./record.js').Record, proxies: number }} options */
  constructor({ record, proxies }) {
    this.record = record;
    this.proxyHosts = [...Array(proxies).keys()].map((index) => `127.0.0.${21 + index}`);
    /** Running processes by name. */
    this.processes = new Map();
  }

  /** Chooses ports and a temporary folder. */
  async prepare(instanceHosts) {
    if (!existsSync(join(ROOT, 'target/whinyoke.mjs'))) throw new Error('target/ is not built');
    const hosts = [...CONTROL_HOSTS, ...this.proxyHosts, ...instanceHosts, PLATFORM_HOST];
    this.firstPort = await findPorts(hosts);
    this.folder = mkdtempSync(join(tmpdir(), 'whinyoke-review-'));
  }

  port(name) {
    return this.firstPort + PORTS[name];
  }

  get controls() {
    return CONTROL_HOSTS.map((host) => ({ host, port: this.port('control') }));
  }

  get platform() {
    return { host: PLATFORM_HOST, port: this.port('cloud') };
  }

  proxy(index) {
    return { host: this.proxyHosts[index], port: this.port('frontend') };
  }

  startControls() {
    CONTROL_HOSTS.forEach((host, index) => {
      const data = join(this.folder, `data-${index + 1}`);
      mkdirSync(data);
      const fields = {
        serves: 'control_plane',
        counts_as_loss: true,
        'listen_addresses.control_plane': `${host}:${this.port('control')}`,
        data_directory: data,
        'limits.disk_mb': 128,
      };
      this.writeSettings(`core-${index + 1}`, host, ZONES[index], { ...fields, bootstrap: true });
      this.start(`core-${index + 1}`);
    });
  }

  startProxies() {
    this.proxyHosts.forEach((host, index) => {
      const fields = {
        serves: 'frontend',
        counts_as_loss: false,
        'listen_addresses.frontend': `${host}:${this.port('frontend')}`,
        'listen_addresses.ready': `${host}:${this.port('ready')}`,
        bootstrap: true,
      };
      this.writeSettings(`front-${index + 1}`, host, ZONES[index % ZONES.length], fields);
      this.start(`front-${index + 1}`);
    });
  }

  writeSettings(name, ip, zone, fields) {
    const seeds = this.controls.map(({ host, port }) => `${host}:${port}`).join(',');
    const settings = {
      node_name: name,
      role: name.startsWith('core') ? 'control' : 'proxy',
      machine_class: name.startsWith('core') ? 'core' : 'frontend',
      ip,
      zone,
      region: 'gt-central',
      ...Object.fromEntries(ZONES.map((item) => [`zones.${item}`, 'gt-central'])),
      ...fields,
      internal_port_range: `${this.firstPort},${this.firstPort + 15}`,
      seeds,
      discovery: 'registry',
      heartbeat_interval_ms: 1200,
      contracts: 'base,drain,config,cost,recover,sql',
      'fault_tolerance.machines': 1,
      'fault_tolerance.zones': 0,
      'fault_tolerance.regions': 0,
      ...Object.fromEntries(Object.entries(BOUNDS).map(([key, value]) => [`bounds.${key}`, value])),
      config_mode: 'highest',
      'cloud.address': `${this.platform.host}:${this.platform.port}`,
      'cloud.duties': 'promotion',
      'cloud.duty_per_s': 50,
    };
    const lines = Object.entries(settings).map(([key, value]) => `${key}=${value}`);
    writeFileSync(join(this.folder, `${name}.conf`), lines.join('\n') + '\n');
  }

  /** Starts a process under its settings file. */
  start(name) {
    const program = name.startsWith('core') ? 'control' : 'proxy';
    const child = spawn(
      process.execPath,
      [
        '--max-old-space-size=160',
        'target/whinyoke.mjs',
        program,
        '--metrics-port',
        String(this.port('metrics')),
      ],
      {
        cwd: ROOT,
        env: { PATH: process.env.PATH, WHINYOKE_CONFIG: join(this.folder, `${name}.conf`) },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const logFile = join(this.folder, `${name}.log`);
    for (const output of [child.stdout, child.stderr]) {
      output.on('data', (chunk) => existsSync(this.folder) && appendFileSync(logFile, chunk));
    }
    child.once('exit', (code, signal) => {
      if (this.processes.get(name) !== child) return;
      this.processes.delete(name);
      if (!this.isStopping) this.record.note(name, `ended by itself: ${code ?? signal}`);
    });
    this.processes.set(name, child);
    this.record.note(name, `started, pid ${child.pid}`);
  }

  /** Sends a signal to a process; after SIGKILL it counts as ended at once. */
  signal(name, signal) {
    const child = this.processes.get(name);
    this.record.note(name, signal);
    if (signal === 'SIGKILL') this.processes.delete(name);
    child?.kill(signal);
  }

  /** Sends a configuration until it is acknowledged, to one control after the other. */
  async configure(configuration) {
    const body = JSON.stringify(configuration);
    let status = 0;
    await until(`configuration ${configuration.version} acknowledged`, START_MS, async () => {
      for (const control of this.controls) {
        ({ status } = await call(control, 'POST', '/configuration/replace', body));
        this.record.note(
          'operator',
          `POST /configuration/replace version ${configuration.version} to ${control.host}: ${status}`,
        );
        if (status === 200) return true;
      }
      return false;
    });
  }

  /** Waits until all proxies, or the given one, say that they are ready. */
  async awaitReady(index) {
    const hosts = index === undefined ? this.proxyHosts : [this.proxyHosts[index]];
    for (const host of hosts) {
      await until(`${host} ready`, START_MS, async () => {
        const answer = await call({ host, port: this.port('ready') }, 'GET', '/readiness', '');
        return answer.status === 200;
      });
    }
  }

  /** Adds log events of the processes to the record, by their names. */
  noteEvents(events) {
    const names = [...CONTROL_HOSTS.keys()].map((index) => `core-${index + 1}`);
    const fronts = this.proxyHosts.map((_, index) => `front-${index + 1}`);
    this.record.lines.push('', 'From the logs of the processes:');
    for (const name of [...names, ...fronts]) {
      const file = join(this.folder, `${name}.log`);
      const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n') : [];
      for (const line of lines.filter((text) => events.some((event) => text.includes(event)))) {
        this.record.lines.push(`${name}  ${shortened(line)}`);
      }
    }
  }

  stop() {
    this.isStopping = true;
    for (const child of this.processes.values()) child.kill('SIGKILL');
    if (this.folder) rmSync(this.folder, { recursive: true, force: true });
  }
}
