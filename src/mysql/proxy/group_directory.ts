/** Which database group holds which schema, from the configuration in force. */
import type { ConfigurationDocument, GroupConfiguration } from '../configuration/configuration.js';

/** Immutable directory of groups. */
export class GroupDirectory {
  static readonly empty = new GroupDirectory([]);

  private readonly byName = new Map<string, GroupConfiguration>();
  private readonly bySchema = new Map<string, GroupConfiguration>();

  constructor(documents: readonly ConfigurationDocument[]) {
    for (const group of documents.flatMap((document) => document.groups)) {
      this.byName.set(group.name, group);
      for (const schema of group.schemas) this.bySchema.set(schema, group);
    }
  }

  /** All groups. */
  get groups(): readonly GroupConfiguration[] {
    return [...this.byName.values()];
  }

  /** Group of that name. */
  find(name: string): GroupConfiguration | undefined {
    return this.byName.get(name);
  }

  /** Group that holds a schema. */
  forSchema(schema: string): GroupConfiguration | undefined {
    return this.bySchema.get(schema);
  }
}
