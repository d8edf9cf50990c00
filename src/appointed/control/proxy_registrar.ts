/**
 * Registers incarnations of proxies in the replicated log, with one entry for all that wait.
 * Without a majority a proxy stays unregistered, is refused and asks again. A request of a killed
 * process may arrive after its successor has registered; it is refused for good.
 *
 * No change of primary waits for the lease of a proxy that is not registered. So a proxy is never
 * registered and removed at the same time, and its requests wait until its removal has ended.
 */
import type { Catalog, ProxyEntry } from '../catalog/catalog.js';
import type { Proposer } from '../failover/appointment_lease.js';

export class ProxyRegistrar {
  private pendingProxies: ProxyEntry[] = [];
  /** Proposal that will contain the waiting proxies; undefined if none wait. */
  private nextProposal: Promise<void> | undefined;
  /** Proposal in flight. */
  private currentProposal: Promise<void> = Promise.resolve();
  private proposedProxies: readonly ProxyEntry[] = [];
  /** Removals in flight, by proxy; they never reject. */
  private readonly removals = new Map<string, Promise<void>>();

  constructor(
    private readonly catalog: Catalog,
    private readonly propose: Proposer,
  ) {}

  /** Resolves with whether this incarnation is registered, after proposing it if necessary. */
  async register(proxy: ProxyEntry): Promise<boolean> {
    const id = proxy.id ?? '';
    while (this.removals.has(id)) await this.removals.get(id);
    if (this.isRegistered(proxy)) return true;
    this.pendingProxies.push(proxy);
    this.nextProposal ??= this.currentProposal.then(() => this.proposePending());
    await this.nextProposal;
    return this.isRegistered(proxy);
  }

  /** Removes a proxy, unless it is being registered or removed. @throws what the proposal throws */
  async remove({ id }: ProxyEntry): Promise<void> {
    const name = id ?? '';
    if (this.isRegistering(name) || this.removals.has(name)) return;
    const proposal = this.propose({ removeProxy: name });
    const end = (): boolean => this.removals.delete(name);
    this.removals.set(
      name,
      proposal.then(end, end).then(() => undefined),
    );
    await proposal;
  }

  private isRegistering(id: string): boolean {
    return [...this.pendingProxies, ...this.proposedProxies].some((proxy) => proxy.id === id);
  }

  private isRegistered(proxy: ProxyEntry): boolean {
    return this.catalog.proxy(proxy.id ?? '')?.incarnation === proxy.incarnation;
  }

  private proposePending(): Promise<void> {
    const proxies = this.pendingProxies.filter((proxy) => !this.isRegistered(proxy));
    this.pendingProxies = [];
    this.nextProposal = undefined;
    if (proxies.length === 0) return Promise.resolve();
    this.proposedProxies = proxies;
    const end = (): void => {
      this.proposedProxies = [];
    };
    // A proposal that fails leaves its proxies unregistered: each of them is refused and asks
    // again.
    this.currentProposal = this.propose({ putProxies: { proxies } }).then(end, end);
    return this.currentProposal;
  }
}
