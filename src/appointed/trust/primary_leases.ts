/**
 * Leases of a proxy on the primaries of its groups. A lease is counted from the moment its request was sent,
 * on this process's own clock, and holds for one epoch only.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { type GroupEntry, compareNames } from '../catalog/catalog.js';
import { type Position, latest } from '../../positions/position.js';

/** A primary that may be used now. */
export interface LeasedPrimary {
  readonly epoch: number;
  readonly instance: string;
  readonly term: number;
}

/** Lease of an epoch that is being revoked: answers count until the revocation is confirmed. */
interface EndingLease {
  readonly epoch: number;
  readonly until: number;
}

interface GroupLease {
  entry: GroupEntry;
  ending: EndingLease | undefined;
  leaseUntil: number;
  /** When this proxy learned of the entry, on its own clock. */
  knownSince: number;
  /** Highest position acknowledged to a caller. */
  acknowledged: Position | undefined;
  /** Statements under way whose outcome a revocation should wait for. */
  commitsUnderWay: number;
  /** CHANGING epoch for which all lease in earlier ones has ended. */
  endedEpoch: number;
  confirmedEpoch: number;
}

/** This proxy trusts no epoch of a group before `epoch`. */
export interface Confirmation {
  readonly group: string;
  readonly epoch: number;
  /** Highest position acknowledged to a caller. */
  readonly position: Position | undefined;
}

/** Remaining life of a lease under which nothing new is sent, in milliseconds. */
const SEND_MARGIN_MS = 60;
/** Longest time that commits under way hold up a planned revocation, in milliseconds. */
const PLANNED_COMMIT_PATIENCE_MS = 250;
/**
 * The same where the primary is in trouble, in milliseconds: a few statements' time, for the proxies that can still use
 * it. Commits on a primary that answers nothing only lengthen the change.
 */
const COMMIT_PATIENCE_MS = 80;

function endingLease(known: GroupLease | undefined): EndingLease | undefined {
  if (!known) return undefined;
  const epoch = known.entry.epoch ?? 0;
  // An epoch that never had a lease here leaves the lease before it as it was.
  if (known.leaseUntil === -Infinity) return known.ending;
  return { epoch, until: known.leaseUntil };
}

/** Whether the commits under way are over, or have had their time, and control has not heard of it yet. */
function isRevocationDue(lease: GroupLease, now: number): boolean {
  const isChanging = lease.entry.phase === whinyoke.GroupPhase.CHANGING;
  if (!isChanging || lease.confirmedEpoch >= (lease.entry.epoch ?? 0)) return false;
  const patienceMs = lease.entry.planned ? PLANNED_COMMIT_PATIENCE_MS : COMMIT_PATIENCE_MS;
  return lease.commitsUnderWay === 0 || now - lease.knownSince > patienceMs;
}

/** Trust after an entry of the same or a later epoch was heard of. */
function successorOf(known: GroupLease | undefined, entry: GroupEntry, now: number): GroupLease {
  if (known?.entry.epoch === entry.epoch && known) return { ...known, entry };
  return {
    entry,
    ending: endingLease(known),
    leaseUntil: -Infinity,
    knownSince: now,
    acknowledged: known?.acknowledged,
    commitsUnderWay: known?.commitsUnderWay ?? 0,
    endedEpoch: known?.endedEpoch ?? 0,
    confirmedEpoch: known?.confirmedEpoch ?? 0,
  };
}

/** Whether the present epoch has or had a lease, and is not being revoked. */
function isLeased({ entry, leaseUntil }: GroupLease): boolean {
  return leaseUntil !== -Infinity && entry.phase !== whinyoke.GroupPhase.CHANGING;
}

/** Trust of one proxy. */
export class PrimaryLeases {
  private readonly groups = new Map<string, GroupLease>();
  private sortedNames: readonly string[] | undefined;
  private waiters: (() => void)[] = [];

  /** Takes over the state of all groups from a reply to a request that was sent at `sentAt`. */
  update(entries: readonly GroupEntry[], now: number): void {
    for (const entry of entries) {
      const name = entry.group ?? '';
      const known = this.groups.get(name);
      if (known && (entry.epoch ?? 0) < (known.entry.epoch ?? 0)) continue;
      if (!known) this.sortedNames = undefined;
      this.groups.set(name, successorOf(known, entry, now));
    }
  }

  /** Extends the leases of all present epochs, but of those that are being revoked. */
  extendAll(until: number): void {
    for (const lease of this.groups.values()) {
      if (lease.entry.phase === whinyoke.GroupPhase.CHANGING) continue;
      lease.leaseUntil = Math.max(lease.leaseUntil, until);
    }
    this.wakeWaiters();
  }

