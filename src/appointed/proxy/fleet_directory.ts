/**
 * The fleet as control last described it: how many proxies live, and which of them forward requests to the leader. Owns
 * the newest description; relies on nothing that may fail.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { ZoneProxies } from '../relay/connection_owners.js';

/** Directory of one proxy. */
export class FleetDirectory {
  private knownVersion = 0;
  private knownForwarders: readonly string[] = [];
  private knownLiveProxies = 1;
  private knownZones: readonly ZoneProxies[] = [];

  /** Version of the description; 0 before the first one. */
  get version(): number {
    return this.knownVersion;
  }

  /** Addresses of proxies that forward a request to the leader. */
  get forwarders(): readonly string[] {
    return this.knownForwarders;
  }

  /** Number of live proxies, this one included. */
  get liveProxies(): number {
    return this.knownLiveProxies;
  }

  /** Live proxies by zone. */
  get zones(): readonly ZoneProxies[] {
    return this.knownZones;
  }

  /** Takes over a newer description. */
  adopt(directory: whinyoke.IProxyDirectory): void {
    this.knownVersion = directory.version ?? 0;
    this.knownForwarders = directory.relays ?? [];
    this.knownLiveProxies = Math.max(1, directory.liveProxies ?? 1);
    this.knownZones = (directory.zones ?? []).map(({ zone, addresses }) => ({
      zone: zone ?? '',
      addresses: addresses ?? [],
    }));
  }
}
