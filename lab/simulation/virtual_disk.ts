/**
 * A simulated disk. Only what was synced survives a crash; the rest may be dropped, kept in part, or torn.
 */
import type { DataFolder, RandomSource } from '../../src/runtime/runtime.js';
import { delay } from '../../src/runtime/runtime.js';
import type { VirtualProcess } from './virtual_process.js';

const EMPTY = Buffer.alloc(0);

interface VirtualFile {
  durable: Buffer;
  /** Written but not yet synced. */
  unsynced: Buffer;
}

/** What a write meets on a disk without free space. */
export class DiskFullError extends Error {
  constructor() {
    super('ENOSPC: no space left on device');
  }
}

/** Disk of one machine; it outlives the processes that use it. */
export class VirtualDisk {
  /** Whether the disk takes no more bytes. Names can still be removed and files cut. */
  isFull = false;
  private readonly files = new Map<string, VirtualFile>();

  constructor(
    private readonly random: RandomSource,
    /** Mean time of one sync, in milliseconds. */
    private readonly syncMs: number,
  ) {}

  /** The folder as one process sees it. Call `crash` before the next process opens it. */
  open(process: VirtualProcess): DataFolder {
    return new VirtualFolder(this, process);
  }

  /** What a crash leaves: all that was synced, and any part of what was not. */
  crash(): void {
    for (const file of this.files.values()) {
      const kept = this.random.integer(0, file.unsynced.length);
      file.durable = Buffer.concat([file.durable, file.unsynced.subarray(0, kept)]);
      file.unsynced = EMPTY;
    }
  }

  /** Loses everything. */
  lose(): void {
    this.files.clear();
  }

  /** Time that a sync takes now, in milliseconds. */
  syncDelay(): number {
    return this.syncMs * (0.5 + this.random.next());
  }

  /** Files by name, for the folder only. */
  get content(): Map<string, VirtualFile> {
    return this.files;
  }
}

class VirtualFolder implements DataFolder {
  constructor(
    private readonly disk: VirtualDisk,
    private readonly process: VirtualProcess,
  ) {}

  read(name: string): Promise<Buffer | undefined> {
    const file = this.disk.content.get(name);
    return Promise.resolve(file && Buffer.concat([file.durable, file.unsynced]));
  }

  append(name: string, bytes: Uint8Array): Promise<void> {
    const file = this.disk.content.get(name) ?? { durable: EMPTY, unsynced: EMPTY };
    // A full disk may still take the first part of a write.
    const taken = this.disk.isFull ? bytes.subarray(0, Math.floor(bytes.length / 2)) : bytes;
    file.unsynced = Buffer.concat([file.unsynced, taken]);
    this.disk.content.set(name, file);
    return this.disk.isFull ? Promise.reject(new DiskFullError()) : Promise.resolve();
  }

  sync(name: string): Promise<void> {
    const written = this.disk.content.get(name)?.unsynced.length ?? 0;
    return this.afterDelay(() => {
      const file = this.disk.content.get(name);
      if (!file) return;
      file.durable = Buffer.concat([file.durable, file.unsynced.subarray(0, written)]);
      file.unsynced = file.unsynced.subarray(written);
    });
  }

  replace(name: string, bytes: Uint8Array): Promise<void> {
    if (this.disk.isFull) return Promise.reject(new DiskFullError());
    const copy = Buffer.from(bytes);
    return this.afterDelay(() => {
      this.disk.content.set(name, { durable: copy, unsynced: EMPTY });
    });
  }

  truncate(name: string, length: number): Promise<void> {
    return this.afterDelay(() => {
      const file = this.disk.content.get(name);
      if (!file) return;
      const bytes = Buffer.concat([file.durable, file.unsynced]).subarray(0, length);
      this.disk.content.set(name, { durable: bytes, unsynced: EMPTY });
    });
  }

  remove(name: string): Promise<void> {
    return this.afterDelay(() => {
      this.disk.content.delete(name);
    });
  }

  list(): Promise<string[]> {
    return Promise.resolve([...this.disk.content.keys()].sort());
  }

  /** The change happens at the end of the delay, and not at all when the process dies before. */
  private async afterDelay(change: () => void): Promise<void> {
    await delay(this.process.clock, this.disk.syncDelay());
    change();
  }
}
