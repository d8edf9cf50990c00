/** Rates of operations on the wire: whole numbers of operations in 1,000 s. Pure: owns nothing, relies on nothing that may fail. */

/** Operations in 1,000 s for one operation a second. */
const WIRE_UNITS_PER_OPERATION = 1000;

/** Rate that a proxy reports: never less than what it goes on using. */
export function toReportedWireRate(perSecond: number): number {
  return Math.ceil(perSecond * WIRE_UNITS_PER_OPERATION);
}

/** Rate that a leader leases: never more than what it counts. */
export function toLeasedWireRate(perSecond: number): number {
  return Math.floor(perSecond * WIRE_UNITS_PER_OPERATION);
}

/** Operations a second. */
export function fromWireRate(wireRate: number | null | undefined): number {
  return (wireRate ?? 0) / WIRE_UNITS_PER_OPERATION;
}
