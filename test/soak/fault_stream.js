/** One stream of faults of the soak; several run at the same time, and what they do overlaps. */
import { readFileSync } from 'node:fs';
import { constants } from 'node:os';
import { pause } from '../../review/record.js';
import { between, pick, seededRandom } from './random.js';

const LONGEST_PAUSE_MS = 900;
const RESTART_MS = 400;
/** Time in which a process has started, also beside load. */
const START_MS = 3000;
/** Proxies take the zones of the site in turns. */
const ZONES = 3;
const ZONE_STOP_MS = 1000;
/** Time that the platform gives a process after SIGTERM. */
const GRACE_MS = 6000;
/** Deregistered instances serve on for a part of this time. */
const SERVE_ON_MS = 4000;

function isRunning({ exitCode, signalCode }) {
  return exitCode === null && signalCode === null;
}

const { SIGHUP } = constants.signals;

/**
 * Whether a process catches SIGHUP. No Node.js process does before it runs the first line of its program; until then it ends
 * the process.
 */
function catchesHangUps({ pid }) {
  try {
    const [, mask] = /SigCgt:\s*([0-9a-f]+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
    return ((BigInt(`0x${mask}`) >> BigInt(SIGHUP - 1)) & 1n) === 1n;
  } catch {
    // It has ended.
    return false;
  }
}

export class FaultStream {
  constructor(site, state, verdicts, seed) {
    Object.assign(this, { site, state, verdicts });
    this.random = seededRandom(seed);
    this.deployment = site.deployment;
  }

  /** What the stream may do next. */
  get actions() {
    return [
      () => this.hangUp(this.proxyName()),
      () => this.hangUp(this.controlName()),
      () => this.stopAndStart(this.proxyName()),
      () => this.stopZone(),
      () => this.killAndStart(this.proxyName()),
      () => this.freeze(this.proxyName()),
      () => this.disturbControl(),
      () => this.changeConfiguration(),
      () => this.moveRoute(),
      () => this.crashPrimary(),
      () => this.replacePrimary(),
      () => this.replaceReplica(),
      () => this.hearAlone(),
      () => this.lag(),
    ];
  }

  /** Causes faults until a time; resolves with their number once all have ended. */
  async run(until) {
    let count = 0;
    while (performance.now() < until) {
      await pause(this.random() * LONGEST_PAUSE_MS);
      await pick(this.actions, this.random)();
      count++;
    }
    return count;
  }

  proxyName() {
    return `front-${between(1, this.deployment.proxyHosts.length, this.random)}`;
  }

  controlName() {
    return `core-${between(1, this.deployment.controls.length, this.random)}`;
  }

  group() {
    return pick(Object.values(this.site.groups), this.random);
  }

  // ---- processes ----

  start(name) {
    this.state.startedAt.set(name, performance.now());
    this.deployment.start(name);
  }

  /** Whether a process may not have set its handlers yet: a SIGTERM ends it at once then. */
  isStarting(name) {
    return performance.now() - (this.state.startedAt.get(name) ?? -Infinity) < START_MS;
  }

  async hangUp(name) {
    const times = between(1, 6, this.random);
    for (let time = 0; time < times; time++) {
      const child = this.deployment.processes.get(name);
      if (child && catchesHangUps(child)) this.deployment.signal(name, 'SIGHUP');
      await pause(between(1, 60, this.random));
    }
  }

  /** Stops a process as planned; sometimes it is told twice, or killed before it is done. */
  async stopAndStart(name) {
    const child = this.deployment.processes.get(name);
    if (!child || this.verdicts.stopping.has(name) || this.isStarting(name)) return;
    this.verdicts.stopping.add(name);
    this.deployment.signal(name, 'SIGTERM');
    const stop = this.verdicts.plannedStops.begin(name);
    // As after SIGKILL: its end is expected.
    this.deployment.processes.delete(name);
    if (this.random() < 0.4) {
      await pause(between(1, 800, this.random));
      child.kill(pick(['SIGTERM', 'SIGHUP'], this.random));
    }
    const isCut = this.random() < 0.2;
    const endAt = performance.now() + (isCut ? between(100, 3000, this.random) : GRACE_MS);
    while (isRunning(child) && performance.now() < endAt) await pause(20);
    this.verdicts.plannedStops.end(stop, { isKilled: isCut && isRunning(child) });
    if (isRunning(child)) child.kill('SIGKILL');
    else this.verdicts.checkPlannedEnd(name, child);
    await pause(RESTART_MS);
    this.start(name);
    this.verdicts.stopping.delete(name);
  }

  /** Stops all proxies of a zone within a second; meanwhile the configuration changes, or signals come. */
  async stopZone() {
    const zone = between(0, ZONES - 1, this.random);
    const names = this.deployment.proxyHosts
      .map((_, index) => `front-${index + 1}`)
      .filter((_, index) => index % ZONES === zone);
    const disturbance =
      this.random() < 0.5 ? this.changeConfiguration() : this.hangUp(pick(names, this.random));
    const stops = names.map(async (name) => {
      await pause(between(0, ZONE_STOP_MS, this.random));
      await this.stopAndStart(name);
    });
    await Promise.all([disturbance, ...stops]);
  }

  async killAndStart(name) {
    if (!this.deployment.processes.has(name) || this.verdicts.stopping.has(name)) return;
    this.verdicts.stopping.add(name);
    this.deployment.signal(name, 'SIGKILL');
    await pause(between(50, RESTART_MS, this.random));
    this.start(name);
    this.verdicts.stopping.delete(name);
  }

  async freeze(name) {
    const child = this.deployment.processes.get(name);
    if (!child || this.verdicts.stopping.has(name)) return;
    this.verdicts.stopping.add(name);
    child.kill('SIGSTOP');
    await pause(between(100, 4500, this.random));
    child.kill('SIGCONT');
    this.verdicts.stopping.delete(name);
  }

  /** One control machine at a time is disturbed, or all are killed at once. */
  async disturbControl() {
    if (this.state.isControlDisturbed) return;
    this.state.isControlDisturbed = true;
    const choice = this.random();
    const name = this.controlName();
    if (choice < 0.4) await this.killAndStart(name);
    else if (choice < 0.65) await this.freeze(name);
    else if (choice < 0.85) await this.stopAndStart(name);
    else await Promise.all([1, 2, 3].map((number) => this.killAndStart(`core-${number}`)));
    await pause(2000);
    this.state.isControlDisturbed = false;
  }

  // ---- configuration ----

  async changeConfiguration() {
    const times = between(1, 4, this.random);
    for (let time = 0; time < times; time++) await this.configure(this.state.service ?? 'citas');
  }

  async configure(service) {
    this.state.service = service;
    const version = ++this.state.version;
    await this.deployment.configure(this.state.configurationFor(version, service));
  }

  async moveRoute() {
    await this.configure('pagos');
    await pause(between(50, 900, this.random));
    await this.configure('citas');
  }

  // ---- instances ----

  /** A crashed instance comes back with its log, as replica if another one was promoted. */
  async crashPrimary() {
    const group = this.group();
    const { primary } = group;
    if (!primary || group.isDisturbed) return;
    group.isDisturbed = true;
    primary.crash();
    await pause(between(200, 4500, this.random));
    const newestTerm = Math.max(...group.instances.map(({ term }) => term));
    if (primary.term < newestTerm) primary.role = 'replica';
    await primary.start();
    group.isDisturbed = false;
  }

  /** A replica is replaced: it says that it drains, or deregisters first; then it ends for good. */
  async replaceReplica() {
    const group = this.group();
    const replicas = group.instances.filter(
      (item) => item.isRunning && item.role === 'replica' && item.state === 'ready',
    );
    if (replicas.length < 2 || this.site.instanceCount >= this.site.hosts.length) return;
    const leaver = pick(replicas, this.random);
    leaver.state = 'draining';
    const id = `n${this.site.instanceCount}`;
    await this.site.addInstance(group.service, id, 'replica').start();
    const isFirst = this.random() < 0.5;
    if (isFirst) await leaver.deregister();
    else await leaver.drain();
    await pause(between(200, SERVE_ON_MS, this.random));
    if (!isFirst) await leaver.deregister();
    // One that was promoted meanwhile can't go with the only newest log.
    if (leaver.role === 'replica') leaver.end();
  }

  /** A primary is replaced: it says that it drains, and ends once another instance leads, or after a while all the same. */
  async replacePrimary() {
    const group = this.group();
    const { primary } = group;
    if (!primary || group.isDisturbed) return;
    group.isDisturbed = true;
    await primary.drain();
    const isReplaced = () => ![undefined, primary].includes(group.primary);
    const endAt = performance.now() + GRACE_MS + SERVE_ON_MS;
    while (!isReplaced() && performance.now() < endAt) await pause(20);
    await pause(between(200, SERVE_ON_MS, this.random));
    await primary.deregister();
    primary.end();
    await pause(RESTART_MS);
    await this.succeed(primary);
    group.isDisturbed = false;
  }

  /** Starts a new instance at the address of one that has ended as planned, with its log. */
  async succeed({ id, group, host, port, zone, term, log }) {
    const { controls } = this.deployment;
    const options = { id: `${id}x`, role: 'replica', host, port, zone, controls };
    const successor = this.site.pace.applyTo(group.add(options));
    for (const entry of log) successor.append(entry);
    successor.term = term;
    await successor.start();
  }

  async hearAlone() {
    const group = this.group();
    const replicas = group.instances.filter((item) => item.isRunning && item.role === 'replica');
    const leaving = replicas.filter(({ state }) => state === 'draining');
    if (replicas.length < 2) return;
    const hearing = pick(leaving.length > 0 ? leaving : replicas, this.random);
    const deaf = replicas.filter((item) => item !== hearing);
    for (const replica of deaf) replica.isDeaf = true;
    await pause(between(200, 3000, this.random));
    for (const replica of deaf) replica.isDeaf = false;
  }

  async lag() {
    const group = this.group();
    const replicas = group.instances.filter(({ role }) => role === 'replica');
    for (const replica of replicas) replica.lagMs = 1500;
    await pause(between(500, 3000, this.random));
    for (const replica of replicas) replica.lagMs = 8;
  }
}
