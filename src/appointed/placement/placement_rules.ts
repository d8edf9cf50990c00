/** Limits from the operator's settings on where requests may be sent: regions of zones, evacuations, slow start. */

/** Placement rules of one process. */
export interface PlacementRules {
  /** Region of each zone. */
  readonly regionByZone: ReadonlyMap<string, string>;
  /** A machine in contact with control for this long must meet the time limits below. */
  readonly contactTimeoutMs: number;
  /** Maximum extension of the time limits below while control is unstable. */
  readonly maxStretchMs: number;
  /** Time after the acknowledgement of an evacuation at which no request may reach the zone any more. */
  readonly evacuationMs: number;
  /** Factor by which the request rate of a cold instance may be exceeded. */
  readonly slowStartOverage: number;
  /** Additional requests per second by which it may be exceeded. */
  readonly slowStartTolerance: number;
}

/** Rules for settings that name no zones and no limits; these are the limits of the platform. */
export const DEFAULT_PLACEMENT_RULES: PlacementRules = {
  regionByZone: new Map(),
  contactTimeoutMs: 5000,
  maxStretchMs: 15_000,
  evacuationMs: 5000,
  slowStartOverage: 1,
  slowStartTolerance: 0,
};
