/**
 * Where requests may go, as the operator's settings bound it: regions of zones, evacuated zones, cold instances.
 * Immutable values; owns nothing, relies on nothing.
 */

/** Rules of one process on where requests go. */
export interface PlacementRules {
  /** Region of each zone. */
  readonly regionByZone: ReadonlyMap<string, string>;
  /** A machine that had contact with control for this long is bound by the times below, in milliseconds. */
  readonly contactTimeoutMs: number;
  /** By how much the times below stretch at most while control is unstable, in milliseconds. */
  readonly maxStretchMs: number;
  /** From the acknowledgement of an evacuation until no request may reach the zone, in milliseconds. */
  readonly evacuationMs: number;
  /** The rate of a cold instance may be exceeded by this factor. */
  readonly slowStartOverage: number;
  /** Requests in one second by which it may be exceeded besides. */
  readonly slowStartTolerance: number;
}

/** Rules of a process whose settings name no zones and no bounds; the bounds are those of the platform, in milliseconds. */
export const DEFAULT_PLACEMENT_RULES: PlacementRules = {
  regionByZone: new Map(),
  contactTimeoutMs: 5000,
  maxStretchMs: 15_000,
  evacuationMs: 5000,
  slowStartOverage: 1,
  slowStartTolerance: 0,
};
