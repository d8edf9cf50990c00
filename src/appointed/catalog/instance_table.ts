/**
 * Instances of the catalog, those that are gone included. Part of the replicated state: the same on every machine.
 *
 * Owns the entries, since when the present incarnation of each counts, and up to which log index entries were forgotten. Relies
 * on nothing that can fail.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { classifyEntry } from './incarnation_order.js';
import { coldStateAfter } from './cold_state.js';

const { InstanceState } = whinyoke;

/** Instances that are gone are remembered, so that a late heartbeat does not bring them back. A guess, not measured. */
const MAX_REMEMBERED_GONE_INSTANCES = 500;

/** An immutable instance of the catalog. */
export type InstanceEntry = Readonly<whinyoke.IInstanceEntry>;

/** Since when an incarnation counts. */
export type IncarnationEntry = Readonly<whinyoke.IIncarnationEntry>;

/** Instances by identifier. */
export class InstanceTable {
  private readonly entries = new Map<string, InstanceEntry>();
  /** Instances that are not in their first incarnation. */
  private readonly restartedIncarnations = new Map<string, IncarnationEntry>();
  /**
   * Since which log index each instance is where it is, as far as this process has seen; what control appoints beside proxies
   * out of reach depends on it, no replicated state does.
   */
  private readonly placed = new Map<string, number>();
  private forgottenIndex = 0;

  /** Newest version of an entry that was forgotten. */
  get forgottenVersion(): number {
    return this.forgottenIndex;
  }

  /** All instances, those that are gone included. */
  get all(): readonly InstanceEntry[] {
    return [...this.entries.values()];
  }

  /** Instances that are not gone. */
  get present(): readonly InstanceEntry[] {
    return this.all.filter((instance) => instance.state !== InstanceState.GONE);
  }

  /** Instance of that identifier. */
  get(id: string): InstanceEntry | undefined {
    return this.entries.get(id);
  }

  /** Instances that changed after a version; undefined when some of them were forgotten meanwhile. */
  since(version: number): readonly InstanceEntry[] | undefined {
    if (version === 0 || version < this.forgottenIndex) return undefined;
    return this.all.filter((instance) => (instance.version ?? 0) > version);
  }

  /** Log index since which the present incarnation of an instance counts; 0 for the first one. */
  incarnationStartIndex(id: string): number {
    return this.restartedIncarnations.get(id)?.beganAt ?? 0;
  }

  /**
   * Log index since which whoever knows the catalog finds an instance: other changes of its entry, as of coldness, come later.
   * Later than it was where this process has restored a snapshot since; Infinity for an unknown one.
   */
  placedSince(id: string): number {
    return this.placed.get(id) ?? this.entries.get(id)?.version ?? Infinity;
  }

  /** Instances that are not in their first incarnation. */
  get incarnations(): readonly IncarnationEntry[] {
    return [...this.restartedIncarnations.values()];
  }

  /**
   * Whether an instance of a group left after a version, also by starting again in another group; also true when that is no
   * longer known.
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

  /** Takes over an entry; returns whether anything changed. Late entries, and ones of incarnations that ended, change nothing. */
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
    // Fields with default values are kept by the message's prototype only.
    const coldState = coldStateAfter(known, instance, index);
    const updated = { ...instance, ...coldState, version: index, born, incarnation };
    this.entries.set(id, whinyoke.InstanceEntry.create(updated));
    this.forgetOldest();
    return true;
  }

  /** The instances of a zone are cold from a log index on: its evacuation has ended. Returns whether there are any. */
  markZoneCold(zone: string, index: number): boolean {
    const coldInstances = this.present.filter((instance) => instance.zone === zone);
    for (const instance of coldInstances) {
      this.replace({ ...instance, isCold: true, coldSince: index, version: index });
    }
    return coldInstances.length > 0;
  }

  /** Names the proxy that may send to a cold instance; returns whether the one that it follows was the present one. */
  setHolder(index: number, next: whinyoke.ISlowStartHolder): boolean {
    const known = this.entries.get(next.instance ?? '');
    if (!known || (known.holderIncarnation ?? '') !== (next.formerIncarnation ?? '')) return false;
    const { holder, incarnation: holderIncarnation, address: holderAddress } = next;
    this.replace({ ...known, holder, holderIncarnation, holderAddress, version: index });
    return true;
  }

  /** Replaces everything by the entries of a snapshot. */
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

/** Whether whoever knows the one entry finds the instance of the other: an older program may not use one in a state that it lacks. */
function hasSameLocation(known: InstanceEntry, updated: whinyoke.IInstanceEntry): boolean {
  const isSameState =
    (known.state ?? InstanceState.READY) === (updated.state ?? InstanceState.READY);
  return isSameState && known.group === updated.group && known.address === updated.address;
}
