/**
 * Division of an instance's scarce resources among the gateways of its group. The resources are cut into
 * units of one slot and its part of the connections; seat `k` of `n` has a fixed range of units. Who holds
 * a unit is decided by the instance itself: the holder of the unit's named lock (GET_LOCK) on its
 * monitoring connection. The lock ends with that connection, so no two processes ever use the same unit,
 * also while the number of seats changes. See docs/design/limits.md.
 */
/** Part of an instance's resources. */
export interface Share {
  readonly slots: number;
  readonly connections: number;
}

/** Limits of one instance. */
export interface InstanceLimits {
  readonly slots: number;
  readonly connections: number;
  readonly monitoringConnections: number;
  /** Number of seats. */
  readonly gateways: number;
}

/** Nothing at all. */
export const NO_SHARE: Share = { slots: 0, connections: 0 };

function part(total: number, parts: number, index: number): number {
  return Math.floor(total / parts) + (index < total % parts ? 1 : 0);
}

/** Units of one seat. The seats of a group have all units, each exactly once. */
export function unitsOfSeat(limits: InstanceLimits, seat: number): readonly number[] {
  const before = Array.from({ length: seat }, (_, index) => index);
  const first = before.reduce((sum, index) => sum + part(limits.slots, limits.gateways, index), 0);
  const count = part(limits.slots, limits.gateways, seat);
  return Array.from({ length: count }, (_, index) => first + index);
}

/** Share of one unit. The shares of all units add up to the limits, less monitoring connections. */
export function shareOfUnit(limits: InstanceLimits, unit: number): Share {
  const pooled = limits.connections - limits.monitoringConnections;
  return { slots: 1, connections: part(pooled, limits.slots, unit) };
}

/** Sum of shares. */
export function sumShares(shares: readonly Share[]): Share {
  return shares.reduce(
    (sum, share) => ({
      slots: sum.slots + share.slots,
      connections: sum.connections + share.connections,
    }),
    NO_SHARE,
  );
}

/** Name of the lock of one unit. */
export function unitLockName(unit: number): string {
  return `whinyoke_unit_${unit}`;
}

/**
 * Seats that a proxy should hold for a group. With fewer proxies than seats some hold several, with more
 * some hold none.
 * @param order - live proxies in the group's order, at least as many as there are seats
 */
export function seatsFor(
  proxy: string,
  order: readonly string[],
  seatCount: number,
): readonly number[] {
  const holders = order.slice(0, seatCount);
  const rank = holders.indexOf(proxy);
  if (rank < 0) return [];
  const seats: number[] = [];
  for (let seat = rank; seat < seatCount; seat += holders.length) seats.push(seat);
  return seats;
}
