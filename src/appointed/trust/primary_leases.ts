/**
 * Leases of a proxy on the primaries of its groups, kept in memory only: a restarted proxy has none.
 *
 * Control grants and extends them; replicas extend them while control is unreachable. Without either they expire. The
 * rules of a single lease are in `group_lease.ts`.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { type GroupEntry, compareNames } from '../catalog/catalog.js';
import { type Position, latest } from '../../positions/position.js';
import {
  type GroupLease,
  isAnswerValid,
  isLeasable,
  isLeased,
  isRevocationDue,
  isUsable,
  updatedLease,
} from './group_lease.js';

/** Primary that may be used now. */
interface LeasedPrimary {
  readonly epoch: number;
  readonly instance: string;
  readonly term: number;
}

/** Confirmation that this proxy uses no epoch of a group before `epoch`. */
interface Confirmation {
  readonly group: string;
  readonly epoch: number;
  /** Highest position acknowledged to a caller. */
  readonly position: Position | undefined;
}

export class PrimaryLeases {
  private readonly groups = new Map<string, GroupLease>();
  private sortedNames: readonly string[] | undefined;
  private waiters: (() => void)[] = [];

  /** Applies the entries of a reply that arrived at `now`. */
  update(entries: readonly GroupEntry[], now: number): void {
    for (const entry of entries) {
      const name = entry.group ?? '';
      const known = this.groups.get(name);
      if (known && (entry.epoch ?? 0) < (known.entry.epoch ?? 0)) continue;
      if (!known) this.sortedNames = undefined;
      this.groups.set(name, updatedLease(known, entry, now));
    }
  }

  /** Extends the leases of all current epochs, except those being revoked or whose primary has restarted. */
  extendAll(until: number): void {
    for (const lease of this.groups.values()) {
      if (!isLeasable(lease)) continue;
      lease.leaseUntil = Math.max(lease.leaseUntil, until);
    }
    this.wakeWaiters();
  }

  /** Extends the lease of one epoch if it is the current one and ever had a lease. */
  extend(group: string, epoch: number, until: number): void {
    const lease = this.groups.get(group);
    if (!lease || lease.entry.epoch !== epoch || !isLeased(lease)) return;
    lease.leaseUntil = Math.max(lease.leaseUntil, until);
    this.wakeWaiters();
  }

  /** Ends the lease on an epoch whose primary has restarted, for good. Returns whether that was new. */
  distrust(group: string, epoch: number): boolean {
    const lease = this.groups.get(group);
    if (!lease || lease.distrustedEpoch >= epoch) return false;
    if (lease.ending?.epoch === epoch) lease.ending = undefined;
    if (lease.entry.epoch === epoch) lease.leaseUntil = -Infinity;
    lease.distrustedEpoch = epoch;
    return true;
  }

  /** Whether an instance is the primary of the current epoch and has restarted since that began. */
  isDistrusted(group: string, instance: string): boolean {
    const { entry, distrustedEpoch } = this.groups.get(group) ?? {};
    return entry?.primary === instance && entry.epoch === distrustedEpoch;
  }

  /** Names of all known groups, sorted. */
  get groupNames(): readonly string[] {
    this.sortedNames ??= [...this.groups.keys()].sort(compareNames);
    return this.sortedNames;
  }

  /** Groups whose current epoch has or had a lease here. */
  leasedGroups(): readonly string[] {
    return [...this.groups].filter(([, lease]) => isLeased(lease)).map(([group]) => group);
  }

  /** Primary to which a statement may be sent at `now`; undefined without a usable lease. */
  primaryOf(group: string, now: number): LeasedPrimary | undefined {
    const lease = this.groups.get(group);
    if (!lease || !isUsable(lease, now)) return undefined;
    const { entry } = lease;
    return { epoch: entry.epoch ?? 0, instance: entry.primary ?? '', term: entry.term ?? 0 };
  }

  /** Whether the primary of any group may be used at `now`. */
  hasLease(now: number): boolean {
    return [...this.groups.values()].some((lease) => isUsable(lease, now));
  }

  /** Whether answers of the primary of `epoch` are valid at `now`. */
  accepts(group: string, epoch: number, now: number): boolean {
    const lease = this.groups.get(group);
    return lease !== undefined && isAnswerValid(lease, epoch, now);
  }

  /** Newest known entry of a group. */
  entryOf(group: string): GroupEntry | undefined {
    return this.groups.get(group)?.entry;
  }

  /** How long the current phase of a group has been known, in milliseconds. */
  phaseAgeMs(group: string, now: number): number {
    const lease = this.groups.get(group);
    return lease ? now - lease.knownSince : 0;
  }

  /** Records a commit that is acknowledged to a caller. */
  recordAcknowledged(group: string, position: Position): void {
    const lease = this.groups.get(group);
    if (!lease) return;
    lease.acknowledged = lease.acknowledged ? latest(lease.acknowledged, position) : position;
  }

  /** Records the start of a statement that may commit. */
  onCommitStarted(group: string): void {
    const lease = this.groups.get(group);
    if (lease) lease.commitsInFlight++;
  }

  /** Records the end of a statement that may commit. */
  onCommitEnded(group: string): void {
    const lease = this.groups.get(group);
    if (lease) lease.commitsInFlight--;
  }

  /** Whether a revocation is due and not yet confirmed. */
  hasDueRevocation(now: number): boolean {
    return [...this.groups.values()].some((lease) => isRevocationDue(lease, now));
  }

  /** Ends the leases of old epochs whose revocation is due, and returns their groups. */
  endRevokedEpochs(now: number): readonly string[] {
    const ended: string[] = [];
    for (const [group, lease] of this.groups) {
      if (!isRevocationDue(lease, now)) continue;
      lease.ending = undefined;
      lease.revokedEpoch = lease.entry.epoch ?? 0;
      ended.push(group);
    }
    return ended;
  }

  /**
   * Confirmations of all ongoing revocations, also of those that control has already received: a new leader knows none of
   * them.
   */
  confirmations(): readonly Confirmation[] {
    const confirmations: Confirmation[] = [];
    for (const [group, { entry, revokedEpoch, acknowledged }] of this.groups) {
      const epoch = entry.epoch ?? 0;
      const isChanging = entry.phase === whinyoke.GroupPhase.CHANGING;
      if (isChanging && revokedEpoch === epoch) {
        confirmations.push({ group, epoch, position: acknowledged });
      }
    }
    return confirmations;
  }

  /** Records that control has received the confirmation of a revocation. */
  recordConfirmed(group: string, epoch: number): void {
    const lease = this.groups.get(group);
    if (lease) lease.confirmedEpoch = Math.max(lease.confirmedEpoch, epoch);
  }

  /** Resolves when a lease is next extended. */
  nextExtension(): Promise<void> {
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  private wakeWaiters(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }
}
