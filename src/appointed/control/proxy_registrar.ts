/**
 * Registers incarnations of proxies in the replicated log, with one entry for all that wait.
 * Without a majority a proxy stays unregistered, is refused and asks again. A request of a killed
 * process may arrive after its successor has registered; it is refused for good.
 */
import type { Catalog, ProxyEntry } from '../catalog/catalog.js';
import type { Proposer } from '../failover/appointment_lease.js';

export class ProxyRegistrar {
  private pendingProxies: ProxyEntry[] = [];
  /** Proposal that will contain the waiting proxies; undefined if none wait. */
  private nextProposal: Promise<void> | undefined;
  /** Proposal in flight. */
  private currentProposal: Promise<void> = Promise.resolve();

  constructor(
    private readonly catalog: Catalog,
    private readonly propose: Proposer,
  ) {}

  /** Resolves with whether this incarnation is registered, after proposing it if necessary. */
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
    // A proposal that fails leaves its proxies unregistered: each of them is refused and asks
    // again.
    this.currentProposal = this.propose({ putProxies: { proxies } }).then(
      () => undefined,
      () => undefined,
    );
    return this.currentProposal;
  }
}
