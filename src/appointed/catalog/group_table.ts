/**
 * Groups of the catalog with their epochs. Part of the replicated state: the same on every machine.
 *
 * Owns the entries. Relies on nothing that can fail.
 */
import { whinyoke } from '../../protocol/generated/messages.js';

/** An immutable epoch of a group. */
export type GroupEntry = Readonly<whinyoke.IGroupEntry>;

/** Order of names by their code units, the same in every process. */
export function compareNames(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Groups by name. */
export class GroupTable {
  private readonly entries = new Map<string, GroupEntry>();
  /** Groups in the order of their names; made anew after a change, since many replies are made between two changes. */
  private sorted: readonly GroupEntry[] | undefined;

  /** All groups, in the order in which they were first seen. */
  get all(): readonly GroupEntry[] {
    return [...this.entries.values()];
  }

  /** All groups in the order of their names. */
  get byName(): readonly GroupEntry[] {
    this.sorted ??= this.all.toSorted((left, right) =>
      compareNames(left.group ?? '', right.group ?? ''),
    );
    return this.sorted;
  }

  /** Group of that name. */
  get(name: string): GroupEntry | undefined {
    return this.entries.get(name);
  }

  /** Groups whose epoch changed after a version. */
  since(version: number): readonly GroupEntry[] {
    return this.all.filter((group) => (group.version ?? 0) > version);
  }

  /** Begins the next epoch of a group; returns whether it was the next one. */
  put(index: number, group: whinyoke.IGroupEntry): boolean {
    const current = this.entries.get(group.group ?? '');
    if (group.epoch !== (current?.epoch ?? 0) + 1) return false;
    const isSteady = group.phase !== whinyoke.GroupPhase.CHANGING;
    const steadySince = isSteady ? index : current?.steadySince;
    this.set({ ...group, version: index, steadySince });
    return true;
  }

  /** Names the instance that is to be appointed in the present epoch; returns whether the epoch was the present one. */
  setTarget(choice: whinyoke.IGroupEntry): boolean {
    const current = this.entries.get(choice.group ?? '');
    if (!current || current.epoch !== choice.epoch) return false;
    const { target, targetIncarnation, leastPosition = current.leastPosition } = choice;
    this.set({ ...current, target, targetIncarnation, leastPosition });
    return true;
  }

  /** Replaces everything by the entries of a snapshot. */
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
