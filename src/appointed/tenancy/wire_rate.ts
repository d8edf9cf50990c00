/** Conversion of operation rates to and from the wire format: integers in operations per 1,000 s. */

/** Wire units of 1 operation/s. */
const WIRE_UNITS_PER_OPERATION = 1000;

/** Wire rate reported by a proxy; rounded up, so that it is never less than what the proxy uses. */
export function toReportedWireRate(perSecond: number): number {
  return Math.ceil(perSecond * WIRE_UNITS_PER_OPERATION);
}

/** Wire rate leased by the leader; rounded down, so that it is never more than what the leader counted. */
export function toLeasedWireRate(perSecond: number): number {
  return Math.floor(perSecond * WIRE_UNITS_PER_OPERATION);
}

/** Converts a wire rate to operations/s. */
export function fromWireRate(wireRate: number | null | undefined): number {
  return (wireRate ?? 0) / WIRE_UNITS_PER_OPERATION;
}
