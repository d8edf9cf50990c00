/**
 * Log index at which each group last lost the log of an instance, as part of the replicated state.
 *
 * A lost log may have been the only one besides the primary's that contained an acknowledged commit,
 * so the logs of the other replicas prove nothing about commits acknowledged before the loss.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Stands for any group: the group of the lost instance is not known. */
const ANY_GROUP = '';

/** Newest loss of each group. */
export class ReplicaLossTable {
  private readonly newest = new Map<string, number>();
  private newestIndex = 0;

  /** Log index of the newest loss of any group; 0 if there is none. */
  get newestOfAll(): number {
    return this.newestIndex;
  }

  /** All losses, one per group. */
  get all(): readonly whinyoke.IReplicaLoss[] {
    return [...this.newest].map(([group, version]) => ({ group, version }));
  }

  /** Log index of the newest loss of a group; 0 if there is none. */
  newestOf(group: string): number {
    return Math.max(this.newest.get(group) ?? 0, this.newest.get(ANY_GROUP) ?? 0);
  }

  /** Records a loss at a log index; an empty group stands for any. */
  record(group: string, index: number): void {
    if (index <= (this.newest.get(group) ?? 0)) return;
    this.newest.set(group, index);
    this.newestIndex = Math.max(this.newestIndex, index);
  }

  /** Replaces all losses by those of a snapshot. */
  restore(losses: readonly whinyoke.IReplicaLoss[]): void {
    this.newest.clear();
    this.newestIndex = 0;
    for (const { group, version } of losses) this.record(group ?? '', version ?? 0);
  }
}
