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
const MAX_LONG_POLL_MS = 2000;
/** A proxy that is silent for this long is removed from the catalog, in milliseconds: longer than any lease. A guess. */
const PROXY_REMOVAL_TIMEOUT_MS = 20_000;
/** What the service needs of its process. */
export interface SyncServiceDependencies {
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

  constructor(private readonly dependencies: SyncServiceDependencies) {
    const { clock, node, catalog, propose } = dependencies;
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
  onLeadershipChanged(): void {
    this.leaderWaiters.wakeAll();
  }

  /**
   * Answers one request; held until there is something newer than its sender knows, and before that until a
   * leader is known.
   */
  async sync(request: whinyoke.ISyncRequest): Promise<whinyoke.ISyncReply> {
    const longPollMs = Math.min(request.waitMs ?? 0, MAX_LONG_POLL_MS);
    await this.awaitLeader(longPollMs);
    if (!this.isLeading) return this.refusal();
    const proxy = request.proxy ?? {};
    if (!(await this.registrar.register(proxy))) return this.refusal();
    this.applyReport(request, proxy);
    if (!this.notifier.hasUpdatesFor(request.knownVersion ?? 0))
      await this.notifier.wait(longPollMs);
    return this.isLeading ? this.reply(request, proxy) : this.refusal();
  }

  /** Answers all held requests with what is known now. */
  answerAllWaiting(): void {
    this.notifier.notifyAll();
  }

  /** Looks after the registered proxies; called now and then. */
  async maintain(): Promise<void> {
    this.directory.refresh();
    await this.removeExpired();
  }

  /** Removes a proxy that was silent for long; it can hold no lease any more. */
  private async removeExpired(): Promise<void> {
    const { catalog, propose } = this.dependencies;
    const expired = catalog.proxies.find(
      (proxy) => this.directory.contactAgeMs(proxy) > PROXY_REMOVAL_TIMEOUT_MS,
    );
    if (expired) await propose({ removeProxy: expired.id });
  }

  private get isLeading(): boolean {
    return this.dependencies.node.isReadyLeader;
  }

  private refusal(): whinyoke.ISyncReply {
    const { node } = this.dependencies;
    return {
      accepted: false,
      leaderAddress: node.role === 'leader' ? '' : node.leaderAddress,
      controlAddresses: node.membership.members.map((member) => member.address),
    };
  }

  /** Takes over what a request reports. */
  private applyReport(request: whinyoke.ISyncRequest, proxy: ProxyEntry): void {
    const { clock, node, ledger, health, positions, slowStarts } = this.dependencies;
    const now = clock.now();
    this.directory.recordContact(proxy);
    ledger.recordContact(proxy, request.knownVersion ?? 0, now);
    slowStarts.recordContact(proxy, request.leaving ?? false);
    for (const revocation of request.revocations ?? []) ledger.confirm(proxy, revocation);
    health.record(proxy.id ?? '', request.reports ?? [], now);
    if (request.clockTerm === node.currentTerm) positions.recordReports(request.positions ?? []);
    if (request.wantsPositions) positions.recordDemand();
  }

  private reply(request: whinyoke.ISyncRequest, proxy: ProxyEntry): whinyoke.ISyncReply {
    const { clock, node, catalog, positions, slowStarts } = this.dependencies;
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
    const { clock, catalog, ledger } = this.dependencies;
    const until = clock.now() + LEASE_MS;
    for (const group of catalog.groups) {
      if (group.phase !== GroupPhase.CHANGING) ledger.grant(group.group ?? '', proxy, until);
    }
  }

  /** A member that leads but has not applied all that was committed before can't answer yet either. */
  private async awaitLeader(maximumWaitMs: number): Promise<void> {
    const { clock, node } = this.dependencies;
    const until = clock.now() + maximumWaitMs;
    const hasOtherLeader = (): boolean => node.role !== 'leader' && node.leaderAddress !== '';
    while (!this.isLeading && !hasOtherLeader() && clock.now() < until) {
      await this.leaderWaiters.wait(until - clock.now());
    }
  }
}
