/**
 * Selects the connection owners of an instance and the number of connections that an owner may
 * have. No I/O, no clock.
 *
 * An instance that accepts fewer than two connections for each proxy would have one opened and
 * closed for nearly every statement. Such an instance has a few owners, selected by rendezvous
 * hashing among the live proxies of its zone (of all zones if that zone has none), so that all
 * proxies agree without messages. Owners keep its connections; all other proxies relay statements
 * to them. A hash of the tenant selects the first owner, so that all statements of a tenant reuse
 * the same connections. Standby owners take over while owners are unavailable; the last one is in
 * another zone, so that the instance stays reachable if its zone loses all proxies.
 *
 * Design: docs/design/connection-owners.md
 */
import { RendezvousTable } from '../../hashing/rendezvous.js';
import {
  type ConnectionQuota,
  connectionQuota,
  isScarce,
} from '../connections/connection_quota.js';
import { stableHash } from '../../hashing/stable_hash.js';

export interface ZoneProxies {
  readonly zone: string;
  readonly addresses: readonly string[];
}

/** Properties of an instance that determine its connection owners. */
export interface OwnedInstance {
  readonly id: string;
  readonly zone: string;
  /** Number of connections that the instance accepts from all proxies together. */
  readonly connectionLimit: number;
}

/** Connections per owner: enough for the slots of an instance and for several tenants besides. */
const CONNECTIONS_PER_OWNER = 24;
/** Number of proxies that take over while owners are unavailable. */
const STANDBY_OWNER_COUNT = 3;
const MAX_OWNERS = 12;
/**
 * Fraction of the connections left to standby owners, and to proxies that briefly disagree on the
 * owners.
 */
const STANDBY_RESERVE_FRACTION = 0.12;
/** Long, since no other proxy needs the connections of an owner. */
const OWNER_IDLE_TIMEOUT_MS = 20_000;
/**
 * After the instance refused a connection at its limit, an owner stays at its size for this time.
 */
const OWNER_CLAMP_MS = 100;

function ownerCount(connectionLimit: number): number {
  const count = Math.floor(connectionLimit / CONNECTIONS_PER_OWNER);
  return Math.min(MAX_OWNERS, Math.max(1, count));
}

/** Owners and standby owners of one instance, in the order of rendezvous hashing. */
interface OwnerOrder {
  /** Instance properties for which the order was calculated. */
  readonly instance: OwnedInstance;
  readonly owners: readonly string[];
  readonly standbyOwners: readonly string[];
}

/** Connection owners of all instances, as one proxy knows them. */
export class ConnectionOwners {
  private readonly tableByZone = new Map<string, RendezvousTable>();
  /**
   * Cached order of each instance, since each statement needs one; cleared when the proxies change.
   */
  private readonly orders = new Map<string, OwnerOrder>();
  private readonly allZonesTable = new RendezvousTable(
    MAX_OWNERS + STANDBY_OWNER_COUNT,
    stableHash,
  );
  private readonly zoneByAddress = new Map<string, string>();
  private proxyCount = 0;

  constructor(private readonly ownAddress: string) {}

  /** Replaces the live proxies of all zones. */
  updateProxies(zones: readonly ZoneProxies[]): void {
    const currentZones = new Set(zones.map(({ zone }) => zone));
    for (const zone of this.tableByZone.keys())
      if (!currentZones.has(zone)) this.tableByZone.delete(zone);
    for (const { zone, addresses } of zones) this.tableOf(zone).setNodes(new Set(addresses));
    const all = new Set(zones.flatMap(({ addresses }) => addresses));
    this.zoneByAddress.clear();
    for (const { zone, addresses } of zones)
      for (const item of addresses) this.zoneByAddress.set(item, zone);
    this.allZonesTable.setNodes(all);
    this.proxyCount = all.size;
    this.orders.clear();
  }

  /**
   * Proxies through which statements of a tenant reach an instance, the preferred one first. Empty
   * if each proxy keeps connections of its own.
   */
  ownersFor(instance: OwnedInstance, tenant: string): readonly string[] {
    if (!isScarce(instance.connectionLimit, this.proxyCount)) return [];
    const { owners, standbyOwners } = this.orderOf(instance);
    const first = owners.length < 2 ? 0 : Number(stableHash(tenant) % BigInt(owners.length));
    return [...owners.slice(first), ...owners.slice(0, first), ...standbyOwners];
  }

  /** Zone of a live proxy; undefined for any other address. */
  zoneOf(address: string): string | undefined {
    return this.zoneByAddress.get(address);
  }

  /** Limits on this proxy's own connections to an instance. */
  quotaOf(instance: OwnedInstance, liveProxies: number): ConnectionQuota {
    const { connectionLimit } = instance;
    if (!this.isOwnerOf(instance)) return connectionQuota(connectionLimit, liveProxies);
    const usableConnections = connectionLimit * (1 - STANDBY_RESERVE_FRACTION);
    const maxConnections = Math.max(1, Math.floor(usableConnections / ownerCount(connectionLimit)));
    const idleTimeoutMs = OWNER_IDLE_TIMEOUT_MS;
    return {
      maxConnections,
      minimumIdle: 0,
      idleTimeoutMs,
      clampMs: OWNER_CLAMP_MS,
      isOwner: true,
    };
  }

  private isOwnerOf(instance: OwnedInstance): boolean {
    if (!isScarce(instance.connectionLimit, this.proxyCount)) return false;
    return this.orderOf(instance).owners.includes(this.ownAddress);
  }

  private orderOf(instance: OwnedInstance): OwnerOrder {
    const { id, zone, connectionLimit } = instance;
    const cached = this.orders.get(id);
    const isSame = cached?.instance.zone === zone;
    if (isSame && cached.instance.connectionLimit === connectionLimit) return cached;
    const ofZone = this.tableByZone.get(zone)?.top(id) ?? [];
    const all = ofZone.length > 0 ? ofZone : this.allZonesTable.top(id);
    const count = ownerCount(connectionLimit);
    const standbyOwners = all.slice(count, count + STANDBY_OWNER_COUNT);
    const otherZoneOwner = this.allZonesTable.top(id).find((address) => !all.includes(address));
    if (otherZoneOwner !== undefined)
      standbyOwners.splice(STANDBY_OWNER_COUNT - 1, 1, otherZoneOwner);
    const order = { instance, owners: all.slice(0, count), standbyOwners };
    this.orders.set(id, order);
    return order;
  }

  private tableOf(zone: string): RendezvousTable {
    let table = this.tableByZone.get(zone);
    if (!table) {
      table = new RendezvousTable(MAX_OWNERS + STANDBY_OWNER_COUNT, stableHash);
      this.tableByZone.set(zone, table);
    }
    return table;
  }
}
