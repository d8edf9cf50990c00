/**
 * Decides when the primary of a group leaves an evacuated zone. The change itself is in `primary_changer.ts`.
 *
 * A change begins as soon as another ready instance outside evacuated zones has a recent heartbeat. All groups change in
 * parallel, at most {@link MAX_CHANGES_PER_SECOND} begin in a second. A primary that had to be appointed in an evacuated
 * zone, because no other instance provably held everything, is replaced after {@link REPLICA_CATCH_UP_MS}, when the others
 * have caught up. After the end of an evacuation no primary moves back.
 */
import type { Catalog, GroupEntry } from '../catalog/catalog.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { InstanceMonitor } from './instance_monitor.js';
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';

const { InstanceState } = whinyoke;

/**
 * Half of the calls that the platform takes in its example settings (50 a second); the rest is for failures and repeated
 * calls.
 */
const MAX_CHANGES_PER_SECOND = 25;
/** Time for replicas elsewhere to catch up with a primary that gets no new work. */
const REPLICA_CATCH_UP_MS = 1000;
/**
 * An instance without a heartbeat for longer can hardly lead: two heartbeats, which come about every 1.2 s. A new leader
 * counts from its election.
 */
const HEARTBEAT_TIMEOUT_MS = 3000;

/** Whether an instance has a recent heartbeat, so that a healthy primary may be replaced by it. */
export function hasRecentHeartbeat(
  monitor: Pick<InstanceMonitor, 'heartbeatAgeMs'>,
  instance: string,
  now: number,
): boolean {
  return monitor.heartbeatAgeMs(instance, now) < HEARTBEAT_TIMEOUT_MS;
}

/** Primary in an evacuated zone. */
export interface EvacuatedPrimary {
  readonly group: string;
  readonly zone: string;
  /** Whether its group has no ready instance elsewhere. */
  readonly isStuck: boolean;
}

/** Evacuated zone of an instance; undefined when its zone is not evacuated. */
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

/** Whether the primary of a group is in an evacuated zone and the group has no ready instance elsewhere. */
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
  /** Last logged state of each evacuated zone. */
  private readonly reportedStates = new Map<string, string>();

  constructor(
    private readonly catalog: Catalog,
    private readonly monitor: Pick<InstanceMonitor, 'heartbeatAgeMs'>,
    private readonly log: DecisionLog,
  ) {}

  /**
   * Cause of a change of a steady group that may begin at `now`, counted as begun; undefined when there is none.
   * @param epochAgeMs - how long the primary has led
   */
  admitChange(entry: GroupEntry, epochAgeMs: number, now: number): string | undefined {
    const zone = evacuatedZoneOf(this.catalog, entry.primary ?? '');
    if (zone === undefined || epochAgeMs < REPLICA_CATCH_UP_MS) return undefined;
    const isCandidate = (instance: string): boolean =>
      hasRecentHeartbeat(this.monitor, instance, now);
    if (!hasReadyElsewhere(this.catalog, entry.group ?? '', isCandidate)) return undefined;
    return this.admitWithinRate(now) ? `zone ${zone} is evacuated` : undefined;
  }

  /** Logs changes in the number of primaries in evacuated zones; called often. */
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
