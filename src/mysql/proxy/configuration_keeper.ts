/**
 * The configuration in force on one proxy: durable, and never older than one that was in force before.
 *
 * Files: `configuration` holds a whole configuration, `configuration-changes` the changes accepted since, one
 * record each. A change costs its own size on disk; the whole is written anew once the changes outgrow it.
 */
import { type ConfigurationDocument, readConfiguration } from '../configuration/configuration.js';
import { ProtectionSet } from '../gateway/protections.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DataFolder } from '../../runtime/runtime.js';
import { RecordFile } from '../../storage/record_file.js';
import { readSingleRecord, replaceSingleRecord } from '../../storage/single_record.js';

const WHOLE_FILE = 'configuration';
const CHANGES_FILE = 'configuration-changes';
/** Changes below this never lead to a new whole, in bytes. */
const MINIMUM_COMPACTION_BYTES = 64 * 1024;

/** A whole configuration. */
export interface ConfigurationState {
  readonly revision: number;
  readonly documents: readonly whinyoke.IConfigurationDocument[];
}

/** Parses the documents of successive states; each revision of a document is parsed once. */
export class DocumentParser {
  private parsed = new Map<whinyoke.IConfigurationDocument, ConfigurationDocument>();

  /** Parsed documents of a state. */
  parse(state: ConfigurationState): ConfigurationDocument[] {
    const next = new Map<whinyoke.IConfigurationDocument, ConfigurationDocument>();
    for (const document of state.documents) {
      const known = this.parsed.get(document);
      next.set(document, known ?? readConfiguration(document.document ?? '', document.name ?? ''));
    }
    this.parsed = next;
    return [...next.values()];
  }
}

/** Keeper of the configuration in force. */
export class ConfigurationKeeper {
  private currentRevision = 0;
  private readonly documents = new Map<string, whinyoke.IConfigurationDocument>();
  private changes: RecordFile | undefined;
  private wholeBytes = 0;
  private saving: Promise<void> = Promise.resolve();

  constructor(
    private readonly folder: DataFolder,
    private readonly protections: ProtectionSet,
    private readonly onInForce: (state: ConfigurationState) => void,
  ) {}

  /** Revision in force. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Puts the newest stored configuration in force; what arrives meanwhile waits. */
  load(): Promise<void> {
    this.saving = this.saving.then(() => this.loadNow());
    return this.saving;
  }

  private async loadNow(): Promise<void> {
    const whole = await readSingleRecord(this.folder, WHOLE_FILE);
    if (whole) this.merge(whinyoke.WatchReply.decode(whole));
    this.wholeBytes = whole?.length ?? 0;
    const { file, records } = await RecordFile.open(this.folder, CHANGES_FILE);
    this.changes = file;
    for (const { payload } of records) {
      const change = whinyoke.WatchReply.decode(payload);
      // The whole may be newer than the first changes: a crash came between writing it and cutting them.
      if (change.revision > this.currentRevision || !this.checksRevision) this.merge(change);
    }
    if (this.currentRevision > 0) this.putInForce();
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

  private get checksRevision(): boolean {
    return this.protections.isOn('revision-check');
  }

  private async acceptNow(reply: whinyoke.IWatchReply): Promise<boolean> {
    const revision = reply.revision ?? 0;
    const isNewer = revision > this.currentRevision;
    if (this.checksRevision ? !isNewer : revision === this.currentRevision) return false;
    await this.store(reply);
    this.merge(reply);
    this.putInForce();
    await this.compactIfLong().catch(() => {
      // The change itself is stored, so it stays in force; the next change tries again. The data
      // folder reports the failed write (`disk_write_failed`).
    });
    return true;
  }

  private async store(reply: whinyoke.IWatchReply): Promise<void> {
    await this.changes?.append([whinyoke.WatchReply.encode(reply).finish()]);
  }

  private async compactIfLong(): Promise<void> {
    const bytes = this.changes?.byteLength ?? 0;
    if (bytes <= Math.max(MINIMUM_COMPACTION_BYTES, this.wholeBytes)) return;
    const documents = [...this.documents.values()];
    const whole = { revision: this.currentRevision, documents, complete: true };
    const payload = whinyoke.WatchReply.encode(whole).finish();
    this.wholeBytes = await replaceSingleRecord(this.folder, WHOLE_FILE, payload);
    await this.changes?.truncate(0);
  }

  private merge(reply: whinyoke.IWatchReply): void {
    this.currentRevision = reply.revision ?? 0;
    if (reply.complete) this.documents.clear();
    for (const document of reply.documents ?? []) {
      const name = document.name ?? '';
      if (document.withdrawn) this.documents.delete(name);
      else this.documents.set(name, document);
    }
  }

  private putInForce(): void {
    const documents = [...this.documents.values()];
    this.onInForce({ revision: this.currentRevision, documents });
  }
}
