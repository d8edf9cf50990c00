/**
 * The newest routing document of the catalog, read once for each version. Owns what it read; relies on documents being checked
 * before they enter the catalog. One that can't be read all the same is reported once, and the former one stays.
 */
import type { Catalog } from '../catalog/catalog.js';
import { inflateSource } from '../catalog/document_source.js';
import { messageOf } from '../../errors/errors.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import type { RouteTable, RoutingDocumentReader } from '../catalog/route_table.js';

/** Document of one control machine. */
export class NewestDocument {
  private knownVersion = 0;
  private known: RouteTable | undefined;

  constructor(
    private readonly catalog: Catalog,
    private readonly reader: RoutingDocumentReader,
    private readonly log: DecisionLog,
  ) {}

  /** What the document says; undefined before the first one. */
  get table(): RouteTable | undefined {
    const { document, documentVersion: version } = this.catalog;
    if (!document || version === this.knownVersion) return this.known;
    this.knownVersion = version;
    try {
      this.known = this.reader.read(inflateSource(document));
    } catch (error) {
      this.log(Events.catalogChangeFailed, { kind: 'document', version, reason: messageOf(error) });
    }
    return this.known;
  }
}
