/**
 * A data folder on the local file system; every promise of durability is an fsync. Owns the files of one folder; relies on
 * the disk, which may be full or fail: the call is rejected then.
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
import type { DataFolder } from './runtime.js';

/** Ending of the name of a file that is not complete yet. */
const TEMPORARY_SUFFIX = '.temporary';

/** Files of one process under one folder. */
export class RealFolder implements DataFolder {
  private readonly handles = new Map<string, Promise<FileHandle>>();

  private constructor(private readonly path: string) {}

  /** Opens the folder, creating it when needed; rejects when it can't be read and written. */
  static async open(path: string): Promise<RealFolder> {
    await mkdir(path, { recursive: true });
    await access(path, constants.R_OK | constants.W_OK);
    return new RealFolder(path);
  }

  /** Whole content of a file, or undefined when there is no such file. */
  async read(name: string): Promise<Buffer | undefined> {
    try {
      return await readFile(join(this.path, name));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw error;
    }
  }

  /** Appends to a file, creating it when needed; not durable yet. */
  async append(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.appendHandle(name);
    await handle.appendFile(bytes);
  }

  /** Makes everything appended to a file durable. */
  async sync(name: string): Promise<void> {
    const handle = await this.appendHandle(name);
    await handle.datasync();
  }

  /** Replaces the content of a file at once, durably. */
  async replace(name: string, bytes: Uint8Array): Promise<void> {
    await this.closeHandle(name);
    const temporary = join(this.path, name + TEMPORARY_SUFFIX);
    const handle = await open(temporary, 'w');
    try {
      await handle.writeFile(bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(temporary, join(this.path, name));
    await this.syncFolder();
  }

  /** Shortens a file durably. */
  async truncate(name: string, length: number): Promise<void> {
    await this.closeHandle(name);
    const handle = await open(join(this.path, name), 'r+');
    try {
      await handle.truncate(length);
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  /** Removes a file durably. */
  async remove(name: string): Promise<void> {
    await this.closeHandle(name);
    await rm(join(this.path, name), { force: true });
    await this.syncFolder();
  }

  /** Names of all files, sorted. */
  async list(): Promise<string[]> {
    const names = await readdir(this.path);
    return names.filter((name) => !name.endsWith(TEMPORARY_SUFFIX)).sort();
  }

  /** Closes all files; the folder is not used any more. */
  async close(): Promise<void> {
    for (const name of [...this.handles.keys()]) await this.closeHandle(name);
  }

  private appendHandle(name: string): Promise<FileHandle> {
    let handle = this.handles.get(name);
    if (!handle) {
      handle = this.openForAppend(name);
      this.handles.set(name, handle);
    }
    return handle;
  }

  private async openForAppend(name: string): Promise<FileHandle> {
    const handle = await open(join(this.path, name), 'a');
    await this.syncFolder();
    return handle;
  }

  private async closeHandle(name: string): Promise<void> {
    const handle = this.handles.get(name);
    this.handles.delete(name);
    if (handle) await (await handle).close();
  }

  /** Makes created, renamed and removed names durable. */
  private async syncFolder(): Promise<void> {
    const handle = await open(this.path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}
