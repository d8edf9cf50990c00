/**
 * The routing document in force. Owns the newest document that control sent and those who wait for the first one. Relies
 * on the reader of documents, which may refuse a document: the one before then stays in force.
 */
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';
import { inflateSource } from '../catalog/document_source.js';
import type { RouteTable, RoutingDocumentReader } from '../catalog/route_table.js';

/** Document of one proxy. */
export class DocumentInForce {
  private current: RouteTable | undefined;
  private readonly waiters: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly reader: RoutingDocumentReader,
  ) {}

  /** Routes, limits and tenants of the document; undefined before the first one. */
  get table(): RouteTable | undefined {
    return this.current;
  }

  /** Version of the document; 0 before the first one. */
  get version(): number {
    return this.current?.version ?? 0;
  }

  /** Puts a document in force if it is newer than the present one. */
  adopt(document: whinyoke.IRoutingDocument): void {
    if ((document.version ?? 0) <= this.version) return;
    const table = this.reader.read(inflateSource(document));
    this.current = table;
    for (const waiter of this.waiters.splice(0)) waiter();
    this.log(Events.documentInForce, {
      version: table.version,
      routes: table.routeByDatabase.size,
    });
  }

  /** Resolves with whether a document is in force, after `timeoutMs` at the latest. */
  awaitFirst(timeoutMs: number): Promise<boolean> {
    if (this.current) return Promise.resolve(true);
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(timeoutMs, () => resolve(this.current !== undefined));
      this.waiters.push(() => {
        timer.cancel();
        resolve(true);
      });
    });
  }
}
