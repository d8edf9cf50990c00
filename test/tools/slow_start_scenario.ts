/**
 * Simulates the slow start of one instance in random schedules: leaders change, proxies are partitioned, suspended, restarted or
 * shut down, and log entries may be committed late. Proxies send all requests that their gate admits, in bursts.
 */
import { Catalog, type ProxyEntry } from '../../src/appointed/catalog/catalog.js';
import { SlowStartHolders } from '../../src/appointed/control/slow_start_holders.js';
import { LEASE_MS, STALE_LEADER_MS } from '../../src/appointed/leases/lease_times.js';
import { SLOW_START_WINDOW_MS } from '../../src/appointed/placement/slow_start_budget.js';
import { SlowStartGate } from '../../src/appointed/placement/slow_start_gate.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import type { Clock } from '../../src/runtime/runtime.js';

/** Safeguards that a scenario can disable, to show that the rate limit is exceeded without them. */
export type Safeguard =
  | 'lease-from-sending'
  | 'window-between-holders'
  | 'lease-withheld'
  | 'former-leader-awaited'
  | 'window-kept'
  | 'leaving-stops';

/** One step of a schedule. */
export interface Step {
  readonly action:
    | 'wait'
    | 'newLeader'
    | 'cut'
    | 'freeze'
    | 'restart'
    | 'leave'
    | 'warm'
    | 'cool'
    | 'uncertain'
    | 'certain';
  /** Affected proxy, and a random number from 0 to 1 for its delays. */
  readonly proxy: number;
  readonly drawn: number;
  readonly durationMs: number;
}

const TICK_MS = 25;
const PROXY_COUNT = 3;
const MAX_NETWORK_DELAY_MS = 300;
/** Upper bound of the network delay to the instance. */
const MAX_INSTANCE_DELAY_MS = 100;
const MAX_LONG_POLL_MS = 2000;
const SLOW_START = { warmupMs: 10_000, requestsPerSecond: 6 };
const RULES = { slowStartOverage: 1.5, slowStartTolerance: 2 };
/** Requests that the instance may receive in any second: 6 × 1.5 + 2. */
export const MAX_REQUESTS_PER_SECOND = 11;
const INSTANCE = 'i';

class SimulatedLeader {
  readonly catalog = new Catalog();
  readonly holders: SlowStartHolders;
  deposedAt = Infinity;

  constructor(scenario: SlowStartScenario, log: readonly Uint8Array[]) {
    for (const [index, command] of log.entries()) this.catalog.apply(index + 1, command);
    this.holders = new SlowStartHolders({
      clock: scenario.clock,
      catalog: this.catalog,
      propose: (command) => scenario.propose(this, command),
      log: () => undefined,
      isLeading: () => this.deposedAt === Infinity,
      regionOf: () => undefined,
      slowStartOf: () => SLOW_START,
    });
    this.holders.begin();
  }
}

class SimulatedProxy {
  readonly self: ProxyEntry;
  readonly gate: SlowStartGate;
  version = 0;
  instance: whinyoke.IInstanceEntry = {};
  cutUntil = 0;
  frozenUntil = 0;
  isLeaving = false;
  isWaiting = false;

  constructor(scenario: SlowStartScenario, proxyNumber: number, incarnationNumber: number) {
    const address = `p${proxyNumber}:1`;
    this.self = {
      id: `p${proxyNumber}`,
      incarnation: `p${proxyNumber}.${incarnationNumber}`,
      address,
      zone: 'z',
    };
    this.gate = new SlowStartGate({
      clock: scenario.clock,
      log: () => undefined,
      incarnation: this.self.incarnation ?? '',
      rules: RULES,
      slowStartOf: () => SLOW_START,
      isLeaving: () => this.isLeaving && !scenario.isDisabled('leaving-stops'),
    });
  }
}

export class SlowStartScenario {
  /** When each request reached the instance. */
  private readonly arrivals: number[] = [];
  readonly clock: Clock;
  private now = 0;
  private readonly timers: { at: number; run: () => void }[] = [];
  private readonly log: Uint8Array[] = [];
  private leaders: SimulatedLeader[] = [];
  private readonly proxies: SimulatedProxy[];
  private incarnationCount = 0;
  private commitsAtOnce = true;
  /** Entries whose proposals were rejected by the current leader but may still be committed, in log order. */
  private readonly uncertainEntries: whinyoke.ICatalogCommand[] = [];

