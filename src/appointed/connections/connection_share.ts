/**
 * How many connections of an instance one proxy may hold. Pure.
 *
 * Every instance takes a limited number of connections from all proxies together. Where each proxy can have a
 * few of its own, it keeps them. Where there are more proxies than connections, nobody keeps any: a connection
 * is opened for a statement or transaction and given back after a while (see `IdleTimeout`), and who finds
 * none left tries again.
 */

/** Connections that one proxy may hold to one instance. */
export interface ConnectionShare {
  /** Most connections at a time. */
  readonly most: number;
  /** Idle connections that are kept. */
  readonly minimumIdle: number;
  /** Idle connections beyond those are closed after this time at the latest, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Whether requests wait here when the instance's slots are taken, since most of its statements pass here. */
  readonly isOwner?: boolean;
  /** After the instance refused one more, the proxy makes do with what it has for this time, in milliseconds. */
  readonly clampMs: number;
}

/** Connections of each instance that no proxy counts on: control, proxies not yet known. */
const RESERVED_CONNECTIONS = 2;
/**
 * Callers are spread unevenly, so a proxy may have more than its equal share for as long as it uses them.
 * Where all want more at once the instance refuses, and each goes on with what it has.
 */
const BURST_FACTOR = 2.5;
const LARGEST_SHARE = 0.4;
/** Where connections are scarce, one proxy may take this part of them for a moment. */
const LARGEST_SCARCE_SHARE = 0.2;
/** From this equal share on, proxies keep connections of their own. */
const AMPLE_EQUAL_SHARE = 2;
/**
 * Idle connections beyond the first are closed soon: a connection of a machine that lost power counts against the
 * limit of its instance for seconds, and the proxy that takes its place needs connections then. Measured against
 * 1,500 ms: docs/measurements/pieraksts.md.
 */
const AMPLE: Omit<ConnectionShare, 'most'> = {
  minimumIdle: 1,
  idleTimeoutMs: 400,
  clampMs: 2000,
};
const SCARCE: Omit<ConnectionShare, 'most'> = { minimumIdle: 0, idleTimeoutMs: 600, clampMs: 100 };

function equalShareOf(connectionLimit: number, liveProxies: number): number {
  const usable = Math.max(1, connectionLimit - RESERVED_CONNECTIONS);
  return Math.floor(usable / Math.max(1, liveProxies));
}

/** Whether an instance has too few connections for each proxy to keep its own. */
export function isScarce(connectionLimit: number, liveProxies: number): boolean {
  return equalShareOf(connectionLimit, liveProxies) < AMPLE_EQUAL_SHARE;
}

/** Share of one of `liveProxies` proxies in an instance that takes `connectionLimit` connections. */
export function connectionShare(connectionLimit: number, liveProxies: number): ConnectionShare {
  const usable = Math.max(1, connectionLimit - RESERVED_CONNECTIONS);
  const equalShare = equalShareOf(connectionLimit, liveProxies);
  if (equalShare < AMPLE_EQUAL_SHARE) {
    return { ...SCARCE, most: Math.max(1, Math.floor(usable * LARGEST_SCARCE_SHARE)) };
  }
  const largest = Math.floor(usable * LARGEST_SHARE);
  const burst = Math.min(Math.floor(equalShare * BURST_FACTOR), largest);
  return { ...AMPLE, most: Math.max(equalShare, burst) };
}
