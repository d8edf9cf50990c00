/**
 * Instances of the catalog, including those that are gone, as part of the replicated state. Also
 * records since which log index the current incarnation of each instance counts, at which log index
 * each group last lost the log of an instance, and up to which log index entries were forgotten.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { classifyEntry } from './incarnation_order.js';
import { coldStateAfter } from './cold_state.js';
import { ReplicaLossTable } from './replica_loss_table.js';

const { InstanceState } = whinyoke;

/** Entries of gone instances are kept so that a late heartbeat does not bring them back. */
const MAX_REMEMBERED_GONE_INSTANCES = 500;

/** An instance of the catalog. Immutable. */
export type InstanceEntry = Readonly<whinyoke.IInstanceEntry>;

/** Log index at which an incarnation began. */
export type IncarnationEntry = Readonly<whinyoke.IIncarnationEntry>;

/** Instances by identifier. */
export class InstanceTable {
  private readonly entries = new Map<string, InstanceEntry>();
  /** Instances that are not in their first incarnation. */
  private readonly restartedIncarnations = new Map<string, IncarnationEntry>();
  /**
   * Log index since which each instance is listed with its current state, group and address, as
   * seen by this process. Not replicated: it only limits what control appoints while proxies are
   * unreachable.
   */
  private readonly placed = new Map<string, number>();
  private readonly losses = new ReplicaLossTable();
  private readonly departingIds = new Set<string>();
  private forgottenIndex = 0;

  /** Newest version of a forgotten entry. */
  get forgottenVersion(): number {
    return this.forgottenIndex;
  }

  /** All instances, including those that are gone. */
  get all(): readonly InstanceEntry[] {
    return [...this.entries.values()];
  }

  /** Instances that are not gone. */
  get present(): readonly InstanceEntry[] {
    return this.all.filter((instance) => instance.state !== InstanceState.GONE);
  }

  /** Instances that have deregistered and are not known to have ended. */
  get departing(): readonly InstanceEntry[] {
    return [...this.departingIds].map((id) => this.entries.get(id)!);
  }

  get(id: string): InstanceEntry | undefined {
    return this.entries.get(id);
  }

  /** Instances that changed after a version; undefined if entries were forgotten since then. */
  since(version: number): readonly InstanceEntry[] | undefined {
    if (version === 0 || version < this.forgottenIndex) return undefined;
    return this.all.filter((instance) => (instance.version ?? 0) > version);
  }

  /** Log index at which the current incarnation of an instance began; 0 for its first one. */
  incarnationStartIndex(id: string): number {
    return this.restartedIncarnations.get(id)?.beganAt ?? 0;
  }

  /**
   * Log index since which an instance is listed with its current state, group and address; other
   * changes of its entry, such as its cold state, may be later. Restoring a snapshot can only make
   * it later than it was. Infinity for an unknown instance.
   */
  placedSince(id: string): number {
    return this.placed.get(id) ?? this.entries.get(id)?.version ?? Infinity;
  }

  /** Instances that are not in their first incarnation. */
  get incarnations(): readonly IncarnationEntry[] {
    return [...this.restartedIncarnations.values()];
  }

  /** Log index at which a group last lost the log of an instance; 0 if it never did. */
  replicaLossVersion(group: string): number {
    return this.losses.newestOf(group);
  }

  /** Log index of the newest loss of any group; 0 if there is none. */
  get newestReplicaLoss(): number {
    return this.losses.newestOfAll;
  }

  /** Newest loss of each group, for a snapshot. */
  get replicaLosses(): readonly whinyoke.IReplicaLoss[] {
    return this.losses.all;
  }

  /**
   * Applies an entry; returns whether anything changed. Late entries and entries of ended
   * incarnations change nothing.
   */
  put(index: number, instance: whinyoke.IInstanceEntry): boolean {
    const id = instance.id ?? '';
    const known = this.entries.get(id);
    const order = known ? classifyEntry(known, instance) : 'same';
    if (order === 'late') return false;
    let incarnation = known?.incarnation ?? 0;
    if (order === 'next') {
      incarnation++;
      this.restartedIncarnations.set(id, {
        instance: id,
        beganAt: index,
        formerGroup: known?.group ?? '',
      });
    }
    this.recordLoss(index, known, instance);
    const hasMoved = order === 'next' || !known || !hasSameLocation(known, instance);
    this.placed.set(id, hasMoved ? index : this.placedSince(id));
    const born = instance.born || known?.born || 0;
    // `create` sets the prototype, which supplies the default values of absent fields.
    const coldState = coldStateAfter(known, instance, index);
    const identity = { born, incarnation, hasEnded: false };
    const updated = { ...instance, ...coldState, version: index, ...identity };
    this.store(whinyoke.InstanceEntry.create(updated));
    this.forgetOldest(index);
    return true;
  }

