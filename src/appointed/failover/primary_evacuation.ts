/**
 * DECISION: when the primary of a group leaves an evacuated zone. The change itself: `primary_changer.ts`.
 *
 * Answers: an operator evacuates a zone; what only a primary there can run is refused after a part of the bound.
 * Inputs: evacuated zones and instances of the catalog, the present primary, milliseconds since its epoch began, and since the
 *   newest heartbeats of the others.
 * Rule: as soon as another ready instance stands elsewhere and is heard of, for all groups side by side, but no more begins in a second than
 *   {@link MOST_BEGUN}. A primary that had to be appointed in such a zone, since no other one provably held everything, is
 *   replaced {@link FOLLOW_MS} later: by then the others have followed it. After the end of an evacuation nothing moves back.
 * Constants: below. Tests: test/unit/evacuation.test.ts.
 *
 * Owns how many changes were begun lately, and what was logged. Relies on the catalog only, which can't fail.
 */
import type { Catalog, GroupEntry } from '../catalog/catalog.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { InstanceMonitor } from './instance_monitor.js';
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';

const { InstanceState } = whinyoke;

/**
 * Changes begun in one second (a count): half of the calls that the platform takes in its example of settings (50 a second);
 * the rest is for failures and repeated calls. Guess, not measured.
 */
const MAX_CHANGES_PER_SECOND = 25;
/** Time for replicas elsewhere to follow a primary that nothing is sent to, in milliseconds. Guess, not measured. */
const REPLICA_CATCH_UP_MS = 1000;
/**
 * An instance whose heartbeats are missing for longer can hardly lead, in milliseconds: two of them, which come about every
 * 1.2 s. A new leader counts from its election. Guess, not measured.
 */
const HEARTBEAT_TIMEOUT_MS = 3000;

/** Whether an instance was heard of so lately that a primary that is well may be replaced for it. */
export function hasRecentHeartbeat(
  monitor: Pick<InstanceMonitor, 'heartbeatAgeMs'>,
  instance: string,
  now: number,
): boolean {
  return monitor.heartbeatAgeMs(instance, now) < HEARTBEAT_TIMEOUT_MS;
}

/** A primary in an evacuated zone. */
export interface EvacuatedPrimary {
  readonly group: string;
  readonly zone: string;
  /** Whether no ready instance of its group stands elsewhere. */
  readonly isStuck: boolean;
}

/** Evacuated zone of an instance; undefined when it is in no such zone. */
export function evacuatedZoneOf(catalog: Catalog, instance: string): string | undefined {
  const zone = catalog.instance(instance)?.zone ?? '';
  return catalog.isEvacuated(zone) ? zone : undefined;
}

/** All primaries in evacuated zones. */
export function evacuatedPrimaries(catalog: Catalog): readonly EvacuatedPrimary[] {
  const primaries: EvacuatedPrimary[] = [];
  for (const entry of catalog.groups) {
    const zone = evacuatedZoneOf(catalog, entry.primary ?? '');
    if (zone === undefined) continue;
    const isStuck = isPrimaryStuck(catalog, entry);
    primaries.push({ group: entry.group ?? '', zone, isStuck });
  }
  return primaries;
}

/** Whether the primary of a group is in an evacuated zone, and no ready instance of the group stands elsewhere. */
export function isPrimaryStuck(catalog: Catalog, { group, primary }: GroupEntry): boolean {
  if (evacuatedZoneOf(catalog, primary ?? '') === undefined) return false;
  return !hasReadyElsewhere(catalog, group ?? '');
}

function hasReadyElsewhere(
  catalog: Catalog,
  group: string,
  isCandidate: (instance: string) => boolean = () => true,
): boolean {
  return catalog.presentInstances.some(
    (instance) =>
      instance.group === group &&
      instance.state === InstanceState.READY &&
      !catalog.isEvacuated(instance.zone ?? '') &&
      isCandidate(instance.id ?? ''),
  );
}

/** Evacuation of primaries by one leader. */
export class PrimaryEvacuation {
  private windowStartedAt = -Infinity;
  private changesInWindow = 0;
  /** What was logged of each evacuated zone. */
  private readonly reportedStates = new Map<string, string>();

  constructor(
    private readonly catalog: Catalog,
    private readonly monitor: Pick<InstanceMonitor, 'heartbeatAgeMs'>,
    private readonly log: DecisionLog,
  ) {}

  /**
   * Cause for a change of a steady group that may begin at `now`, and is counted as begun; undefined when there is none.
   * @param steadyMs - how long the primary has led
   */
  admitChange(entry: GroupEntry, epochAgeMs: number, now: number): string | undefined {
    const zone = evacuatedZoneOf(this.catalog, entry.primary ?? '');
    if (zone === undefined || epochAgeMs < REPLICA_CATCH_UP_MS) return undefined;
    const isCandidate = (instance: string): boolean =>
      hasRecentHeartbeat(this.monitor, instance, now);
    if (!hasReadyElsewhere(this.catalog, entry.group ?? '', isCandidate)) return undefined;
    return this.admitWithinRate(now) ? `zone ${zone} is evacuated` : undefined;
  }

  /** Logs what changed of the primaries in evacuated zones; called often. */
  reportProgress(): void {
    const { evacuatedZones } = this.catalog;
    if (evacuatedZones.length === 0 && this.reportedStates.size === 0) return;
    const all = evacuatedPrimaries(this.catalog);
    for (const zone of evacuatedZones) {
      const ofZone = all.filter((primary) => primary.zone === zone);
      this.reportZone(zone, ofZone.length, ofZone.filter(({ isStuck }) => isStuck).length);
    }
    for (const zone of [...this.reportedStates.keys()]) {
      if (evacuatedZones.includes(zone)) continue;
      this.reportedStates.delete(zone);
      this.log(Events.evacuationProgress, { zone, evacuated: false });
    }
  }

  private admitWithinRate(now: number): boolean {
    if (now - this.windowStartedAt >= MILLISECONDS_PER_SECOND) {
      this.windowStartedAt = now;
      this.changesInWindow = 0;
    }
    if (this.changesInWindow >= MAX_CHANGES_PER_SECOND) return false;
    this.changesInWindow++;
    return true;
  }

  private reportZone(zone: string, primaries: number, stuck: number): void {
    const state = `${primaries}/${stuck}`;
    if (this.reportedStates.get(zone) === state) return;
    this.reportedStates.set(zone, state);
    this.log(Events.evacuationProgress, { zone, evacuated: true, primaries, stuck });
  }
}
