/** One trial of planned stops: proxies get SIGTERM under callers that keep arriving until their processes are gone. */
import { pause, until } from '../../review/record.js';
import { ArrivingCaller } from './arriving_caller.js';
import { between } from './random.js';
import { StopLedger } from './stop_ledger.js';

/** `grace_period_s` of the site: a process that still runs then is killed. */
const GRACE_MS = 6000;
/** Time in which callers begin their sessions before the first signal. */
const BEFORE_MS = 700;
/** Time in which the last commits reach the replicas. */
const SETTLED_MS = 500;
/** Time for a change of primary, which a busy machine may cause. */
const PRIMARY_MS = 20_000;
const POLL_MS = 5;

function isRunning({ exitCode, signalCode }) {
  return exitCode === null && signalCode === null;
}

export class PlannedStop {
  /**
   * @param {{
   *   proxies: number[],
   *   staying?: number,
   *   single?: number,
   *   largeReaders?: number,
   *   gapMs?: [number, number],
   *   startedMs?: [number, number],
   *   disturb?: (trial: PlannedStop) => Promise<void>
   * }} plan which proxies are stopped, their callers of each kind, the time between two signals, the age of the processes at the
   *   signal (an older one if left out), and what else happens from the first signal on
   */
  constructor(site, plan, random) {
    Object.assign(this, { site, plan, random });
    this.breaks = [];
    this.signalledAt = new Map();
    this.ledger = new StopLedger((id) => site.pace.receivedIds.has(id), this.signalledAt);
    this.children = new Map();
    /** How long each process ran after SIGTERM. */
    this.endedMs = [];
  }

  get runningProxies() {
    return this.plan.proxies.filter((proxy) => isRunning(this.children.get(proxy)));
  }

  /** Resolves with the rules that were broken and what was measured. */
  async run() {
    const { proxies, startedMs, disturb = () => {} } = this.plan;
    for (const proxy of proxies) await this.begin(proxy);
    const running = this.callers().map((caller) => caller.run());
    await pause(startedMs ? between(...startedMs, this.random) : BEFORE_MS);
    await Promise.all([this.stopAll(), disturb(this)]);
    await Promise.all(running);
    await pause(SETTLED_MS);
    await this.restart();
    const [group] = Object.values(this.site.groups);
    await until('a primary leads', PRIMARY_MS, () => group.primary);
    const breaks = [...this.breaks, ...this.ledger.breaks(group.primary.log)];
    const ends = `processes ended ${this.endedMs.join(', ')} ms after SIGTERM`;
    return { breaks, summary: [...this.ledger.summary, ends] };
  }

  /** Takes the running process of a proxy, or a new one if its age matters. */
  async begin(proxy) {
    const { deployment } = this.site;
    const name = this.nameOf(proxy);
    if (this.plan.startedMs) {
      deployment.signal(name, 'SIGKILL');
      deployment.start(name);
    }
    this.children.set(proxy, deployment.processes.get(name));
    // Its end is expected.
    deployment.processes.delete(name);
  }

  nameOf(proxy) {
    return `front-${proxy + 1}`;
  }

  callers() {
    const { staying = 0, single = 0, largeReaders = 0 } = this.plan;
    const kinds = [
      ...Array(staying).fill({ prefix: 'stay' }),
      ...Array(single).fill({ prefix: 'single', isSingle: true }),
      ...Array(largeReaders).fill({ prefix: 'large', readsLarge: true }),
    ];
    return kinds.map(({ prefix, isSingle = false, readsLarge = false }, number) => {
      const seed = Math.floor(this.random() * 2 ** 32);
      return new ArrivingCaller(this, { name: `${prefix}${number}`, seed, isSingle, readsLarge });
    });
  }

  async stopAll() {
    const stops = [];
    for (const proxy of this.plan.proxies) {
      if (stops.length > 0) await pause(between(...this.plan.gapMs, this.random));
      stops.push(this.stop(proxy));
    }
    await Promise.all(stops);
  }

  async stop(proxy) {
    const child = this.children.get(proxy);
    this.signal(proxy, 'SIGTERM');
    const at = performance.now();
    this.signalledAt.set(proxy, at);
    while (isRunning(child) && performance.now() < at + GRACE_MS) await pause(POLL_MS);
    this.endedMs.push(Math.round(performance.now() - at));
    if (isRunning(child)) {
      this.breaks.push(`LOST: proxy ${proxy + 1} runs at the end of the grace period`);
      child.kill('SIGKILL');
    } else if (!this.isExpectedEnd(proxy, child)) {
      const { exitCode, signalCode } = child;
      this.breaks.push(`FAULT: proxy ${proxy + 1} ended with ${exitCode ?? signalCode}`);
    }
  }

  /** A process that has just started may be ended by the signal, if it has not read any caller yet. */
  isExpectedEnd(proxy, { exitCode, signalCode }) {
    if (exitCode === 0) return true;
    const hasAnswered = this.ledger.starts.some(({ answer }) => answer.outcome !== 'closed');
    return Boolean(this.plan.startedMs) && signalCode === 'SIGTERM' && !hasAnswered;
  }

  /** Sends a signal to a process of the trial that may have ended. */
  signal(proxy, signal) {
    this.site.record.note(this.nameOf(proxy), signal);
    this.children.get(proxy).kill(signal);
  }

  async restart() {
    const { deployment } = this.site;
    for (const proxy of this.plan.proxies) deployment.start(this.nameOf(proxy));
    for (const proxy of this.plan.proxies) await deployment.awaitReady(proxy);
  }
}
