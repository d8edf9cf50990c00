/** A data folder in memory whose next operation of a kind can be made to fail. */
import type { DiskOperation } from '../../lab/simulation/disk_failures.js';
import { MemoryFolder } from './memory_folder.js';

/** How far the operation gets; `partly` leaves the file longer than a truncation asked for. */
export type Effect = 'none' | 'partly' | 'whole';

/** What operations reject with after `failNext`. */
class InjectedFailure extends Error {}

export class FailingFolder extends MemoryFolder {
  private readonly failures = new Map<DiskOperation, Effect>();

  /** Makes the next operation of this kind reject once, after this much of its effect. */
  failNext(operation: DiskOperation, effect: Effect): void {
    this.failures.set(operation, effect);
  }

  override append(name: string, bytes: Uint8Array): Promise<void> {
    return this.attempt(
      'append',
      () => super.append(name, bytes),
      () => super.append(name, bytes.subarray(0, Math.floor(bytes.length / 2))),
    );
  }

  override sync(name: string): Promise<void> {
    return this.attempt('sync', () => super.sync(name));
  }

  override replace(name: string, bytes: Uint8Array): Promise<void> {
    return this.attempt('replace', () => super.replace(name, bytes));
  }

  override truncate(name: string, length: number): Promise<void> {
    return this.attempt(
      'truncate',
      () => super.truncate(name, length),
      async () => {
        const size = (await this.read(name))?.length ?? 0;
        await super.truncate(name, Math.floor((length + size) / 2));
      },
    );
  }

  override remove(name: string): Promise<void> {
    return this.attempt('remove', () => super.remove(name));
  }

  private async attempt(
    operation: DiskOperation,
    whole: () => Promise<void>,
    partly: () => Promise<void> = whole,
  ): Promise<void> {
    const effect = this.failures.get(operation);
    this.failures.delete(operation);
    if (effect === 'partly') await partly();
    if (effect === undefined || effect === 'whole') await whole();
    if (effect !== undefined) throw new InjectedFailure(`${operation} fails`);
  }
}
