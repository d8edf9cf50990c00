/**
 * The configuration in force on one proxy: durable, and never older than one that was in force before.
 */
import { type ConfigurationDocument, readConfiguration } from '../config/configuration.js';
import { ProtectionSet } from '../gateway/protections.js';
import { whinyoke } from '../protocol/generated/messages.js';
import type { DataFolder } from '../runtime/runtime.js';
import { decodeRecords, encodeRecord } from '../storage/record_file.js';

const FILE = 'configuration';

/** A whole configuration. */
export interface ConfigurationState {
  readonly revision: number;
  readonly documents: readonly whinyoke.IConfigurationDocument[];
}

/** State before the first configuration. */
export const NO_CONFIGURATION: ConfigurationState = { revision: 0, documents: [] };

/** Merges changed documents into a state. */
export function mergeDocuments(
  state: ConfigurationState,
  revision: number,
  changed: readonly whinyoke.IConfigurationDocument[],
  isComplete: boolean,
): ConfigurationState {
  const byName = new Map(
    isComplete ? [] : state.documents.map((document) => [document.name, document]),
  );
  for (const document of changed) {
    if (document.withdrawn) byName.delete(document.name);
    else byName.set(document.name, document);
  }
  return { revision, documents: [...byName.values()] };
}

/** Parses the documents of successive states; each revision of a document is parsed once. */
export class DocumentParser {
  private parsed = new Map<string, ConfigurationDocument>();

  /** Parsed documents of a state. */
  parse(state: ConfigurationState): ConfigurationDocument[] {
    const next = new Map<string, ConfigurationDocument>();
    for (const { name, revision, document } of state.documents) {
      const key = `${name}\n${revision}`;
      const known = this.parsed.get(key);
      next.set(key, known ?? readConfiguration(document ?? '', name ?? ''));
    }
    this.parsed = next;
    return [...next.values()];
  }
}

/** Keeper of the configuration in force. */
export class ConfigurationKeeper {
  private state: ConfigurationState = NO_CONFIGURATION;
  private saving: Promise<void> = Promise.resolve();

  constructor(
    private readonly folder: DataFolder,
    private readonly protections: ProtectionSet,
    private readonly onInForce: (state: ConfigurationState) => void,
  ) {}

  /** Revision in force. */
  get revision(): number {
    return this.state.revision;
  }

  /** Puts the newest stored configuration in force. */
  async load(): Promise<void> {
    const bytes = await this.folder.read(FILE);
    const record = bytes && decodeRecords(bytes, FILE)[0];
    if (!record) return;
    const stored = whinyoke.WatchReply.decode(record.payload);
    this.putInForce({ revision: stored.revision, documents: stored.documents });
  }

  /**
   * Stores a newer configuration and puts it in force; older ones and repeats are refused.
   * @returns whether it is in force now
   */
  accept(reply: whinyoke.IWatchReply): Promise<boolean> {
    const accepted = this.saving.then(() => this.acceptNow(reply));
    this.saving = accepted.then(
      () => undefined,
      () => undefined,
    );
    return accepted;
  }

  private async acceptNow(reply: whinyoke.IWatchReply): Promise<boolean> {
    const revision = reply.revision ?? 0;
    const isNewer = revision > this.state.revision;
    const checksRevision = this.protections.isOn('revision-check');
    if (checksRevision ? !isNewer : revision === this.state.revision) return false;
    const next = mergeDocuments(
      this.state,
      revision,
      reply.documents ?? [],
      reply.complete ?? false,
    );
    const encoded = whinyoke.WatchReply.encode({
      revision,
      documents: [...next.documents],
      complete: true,
    }).finish();
    await this.folder.replace(FILE, encodeRecord(encoded));
    this.putInForce(next);
    return true;
  }

  private putInForce(state: ConfigurationState): void {
    this.state = state;
    this.onInForce(state);
  }
}
