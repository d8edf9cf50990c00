/**
 * Parses the newest routing document of the catalog and caches the result. If the reader rejects a
 * document, which can happen if another version of the program accepted it, this is logged and the
 * previous document stays in force.
 */
import { messageOf } from '../../errors/errors.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import type { Catalog } from './catalog.js';
import { inflateSource } from './document_source.js';
import type { RouteTable, RoutingDocumentReader } from './route_table.js';

/** Document of one control machine. */
export class NewestDocument {
  private readVersion = 0;
  private lastTable: RouteTable | undefined;

  constructor(
    private readonly catalog: Catalog,
    private readonly reader: RoutingDocumentReader,
    private readonly log: DecisionLog,
  ) {}

  /** Routes, limits and tenants; undefined before the first document. */
  get table(): RouteTable | undefined {
    const { document, documentVersion } = this.catalog;
    if (document && documentVersion !== this.readVersion) {
      this.readVersion = documentVersion;
      this.read(document);
    }
    return this.lastTable;
  }

  private read(document: NonNullable<Catalog['document']>): void {
    try {
      this.lastTable = this.reader.read(inflateSource(document));
    } catch (error) {
      const version = this.readVersion;
      this.log(Events.documentUnreadable, { version, reason: messageOf(error) });
    }
  }
}
