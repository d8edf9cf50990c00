/** Encodes the catalog changes since a version, once for all proxies that know the same version. */
import type { Catalog } from '../catalog/catalog.js';
import { whinyoke } from '../../protocol/generated/messages.js';

const EMPTY_UPDATE = new Uint8Array(0);

/** Encoded updates for the current version of the catalog. */
export class CatalogUpdates {
  private version = -1;
  private readonly encoded = new Map<string, Uint8Array>();

  constructor(private readonly catalog: Catalog) {}

  /** Encoded update for a proxy with these known versions; empty if there are no changes. */
  since(knownVersion: number, knownDocument: number): Uint8Array {
    const { catalog } = this;
    const hasDocument = catalog.documentVersion > knownDocument;
    if (knownVersion >= catalog.version && !hasDocument) return EMPTY_UPDATE;
    if (this.version !== catalog.version) {
      this.encoded.clear();
      this.version = catalog.version;
    }
    const key = `${knownVersion}/${hasDocument}`;
    const known = this.encoded.get(key);
    if (known) return known;
    const update = this.encode(knownVersion, hasDocument);
    this.encoded.set(key, update);
    return update;
  }

  private encode(knownVersion: number, hasDocument: boolean): Uint8Array {
    const { catalog } = this;
    const changed = catalog.instancesSince(knownVersion);
    return whinyoke.CatalogUpdate.encode({
      document: hasDocument ? catalog.document : undefined,
      isWhole: changed === undefined,
      instances: [...(changed ?? catalog.presentInstances)],
      groups: [...catalog.groupsSince(knownVersion)],
      evacuations: [...(changed ? catalog.evacuationsSince(knownVersion) : catalog.evacuations)],
    }).finish();
  }
}
