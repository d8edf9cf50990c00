/**
 * Proxies that send heartbeats to this control machine. Changes are numbered, so that a heartbeat's
 * answer carries only what its sender does not know yet.
 *
 * Owns the newest report of each live proxy and the numbered changes, in memory: another run of this process begins anew and
 * says so by another epoch. Relies on the proxies' heartbeats, which may be missing.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';

/** A proxy silent for longer counts as gone, in milliseconds: six of its heartbeats are missing. A guess, not measured. */
const PROXY_LIFETIME_MS = 3000;
/** Changes kept; a proxy that knows less gets the whole list. A guess, not measured. */
const MAXIMUM_CHANGES = 10_000;

interface KnownProxy {
  report: whinyoke.IProxyReport;
  heardAt: number;
}

interface Change {
  readonly id: string;
  readonly summary: whinyoke.IProxySummary | undefined;
}

function summaryOf(report: whinyoke.IProxyReport): whinyoke.IProxySummary {
  const { id, address, zone, draining, incarnation } = report;
  return { id, address, zone, draining, incarnation };
}

function isSameMember(left: whinyoke.IProxyReport, right: whinyoke.IProxyReport): boolean {
  const isSameRun = left.incarnation === right.incarnation;
  return isSameRun && left.address === right.address && left.draining === right.draining;
}

/** Registry of one control machine. */
export class ProxyRegistry {
  /** In the order in which they were heard, longest ago first. */
  private readonly proxies = new Map<string, KnownProxy>();
  private readonly changes: Change[] = [];
  private droppedChanges = 0;

  /**
   * @param epoch - names this run of the process; versions of another run mean nothing
   */
  constructor(
    private readonly clock: Clock,
    private readonly epoch: string,
  ) {}

  /** Takes a heartbeat and answers with what its sender does not know. */
  onHeartbeat(request: whinyoke.IHeartbeatRequest): whinyoke.IHeartbeatReply {
    if (request.proxy) this.note(request.proxy);
    this.removeSilent();
    const known = request.epoch === this.epoch ? (request.knownVersion ?? 0) : 0;
    const head = { epoch: this.epoch, version: this.version };
    if (known < this.droppedChanges || known === 0) {
      const changed = [...this.proxies.values()].map((proxy) => summaryOf(proxy.report));
      return { ...head, full: true, changed, removed: [] };
    }
    return { ...head, full: false, ...this.changesSince(known) };
  }

  /** Latest reports of all live proxies, with their age. */
  reports(): whinyoke.IProxyReport[] {
    this.removeSilent();
    const now = this.clock.now();
    return [...this.proxies.values()].map(({ report, heardAt }) => ({
      ...report,
      ageMs: Math.round(now - heardAt),
    }));
  }

  private get version(): number {
    return this.droppedChanges + this.changes.length;
  }

  private note(report: whinyoke.IProxyReport): void {
    const id = report.id ?? '';
    const known = this.proxies.get(id);
    this.proxies.delete(id);
    this.proxies.set(id, { report, heardAt: this.clock.now() });
    if (known && isSameMember(known.report, report)) return;
    this.record({ id, summary: summaryOf(report) });
  }

  private removeSilent(): void {
    const oldest = this.clock.now() - PROXY_LIFETIME_MS;
    for (const [id, proxy] of this.proxies) {
      if (proxy.heardAt >= oldest) return;
      this.proxies.delete(id);
      this.record({ id, summary: undefined });
    }
  }

  private record(change: Change): void {
    this.changes.push(change);
    if (this.changes.length <= MAXIMUM_CHANGES) return;
    this.changes.shift();
    this.droppedChanges++;
  }

  private changesSince(version: number): Pick<whinyoke.IHeartbeatReply, 'changed' | 'removed'> {
    const latest = new Map<string, whinyoke.IProxySummary | undefined>();
    for (const change of this.changes.slice(version - this.droppedChanges)) {
      latest.set(change.id, change.summary);
    }
    const changed = [...latest.values()].filter((summary) => summary !== undefined);
    const removed = [...latest].filter(([, summary]) => !summary).map(([id]) => id);
    return { changed, removed };
  }
}
