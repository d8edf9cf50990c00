/**
 * Registered proxies and their incarnations, as part of the replicated state. A proxy that restarts registers under the same
 * id with a new incarnation; a late request of the former one registers nothing.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** A registered proxy process. Immutable. */
export type ProxyEntry = Readonly<whinyoke.IProxyEntry>;

/** Replaced incarnations that are remembered for each proxy. */
const MAX_FORMER_INCARNATIONS = 4;

/** Proxies by id. */
export class ProxyTable {
  private readonly entries = new Map<string, ProxyEntry>();
  private readonly formerById = new Map<string, readonly string[]>();
  private lossIndex = 0;

  get all(): readonly ProxyEntry[] {
    return [...this.entries.values()];
  }

  get(id: string): ProxyEntry | undefined {
    return this.entries.get(id);
  }

  /** Log index of the newest entry that ended an incarnation, whose record of acknowledged commits is lost with it. */
  get lossVersion(): number {
    return this.lossIndex;
  }

  /** Replaced incarnations of all proxies, for a snapshot. */
  get former(): readonly whinyoke.IFormerProxy[] {
    return [...this.formerById].map(([id, incarnations]) => ({
      id,
      incarnations: [...incarnations],
    }));
  }

  /** Registers proxies at a log index; returns whether any was registered. */
  put(index: number, proxies: readonly whinyoke.IProxyEntry[]): boolean {
    const current = proxies.filter((proxy) => !this.isFormer(proxy));
    for (const proxy of current) this.register(index, proxy);
    return current.length > 0;
  }

  /** Removes a proxy at a log index; returns whether it was registered. */
  remove(index: number, id: string): boolean {
    this.lossIndex = index;
    this.formerById.delete(id);
    return this.entries.delete(id);
  }

  /** Replaces all entries by those of a snapshot. */
  restore({ proxies, proxyLossVersion, formerProxies }: whinyoke.CatalogSnapshot): void {
    this.lossIndex = proxyLossVersion;
    this.entries.clear();
    for (const item of proxies) this.entries.set(item.id ?? '', item);
    this.formerById.clear();
    for (const { id, incarnations } of formerProxies) {
      this.formerById.set(id ?? '', incarnations ?? []);
    }
  }

  private isFormer({ id, incarnation }: whinyoke.IProxyEntry): boolean {
    return this.formerById.get(id ?? '')?.includes(incarnation ?? '') ?? false;
  }

  private register(index: number, proxy: whinyoke.IProxyEntry): void {
    const id = proxy.id ?? '';
    const known = this.entries.get(id);
    if (known) this.lossIndex = index;
    if (known && known.incarnation !== proxy.incarnation) {
      const former = [known.incarnation ?? '', ...(this.formerById.get(id) ?? [])];
      this.formerById.set(id, former.slice(0, MAX_FORMER_INCARNATIONS));
    }
    this.entries.set(id, { ...proxy, version: index });
  }
}
