/**
 * Answers the sync requests of proxies on the leader: registers proxies, grants leases, sends
 * catalog updates. A sync request is a long poll. If this member does not lead, or a proxy can't be
 * registered for lack of a majority, the proxy is refused with the known leader and asks again.
 * A machine that stops refuses all requests at once.
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

/** Less than the duration of a lease, which each reply renews. */
const MAX_LONG_POLL_MS = 2000;
/** A proxy without requests for longer is removed from the catalog. Longer than any lease. */
const PROXY_REMOVAL_TIMEOUT_MS = 20_000;

export interface SyncServiceDependencies {
  readonly clock: Clock;
  /** This machine's consensus member. */
  readonly node: RaftNode;
  /** The replicated state. */
  readonly catalog: Catalog;
  /** Leases of this leadership. */
  readonly ledger: LeaseLedger;
  /** Health reports of proxies about primaries. */
  readonly health: PrimaryHealthReports;
  /** Newest known positions of primaries. */
  readonly positions: PrimaryPositionCache;
  /** Proxies that may send to cold instances. */
  readonly slowStarts: SlowStartHolders;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
}

export class SyncService {
  private readonly leaderWaiters: TimedWaiters;
  private readonly registrar: ProxyRegistrar;
  private readonly directory: ProxyDirectory;
  private readonly updates: CatalogUpdates;
  private readonly notifier: ChangeNotifier;
  private isStopped = false;

  constructor(private readonly dependencies: SyncServiceDependencies) {
    const { clock, node, catalog, propose } = dependencies;
    this.leaderWaiters = new TimedWaiters(clock);
    this.registrar = new ProxyRegistrar(catalog, propose);
    this.directory = new ProxyDirectory(clock, node, catalog);
    this.updates = new CatalogUpdates(catalog);
    this.notifier = new ChangeNotifier(clock, catalog);
  }

  /**
   * Starts a leadership, once all entries committed before are applied and the registered proxies
   * are known.
   */
  begin(): void {
    this.directory.begin();
  }

  /**
   * Resumes requests that wait for a leader, after another member became leader or this one is
   * ready.
   */
  onLeadershipChanged(): void {
    this.leaderWaiters.wakeAll();
  }

  /**
   * Answers one request. Waits first for a leader, then until there are updates that the sender
   * does not know.
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

  /** Answers all waiting requests with the current state. */
  answerAllWaiting(): void {
    this.notifier.notifyAll();
  }

  /** Refuses the waiting requests, and later ones without a wait. */
  stop(): void {
    this.isStopped = true;
    this.leaderWaiters.wakeAll();
    this.notifier.notifyAll();
  }

  /** Refreshes the directory and removes expired proxies; called periodically. */
  async maintain(): Promise<void> {
    this.directory.refresh();
    await this.removeExpired();
  }

  /** Removes a proxy without requests for so long that it can't hold a lease any more. */
  private async removeExpired(): Promise<void> {
    const expired = this.dependencies.catalog.proxies.find(
      (proxy) => this.directory.contactAgeMs(proxy) > PROXY_REMOVAL_TIMEOUT_MS,
    );
    if (expired) await this.registrar.remove(expired);
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

  /** Applies what a request reports. */
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

  /** Also waits while this member leads but has not applied all entries committed before. */
  private async awaitLeader(maximumWaitMs: number): Promise<void> {
    const { clock, node } = this.dependencies;
    const until = clock.now() + maximumWaitMs;
    const hasOtherLeader = (): boolean => node.role !== 'leader' && node.leaderAddress !== '';
    while (!this.isStopped && !this.isLeading && !hasOtherLeader() && clock.now() < until) {
      await this.leaderWaiters.wait(until - clock.now());
    }
  }
}
