/**
 * Calculates how many connections one proxy may have to an instance, which accepts a limited number
 * from all proxies together. Pure: no I/O, no clock.
 *
 * The fair share of a proxy is the connection limit, less a reserve, divided by the live proxies.
 * From two on, a proxy keeps one idle connection and may exceed its fair share while it uses the
 * connections. Below two, connections are scarce: no proxy keeps idle ones, and a connection is
 * opened on demand and closed after the idle timeout (see {@link IdleTimeout}). Connection owners
 * have quotas of their own (see `relay/connection_owners.ts`).
 *
 * Known fault: with a fair share between one and two, each proxy could keep one connection, but
 * keeps none (docs/measurements/large.md).
 *
 * Design: docs/design/connection-shares.md
 */

/** Limits on the connections of one proxy to one instance. */
export interface ConnectionQuota {
  readonly maxConnections: number;
  /** Number of idle connections that are kept open. */
  readonly minimumIdle: number;
  /** Idle connections beyond `minimumIdle` are closed after at most this time. */
  readonly idleTimeoutMs: number;
  /**
   * Whether the proxy is a connection owner. Requests of all proxies queue here then, so it limits
   * the statements in flight to the slots of the instance.
   */
  readonly isOwner?: boolean;
  /**
   * After the instance refused a connection at its limit, the pool stays at its size for this time.
   */
  readonly clampMs: number;
}

/** Connections left to control and to proxies that are not known yet. */
const RESERVED_CONNECTIONS = 2;
/**
 * Maximum connections of a proxy as a multiple of its fair share: load is spread unevenly over
 * proxies. If all proxies need more at once, the instance refuses and each keeps what it has.
 */
const BURST_FACTOR = 2.5;
/** Maximum connections of a proxy as a fraction of all, where connections are sufficient. */
const MAX_QUOTA_FRACTION = 0.4;
/** Maximum connections of a proxy as a fraction of all, where connections are scarce. */
const MAX_SCARCE_QUOTA_FRACTION = 0.2;
/**
 * Below this fair share, connections are scarce. Known limitation: with a fair share between one
 * and two, a proxy could keep one connection but keeps none.
 */
const MIN_FAIR_SHARE = 2;

/** Defaults where each proxy has connections of its own. */
const SUFFICIENT_CONNECTIONS: Omit<ConnectionQuota, 'maxConnections'> = {
  /** One spare connection, so that the first request of a burst does not wait for a handshake. */
  minimumIdle: 1,
  /**
   * Short, since connections of a crashed machine count against the connection limit of the
   * instance for seconds while the proxies that replace it need connections.
   */
  idleTimeoutMs: 400,
  clampMs: 2000,
};

/** Defaults where connections are scarce. */
const SCARCE_CONNECTIONS: Omit<ConnectionQuota, 'maxConnections'> = {
  minimumIdle: 0,
  /** Upper bound; {@link IdleTimeout} shortens it. */
  idleTimeoutMs: 600,
  /** Short, since other proxies close connections all the time. */
  clampMs: 100,
};

function fairShareOf(connectionLimit: number, liveProxies: number): number {
  const usable = Math.max(1, connectionLimit - RESERVED_CONNECTIONS);
  return Math.floor(usable / Math.max(1, liveProxies));
}

/** Whether an instance has too few connections for each proxy to keep some of its own. */
export function isScarce(connectionLimit: number, liveProxies: number): boolean {
  return fairShareOf(connectionLimit, liveProxies) < MIN_FAIR_SHARE;
}

/**
 * Quota of one of `liveProxies` proxies at an instance that accepts `connectionLimit` connections.
 */
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
