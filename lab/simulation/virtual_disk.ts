/**
 * A simulated disk. Only what was synced survives a crash; the rest may be dropped, kept in part, or torn.
 */
import type { DataFolder, RandomSource } from '../../src/runtime/runtime.js';
import { delay } from '../../src/runtime/runtime.js';
import {
  type DiskFailures,
  DiskFailureError,
  DiskFullError,
  type DiskOperation,
  type FailurePoint,
  drawFailure,
} from './disk_failures.js';
import { VirtualFile } from './virtual_file.js';
import type { VirtualProcess } from './virtual_process.js';

/** Disk of one machine; it outlives the processes that use it. */
export class VirtualDisk {
  /** Whether the disk takes no more bytes. Names can still be removed and files cut. */
  isFull = false;
  /** Operations that fail now; undefined on a healthy disk. */
  failures: DiskFailures | undefined;
  /** Whether pages of an unsynced append can reach the disk in another order. */
  reordersPages = false;
  private readonly files = new Map<string, VirtualFile>();

  constructor(
    private readonly random: RandomSource,
    /** Mean time of one sync, in milliseconds. */
    private readonly syncMs: number,
  ) {}

  /**
   * The folder as one process sees it; all names in it are durable afterwards. Without `crash` before, the process also
   * reads what the one before it had not synced.
   */
  open(process: VirtualProcess): DataFolder {
    for (const file of this.files.values()) file.syncName();
    return new VirtualFolder(this, process);
  }

  /** What a power loss leaves: all that was synced, and any part of what was not. */
  crash(): void {
    for (const [name, file] of this.files) {
      file.losePower(this.random, this.reordersPages);
      if (!file.visible) this.files.delete(name);
    }
  }

  /** Loses everything. */
  lose(): void {
    this.files.clear();
  }

  /** Time that a sync takes now, in milliseconds. */
  syncDelay(): number {
    return this.syncMs * (this.failures?.slowness ?? 1) * (0.5 + this.random.next());
  }

  /** How the next operation fails; undefined if it succeeds. */
  nextFailure(operation: DiskOperation): FailurePoint | undefined {
    return this.failures && drawFailure(this.failures, operation, this.random);
  }

  /** A length from `from` to `to`, both included. */
  drawLength(from: number, to: number): number {
    return this.random.integer(from, to);
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
    return Promise.resolve(this.disk.content.get(name)?.visible);
  }

  append(name: string, bytes: Uint8Array): Promise<void> {
    const failure = this.disk.nextFailure('append');
    const file = this.fileOr(name, () => VirtualFile.empty());
    file.append(bytes.subarray(0, this.lengthTaken(bytes.length, failure)));
    if (this.disk.isFull) return Promise.reject(new DiskFullError());
    return failure ? Promise.reject(new DiskFailureError('append', failure)) : Promise.resolve();
  }

  async sync(name: string): Promise<void> {
    const file = this.disk.content.get(name);
    if (!file || file.isSynced) return;
    const written = file.length;
    await this.change('sync', (failure) => {
      // The name may refer to other content by now.
      const isSame = this.disk.content.get(name) === file && file.length >= written;
      if (failure === 'before' || !isSame) return;
      if (failure === 'during') file.syncPartly(this.disk.drawLength(0, written));
      else if (file.length === written) file.sync();
      else file.syncPartly(written);
    });
  }

  async replace(name: string, bytes: Uint8Array): Promise<void> {
    if (this.disk.isFull) throw new DiskFullError();
    const copy = Buffer.from(bytes);
    await this.change('replace', (failure) => {
      if (failure === 'before') return;
      this.fileOr(name, () => new VirtualFile(undefined)).change(copy, failure !== 'during');
    });
  }

  truncate(name: string, length: number): Promise<void> {
    return this.change('truncate', (failure) => {
      const file = this.disk.content.get(name);
      if (!file?.visible) {
        if (length > 0) throw new Error(`ENOENT: ${name} does not exist`);
        return;
      }
      if (file.length < length) throw new Error(`${name} is shorter than ${length} bytes`);
      if (failure === 'before') return;
      const end = failure === 'during' ? this.disk.drawLength(length, file.length) : length;
      file.change(file.visible.subarray(0, end), failure === undefined);
    });
  }

  remove(name: string): Promise<void> {
    return this.change('remove', (failure) => {
      if (failure === 'before') return;
      if (failure === undefined) this.disk.content.delete(name);
      else this.disk.content.get(name)?.change(undefined, failure === 'after');
    });
  }

  list(): Promise<string[]> {
    const present = [...this.disk.content].filter(([, file]) => file.visible);
    return Promise.resolve(present.map(([name]) => name).sort());
  }

  private fileOr(name: string, create: () => VirtualFile): VirtualFile {
    const file = this.disk.content.get(name) ?? create();
    this.disk.content.set(name, file);
    return file;
  }

  /** Number of bytes of an append that reach the file. */
  private lengthTaken(length: number, failure: FailurePoint | undefined): number {
    // A full disk may still take the first part of a write.
    if (this.disk.isFull || failure === 'during') return Math.floor(length / 2);
    return failure === 'before' ? 0 : length;
  }

  /** The change happens at the end of the delay, and not at all when the process dies before. */
  private async change(
    operation: DiskOperation,
    apply: (failure: FailurePoint | undefined) => void,
  ): Promise<void> {
    const failure = this.disk.nextFailure(operation);
    await delay(this.process.clock, this.disk.syncDelay());
    apply(failure);
    if (failure) throw new DiskFailureError(operation, failure);
  }
}
