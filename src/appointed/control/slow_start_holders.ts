/**
 * Assigns to each cold instance one proxy, its holder, that alone may send requests to it, and
 * grants leases to the holders. `src/appointed/placement/slow_start_budget.ts` decides when another
 * proxy may take over.
 *
 * Runs on the leader. Assigning a holder needs a majority; if that fails, the instance gets no
 * requests, the failure is logged, and the next upkeep tries again.
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

export interface SlowStartHoldersDependencies {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly propose: Proposer;
  readonly log: DecisionLog;
  /** Whether this machine leads and has applied all entries committed before. */
  readonly isLeading: () => boolean;
  /** Region of a zone; undefined if the settings name none. */
  readonly regionOf: (zone: string) => string | undefined;
  /** Slow start of a group in the newest document. */
  slowStartOf(group: string): SlowStart | undefined;
}

export class SlowStartHolders {
  private readonly contacts = new Map<string, IncarnationContact>();
  /** Former holders that get no lease while a new holder of the instance is being assigned. */
  private readonly suspendedByInstance = new Map<string, string>();
  /** Instances for which a new holder is being proposed. */
  private readonly proposing = new Set<string>();
  private holders: ReadonlySet<string> = new Set();
  private leadershipStartedAt = -Infinity;
  private isAssignmentScheduled = false;

  constructor(private readonly dependencies: SlowStartHoldersDependencies) {
    dependencies.catalog.onChange(() => this.onChange());
  }

  /** Starts a leadership. */
  begin(): void {
    this.leadershipStartedAt = this.dependencies.clock.now();
    this.contacts.clear();
    this.suspendedByInstance.clear();
    this.onChange();
  }

  /** Records a request of a proxy. */
  recordContact({ incarnation }: ProxyEntry, hasLeft: boolean): void {
    this.contacts.set(incarnation ?? '', { lastRequestAt: this.dependencies.clock.now(), hasLeft });
  }

  /**
   * Lease granted to a proxy with a reply, in milliseconds from when its request was sent; 0 for
   * none.
   */
  leaseFor({ incarnation }: ProxyEntry): number {
    const proxyIncarnation = incarnation ?? '';
    const isGranted =
      this.holders.has(proxyIncarnation) &&
      ![...this.suspendedByInstance.values()].includes(proxyIncarnation);
    return isGranted ? LEASE_MS : 0;
  }

  /** Assigns missing holders. Called periodically and after changes. */
  assignMissingHolders(): void {
    const { catalog, isLeading } = this.dependencies;
    if (!isLeading()) return;
    this.forgetGoneInstances();
    for (const instance of catalog.presentInstances) {
      if (this.needsHolder(instance) && this.canReplaceHolder(instance))
        this.proposeHolder(instance);
    }
  }

  /**
   * Holders with a lease know of a later catalog, in which the instance is gone, and send nothing
   * to it.
   */
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
    // Deferred, because a proposal must not start while an entry is being applied.
    clock.setTimer(0, () => {
      this.isAssignmentScheduled = false;
      this.assignMissingHolders();
    });
  }

  /**
   * An instance whose new holder may or may not have been committed always gets one, so that the
   * former holder can have leases again.
   */
  private needsHolder({ id, group, isCold }: InstanceEntry): boolean {
    if (this.suspendedByInstance.has(id ?? '')) return true;
    return isCold === true && this.dependencies.slowStartOf(group ?? '') !== undefined;
  }

  /** Whether an instance has no holder, or the holder can't send requests to it any more. */
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
   * Newest contact with an incarnation of a proxy. A former leader may have received requests later
   * than this one did, for as long as it could still answer. A proxy that says it is leaving has
   * already stopped sending.
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
        // The entry may still be committed after an error. Until it is, the former holder gets no
        // lease.
        const present = catalog.instance(id)?.holderIncarnation ?? '';
        if (present !== former) this.suspendedByInstance.delete(id);
      });
  }

  /**
   * Selects the first live proxy by rendezvous hashing in the instance's zone, or else in its
   * region. A proxy in another region is not used, because requests that must stay in the
   * instance's region could not reach it.
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
