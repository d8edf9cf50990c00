/**
 * Decision: which proxies are the connection owners of an instance, and how many connections an owner may hold. No input or
 * output but calls.
 *
 * Load that it answers: instances that take fewer than two connections for each proxy. Where each proxy opened one for a
 * statement and gave it back, 14,484 openings served 15,663 requests (docs/design/connection-owners.md).
 *
 * Inputs: live proxies by zone (addresses), zone and connections of the instance (count), the tenant of a statement.
 *
 * Rule: such an instance has a few owners among the proxies of its zone, of all zones where that has none, by rendezvous
 * hashing, so that all proxies agree without a message. They hold its connections; all other proxies relay their statements
 * to them. A hash of the tenant picks the first of the owners: all statements of a tenant meet at one, and reuse its
 * connections. Further proxies stand in while owners are gone; the last of them is in another zone, so that an instance whose zone
 * loses its proxies is still reached.
 *
 * docs/design/connection-owners.md: scores of a quiet day, one with faults and one of high load 0.704, 0.549, 0.579
 * without owners, 0.858, 0.606, 0.652 with them. Its constants were not compared.
 */
import { RendezvousTable } from '../../hashing/rendezvous.js';
import {
  type ConnectionQuota,
  connectionQuota,
  isScarce,
} from '../connections/connection_quota.js';
import { stableHash } from '../../hashing/stable_hash.js';

/** Live proxies of one zone, by address. */
export interface ZoneProxies {
  readonly zone: string;
  readonly addresses: readonly string[];
}

/** What the choice of connection owners needs to know of an instance. */
export interface OwnedInstance {
  readonly id: string;
  readonly zone: string;
  /** Connections that it takes from all together. */
  readonly connectionLimit: number;
}

/**
 * Connections (a count) that one owner should have: enough for the slots of an instance and for several tenants beside.
 * Guess, not measured.
 */
const CONNECTIONS_PER_OWNER = 24;
/** Further proxies (a count) that take over while owners are gone. Guess, not measured. */
const STANDBY_OWNER_COUNT = 3;
/** Most owners (a count) of one instance. Guess, not measured. */
const MAX_OWNERS = 12;
/**
 * Fraction of the connections that owners leave to stand-ins, and to proxies that know other owners for a moment. Guess, not
 * measured.
 */
const STANDBY_RESERVE_FRACTION = 0.12;
/**
 * How long an owner keeps an idle connection, in milliseconds: no other proxy needs its place. Guess, not measured. Closing
 * idle ones sooner, where connections are lent, was tried and was worse (docs/design/connection-owners.md).
 */
const OWNER_IDLE_TIMEOUT_MS = 20_000;
/**
 * After an instance refused one more, an owner makes do with what it has for this time, in milliseconds. Guess, not
 * measured.
 */
const OWNER_CLAMP_MS = 100;

function ownerCount(connectionLimit: number): number {
  const count = Math.floor(connectionLimit / CONNECTIONS_PER_OWNER);
  return Math.min(MAX_OWNERS, Math.max(1, count));
}

/** Proxies through which one instance is reached, in the order of rendezvous hashing. */
interface OwnerOrder {
  /** For which the order was made. */
  readonly instance: OwnedInstance;
  readonly owners: readonly string[];
  readonly standbyOwners: readonly string[];
}

/** Connection owners of all instances, as one proxy knows them. */
export class ConnectionOwners {
  private readonly tableByZone = new Map<string, RendezvousTable>();
  /** Order of each instance, kept until the proxies change: each statement needs one. */
  private readonly orders = new Map<string, OwnerOrder>();
  private readonly allZonesTable = new RendezvousTable(
    MAX_OWNERS + STANDBY_OWNER_COUNT,
    stableHash,
  );
  private readonly zoneByAddress = new Map<string, string>();
  private proxyCount = 0;

  constructor(private readonly ownAddress: string) {}

  /** Takes over the live proxies of all zones. */
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
   * Proxies through which statements of a tenant reach an instance, the first choice first; empty where each proxy
   * keeps connections of its own.
   */
  ownersFor(instance: OwnedInstance, tenant: string): readonly string[] {
    if (!isScarce(instance.connectionLimit, this.proxyCount)) return [];
    const { owners, standbyOwners } = this.orderOf(instance);
    const first = owners.length < 2 ? 0 : Number(stableHash(tenant) % BigInt(owners.length));
    return [...owners.slice(first), ...owners.slice(0, first), ...standbyOwners];
  }

  /** Zone of a live proxy; undefined for any other. */
  zoneOf(address: string): string | undefined {
    return this.zoneByAddress.get(address);
  }

  /** Connections that this proxy may hold to an instance itself. */
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
