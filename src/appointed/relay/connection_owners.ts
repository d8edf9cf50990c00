/**
 * Which proxies hold the connections to an instance that has too few for each proxy to keep its own. Such an instance has
 * homes among the proxies of its zone, picked by rendezvous hashing; all others send their statements through them. All
 * statements of a tenant meet at one home, so that they share its connections.
 *
 * See docs/design/connection-homes.md.
 */
import { RendezvousTable } from '../../hashing/rendezvous.js';
import {
  type ConnectionShare,
  connectionShare,
  isScarce,
} from '../connections/connection_share.js';
import { stableHash } from '../../hashing/stable_hash.js';

/** Live proxies of one zone, by address. */
export interface ZoneProxies {
  readonly zone: string;
  readonly addresses: readonly string[];
}

/** What the choice of homes needs to know of an instance. */
export interface OwnedInstance {
  readonly id: string;
  readonly zone: string;
  /** Connections that it takes from all together. */
  readonly connectionLimit: number;
}

/** Connections that one home should have: enough for the slots of an instance and for several tenants beside. */
const CONNECTIONS_PER_HOME = 24;
/** Further proxies that take over while homes are gone. */
const STAND_INS = 3;
/** Most homes of one instance. */
const MOST_HOMES = 12;
/** Part of the connections that homes leave to those that stand in, and to proxies that know other homes. */
const RESERVED_PART = 0.12;
/** How long a home keeps an idle connection, in milliseconds: nobody else wants its place. */
const HOME_IDLE_MS = 20_000;
/** After an instance refused one more, a home makes do with what it has for this time, in milliseconds. */
const HOME_CLAMP_MS = 100;

function homeCount(connectionLimit: number): number {
  const count = Math.floor(connectionLimit / CONNECTIONS_PER_HOME);
  return Math.min(MOST_HOMES, Math.max(1, count));
}

/** Proxies of one instance, the first choice first. */
interface HomeOrder {
  /** For which the order was made. */
  readonly instance: OwnedInstance;
  readonly homes: readonly string[];
  readonly standIns: readonly string[];
}

/** Homes as one proxy knows them. */
export class ConnectionOwners {
  private readonly tables = new Map<string, RendezvousTable>();
  /** Orders by instance, kept until the proxies change: each statement asks for one. */
  private readonly orders = new Map<string, HomeOrder>();
  private readonly everywhere = new RendezvousTable(MOST_HOMES + STAND_INS, stableHash);
  private proxies = 0;

  constructor(private readonly ownAddress: string) {}

  /** Takes over the live proxies of all zones. */
  update(zones: readonly ZoneProxies[]): void {
    const known = new Set(zones.map(({ zone }) => zone));
    for (const zone of this.tables.keys()) if (!known.has(zone)) this.tables.delete(zone);
    for (const { zone, addresses } of zones) this.tableOf(zone).setNodes(new Set(addresses));
    const all = new Set(zones.flatMap(({ addresses }) => addresses));
    this.everywhere.setNodes(all);
    this.proxies = all.size;
    this.orders.clear();
  }

  /**
   * Proxies through which statements of a tenant reach an instance, the first choice first; empty where each proxy
   * keeps connections of its own.
   */
  of(instance: OwnedInstance, tenant: string): readonly string[] {
    if (!isScarce(instance.connectionLimit, this.proxies)) return [];
    const { homes, standIns } = this.orderOf(instance);
    const first = homes.length < 2 ? 0 : Number(stableHash(tenant) % BigInt(homes.length));
    return [...homes.slice(first), ...homes.slice(0, first), ...standIns];
  }

  /** Connections that this proxy may hold to an instance itself. */
  shareOf(instance: OwnedInstance, liveProxies: number): ConnectionShare {
    const { connectionLimit } = instance;
    if (!this.isHomeOf(instance)) return connectionShare(connectionLimit, liveProxies);
    const left = connectionLimit * (1 - RESERVED_PART);
    const most = Math.max(1, Math.floor(left / homeCount(connectionLimit)));
    const idleTimeoutMs = HOME_IDLE_MS;
    return { most, minimumIdle: 0, idleTimeoutMs, clampMs: HOME_CLAMP_MS, isOwner: true };
  }

  private isHomeOf(instance: OwnedInstance): boolean {
    if (!isScarce(instance.connectionLimit, this.proxies)) return false;
    return this.orderOf(instance).homes.includes(this.ownAddress);
  }

  private orderOf(instance: OwnedInstance): HomeOrder {
    const { id, zone, connectionLimit } = instance;
    const known = this.orders.get(id);
    const isSame = known?.instance.zone === zone;
    if (isSame && known.instance.connectionLimit === connectionLimit) return known;
    const ofZone = this.tables.get(zone)?.top(id) ?? [];
    const all = ofZone.length > 0 ? ofZone : this.everywhere.top(id);
    const count = homeCount(connectionLimit);
    const standIns = all.slice(count, count + STAND_INS);
    const order = { instance, homes: all.slice(0, count), standIns };
    this.orders.set(id, order);
    return order;
  }

  private tableOf(zone: string): RendezvousTable {
    let table = this.tables.get(zone);
    if (!table) {
      table = new RendezvousTable(MOST_HOMES + STAND_INS, stableHash);
      this.tables.set(zone, table);
    }
    return table;
  }
}
