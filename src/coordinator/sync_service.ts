/** Answers the sync requests of proxies on the leader: registers them, grants leases, sends what is new. */
import type { Catalog, ProxyEntry } from '../catalog/catalog.js';
import type { RaftNode } from '../consensus/raft_node.js';
import type { Proposer } from '../failover/appointment_duty.js';
import type { LeaseLedger } from '../failover/lease_ledger.js';
import type { PrimaryHealthBoard } from '../failover/primary_health_board.js';
import { whinyoke } from '../protocol/generated/messages.js';
import type { Clock } from '../runtime/runtime.js';

const { GroupPhase } = whinyoke;

/**
 * Life of a lease on a primary, in milliseconds: longer than a restart of all control machines takes, so that
 * one stops no writes. A change of primary waits that long for proxies that are cut off.
 */
export const LEASE_MS = 3000;
const MAXIMUM_HOLD_MS = 2000;
/** A proxy counts as live for the division of connections for this long, in milliseconds. */
const LIVE_MS = 5000;
/** A proxy that is silent for this long is removed from the catalog, in milliseconds. */
const REMOVE_AFTER_MS = 20_000;
/** Other proxies that each reply names, for requests while control is out of reach. */
const RELAY_COUNT = 2;

interface Contact {
  at: number;
  isLeaving: boolean;
}

/** Service of one control machine. */
export class SyncService {
  private readonly contacts = new Map<string, Contact>();
  private readonly leaderWaiters = new Set<() => void>();
  private beganAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly node: RaftNode,
    private readonly catalog: Catalog,
    private readonly ledger: LeaseLedger,
    private readonly board: PrimaryHealthBoard,
    private readonly propose: Proposer,
  ) {}

  /** Begins a leadership: every registered proxy counts as live at first. */
  begin(): void {
    this.beganAt = this.clock.now();
    this.contacts.clear();
  }

  /** The leader has changed, or this member has come to lead: requests that wait for that go on. */
  leadershipChanged(): void {
    for (const waiter of [...this.leaderWaiters]) waiter();
  }

  /**
   * Answers one request; held until there is something newer than its sender knows, and before that until a
   * leader is known.
   */
  async sync(request: whinyoke.ISyncRequest): Promise<whinyoke.ISyncReply> {
    await this.awaitLeader(Math.min(request.waitMs ?? 0, MAXIMUM_HOLD_MS));
    if (!this.isLeading) return this.refusal();
    const proxy = request.proxy ?? {};
    if (!(await this.register(proxy))) return this.refusal();
    const now = this.clock.now();
    this.contacts.set(proxy.id ?? '', { at: now, isLeaving: request.leaving ?? false });
    this.ledger.noteContact(proxy, request.knownVersion ?? 0, now);
    for (const revocation of request.revocations ?? []) this.ledger.confirm(proxy, revocation);
    this.board.note(proxy.id ?? '', request.reports ?? [], now);
    const isNews = this.catalog.version > (request.knownVersion ?? 0);
    if (!isNews) await this.waitForChange(Math.min(request.waitMs ?? 0, MAXIMUM_HOLD_MS));
    return this.isLeading ? this.reply(request, proxy) : this.refusal();
  }

  /** Removes proxies that were silent for long; they can hold no lease any more. */
  async removeSilent(): Promise<void> {
    const now = this.clock.now();
    const silent = this.catalog.proxies.find(
      (proxy) => now - this.lastContact(proxy) > REMOVE_AFTER_MS,
    );
    if (silent) await this.propose({ removeProxy: silent.id });
  }

  private get isLeading(): boolean {
    return this.node.leadsWithState;
  }

  private refusal(): whinyoke.ISyncReply {
    return {
      accepted: false,
      leaderAddress: this.node.role === 'leader' ? '' : this.node.leaderAddress,
      controlAddresses: this.controlAddresses(),
    };
  }

  /** A run of a proxy is in the log before it gets its first lease. */
  private async register(proxy: ProxyEntry): Promise<boolean> {
    const known = this.catalog.proxy(proxy.id ?? '');
    if (known?.incarnation === proxy.incarnation) return true;
    try {
      await this.propose({ putProxy: proxy });
      return this.catalog.proxy(proxy.id ?? '')?.incarnation === proxy.incarnation;
    } catch {
      return false;
    }
  }

  private reply(request: whinyoke.ISyncRequest, proxy: ProxyEntry): whinyoke.ISyncReply {
    const { catalog } = this;
    const until = this.clock.now() + LEASE_MS;
    for (const group of catalog.groups) {
      if (group.phase !== GroupPhase.CHANGING) this.ledger.grant(group.group ?? '', proxy, until);
    }
    const knownVersion = request.knownVersion ?? 0;
    const changed = catalog.instancesSince(knownVersion);
    const hasDocument = catalog.documentVersion > (request.knownDocument ?? 0);
    return {
      accepted: true,
      leaderAddress: this.node.address,
      controlAddresses: this.controlAddresses(),
      leaseMs: LEASE_MS,
      version: catalog.version,
      documentVersion: catalog.documentVersion,
      document: hasDocument ? catalog.document : undefined,
      isWhole: changed === undefined,
      instances: [...(changed ?? catalog.presentInstances)],
      groups: [...catalog.groupsSince(knownVersion)],
      relays: this.relaysFor(proxy),
      liveProxies: this.countLive(),
    };
  }

  private controlAddresses(): string[] {
    return this.node.membership.members.map((member) => member.address);
  }

  /** Neighbours in the list, so that requests that are passed on spread over all proxies. */
  private relaysFor(proxy: ProxyEntry): string[] {
    const { proxies } = this.catalog;
    const position = proxies.findIndex((other) => other.id === proxy.id);
    const following = [...proxies.slice(position + 1), ...proxies.slice(0, Math.max(0, position))];
    return following.slice(0, RELAY_COUNT).map((other) => other.address ?? '');
  }

  private countLive(): number {
    const now = this.clock.now();
    const live = this.catalog.proxies.filter((proxy) => now - this.lastContact(proxy) < LIVE_MS);
    return live.length;
  }

  private lastContact(proxy: ProxyEntry): number {
    return this.contacts.get(proxy.id ?? '')?.at ?? this.beganAt;
  }

  private waitForChange(maximumWaitMs: number): Promise<void> {
    return this.waitFor(maximumWaitMs, (listener) => this.catalog.onChange(listener));
  }

  /** A member that leads but has not applied all that was committed before can't answer yet either. */
  private async awaitLeader(maximumWaitMs: number): Promise<void> {
    const { clock, node } = this;
    const until = clock.now() + maximumWaitMs;
    const isOther = (): boolean => node.role !== 'leader' && node.leaderAddress !== '';
    while (!this.isLeading && !isOther() && clock.now() < until) {
      await this.waitFor(until - clock.now(), (listener) => {
        this.leaderWaiters.add(listener);
        return () => this.leaderWaiters.delete(listener);
      });
    }
  }

  private waitFor(
    maximumWaitMs: number,
    subscribe: (listener: () => void) => () => void,
  ): Promise<void> {
    if (maximumWaitMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel();
        cancel();
        resolve();
      };
      const timer = this.clock.setTimer(maximumWaitMs, finish);
      const cancel = subscribe(finish);
    });
  }
}
