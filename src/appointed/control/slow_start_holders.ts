/**
 * Names, on the leader, the proxy that alone may send requests to a cold instance (its holder), and grants that run its lease.
 * When another may follow: `src/appointed/placement/slow_start_budget.ts`.
 *
 * Owns, for one leadership, when each run of a proxy was heard, and which holders get no lease any more since others are being
 * named. Relies on a majority to name one: without it the instance gets no requests, a line is logged, and upkeep tries again.
 */
import type { Catalog, InstanceEntry, ProxyEntry } from '../catalog/catalog.js';
import type { SlowStart } from '../catalog/route_table.js';
import { messageOf } from '../../errors/errors.js';
import type { Proposer } from '../failover/appointment_lease.js';
import { RendezvousTable } from '../../hashing/rendezvous.js';
import { stableHash } from '../../hashing/stable_hash.js';
import { LEASE_MS, STALE_LEADER_MS } from '../leases/lease_times.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { type IncarnationContact, earliestSuccessorAt } from '../placement/slow_start_budget.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';

const { InstanceState } = whinyoke;

/** What the service needs of its control machine. */
export interface SlowStartHoldersDependencies {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly propose: Proposer;
  readonly log: DecisionLog;
  /** Whether this machine leads, and has applied all that was committed before. */
  readonly isLeading: () => boolean;
  /** Region of a zone; undefined where the settings name none. */
  readonly regionOf: (zone: string) => string | undefined;
  /** Slow start of a group in the newest document. */
  slowStartOf(group: string): SlowStart | undefined;
}

/** Holders, as one leader names them. */
export class SlowStartHolders {
  private readonly contacts = new Map<string, IncarnationContact>();
  /** Runs that get no lease, by the instance for which another is being named. */
  private readonly suspendedByInstance = new Map<string, string>();
  /** Instances whose new holder is proposed now. */
  private readonly proposing = new Set<string>();
  private holders: ReadonlySet<string> = new Set();
  private leadershipStartedAt = -Infinity;
  private isAssignmentScheduled = false;

  constructor(private readonly dependencies: SlowStartHoldersDependencies) {
    dependencies.catalog.onChange(() => this.onChange());
  }

  /** Begins a leadership. */
  begin(): void {
    this.leadershipStartedAt = this.dependencies.clock.now();
    this.contacts.clear();
    this.suspendedByInstance.clear();
    this.onChange();
  }

  /** A run of a proxy sent a request. */
  recordContact({ incarnation }: ProxyEntry, hasLeft: boolean): void {
    this.contacts.set(incarnation ?? '', { lastRequestAt: this.dependencies.clock.now(), hasLeft });
  }

  /** Lease that an answer grants to a run, in milliseconds from when its request was sent; 0 for none. */
  leaseFor({ incarnation }: ProxyEntry): number {
    const proxyIncarnation = incarnation ?? '';
    const isGranted =
      this.holders.has(proxyIncarnation) &&
      ![...this.suspendedByInstance.values()].includes(proxyIncarnation);
    return isGranted ? LEASE_MS : 0;
  }

  /** Names holders where one is missing; called now and then, and after changes. */
  assignMissingHolders(): void {
    const { catalog, isLeading } = this.dependencies;
    if (!isLeading()) return;
    this.forgetGoneInstances();
    for (const instance of catalog.presentInstances) {
      if (this.needsHolder(instance) && this.canReplaceHolder(instance))
        this.proposeHolder(instance);
    }
  }

  /** Whoever has a later catalog in force, as leases require, sends nothing to an instance that is gone. */
  private forgetGoneInstances(): void {
    for (const id of this.suspendedByInstance.keys()) {
      const instance = this.dependencies.catalog.instance(id);
      if (!instance || instance.state === InstanceState.GONE) this.suspendedByInstance.delete(id);
    }
  }

  private onChange(): void {
    const { clock, catalog } = this.dependencies;
    const holderIncarnations = catalog.instances.map(
      ({ holderIncarnation }) => holderIncarnation ?? '',
    );
    this.holders = new Set(holderIncarnations.filter((id) => id !== ''));
    if (this.isAssignmentScheduled) return;
    this.isAssignmentScheduled = true;
    // Not from within the change: a proposal would begin while an entry is being applied.
    clock.setTimer(0, () => {
      this.isAssignmentScheduled = false;
      this.assignMissingHolders();
    });
  }