  /** Extends the lease of one epoch, if it is the present one and ever had a lease. */
  extend(group: string, epoch: number, until: number): void {
    const lease = this.groups.get(group);
    if (!lease || lease.entry.epoch !== epoch || !isLeased(lease)) return;
    lease.leaseUntil = Math.max(lease.leaseUntil, until);
    this.wakeWaiters();
  }

  /** Names of all known groups, in order. */
  get groupNames(): readonly string[] {
    this.sortedNames ??= [...this.groups.keys()].sort(compareNames);
    return this.sortedNames;
  }

  /** Groups whose present epoch has or had a lease here. */
  leasedGroups(): readonly string[] {
    return [...this.groups].filter(([, lease]) => isLeased(lease)).map(([group]) => group);
  }

  /** Primary to which a statement may be sent at `now`: the lease will outlast a short answer. */
  primaryOf(group: string, now: number): LeasedPrimary | undefined {
    const lease = this.groups.get(group);
    if (!lease || now >= lease.leaseUntil - SEND_MARGIN_MS) return undefined;
    const { entry } = lease;
    return { epoch: entry.epoch ?? 0, instance: entry.primary ?? '', term: entry.term ?? 0 };
  }

  /** Whether the primary of any group may be used at `now`. */
  hasLease(now: number): boolean {
    return [...this.groups.values()].some((lease) => now < lease.leaseUntil - SEND_MARGIN_MS);
  }

  /** Whether answers of the primary of `epoch` still count at `now`. */
  accepts(group: string, epoch: number, now: number): boolean {
    const lease = this.groups.get(group);
    if (!lease) return false;
    if (lease.entry.epoch === epoch) return now < lease.leaseUntil;
    return lease.ending?.epoch === epoch && now < lease.ending.until;
  }

  /** Newest known epoch of a group. */
  entryOf(group: string): GroupEntry | undefined {
    return this.groups.get(group)?.entry;
  }

  /** How long the present phase of a group has been known, in milliseconds. */
  phaseAge(group: string, now: number): number {
    const lease = this.groups.get(group);
    return lease ? now - lease.knownSince : 0;
  }

  /** Notes a commit that is acknowledged to a caller. */
  noteAcknowledged(group: string, position: Position): void {
    const lease = this.groups.get(group);
    if (!lease) return;
    lease.acknowledged = lease.acknowledged ? latest(lease.acknowledged, position) : position;
  }

  /** Notes the start and the end of a statement that may commit. */
  commitStarted(group: string): void {
    const lease = this.groups.get(group);
    if (lease) lease.commitsUnderWay++;
  }

  commitEnded(group: string): void {
    const lease = this.groups.get(group);
    if (lease) lease.commitsUnderWay--;
  }

  /** Whether a revocation is due and not yet confirmed. */
  hasDueRevocation(now: number): boolean {
    return [...this.groups.values()].some((lease) => isRevocationDue(lease, now));
  }

  /** Ends all lease in the old epochs whose revocation is due, and returns their groups. */
  endRevokedEpochs(now: number): readonly string[] {
    const ended: string[] = [];
    for (const [group, lease] of this.groups) {
      if (!isRevocationDue(lease, now)) continue;
      lease.ending = undefined;
      lease.endedEpoch = lease.entry.epoch ?? 0;
      ended.push(group);
    }
    return ended;
  }

  /**
   * Confirmations of all revocations that go on, those included that control has taken already: a new leader knows
   * nothing of them.
   */
  confirmations(): readonly Confirmation[] {
    const confirmations: Confirmation[] = [];
    for (const [group, { entry, endedEpoch, acknowledged }] of this.groups) {
      const epoch = entry.epoch ?? 0;
      const isChanging = entry.phase === whinyoke.GroupPhase.CHANGING;
      if (isChanging && endedEpoch === epoch) {
        confirmations.push({ group, epoch, position: acknowledged });
      }
    }
    return confirmations;
  }

  /** Notes that control has taken a revocation. */
  confirmed(group: string, epoch: number): void {
    const lease = this.groups.get(group);
    if (lease) lease.confirmedEpoch = Math.max(lease.confirmedEpoch, epoch);
  }

  private wakeWaiters(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }

  /** Resolves when a lease is extended. */
  nextExtension(): Promise<void> {
    return new Promise((resolve) => this.waiters.push(resolve));
  }
}
