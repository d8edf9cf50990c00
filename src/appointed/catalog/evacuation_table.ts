/**
 * Zones that operators evacuate, as part of the replicated state. Orders take effect in log order;
 * an order that asks for the current state changes nothing.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Newest evacuation order for one zone. Immutable. */
export type EvacuationEntry = Readonly<whinyoke.IEvacuationEntry>;

/** Effect of an order. */
export type EvacuationChange = 'begun' | 'finished' | 'none';

/** Newest orders by zone. A zone that was never evacuated has no entry. */
export class EvacuationTable {
  private readonly entries = new Map<string, EvacuationEntry>();

  /** Newest order for each zone, including zones that are no longer evacuated. */
  get all(): readonly EvacuationEntry[] {
    return [...this.entries.values()];
  }

  get evacuatedZones(): readonly string[] {
    return this.all.filter(isEvacuation).map(({ zone }) => zone ?? '');
  }

  isEvacuated(zone: string): boolean {
    const entry = this.entries.get(zone);
    return entry !== undefined && isEvacuation(entry);
  }

  /** Orders that took effect after a version. */
  since(version: number): readonly EvacuationEntry[] {
    return this.all.filter((entry) => (entry.version ?? 0) > version);
  }

  /** Applies an order; returns its effect. */
  put(index: number, { zone, begins }: whinyoke.IEvacuationOrder): EvacuationChange {
    const name = zone ?? '';
    const isBegin = begins === true;
    if (isBegin === this.isEvacuated(name)) return 'none';
    this.entries.set(name, { zone: name, begunAt: isBegin ? index : 0, version: index });
    return isBegin ? 'begun' : 'finished';
  }

  /** Replaces all entries by those of a snapshot. */
  restore(entries: readonly whinyoke.IEvacuationEntry[]): void {
    this.entries.clear();
    for (const entry of entries) this.entries.set(entry.zone ?? '', entry);
  }
}

function isEvacuation({ begunAt }: EvacuationEntry): boolean {
  return (begunAt ?? 0) > 0;
}
