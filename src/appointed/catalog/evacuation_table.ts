/**
 * Zones that operators evacuate. Part of the replicated state: the same on every machine.
 *
 * Owns the newest order on each zone. Relies on nothing that can fail. Orders take effect in the order of the log; one that
 * asks for what is so already changes nothing.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Newest order on one zone. Immutable. */
export type EvacuationEntry = Readonly<whinyoke.IEvacuationEntry>;

/** What an order changed. */
export type EvacuationChange = 'begun' | 'finished' | 'none';

/** Zones by name. A zone that was never evacuated has no entry. */
export class EvacuationTable {
  private readonly entries = new Map<string, EvacuationEntry>();

  /** Newest order on each zone, those included that are not evacuated any more. */
  get all(): readonly EvacuationEntry[] {
    return [...this.entries.values()];
  }

  /** Names of the evacuated zones. */
  get evacuatedZones(): readonly string[] {
    return this.all.filter(isEvacuation).map(({ zone }) => zone ?? '');
  }

  /** Whether a zone is evacuated. */
  isEvacuated(zone: string): boolean {
    const entry = this.entries.get(zone);
    return entry !== undefined && isEvacuation(entry);
  }

  /** Orders that took effect after a version. */
  since(version: number): readonly EvacuationEntry[] {
    return this.all.filter((entry) => (entry.version ?? 0) > version);
  }

  /** Takes over an order; returns what it changed. */
  put(index: number, { zone, begins }: whinyoke.IEvacuationOrder): EvacuationChange {
    const name = zone ?? '';
    const isBegin = begins === true;
    if (isBegin === this.isEvacuated(name)) return 'none';
    this.entries.set(name, { zone: name, begunAt: isBegin ? index : 0, version: index });
    return isBegin ? 'begun' : 'finished';
  }

  /** Replaces everything by the entries of a snapshot. */
  restore(entries: readonly whinyoke.IEvacuationEntry[]): void {
    this.entries.clear();
    for (const entry of entries) this.entries.set(entry.zone ?? '', entry);
  }
}

function isEvacuation({ begunAt }: EvacuationEntry): boolean {
  return (begunAt ?? 0) > 0;
}