  /**
   * Records that the process of a gone instance has ended, and its log with it. Returns false for
   * another incarnation, and for an instance that is not gone or is known to have ended.
   */
  end(index: number, { instance: id, incarnation }: whinyoke.IInstanceEnd): boolean {
    const known = this.entries.get(id ?? '');
    if (!known || !isDeparting(known)) return false;
    if ((known.incarnation ?? 0) !== (incarnation ?? 0)) return false;
    this.losses.record(known.group ?? '', index);
    this.replace({ ...known, hasEnded: true });
    return true;
  }

  /**
   * Marks the instances of a zone as cold from a log index on, because its evacuation has ended.
   * Returns whether there are any.
   */
  markZoneCold(zone: string, index: number): boolean {
    const coldInstances = this.present.filter((instance) => instance.zone === zone);
    for (const instance of coldInstances) {
      this.replace({ ...instance, isCold: true, coldSince: index, version: index });
    }
    return coldInstances.length > 0;
  }

  /**
   * Sets the proxy that may send to a cold instance; returns false if the command names another
   * previous holder than the current one.
   */
  setHolder(index: number, next: whinyoke.ISlowStartHolder): boolean {
    const known = this.entries.get(next.instance ?? '');
    if (!known || (known.holderIncarnation ?? '') !== (next.formerIncarnation ?? '')) return false;
    const { holder, incarnation: holderIncarnation, address: holderAddress } = next;
    this.replace({ ...known, holder, holderIncarnation, holderAddress, version: index });
    return true;
  }

  /** Replaces all entries by those of a snapshot. */
  restore({
    instances,
    incarnations,
    replicaLosses,
    forgottenVersion,
  }: whinyoke.CatalogSnapshot): void {
    this.forgottenIndex = forgottenVersion;
    this.entries.clear();
    this.departingIds.clear();
    this.placed.clear();
    for (const item of instances) this.store(item);
    this.restartedIncarnations.clear();
    for (const item of incarnations) this.restartedIncarnations.set(item.instance ?? '', item);
    this.losses.restore(replicaLosses);
    // A snapshot of an earlier program does not list losses; any forgotten instance may be one.
    if (replicaLosses.length === 0) this.losses.record('', forgottenVersion);
  }

  /**
   * Records the loss of a log by a new entry of its instance. An instance that restarts in its group
   * is no loss: it counts as missing until it has caught up.
   */
  private recordLoss(
    index: number,
    known: InstanceEntry | undefined,
    { group, state }: whinyoke.IInstanceEntry,
  ): void {
    const hasMoved = known !== undefined && known.group !== group && !known.hasEnded;
    if (hasMoved) this.losses.record(known.group ?? '', index);
    // An instance that was never listed may have been a replica of any group.
    const isUnknown = !known && !group && state === InstanceState.GONE;
    if (isUnknown) this.losses.record('', index);
  }

  private replace(instance: whinyoke.IInstanceEntry): void {
    this.placed.set(instance.id ?? '', this.placedSince(instance.id ?? ''));
    this.store(whinyoke.InstanceEntry.create(instance));
  }

  private store(instance: InstanceEntry): void {
    const id = instance.id ?? '';
    this.entries.set(id, instance);
    if (isDeparting(instance)) this.departingIds.add(id);
    else this.departingIds.delete(id);
  }

  private forgetOldest(index: number): void {
    const gone = this.all.filter((instance) => instance.state === InstanceState.GONE);
    const excess = gone.slice(0, Math.max(0, gone.length - MAX_REMEMBERED_GONE_INSTANCES));
    for (const instance of excess) {
      this.forgottenIndex = Math.max(this.forgottenIndex, instance.version ?? 0);
      // Its end can't be observed any more.
      if (isDeparting(instance)) this.losses.record(instance.group ?? '', index);
      this.entries.delete(instance.id ?? '');
      this.departingIds.delete(instance.id ?? '');
      this.restartedIncarnations.delete(instance.id ?? '');
      this.placed.delete(instance.id ?? '');
    }
  }
}

/** Whether an instance has deregistered and may still receive commits. */
function isDeparting({ state, group, hasEnded }: InstanceEntry): boolean {
  return state === InstanceState.GONE && group !== '' && !hasEnded;
}

/**
 * Whether a process that knows one entry can use the instance of the other. The state matters
 * because an older program ignores instances in a state that it does not know.
 */
function hasSameLocation(known: InstanceEntry, updated: whinyoke.IInstanceEntry): boolean {
  const isSameState =
    (known.state ?? InstanceState.READY) === (updated.state ?? InstanceState.READY);
  return isSameState && known.group === updated.group && known.address === updated.address;
}
