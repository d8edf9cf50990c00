/**
 * Decision: how many connections of an instance one proxy may hold. Pure.
 *
 * Load that it answers: many proxies, and instances that each take a limited number of connections from all of them
 * together.
 *
 * Inputs: connections that the instance takes (count), live proxies (count).
 *
 * Rule: the equal share is the connections, less a reserve, by the proxies. From two on a proxy keeps one idle connection
 * and may hold more for as long as it uses them. Below two it keeps none: a connection is opened for a statement or a
 * transaction and closed after the idle time-out (see {@link IdleTimeout}); connection owners have shares of their own.
 *
 * docs/design/connection-shares.md. Known fault: with an equal share between one and two each proxy could keep one and is
 * keeps none (docs/measurements/large.md, 229 proxies on 400 connections).
 */

/** Connections that one proxy may hold to one instance. */
export interface ConnectionQuota {
  /** Most connections at a time. */
  readonly maxConnections: number;
  /** Idle connections that are kept. */
  readonly minimumIdle: number;
  /** Idle connections beyond those are closed after this time at the latest, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Whether the proxy is a connection owner: requests wait here while the slots are taken, since most pass here. */
  readonly isOwner?: boolean;
  /** After the instance refused one more, the proxy makes do with what it has for this time, in milliseconds. */
  readonly clampMs: number;
}

/** Connections (a count) that no proxy counts on: those of control, and of proxies not yet known. Guess, not measured. */
const RESERVED_CONNECTIONS = 2;
/**
 * Most connections of a proxy as a multiple (a ratio) of its equal share, for as long as it uses them: callers are spread
 * unevenly. Where all proxies want more at once the instance refuses, and each goes on with what it has. Guess, not
 * measured.
 */
const BURST_FACTOR = 2.5;
/** Most connections of a proxy as a fraction of all, where each keeps its own. Guess, not measured. */
const MAX_QUOTA_FRACTION = 0.4;
/** Most connections of a proxy as a fraction of all, where they are scarce, for a moment. Guess, not measured. */
const MAX_SCARCE_QUOTA_FRACTION = 0.2;
/** From this equal share (a count) on, proxies keep connections of their own. Known to be wrong, see above. */
const MIN_FAIR_SHARE = 2;

/** Where each proxy keeps connections of its own. */
const SUFFICIENT_CONNECTIONS: Omit<ConnectionQuota, 'maxConnections'> = {
  /** Saves the first request of a burst an opening. Guess, not measured. */
  minimumIdle: 1,
  /**
   * Connections of a machine that lost power count against the limit of its instance for seconds, and the proxy that takes
   * its place needs connections then. docs/measurements/pieraksts.md: closed after 0.4 s, score of a day with faults
   * 0.691 → 0.710, of a day of high load 0.637 → 0.659.
   */
  idleTimeoutMs: 400,
  /** Guess, not measured. */
  clampMs: 2000,
};

/** Where proxies keep none. */
const SCARCE_CONNECTIONS: Omit<ConnectionQuota, 'maxConnections'> = {
  /** Others need the connection. */
  minimumIdle: 0,
  /** Longest time; {@link IdleTimeout} shortens it. Guess, not measured. */
  idleTimeoutMs: 600,
  /** Others give connections back all the time. Guess, not measured. */
  clampMs: 100,
};

function fairShareOf(connectionLimit: number, liveProxies: number): number {
  const usable = Math.max(1, connectionLimit - RESERVED_CONNECTIONS);
  return Math.floor(usable / Math.max(1, liveProxies));
}

/** Whether an instance has too few connections for each proxy to keep its own. */
export function isScarce(connectionLimit: number, liveProxies: number): boolean {
  return fairShareOf(connectionLimit, liveProxies) < MIN_FAIR_SHARE;
}

/** Share of one of `liveProxies` proxies in an instance that takes `connectionLimit` connections. */
export function connectionQuota(connectionLimit: number, liveProxies: number): ConnectionQuota {
  const usable = Math.max(1, connectionLimit - RESERVED_CONNECTIONS);
  const fairShare = fairShareOf(connectionLimit, liveProxies);
  if (fairShare < MIN_FAIR_SHARE) {
    return {
      ...SCARCE_CONNECTIONS,
      maxConnections: Math.max(1, Math.floor(usable * MAX_SCARCE_QUOTA_FRACTION)),
    };
  }
  const maxQuota = Math.floor(usable * MAX_QUOTA_FRACTION);
  const burst = Math.min(Math.floor(fairShare * BURST_FACTOR), maxQuota);
  return { ...SUFFICIENT_CONNECTIONS, maxConnections: Math.max(fairShare, burst) };
}
