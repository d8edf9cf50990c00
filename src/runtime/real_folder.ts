/**
 * A data folder on the local file system. An operation that is documented as durable resolves after an fsync of the file
 * and, where names change, of the folder. If the disk is full or fails, the operation's promise is rejected.
 */
import { constants } from 'node:fs';
import {
  type FileHandle,
  access,
  mkdir,
  open,
  readFile,
  readdir,
  rename,
  rm,
} from 'node:fs/promises';
import { join } from 'node:path';
import { StorageCorruptionError } from '../errors/errors.js';
import type { DataFolder } from './runtime.js';

/** Suffix of a file that `replace` has not finished writing. */
const TEMPORARY_SUFFIX = '.temporary';

async function writeDurably(path: string, bytes: Uint8Array): Promise<void> {
  const handle = await open(path, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Files of one process in one folder. */
export class RealFolder implements DataFolder {
  private readonly handles = new Map<string, Promise<FileHandle>>();

  private constructor(private readonly path: string) {}

  /**
   * Opens the folder and creates it if it is missing; rejects if it is not readable and writable. All names in it are
   * durable afterwards; unfinished replacements are removed.
   */
  static async open(path: string): Promise<RealFolder> {
    await mkdir(path, { recursive: true });
    await access(path, constants.R_OK | constants.W_OK);
    const folder = new RealFolder(path);
    const names = await readdir(path);
    const unfinished = names.filter((name) => name.endsWith(TEMPORARY_SUFFIX));
    for (const name of unfinished) await rm(join(path, name), { force: true });
    await folder.syncFolder();
    return folder;
  }

  /** Reads a whole file; undefined if the file does not exist. */
  async read(name: string): Promise<Buffer | undefined> {
    try {
      return await readFile(join(this.path, name));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw error;
    }
  }

  /** Appends to a file and creates it if it is missing; not durable until `sync`. */
  async append(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.appendHandle(name);
    await handle.appendFile(bytes);
  }

  /** Makes all earlier appends to an existing file durable, also those of an earlier process. */
  async sync(name: string): Promise<void> {
    const appendHandle = this.handles.get(name);
    if (appendHandle) return (await appendHandle).datasync();
    await this.useHandle(name, (handle) => handle.datasync());
  }

  /** Replaces the content of a file atomically and durably. */
  async replace(name: string, bytes: Uint8Array): Promise<void> {
    await this.closeHandle(name);
    const temporary = join(this.path, name + TEMPORARY_SUFFIX);
    try {
      await writeDurably(temporary, bytes);
      await rename(temporary, join(this.path, name));
    } catch (error) {
      // On a full disk, the incomplete file would take the space that the next write needs.
      await rm(temporary, { force: true });
      throw error;
    }
    await this.syncFolder();
  }

  /**
   * Durably shortens a file to `length` bytes; a missing file counts as an empty one. Rejects if the file is shorter.
   */
  async truncate(name: string, length: number): Promise<void> {
    await this.closeHandle(name);
    if (length === 0 && !(await this.exists(name))) return;
    await this.useHandle(name, async (handle) => {
      const { size } = await handle.stat();
      if (size < length) {
        throw new StorageCorruptionError(`${name} has ${size} bytes, but ${length} were written`);
      }
      await handle.truncate(length);
      await handle.sync();
    });
  }

  /** Durably removes a file; does nothing if it does not exist. */
  async remove(name: string): Promise<void> {
    await this.closeHandle(name);
    await rm(join(this.path, name), { force: true });
    await this.syncFolder();
  }

  /** Names of all files except unfinished replacements, sorted. */
  async list(): Promise<string[]> {
    const names = await readdir(this.path);
    return names.filter((name) => !name.endsWith(TEMPORARY_SUFFIX)).sort();
  }

  /** Closes all files; the folder must not be used afterwards. */
  async close(): Promise<void> {
    for (const name of [...this.handles.keys()]) await this.closeHandle(name);
  }

  private appendHandle(name: string): Promise<FileHandle> {
    let handle = this.handles.get(name);
    if (!handle) {
      handle = this.openForAppend(name);
      this.handles.set(name, handle);
      // The next operation tries again.
      handle.catch(() => this.handles.delete(name));
    }
    return handle;
  }

  /** Opens a file, or creates it so that its name is durable. */
  private async openForAppend(name: string): Promise<FileHandle> {
    const handle = await open(join(this.path, name), 'a');
    try {
      await this.syncFolder();
    } catch (error) {
      await handle.close();
      throw error;
    }
    return handle;
  }

  private async exists(name: string): Promise<boolean> {
    const names = await readdir(this.path);
    return names.includes(name);
  }

  /** Opens an existing file for one operation. */
  private async useHandle(
    name: string,
    operation: (handle: FileHandle) => Promise<void>,
  ): Promise<void> {
    const handle = await open(join(this.path, name), 'r+');
    try {
      await operation(handle);
    } finally {
      await handle.close();
    }
  }

  private async closeHandle(name: string): Promise<void> {
    const handle = this.handles.get(name);
    this.handles.delete(name);
    if (handle) await (await handle).close();
  }

  /** Makes the creation, renaming and removal of files durable. */
  private async syncFolder(): Promise<void> {
    const handle = await open(this.path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}
