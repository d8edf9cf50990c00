/**
 * Selects the issuer of a tenant: the proxy that holds a reserve of the tenant's operations for its whole zone. Without
 * issuers, a tenant with fewer operations than there are proxies would have no reserve at most of them, and would fail
 * while there is no leader or the zone is partitioned from it.
 *
 * The issuer is the first proxy of the zone by rendezvous hashing of the tenant's name, so all proxies agree without
 * communication. If it timed out or refused recently, the second one is used; if both did, the leader. Proxies that see
 * different sets of live proxies may select different issuers for a short time. That is safe, because the leader counts
 * the reserves of all proxies.
 */
import { RendezvousTable } from '../../hashing/rendezvous.js';
import { stableHash } from '../../hashing/stable_hash.js';
import type { ZoneProxies } from '../relay/connection_owners.js';

/** The issuer and its substitute. */
const CANDIDATE_COUNT = 2;
/** A stalled issuer costs each proxy at most one timeout per second. */
const TIMEOUT_EXCLUSION_MS = 1000;
/** An issuer that refuses is about to stop. */
const REFUSAL_EXCLUSION_MS = 10_000;

/** Selects the issuers of a zone on behalf of one of its proxies. */
export class IssuerSelector {
  private readonly table = new RendezvousTable(CANDIDATE_COUNT, stableHash);
  private readonly excludedUntil = new Map<string, number>();
  private hasStoppedIssuing = false;

  constructor(
    private readonly ownAddress: string,
    private readonly zone: string,
  ) {}

  /** Updates the live proxies of all zones. */
  update(zones: readonly ZoneProxies[]): void {
    const ownZone = zones.find(({ zone }) => zone === this.zone);
    const addresses = new Set(ownZone?.addresses);
    this.table.setNodes(addresses);
    for (const address of this.excludedUntil.keys()) {
      if (!addresses.has(address)) this.excludedUntil.delete(address);
    }
  }

  /** From now on this proxy is never selected by itself as the issuer. */
  stopIssuing(): void {
    this.hasStoppedIssuing = true;
  }

  /** Whether this proxy is the issuer of a tenant. */
  isOwnProxyIssuer(tenant: string): boolean {
    const [first] = this.table.top(tenant);
    return !this.hasStoppedIssuing && (first === undefined || first === this.ownAddress);
  }

  /** Address of another proxy to request operations of a tenant from; undefined if only the leader remains. */
  findOtherIssuer(tenant: string, now: number): string | undefined {
    if (this.isOwnProxyIssuer(tenant)) return undefined;
    return this.table
      .top(tenant)
      .find((address) => address !== this.ownAddress && !this.isExcluded(address, now));
  }

  /** Excludes an issuer for a while after a timeout or a refusal. */
  exclude(address: string, now: number, hasRefused: boolean): void {
    this.excludedUntil.set(
      address,
      now + (hasRefused ? REFUSAL_EXCLUSION_MS : TIMEOUT_EXCLUSION_MS),
    );
  }

  private isExcluded(address: string, now: number): boolean {
    return now < (this.excludedUntil.get(address) ?? -Infinity);
  }
}
