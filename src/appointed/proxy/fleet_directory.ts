/** The proxies of the fleet as last described by control: their number, their zones and those that forward requests. */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { ZoneProxies } from '../relay/connection_owners.js';

export class FleetDirectory {
  private knownVersion = 0;
  private knownForwarders: readonly string[] = [];
  private knownLiveProxies = 1;
  private knownZones: readonly ZoneProxies[] = [];

  /** Version of the description; 0 before the first. */
  get version(): number {
    return this.knownVersion;
  }

  /** Addresses of proxies that forward requests to the leader. */
  get forwarders(): readonly string[] {
    return this.knownForwarders;
  }

  /** Number of live proxies, including this one. */
  get liveProxies(): number {
    return this.knownLiveProxies;
  }

  get zones(): readonly ZoneProxies[] {
    return this.knownZones;
  }

  /** Replaces the description with a newer one. */
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
