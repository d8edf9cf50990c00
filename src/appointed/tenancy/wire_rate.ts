/** Rates of operations on the wire: whole numbers of operations in 1,000 s. Pure: owns nothing, relies on nothing that may fail. */

/** Operations in 1,000 s for one operation a second. */
const UNITS = 1000;

/** Rate that a proxy reports: never less than what it goes on using. */
export function reportedRate(perSecond: number): number {
  return Math.ceil(perSecond * UNITS);
}

/** Rate that a leader leases: never more than what it counts. */
export function leasedRate(perSecond: number): number {
  return Math.floor(perSecond * UNITS);
}

/** Operations a second. */
export function perSecondOf(wireRate: number | null | undefined): number {
  return (wireRate ?? 0) / UNITS;
}
