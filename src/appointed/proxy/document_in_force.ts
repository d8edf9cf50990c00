/**
 * The routing document in force: the newest one received from control that the reader accepts. If the reader rejects a
 * document, the previous one stays in force.
 */
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';
import { inflateSource } from '../catalog/document_source.js';
import type { RouteTable, RoutingDocumentReader } from '../catalog/route_table.js';

export class DocumentInForce {
  private current: RouteTable | undefined;
  private readonly waiters: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly reader: RoutingDocumentReader,
  ) {}

  /** Routes, limits and tenants of the document; undefined before the first document. */
  get table(): RouteTable | undefined {
    return this.current;
  }

  /** Version of the document; 0 before the first document. */
  get version(): number {
    return this.current?.version ?? 0;
  }

  /** Puts a document in force if it is newer than the current one. */
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

  /** Waits at most `timeoutMs` for the first document; resolves with whether one is in force. */
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
