/** Groups and their epochs, as part of the replicated state. */
import { whinyoke } from '../../protocol/generated/messages.js';

/** An epoch of a group. Immutable. */
export type GroupEntry = Readonly<whinyoke.IGroupEntry>;

/** Compares names by code units, which gives the same order in every process. */
export function compareNames(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Groups by name. */
export class GroupTable {
  private readonly entries = new Map<string, GroupEntry>();
  /** Groups sorted by name; cached because many replies are built between two changes. */
  private sorted: readonly GroupEntry[] | undefined;

  /** All groups, in the order in which they were first put. */
  get all(): readonly GroupEntry[] {
    return [...this.entries.values()];
  }

  get byName(): readonly GroupEntry[] {
    this.sorted ??= this.all.toSorted((left, right) =>
      compareNames(left.group ?? '', right.group ?? ''),
    );
    return this.sorted;
  }

  get(name: string): GroupEntry | undefined {
    return this.entries.get(name);
  }

  /** Groups whose epoch changed after a version. */
  since(version: number): readonly GroupEntry[] {
    return this.all.filter((group) => (group.version ?? 0) > version);
  }

  /** Starts the next epoch of a group; returns false if the entry's epoch is not the next one. */
  put(index: number, group: whinyoke.IGroupEntry): boolean {
    const current = this.entries.get(group.group ?? '');
    if (group.epoch !== (current?.epoch ?? 0) + 1) return false;
    const isSteady = group.phase !== whinyoke.GroupPhase.CHANGING;
    const steadySince = isSteady ? index : current?.steadySince;
    this.set({ ...group, version: index, steadySince });
    return true;
  }

  /**
   * Sets the instance that is to be appointed in the current epoch; returns false if the entry's
   * epoch is not the current one.
   */
  setTarget(choice: whinyoke.IGroupEntry): boolean {
    const current = this.entries.get(choice.group ?? '');
    if (!current || current.epoch !== choice.epoch) return false;
    const { target, targetIncarnation, targetPosition } = choice;
    const { leastPosition = current.leastPosition } = choice;
    this.set({ ...current, target, targetIncarnation, targetPosition, leastPosition });
    return true;
  }

  /** Replaces all entries by those of a snapshot. */
  restore(groups: readonly whinyoke.IGroupEntry[]): void {
    this.entries.clear();
    this.sorted = undefined;
    for (const item of groups) this.entries.set(item.group ?? '', item);
  }

  private set(group: GroupEntry): void {
    this.entries.set(group.group ?? '', group);
    this.sorted = undefined;
  }
}
