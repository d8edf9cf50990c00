/**
 * Registers runs of proxies in the replicated log: one entry for all that wait.
 *
 * Owns the proxies that wait. Relies on a majority; without one a proxy stays unregistered, is refused and asks again.
 */
import type { Catalog, ProxyEntry } from '../catalog/catalog.js';
import type { Proposer } from '../failover/appointment_lease.js';

/** Registrar of one control machine. */
export class ProxyRegistrar {
  private pendingProxies: ProxyEntry[] = [];
  /** Entry that will hold those that wait; undefined when nobody waits. */
  private nextProposal: Promise<void> | undefined;
  /** Entry that is under way. */
  private currentProposal: Promise<void> = Promise.resolve();

  constructor(
    private readonly catalog: Catalog,
    private readonly propose: Proposer,
  ) {}

  /** Whether this run is in the catalog; false when it could not be put there. */
  async register(proxy: ProxyEntry): Promise<boolean> {
    if (this.isRegistered(proxy)) return true;
    this.pendingProxies.push(proxy);
    this.nextProposal ??= this.currentProposal.then(() => this.proposePending());
    await this.nextProposal;
    return this.isRegistered(proxy);
  }

  private isRegistered(proxy: ProxyEntry): boolean {
    return this.catalog.proxy(proxy.id ?? '')?.incarnation === proxy.incarnation;
  }

  private proposePending(): Promise<void> {
    const proxies = this.pendingProxies.filter((proxy) => !this.isRegistered(proxy));
    this.pendingProxies = [];
    this.nextProposal = undefined;
    if (proxies.length === 0) return Promise.resolve();
    // A proposal that fails leaves its proxies unregistered: each of them is refused and asks again.
    this.currentProposal = this.propose({ putProxies: { proxies } }).then(
      () => undefined,
      () => undefined,
    );
    return this.currentProposal;
  }
}
