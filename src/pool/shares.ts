/**
 * Division of an instance's scarce resources among the gateways of its group. Seat `k` of `n` has a fixed
 * part of the slots and connections. Who holds a seat is decided by the instance itself: the holder of
 * the seat's named lock (GET_LOCK) on its monitoring connection. The lock ends with that connection,
 * so no two processes ever use the same part. See docs/design/limits.md.
 */
import { rendezvousOrder } from './rendezvous.js';

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

/** Share of one seat. The shares of all seats add up to the limits, less monitoring connections. */
export function shareOfSeat(limits: InstanceLimits, seat: number): Share {
  const pooled = limits.connections - limits.monitoringConnections;
  return {
    slots: part(limits.slots, limits.gateways, seat),
    connections: part(pooled, limits.gateways, seat),
  };
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

/** Name of the lock of one seat. */
export function seatLockName(seat: number): string {
  return `whinyoke_seat_${seat}`;
}

/**
 * Seats that a proxy should hold for a group, given the live proxies. With fewer proxies than seats some
 * hold several, with more some hold none.
 */
export function seatsFor(
  group: string,
  proxy: string,
  liveProxies: readonly string[],
  seatCount: number,
): readonly number[] {
  const order = rendezvousOrder(group, liveProxies);
  const holders = order.slice(0, seatCount);
  const rank = holders.indexOf(proxy);
  if (rank < 0) return [];
  const seats: number[] = [];
  for (let seat = rank; seat < seatCount; seat += holders.length) seats.push(seat);
  return seats;
}
