/**
 * Instances of the catalog, including those that are gone, as part of the replicated state. Also
 * records since which log index the current incarnation of each instance counts, and up to which
 * log index entries were forgotten.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { classifyEntry } from './incarnation_order.js';
import { coldStateAfter } from './cold_state.js';

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

  /**
   * Whether an instance of a group left after a version, including by a restart in another group;
   * also true if that is no longer known.
   */
  hasLostSince(group: string, version: number): boolean {
    if (version < this.forgottenIndex) return true;
    return this.all.some((instance) => {
      const isOfGroup = instance.group === group || instance.group === '';
      const isLater = (instance.version ?? 0) > version;
      const isGone = isOfGroup && isLater && instance.state === InstanceState.GONE;
      return isGone || (!isOfGroup && this.hasMovedSince(instance.id ?? '', group, version));
    });
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
    const hasMoved = order === 'next' || !known || !hasSameLocation(known, instance);
    this.placed.set(id, hasMoved ? index : this.placedSince(id));
    const born = instance.born || known?.born || 0;
    // `create` sets the prototype, which supplies the default values of absent fields.
    const coldState = coldStateAfter(known, instance, index);
    const updated = { ...instance, ...coldState, version: index, born, incarnation };
    this.entries.set(id, whinyoke.InstanceEntry.create(updated));
    this.forgetOldest();
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
  restore(
    instances: readonly whinyoke.IInstanceEntry[],
    incarnations: readonly whinyoke.IIncarnationEntry[],
    forgottenVersion: number,
  ): void {
    this.forgottenIndex = forgottenVersion;
    this.entries.clear();
    this.placed.clear();
    for (const item of instances) this.entries.set(item.id ?? '', item);
    this.restartedIncarnations.clear();
    for (const item of incarnations) this.restartedIncarnations.set(item.instance ?? '', item);
  }

  private hasMovedSince(id: string, group: string, version: number): boolean {
    const { formerGroup, beganAt } = this.restartedIncarnations.get(id) ?? {};
    return formerGroup === group && (beganAt ?? 0) > version;
  }

  private replace(instance: whinyoke.IInstanceEntry): void {
    this.placed.set(instance.id ?? '', this.placedSince(instance.id ?? ''));
    this.entries.set(instance.id ?? '', whinyoke.InstanceEntry.create(instance));
  }

  private forgetOldest(): void {
    const gone = this.all.filter((instance) => instance.state === InstanceState.GONE);
    const excess = gone.slice(0, Math.max(0, gone.length - MAX_REMEMBERED_GONE_INSTANCES));
    for (const instance of excess) {
      this.forgottenIndex = Math.max(this.forgottenIndex, instance.version ?? 0);
      this.entries.delete(instance.id ?? '');
      this.restartedIncarnations.delete(instance.id ?? '');
      this.placed.delete(instance.id ?? '');
    }
  }
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
