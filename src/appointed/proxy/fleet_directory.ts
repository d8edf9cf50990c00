/**
 * The fleet as control last described it: how many proxies live, and which of them forward requests to the leader. Owns
 * the newest description; relies on nothing that may fail.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Directory of one proxy. */
export class FleetDirectory {
  private knownVersion = 0;
  private knownForwarders: readonly string[] = [];
  private knownLiveProxies = 1;

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

  /** Takes over a newer description. */
  adopt(directory: whinyoke.IProxyDirectory): void {
    this.knownVersion = directory.version ?? 0;
    this.knownForwarders = directory.relays ?? [];
    this.knownLiveProxies = Math.max(1, directory.liveProxies ?? 1);
  }
}
