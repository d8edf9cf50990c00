/**
 * The newest routing document of the catalog, read once for each version. Owns what it read; relies on documents being checked
 * before they enter the catalog.
 */
import type { Catalog } from '../catalog/catalog.js';
import { inflateSource } from '../catalog/document_source.js';
import type { RouteTable, RoutingDocumentReader } from '../catalog/route_table.js';

/** Document of one control machine. */
export class NewestDocument {
  private known: { readonly version: number; readonly table: RouteTable } | undefined;

  constructor(
    private readonly catalog: Catalog,
    private readonly reader: RoutingDocumentReader,
  ) {}

  /** What the document says; undefined before the first one. */
  get table(): RouteTable | undefined {
    const { document, documentVersion: version } = this.catalog;
    if (!document) return undefined;
    if (this.known?.version !== version) {
      this.known = { version, table: this.reader.read(inflateSource(document)) };
    }
    return this.known.table;
  }
}
