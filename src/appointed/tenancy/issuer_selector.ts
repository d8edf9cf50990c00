/**
 * DECISION: which proxy of a zone is the issuer of a tenant: it holds a reserve of the tenant's operations for the whole zone.
 *
 * Answers: tenants with fewer operations than there are proxies, while no control machine leads or a zone is cut off.
 * Inputs: live proxies of the own zone (addresses), the tenant's name, issuers that were late lately.
 * Rule: the first of the zone by rendezvous hashing of the tenant, so that all agree without a message. One that was late is
 * passed over for {@link PASSED_OVER_MS}, one that refused for {@link LEFT_MS}, for the second one; where both are, the leader is asked.
 *
 * Owns the order of the zone's proxies and whom this proxy passes over. Relies on nothing that may fail; proxies that know
 * different sets choose different issuers for a moment, which the leader's ledger counts as it counts all reserves.
 */
import { RendezvousTable } from '../../hashing/rendezvous.js';
import { stableHash } from '../../hashing/stable_hash.js';
import type { ZoneProxies } from '../relay/connection_owners.js';

/** The issuer of a tenant and the one that stands in for it (a count). */
const CANDIDATE_COUNT = 2;
/**
 * An issuer that was late is not asked again for this time, in milliseconds, so that one that stands still costs one late
 * answer a second. Guess, not measured.
 */
const TIMEOUT_EXCLUSION_MS = 1000;
/** One that refused is not asked again for this time, in milliseconds: it is about to stop. Guess, not measured. */
const REFUSAL_EXCLUSION_MS = 10_000;

/** The issuers of one zone, as one of its proxies knows them. */
export class IssuerSelector {
  private readonly table = new RendezvousTable(CANDIDATE_COUNT, stableHash);
  private readonly excludedUntil = new Map<string, number>();
  private hasStoppedIssuing = false;

  constructor(
    private readonly ownAddress: string,
    private readonly zone: string,
  ) {}

  /** Takes over the live proxies of all zones. */
  update(zones: readonly ZoneProxies[]): void {
    const ownZone = zones.find(({ zone }) => zone === this.zone);
    const addresses = new Set(ownZone?.addresses);
    this.table.setNodes(addresses);
    for (const address of this.excludedUntil.keys()) {
      if (!addresses.has(address)) this.excludedUntil.delete(address);
    }
  }

  /** This proxy is an issuer no more. */
  stopIssuing(): void {
    this.hasStoppedIssuing = true;
  }

  /** Whether this proxy itself should hold the zone's reserve of a tenant. */
  isOwnProxyIssuer(tenant: string): boolean {
    const [first] = this.table.top(tenant);
    return !this.hasStoppedIssuing && (first === undefined || first === this.ownAddress);
  }

  /** Address of another proxy to ask for operations of a tenant; undefined where only the leader is left. */
  findOtherIssuer(tenant: string, now: number): string | undefined {
    if (this.isOwnProxyIssuer(tenant)) return undefined;
    return this.table
      .top(tenant)
      .find((address) => address !== this.ownAddress && !this.isExcluded(address, now));
  }

  /** An issuer was late, or refused. */
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