  constructor(private readonly disabledSafeguard?: Safeguard) {
    this.clock = {
      now: () => this.now,
      setTimer: (delayMs, run) => {
        this.timers.push({ at: this.now + delayMs, run });
        return { cancel: () => undefined };
      },
    };
    this.proxies = Array.from({ length: PROXY_COUNT }, (_, proxyNumber) =>
      this.newProxy(proxyNumber),
    );
    this.leaders = [new SimulatedLeader(this, [])];
    const instance = { id: INSTANCE, zone: 'z', isCold: true, sequence: 1 };
    this.append({ putInstance: instance });
  }

  isDisabled(safeguard: Safeguard): boolean {
    return this.disabledSafeguard === safeguard;
  }

  /** Runs a schedule. */
  async run(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      this.act(step);
      const until = this.now + step.durationMs;
      while (this.now < until) await this.tick(step);
    }
  }

  /** Maximum number of requests that reached the instance in any second. */
  get maxRequestsInASecond(): number {
    let maxCount = 0;
    let first = 0;
    const arrivals = this.arrivals.toSorted((left, right) => left - right);
    for (const [last, time] of arrivals.entries()) {
      while (arrivals[first]! <= time - 1000) first++;
      maxCount = Math.max(maxCount, last - first + 1);
    }
    return maxCount;
  }

  /** Commits an entry of a leader now, or rejects the proposal and commits the entry later. */
  propose(
    leader: SimulatedLeader,
    command: whinyoke.ICatalogCommand,
  ): Promise<whinyoke.CatalogResult> {
    if (leader.deposedAt < Infinity) return Promise.reject(new Error('deposed'));
    if (this.commitsAtOnce) {
      this.commitUncertain();
      this.append(command);
      return Promise.resolve(whinyoke.CatalogResult.create({ changed: true }));
    }
    this.uncertainEntries.push(command);
    this.clock.setTimer(MAX_LONG_POLL_MS, () => {
      if (this.uncertainEntries.includes(command)) this.commitUncertain(command);
    });
    return Promise.reject(new Error('uncertain'));
  }

  /** Commits uncertain entries up to `last` in the order in which they were proposed. */
  private commitUncertain(last?: whinyoke.ICatalogCommand): void {
    const count = last ? this.uncertainEntries.indexOf(last) + 1 : this.uncertainEntries.length;
    for (const command of this.uncertainEntries.splice(0, count)) this.append(command);
  }

  private get leader(): SimulatedLeader {
    return this.leaders.at(-1)!;
  }

  private newProxy(proxyNumber: number): SimulatedProxy {
    return new SimulatedProxy(this, proxyNumber, ++this.incarnationCount);
  }

  private append(command: whinyoke.ICatalogCommand): void {
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    this.log.push(bytes);
    this.leader.catalog.apply(this.log.length, bytes);
  }

  private act({ action, proxy: proxyNumber, durationMs }: Step): void {
    const proxy = this.proxies[proxyNumber]!;
    if (action === 'newLeader') this.changeLeader();
    if (action === 'cut') proxy.cutUntil = this.now + 3 * durationMs;
    if (action === 'freeze') proxy.frozenUntil = this.now + 3 * durationMs;
    if (action === 'restart') this.proxies[proxyNumber] = this.newProxy(proxyNumber);
    if (action === 'leave') proxy.isLeaving = true;
    if (action === 'uncertain') this.commitsAtOnce = false;
    if (action === 'certain') this.commitsAtOnce = true;
    if (action === 'warm') this.reportColdness(false);
    if (action === 'cool') this.reportColdness(true);
  }

  private reportColdness(isCold: boolean): void {
    const known = this.leader.catalog.instance(INSTANCE)!;
    this.append({ putInstance: { ...known, isCold, sequence: (known.sequence ?? 0) + 1 } });
  }

  private changeLeader(): void {
    this.leader.deposedAt = this.now;
    this.uncertainEntries.length = 0;
    const isFormerLeaderAwaited = !this.isDisabled('former-leader-awaited');
    const currentTime = this.now;
    if (!isFormerLeaderAwaited) this.now -= LEASE_MS + STALE_LEADER_MS + MAX_LONG_POLL_MS;
    this.leaders = [this.leader, new SimulatedLeader(this, this.log)];
    this.now = currentTime;
  }

  private async tick(step: Step): Promise<void> {
    this.now += TICK_MS;
    for (const timer of this.timers.splice(0)) {
      if (timer.at <= this.now) timer.run();
      else this.timers.push(timer);
    }
    this.leader.holders.assignMissingHolders();
    await new Promise((resolve) => setImmediate(resolve));
    for (const proxy of this.proxies) {
      if (proxy.frozenUntil > this.now) continue;
      this.send(proxy, step);
      if (!proxy.isWaiting && proxy.cutUntil <= this.now) this.synchronise(proxy, step);
    }
  }

  /** Sends all requests that the gate admits, in alternating intervals only, so that they form bursts. */
  private send(proxy: SimulatedProxy, { drawn }: Step): void {
    const isBurst = Math.floor(this.now / (TICK_MS + drawn * MAX_LONG_POLL_MS)) % 2 === 0;
    if (!isBurst || !proxy.instance.isCold) return;
    while (proxy.gate.admit(proxy.instance, true)) this.recordArrival();
  }

  /** Network delays differ, so that requests may arrive closer together than they were sent. */
  private recordArrival(): void {
    const delayMs = (this.arrivals.length * 61) % MAX_INSTANCE_DELAY_MS;
    this.arrivals.push(this.now + delayMs);
  }

  /** Sends a request to the leader, or to a former one that does not know that it was deposed. */
  private synchronise(proxy: SimulatedProxy, { drawn }: Step): void {
    const sentAt = this.now;
    const delayMs = drawn * MAX_NETWORK_DELAY_MS;
    const leaving = proxy.isLeaving;
    proxy.isWaiting = true;
    const [former] = this.leaders;
    this.clock.setTimer(delayMs, () => {
      const isStale =
        former!.deposedAt < Infinity && this.now < former!.deposedAt + STALE_LEADER_MS;
      const leader = isStale && drawn < 0.5 ? former! : this.leader;
      this.recordContact(leader, proxy, leaving);
      this.register(proxy);
      this.clock.setTimer(drawn * MAX_LONG_POLL_MS, () =>
        this.reply(leader, proxy, sentAt, delayMs),
      );
    });
  }

  private recordContact(
    { holders }: SimulatedLeader,
    { self }: SimulatedProxy,
    leaving: boolean,
  ): void {
    const early = this.isDisabled('window-between-holders') ? SLOW_START_WINDOW_MS : 0;
    this.now -= early;
    holders.recordContact(self, leaving);
    this.now += early;
  }

  private register({ self }: SimulatedProxy): void {
    const known = this.leader.catalog.proxy(self.id ?? '');
    const isPresent = this.proxies.some((proxy) => proxy.self === self);
    if (isPresent && known?.incarnation !== self.incarnation) this.append({ putProxy: self });
  }

  private reply(
    leader: SimulatedLeader,
    proxy: SimulatedProxy,
    sentAt: number,
    tripMs: number,
  ): void {
    const isSilent = this.now >= leader.deposedAt + STALE_LEADER_MS;
    const { version } = leader.catalog;
    const instance = leader.catalog.instance(INSTANCE)!;
    const granted = leader.holders.leaseFor(proxy.self);
    const leaseMs = this.isDisabled('lease-withheld') ? LEASE_MS : granted;
    this.clock.setTimer(tripMs, () =>
      this.deliver(proxy, { version, instance, leaseMs, sentAt, isSilent }),
    );
  }

  private deliver(
    proxy: SimulatedProxy,
    reply: {
      readonly version: number;
      readonly instance: whinyoke.IInstanceEntry;
      readonly leaseMs: number;
      readonly sentAt: number;
      readonly isSilent: boolean;
    },
  ): void {
    if (proxy.frozenUntil > this.now) {
      this.clock.setTimer(TICK_MS, () => this.deliver(proxy, reply));
      return;
    }
    proxy.isWaiting = false;
    if (reply.isSilent) return;
    if (reply.version > proxy.version) this.applyEntry(proxy, reply.version, reply.instance);
    if (reply.version !== proxy.version) return;
    const leaseFrom = this.isDisabled('lease-from-sending') ? this.now : reply.sentAt;
    proxy.gate.extendLease(leaseFrom + reply.leaseMs);
  }

  private applyEntry(
    proxy: SimulatedProxy,
    version: number,
    instance: whinyoke.IInstanceEntry,
  ): void {
    const hasColdnessChanged = (instance.coldSince ?? 0) !== (proxy.instance.coldSince ?? 0);
    proxy.version = version;
    proxy.instance = instance;
    // Simulates a gate that drops its window when the instance becomes cold again.
    if (hasColdnessChanged && this.isDisabled('window-kept'))
      Reflect.set(proxy.gate, 'windows', new Map());
  }
}
