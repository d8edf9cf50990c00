/** Delays between simulated hosts, and cuts of single directions. */
import type { RandomSource } from '../../src/runtime/runtime.js';
import type { Scheduler } from './scheduler.js';

/** Delays, in milliseconds. */
export interface NetworkOptions {
  /** One-way delay between two hosts. */
  readonly hostMs: number;
  /** One-way delay between callers and any host. */
  readonly callerMs: number;
  /** Mean of the random part of each delay. */
  readonly jitterMs: number;
  /** What the way between two hosts takes beyond that, one way; 0 by default. */
  readonly distanceMs?: (from: string, to: string) => number;
  /** Part of the messages whose first transmission is lost; none by default. */
  readonly lossShare?: number;
}

/** Messages sent and received by one host. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** Host name of all callers. */
export const CALLERS_HOST = 'callers';

const LOOPBACK_MS = 0.02;
/** Longest time until a sender tries again after a cut, as TCP does. */
const RETRANSMIT_MS = 200;

/** Network of one simulation. */
export class VirtualNetwork {
  private readonly cuts = new Map<string, number>();
  /** What links take longer as a fault, in milliseconds. */
  private readonly slowness = new Map<string, number>();
  private trafficByHost = new Map<string, Traffic>();
  private readonly healListeners = new Set<() => void>();
  /** Hosts without power: nothing reaches them, and nothing tells that they are gone. */
  private readonly darkHosts = new Set<string>();
  private generation = 0;
  private readonly muteListeners = new Set<() => void>();

  constructor(
    readonly scheduler: Scheduler,
    private readonly random: RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** A one-way delay from one host to another. */
  delay(from: string, to: string): number {
    if (from === to) return LOOPBACK_MS;
    const isCaller = from === CALLERS_HOST || to === CALLERS_HOST;
    const base = isCaller ? this.options.callerMs : this.options.hostMs;
    const slowness = this.slowness.get(`${from}>${to}`) ?? 0;
    const distance = (this.options.distanceMs?.(from, to) ?? 0) + slowness;
    const jitter = -Math.log(1 - this.random.next()) * this.options.jitterMs;
    return base + distance + jitter + this.retransmissionMs();
  }

  /** A lost message is sent again by the transport, so it only comes later. */
  private retransmissionMs(): number {
    const { lossShare = 0 } = this.options;
    return lossShare > 0 && this.random.next() < lossShare ? RETRANSMIT_MS : 0;
  }

  /** Whether nothing gets from one host to another. */
  isCut(from: string, to: string): boolean {
    if (this.darkHosts.has(from) || this.darkHosts.has(to)) return true;
    return (this.cuts.get(`${from}>${to}`) ?? 0) > 0;
  }

  /** Switches the power of a host off or on. */
  setDark(host: string, isDark: boolean): void {
    if (isDark) this.darkHosts.add(host);
    else this.darkHosts.delete(host);
  }

  /** Cuts one direction between two sets of hosts until the returned function is called. */
  cut(from: readonly string[], to: readonly string[]): () => void {
    const links = from.flatMap((source) =>
      to.filter((target) => target !== source).map((target) => `${source}>${target}`),
    );
    for (const link of links) this.cuts.set(link, (this.cuts.get(link) ?? 0) + 1);
    return () => {
      for (const link of links) this.cuts.set(link, (this.cuts.get(link) ?? 0) - 1);
      for (const listener of [...this.healListeners]) listener();
    };
  }

  /** Makes one direction between two hosts slower, by milliseconds, until the returned function is called. */
  slow(from: string, to: string, milliseconds: number): () => void {
    const link = `${from}>${to}`;
    const slowBy = (change: number): void =>
      void this.slowness.set(link, (this.slowness.get(link) ?? 0) + change);
    slowBy(milliseconds);
    return () => slowBy(-milliseconds);
  }

  /** Whether any two hosts are cut, or one has no power. */
  get isDisturbed(): boolean {
    return this.darkHosts.size > 0 || [...this.cuts.values()].some((count) => count > 0);
  }

  /** Calls `listener` after each heal until the returned function is called. */
  onHeal(listener: () => void): () => void {
    this.healListeners.add(listener);
    return () => this.healListeners.delete(listener);
  }

  /** Number of times that open connections went mute; a connection keeps the number of its opening. */
  get streamGeneration(): number {
    return this.generation;
  }

  /** All connections between hosts that are open now carry nothing any more, and nobody is told. */
  muteOpenStreams(): void {
    this.generation++;
    for (const listener of [...this.muteListeners]) listener();
  }

  /** Calls `listener` after connections went mute until the returned function is called. */
  onMute(listener: () => void): () => void {
    this.muteListeners.add(listener);
    return () => this.muteListeners.delete(listener);
  }

  /** Notes a message that one host sends to another. */
  noteTraffic(from: string, to: string, bytes: number): void {
    for (const host of [from, to]) {
      const traffic = this.trafficByHost.get(host) ?? { messages: 0, bytes: 0 };
      traffic.messages++;
      traffic.bytes += bytes;
      this.trafficByHost.set(host, traffic);
    }
  }

  /** Messages by host since the last reset. */
  get traffic(): ReadonlyMap<string, Traffic> {
    return this.trafficByHost;
  }

  /** Starts to count messages anew. */
  resetTraffic(): void {
    this.trafficByHost = new Map();
  }

  /** Time after a heal until a sender tries again. */
  retransmitDelay(): number {
    return this.random.next() * RETRANSMIT_MS;
  }
}
