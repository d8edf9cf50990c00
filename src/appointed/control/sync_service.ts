/**
 * Answers the sync requests of proxies on the leader: registers them, grants leases, sends what is new.
 *
 * Owns the held requests. Relies on a majority (to register a proxy) and on this member leading; where either is missing, the
 * proxy is refused with what is known of the leader, and asks again.
 */
import type { Catalog, ProxyEntry } from '../catalog/catalog.js';
import type { RaftNode } from '../../consensus/raft_node.js';
import type { Proposer } from '../failover/appointment_lease.js';
import type { LeaseLedger } from '../failover/lease_ledger.js';
import type { PrimaryHealthReports } from '../failover/primary_health_reports.js';
import { LEASE_MS } from '../leases/lease_times.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';
import { TimedWaiters } from '../../runtime/timed_waiters.js';
import { CatalogUpdates } from './catalog_updates.js';
import { ChangeNotifier } from './change_notifier.js';
import type { PrimaryPositionCache } from './primary_position_cache.js';
import { ProxyDirectory } from './proxy_directory.js';
import { ProxyRegistrar } from './proxy_registrar.js';
import type { SlowStartHolders } from './slow_start_holders.js';

const { GroupPhase } = whinyoke;

/** Longest time for which a request is held, in milliseconds: less than a lease, which its answer renews. Not measured. */
const MAXIMUM_HOLD_MS = 2000;
/** A proxy that is silent for this long is removed from the catalog, in milliseconds: longer than any lease. A guess. */
const REMOVE_AFTER_MS = 20_000;
/** What the service needs of its process. */
export interface SyncSurroundings {
  /** Time and timers of this process. */
  readonly clock: Clock;
  /** This machine's consensus member. */
  readonly node: RaftNode;
  /** The replicated state. */
  readonly catalog: Catalog;
  /** Leases of this leadership. */
  readonly ledger: LeaseLedger;
  /** Opinions of proxies on primaries. */
  readonly health: PrimaryHealthReports;
  /** Newest known positions of primaries. */
  readonly positions: PrimaryPositionCache;
  /** Proxies that send to cold instances. */
  readonly slowStarts: SlowStartHolders;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
}

/** Service of one control machine. */
export class SyncService {
  private readonly leaderWaiters: TimedWaiters;
  private readonly registrar: ProxyRegistrar;
  private readonly directory: ProxyDirectory;
  private readonly updates: CatalogUpdates;
  private readonly notifier: ChangeNotifier;

  constructor(private readonly surroundings: SyncSurroundings) {
    const { clock, node, catalog, propose } = surroundings;
    this.leaderWaiters = new TimedWaiters(clock);
    this.registrar = new ProxyRegistrar(catalog, propose);
    this.directory = new ProxyDirectory(clock, node, catalog);
    this.updates = new CatalogUpdates(catalog);
    this.notifier = new ChangeNotifier(clock, catalog);
  }

  /** Begins a leadership, once everything that was committed before is applied: the registered proxies are known then. */
  begin(): void {
    this.directory.begin();
  }

  /** Continues requests that wait for a leader: another member leads, or this one has come to lead. */
  leadershipChanged(): void {
    this.leaderWaiters.wakeAll();
  }

  /**
   * Answers one request; held until there is something newer than its sender knows, and before that until a
   * leader is known.
   */
  async sync(request: whinyoke.ISyncRequest): Promise<whinyoke.ISyncReply> {
    const holdMs = Math.min(request.waitMs ?? 0, MAXIMUM_HOLD_MS);
    await this.awaitLeader(holdMs);
    if (!this.isLeading) return this.refusal();
    const proxy = request.proxy ?? {};
    if (!(await this.registrar.register(proxy))) return this.refusal();
    this.take(request, proxy);
    if (!this.notifier.hasNewsFor(request.knownVersion ?? 0)) await this.notifier.wait(holdMs);
    return this.isLeading ? this.reply(request, proxy) : this.refusal();
  }

  /** Answers all held requests with what is known now. */
  answerAll(): void {
    this.notifier.notifyAll();
  }

  /** Looks after the registered proxies; called now and then. */
  async maintain(): Promise<void> {
    this.directory.refresh();
    await this.removeSilent();
  }

  /** Removes a proxy that was silent for long; it can hold no lease any more. */
  private async removeSilent(): Promise<void> {
    const { catalog, propose } = this.surroundings;
    const silent = catalog.proxies.find(
      (proxy) => this.directory.silenceOf(proxy) > REMOVE_AFTER_MS,
    );
    if (silent) await propose({ removeProxy: silent.id });
  }

  private get isLeading(): boolean {
    return this.surroundings.node.leadsWithState;
  }

  private refusal(): whinyoke.ISyncReply {
    const { node } = this.surroundings;
    return {
      accepted: false,
      leaderAddress: node.role === 'leader' ? '' : node.leaderAddress,
      controlAddresses: node.membership.members.map((member) => member.address),
    };
  }

  /** Takes over what a request reports. */
  private take(request: whinyoke.ISyncRequest, proxy: ProxyEntry): void {
    const { clock, node, ledger, health, positions, slowStarts } = this.surroundings;
    const now = clock.now();
    this.directory.noteContact(proxy);
    ledger.recordContact(proxy, request.knownVersion ?? 0, now);
    slowStarts.noteContact(proxy, request.leaving ?? false);
    for (const revocation of request.revocations ?? []) ledger.confirm(proxy, revocation);
    health.record(proxy.id ?? '', request.reports ?? [], now);
    if (request.clockTerm === node.currentTerm) positions.note(request.positions ?? []);
    if (request.wantsPositions) positions.noteWanted();
  }

  private reply(request: whinyoke.ISyncRequest, proxy: ProxyEntry): whinyoke.ISyncReply {
    const { clock, node, catalog, positions, slowStarts } = this.surroundings;
    this.grantLeases(proxy);
    return {
      accepted: true,
      leaseMs: LEASE_MS,
      version: catalog.version,
      update: this.updates.since(request.knownVersion ?? 0, request.knownDocument ?? 0),
      directory: this.directory.entryFor(proxy, request.knownDirectory ?? 0),
      term: node.currentTerm,
      clockMs: Math.floor(clock.now()),
      positions: request.wantsPositions ? positions.newest() : undefined,
      slowStartLeaseMs: slowStarts.leaseFor(proxy),
    };
  }

  private grantLeases(proxy: ProxyEntry): void {
    const { clock, catalog, ledger } = this.surroundings;
    const until = clock.now() + LEASE_MS;
    for (const group of catalog.groups) {
      if (group.phase !== GroupPhase.CHANGING) ledger.grant(group.group ?? '', proxy, until);
    }
  }

  /** A member that leads but has not applied all that was committed before can't answer yet either. */
  private async awaitLeader(maximumWaitMs: number): Promise<void> {
    const { clock, node } = this.surroundings;
    const until = clock.now() + maximumWaitMs;
    const isOther = (): boolean => node.role !== 'leader' && node.leaderAddress !== '';
    while (!this.isLeading && !isOther() && clock.now() < until) {
      await this.leaderWaiters.wait(until - clock.now());
    }
  }
}