  /** One whose new holder may or may not have been committed gets one in any case, so that the former may have leases again. */
  private needsHolder({ id, group, isCold }: InstanceEntry): boolean {
    if (this.suspendedByInstance.has(id ?? '')) return true;
    return isCold === true && this.dependencies.slowStartOf(group ?? '') !== undefined;
  }

  /** Whether nobody holds an instance, or whoever did has sent its last request for it. */
  private canReplaceHolder({ id, holderIncarnation }: InstanceEntry): boolean {
    if (this.proposing.has(id ?? '')) return false;
    const holderIncarnationId = holderIncarnation ?? '';
    if (
      holderIncarnationId === '' ||
      this.suspendedByInstance.get(id ?? '') === holderIncarnationId
    )
      return true;
    return (
      this.dependencies.clock.now() >= earliestSuccessorAt(this.contactOf(holderIncarnationId))
    );
  }

  /**
   * A former leader may have heard a run as long as it could answer, and later than this one did: a run whose answer is lost asks
   * another machine. One that leaves says so to nobody before it stops sending.
   */
  private contactOf(proxyIncarnation: string): IncarnationContact {
    const contact = this.contacts.get(proxyIncarnation);
    if (contact?.hasLeft) return contact;
    const formerLeaderUntil = this.leadershipStartedAt + STALE_LEADER_MS;
    return {
      lastRequestAt: Math.max(contact?.lastRequestAt ?? -Infinity, formerLeaderUntil),
      hasLeft: false,
    };
  }

  private proposeHolder(instance: InstanceEntry): void {
    const { catalog, log, clock } = this.dependencies;
    const id = instance.id ?? '';
    const former = instance.holderIncarnation ?? '';
    const next = this.chooseHolder(instance);
    if (!next) return;
    this.suspendedByInstance.set(id, former);
    this.proposing.add(id);
    const silentMs = former === '' ? 0 : clock.now() - this.contactOf(former).lastRequestAt;
    const { id: holder, incarnation, address } = next;
    const command = { instance: id, holder, incarnation, address, formerIncarnation: former };
    this.dependencies
      .propose({ setSlowStartHolder: command })
      .then(
        () => {
          log(Events.slowStartHolderNamed, {
            instance: id,
            holder: holder ?? '',
            former: instance.holder ?? '',
            silent_ms: Math.round(silentMs),
          });
        },
        (error: unknown) =>
          log(Events.catalogChangeFailed, { kind: 'holder', reason: messageOf(error) }),
      )
      .finally(() => {
        this.proposing.delete(id);
        // An entry that is not certain to have failed may still be committed: the former holder gets no lease before it is.
        const present = catalog.instance(id)?.holderIncarnation ?? '';
        if (present !== former) this.suspendedByInstance.delete(id);
      });
  }

  /**
   * The first by rendezvous hashing among the live proxies of the instance's zone, or of its region where the zone has none: in
   * another region requests that must not leave theirs would be lost to it.
   */
  private chooseHolder({ id, zone }: InstanceEntry): ProxyEntry | undefined {
    const { catalog, regionOf } = this.dependencies;
    const region = regionOf(zone ?? '');
    const live = catalog.proxies.filter(
      (proxy) => this.isLive(proxy) && regionOf(proxy.zone ?? '') === region,
    );
    const near = live.filter((proxy) => proxy.zone === zone);
    const candidates = near.length > 0 ? near : live;
    const table = new RendezvousTable(1, stableHash);
    table.setNodes(new Set(candidates.map(({ address }) => address ?? '')));
    const [first] = table.top(id ?? '');
    return candidates.find(({ address }) => address === first);
  }

  private isLive({ incarnation }: ProxyEntry): boolean {
    const proxyIncarnation = incarnation ?? '';
    const contact = this.contacts.get(proxyIncarnation);
    if (
      !contact ||
      contact.hasLeft ||
      [...this.suspendedByInstance.values()].includes(proxyIncarnation)
    )
      return false;
    return this.dependencies.clock.now() - contact.lastRequestAt < LEASE_MS;
  }
}
