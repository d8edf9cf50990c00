/**
 * A small deployment with the names and bounds of deiseb-pool-grown: three controls and some proxies, started with the
 * commands of deploy/system.toml, the services behind them, the platform's API, and an operator that gives the first
 * configuration.
 */
import { spawn } from 'node:child_process';
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Service } from './database.js';
import { ClientSession } from './wire.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const ZONES = ['caerdydd-a', 'caerdydd-b', 'casnewydd'];
const HEARTBEAT_MS = 1200;
const CONTROL_PORT = 8782;
const CALLER_PORT = 8784;
const READY_PORT = 8785;
const PLATFORM_PORT = 8783;
const INSTANCE_PORT = 8080;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Resolves with the status of an HTTP call; 0 if there was no answer within a second. */
export function call(method, address, path, body) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const headers = { 'content-type': 'application/json' };
    const sent = request({ method, host, port, path, headers, timeout: 1000 }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
    });
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(0));
    sent.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

export class Deployment {
  constructor({
    proxies = 1,
    services = ['deiseb-data'],
    routes,
    limits = {},
    connectionLimit = 77,
  }) {
    this.net = `127.${20 + (process.pid % 200)}.${1 + Math.floor(Math.random() * 250)}`;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.processes = new Map();
    this.ends = [];
    this.promotions = [];
    /** A disruption: how late the platform answers what it has carried out. */
    this.answerDelayMs = 0;
    this.controls = [11, 12, 13].map((host) => `${this.net}.${host}`);
    this.proxies = Array.from({ length: proxies }, (_, index) => `${this.net}.${21 + index}`);
    this.services = services.map(
      (name, index) => new Service(name, this.membersOf(name, index), connectionLimit),
    );
    this.configuration = {
      version: 1,
      routes: routes.map((route) => ({
        path_prefix: '/',
        timeout_ms: 800,
        target_latency_ms: 250,
        priority: 1,
        retry_attempts: 2,
        ...route,
      })),
      services: services.map((name) => ({
        name,
        health_check_path: '/health',
        connection_limit: connectionLimit,
        protocol: 'h1',
        tls_enabled: false,
        sync_replicas: 1,
      })),
      limits: { transaction_idle_ms: 3000, ...limits },
    };
  }

  /** Starts a new instance of a service, which sends its first heartbeat after `firstBeatAfterMs`. */
  async addInstance(service, number, firstBeatAfterMs) {
    const id = `i-${service.name}-new-${number}`;
    const ip = `${this.net}.${160 + number}`;
    const zone = ZONES[number % ZONES.length];
    const instance = service.add({ id, ip, port: INSTANCE_PORT, zone, role: 'replica' });
    await instance.listen();
    setTimeout(() => void this.beat(instance), firstBeatAfterMs);
    return instance;
  }

  membersOf(name, index) {
    return ZONES.map((zone, copy) => ({
      id: `i-${name}-${copy}`,
      ip: `${this.net}.${101 + index * ZONES.length + copy}`,
      port: INSTANCE_PORT,
      zone,
      role: copy === 0 ? 'primary' : 'replica',
    }));
  }

  get instances() {
    return this.services.flatMap(({ instances }) => instances);
  }

  /** Starts everything; resolves once the proxies are ready. */
  async start() {
    await Promise.all(this.services.map((service) => service.listen()));
    for (const service of this.services) void service.keepInStep(() => this.isStopped);
    await this.startPlatform();
    for (const [index, ip] of this.controls.entries())
      this.startControl(`core-${index + 1}`, ip, index, true);
    for (const [index, ip] of this.proxies.entries())
      this.startProxy(`front-${index + 1}`, ip, index, true);
    await this.until(() => this.submit(), 'the configuration is acknowledged');
    for (const instance of this.instances) void this.beat(instance);
    await this.until(() => this.isReady(), 'all proxies are ready');
  }

  async submit() {
    const status = await call(
      'POST',
      `${this.controls[0]}:${CONTROL_PORT}`,
      '/configuration/replace',
      this.configuration,
    );
    return status === 200;
  }

  async isReady() {
    const statuses = await Promise.all(
      this.proxies.map((ip) => call('GET', `${ip}:${READY_PORT}`, '/readiness')),
    );
    return statuses.every((status) => status === 200);
  }

  /** Waits for a condition, at most 20 seconds. */
  async until(condition, what) {
    const deadline = Date.now() + 20_000;
    while (Date.now() < deadline) {
      if (await condition()) return;
      await pause(100);
    }
    throw new Error(`not within 20 s: ${what}`);
  }

  /** Opens a client's session at a proxy. */
  session(proxy, database, who) {
    return ClientSession.open(this.proxies[proxy], CALLER_PORT, database, who);
  }

  /** Ends all processes that were started, and removes the temporary folder. */
  async stop() {
    this.isStopped = true;
    for (const child of this.processes.values()) child.kill('SIGKILL');
    await pause(200);
    rmSync(this.folder, { recursive: true, force: true });
  }

