/** A data folder in memory. */
import type { DataFolder } from '../../src/runtime/runtime.js';

export class MemoryFolder implements DataFolder {
  private readonly files = new Map<string, Buffer>();

  read(name: string): Promise<Buffer | undefined> {
    return Promise.resolve(this.files.get(name));
  }

  append(name: string, bytes: Uint8Array): Promise<void> {
    return this.write(name, Buffer.concat([this.files.get(name) ?? Buffer.alloc(0), bytes]));
  }

  sync(name: string): Promise<void> {
    if (!this.files.has(name)) return Promise.reject(new Error(`${name} does not exist`));
    return Promise.resolve();
  }

  replace(name: string, bytes: Uint8Array): Promise<void> {
    return this.write(name, Buffer.from(bytes));
  }

  truncate(name: string, length: number): Promise<void> {
    this.files.set(name, (this.files.get(name) ?? Buffer.alloc(0)).subarray(0, length));
    return Promise.resolve();
  }

  remove(name: string): Promise<void> {
    this.files.delete(name);
    return Promise.resolve();
  }

  list(): Promise<string[]> {
    return Promise.resolve([...this.files.keys()].sort());
  }

  protected write(name: string, bytes: Buffer): Promise<void> {
    this.files.set(name, bytes);
    return Promise.resolve();
  }
}
