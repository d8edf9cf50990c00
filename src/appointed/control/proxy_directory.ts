/**
 * Data about the deployment that the leader sends to each proxy: control machines, forwarders
 * (proxies that relay requests to the leader while a proxy can't reach control), and the number of
 * proxies that share the connections of an instance. A proxy gets it only after a change. A proxy
 * that sends no requests counts as gone.
 */
import type { Catalog, ProxyEntry } from '../catalog/catalog.js';
import type { RaftNode } from '../../consensus/raft_node.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';

/** Proxies that sent a request within this time count when connections are divided. */
const LIVENESS_TIMEOUT_MS = 5000;
/** The second forwarder is used if the first one fails as well. */
const FORWARDER_COUNT = 2;
/** Maximum number of directory versions in one term; a leader creates at most one per upkeep. */
const VERSIONS_PER_TERM = 2 ** 24;

export class ProxyDirectory {
  private readonly lastContactAt = new Map<string, number>();
  private leadershipStartedAt = -Infinity;
  private version = 0;
  private controls: readonly string[] = [];
  private addresses: readonly string[] = [];
  private readonly indexById = new Map<string, number>();
  private liveProxies = 0;
  private zones: readonly whinyoke.IZoneProxies[] = [];
  private zonesJson = '';

  constructor(
    private readonly clock: Clock,
    private readonly node: RaftNode,
    private readonly catalog: Catalog,
  ) {}

  /** Starts a leadership. Every registered proxy counts as live at first. */
  begin(): void {
    this.leadershipStartedAt = this.clock.now();
    this.lastContactAt.clear();
    this.version = this.node.currentTerm * VERSIONS_PER_TERM;
    this.refresh();
  }

  /** Records a request of a proxy. */
  recordContact(proxy: ProxyEntry): void {
    this.lastContactAt.set(proxy.id ?? '', this.clock.now());
  }

  /** Milliseconds since the newest request of a proxy, or since the leadership began. */
  contactAgeMs(proxy: ProxyEntry): number {
    return this.clock.now() - (this.lastContactAt.get(proxy.id ?? '') ?? this.leadershipStartedAt);
  }

  /**
   * Creates a new version if anything changed. Called periodically because it visits all proxies.
   */
  refresh(): void {
    const controls = this.node.membership.members.map((member) => member.address);
    const { proxies } = this.catalog;
    const addresses = proxies.map((proxy) => proxy.address ?? '');
    const live = proxies.filter((proxy) => this.contactAgeMs(proxy) < LIVENESS_TIMEOUT_MS);
    const liveProxies = live.length;
    const zones = groupByZone(live);
    const zonesJson = JSON.stringify(zones);
    const isUnchanged =
      zonesJson === this.zonesJson &&
      isEqual(controls, this.controls) &&
      isEqual(addresses, this.addresses);
    if (isUnchanged && this.version % VERSIONS_PER_TERM > 0) return;
    this.version++;
    this.controls = controls;
    this.addresses = addresses;
    this.liveProxies = liveProxies;
    this.zones = zones;
    this.zonesJson = zonesJson;
    this.indexById.clear();
    for (const [index, proxy] of proxies.entries()) this.indexById.set(proxy.id ?? '', index);
  }

  /** The directory for a proxy; undefined if it knows this version. */
  entryFor(proxy: ProxyEntry, knownVersion: number): whinyoke.IProxyDirectory | undefined {
    if (knownVersion === this.version) return undefined;
    return {
      version: this.version,
      controlAddresses: [...this.controls],
      // The protocol calls forwarders relays.
      relays: this.forwardersFor(proxy),
      liveProxies: this.liveProxies,
      zones: [...this.zones],
    };
  }

  /**
   * Uses the neighbours in the proxy list, so that relayed requests are spread over all proxies.
   */
  private forwardersFor(proxy: ProxyEntry): string[] {
    const { addresses } = this;
    const index = this.indexById.get(proxy.id ?? '') ?? -1;
    const count = Math.min(FORWARDER_COUNT, Math.max(0, addresses.length - 1));
    return Array.from(
      { length: count },
      (_, step) => addresses[(index + 1 + step) % addresses.length]!,
    );
  }
}

function groupByZone(proxies: readonly ProxyEntry[]): whinyoke.IZoneProxies[] {
  const addressesOf = new Map<string, string[]>();
  for (const { zone, address } of proxies) {
    const addresses = addressesOf.get(zone ?? '') ?? [];
    addresses.push(address ?? '');
    addressesOf.set(zone ?? '', addresses);
  }
  return [...addressesOf].map(([zone, addresses]) => ({ zone, addresses: addresses.sort() }));
}

function isEqual(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((item, index) => item === right[index]);
}