  killAll() {
    for (const child of this.processes.values()) child.kill('SIGKILL');
  }

  /** Starts all programs again on the disks that they had. */
  restartAll() {
    for (const [index, ip] of this.controls.entries())
      this.startControl(`core-${index + 1}`, ip, index, false);
    for (const [index, ip] of this.proxies.entries())
      this.startProxy(`front-${index + 1}`, ip, index, false);
  }

  startPlatform() {
    const server = createServer((incoming, response) => {
      let text = '';
      incoming.on('data', (chunk) => (text += chunk));
      incoming.on('end', () => {
        const { service, id } = JSON.parse(text);
        const { 'whinyoke-lease-holder': holder, 'whinyoke-fencing-token': token } =
          incoming.headers;
        const status = this.services.find(({ name }) => name === service)?.promote(id) ?? 409;
        this.promotions.push({ at: Date.now(), service, id, holder, token: Number(token), status });
        setTimeout(() => {
          response.writeHead(status);
          response.end('{}');
        }, this.answerDelayMs);
      });
    });
    return new Promise((resolve) => server.listen(PLATFORM_PORT, `${this.net}.200`, resolve));
  }

  /** Sends the heartbeats of an instance until the deployment stops. */
  async beat(instance) {
    for (let turn = 0; !this.isStopped; turn++) {
      if (!instance.isGone) await this.sendBeat(instance, turn);
      await pause(HEARTBEAT_MS);
    }
  }

  async sendBeat(instance, turn) {
    const body = {
      service: instance.service.name,
      address: instance.address,
      zone: instance.zone,
      version: 'v1',
      slots: 3,
      state: 'ready',
      warmup_remaining_ms: 0,
      database_role: instance.role,
      born: instance.born,
      sequence: ++instance.sequence,
      ...instance.told,
    };
    for (let step = 0; step < this.controls.length; step++) {
      const ip = this.controls[(turn + step) % this.controls.length];
      const status = await call(
        'POST',
        `${ip}:${CONTROL_PORT}`,
        `/instances/${instance.id}/heartbeat`,
        body,
      );
      if (status >= 200 && status < 300) return;
    }
  }

  startControl(name, ip, index, isFirst) {
    const data = join(this.folder, name);
    mkdirSync(data, { recursive: true });
    this.startProgram('control', name, [
      ...this.commonSettings(name, ip, index, isFirst),
      'machine_class=core',
      'serves=control_plane',
      'counts_as_loss=true',
      `listen_addresses.control_plane=${ip}:${CONTROL_PORT}`,
      `data_directory=${data}`,
    ]);
  }

  startProxy(name, ip, index, isFirst) {
    this.startProgram('proxy', name, [
      ...this.commonSettings(name, ip, index, isFirst),
      'machine_class=frontend',
      'serves=frontend',
      'counts_as_loss=false',
      `listen_addresses.frontend=${ip}:${CALLER_PORT}`,
      `listen_addresses.ready=${ip}:${READY_PORT}`,
    ]);
  }

  commonSettings(name, ip, index, isFirst) {
    const seeds = this.controls.map((host) => `${host}:${CONTROL_PORT}`);
    return [
      `node_name=${name}`,
      `ip=${ip}`,
      `zone=${ZONES[index % ZONES.length]}`,
      'region=de-cymru',
      ...ZONES.map((zone) => `zones.${zone}=de-cymru`),
      'internal_port_range=7440,7455',
      `seeds=${seeds.join(',')}`,
      `bootstrap=${isFirst}`,
      `heartbeat_interval_ms=${HEARTBEAT_MS}`,
      'fault_tolerance.machines=1',
      'bounds.contact_timeout_ms=5000',
      'bounds.drain_timeout_ms=7000',
      'bounds.grace_period_s=6',
      'bounds.config_apply_ms=4000',
      'bounds.max_stretch_ms=15000',
      'bounds.fencing_required=false',
      `cloud.address=${this.net}.200:${PLATFORM_PORT}`,
      'cloud.duties=promotion',
    ];
  }

  /** Starts a program with the command of the deploy file. */
  startProgram(program, name, settings) {
    const file = join(this.folder, `${name}.conf`);
    writeFileSync(file, `${settings.join('\n')}\n`);
    const words = [
      '--max-old-space-size=160',
      'target/whinyoke.mjs',
      program,
      '--metrics-port',
      '9100',
    ];
    const output = openSync(join(this.folder, `${name}.log`), 'a');
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, WHINYOKE_CONFIG: file };
    const child = spawn('node', words, { cwd: ROOT, env, stdio: ['ignore', output, output] });
    closeSync(output);
    child.on('exit', (code, signal) => {
      if (!this.isStopped) this.ends.push({ at: Date.now(), name, code, signal });
    });
    this.processes.set(name, child);
  }

  /** What a process has written so far. */
  outputOf(name) {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8');
  }
}
