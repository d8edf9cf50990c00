/**
 * A data folder that reports when operations begin to fail and when they succeed again. A disk that refuses every write
 * gives one report, not one for each retry.
 */
import type { DataFolder } from '../runtime/runtime.js';

/** Operations that write. */
type WriteOperation = 'append' | 'sync' | 'replace' | 'truncate' | 'remove';

export interface FolderObserver {
  /** An operation failed whose previous attempt succeeded, or which was not attempted before. */
  onFailure(operation: WriteOperation, name: string, error: unknown): void;
  /** The operations that failed before have succeeded since. */
  onRecovery(): void;
}

/** Returns a folder that reports the outcomes of all writes to `folder`. */
export function observeFolder(folder: DataFolder, observer: FolderObserver): DataFolder {
  const failing = new Set<WriteOperation>();
  const observe = async (
    operation: WriteOperation,
    name: string,
    outcome: Promise<void>,
  ): Promise<void> => {
    try {
      await outcome;
    } catch (error) {
      if (!failing.has(operation)) observer.onFailure(operation, name, error);
      failing.add(operation);
      throw error;
    }
    if (failing.delete(operation) && failing.size === 0) observer.onRecovery();
  };
  return {
    read: (name) => folder.read(name),
    list: () => folder.list(),
    append: (name, bytes) => observe('append', name, folder.append(name, bytes)),
    sync: (name) => observe('sync', name, folder.sync(name)),
    replace: (name, bytes) => observe('replace', name, folder.replace(name, bytes)),
    truncate: (name, length) => observe('truncate', name, folder.truncate(name, length)),
    remove: (name) => observe('remove', name, folder.remove(name)),
  };
}
