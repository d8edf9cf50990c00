/** One file of a simulated disk: what processes read, and what is left after a power loss. */
import type { RandomSource } from '../../src/runtime/runtime.js';

const EMPTY = Buffer.alloc(0);
/** Unsynced bytes reach the disk in pages of this size, in any order. */
const PAGE_BYTES = 64;
/** Share of the unsynced pages that a power loss can clear. */
const LOST_PAGE_SHARE = 0.3;

/** Content of a file; undefined if the name does not exist. */
type FileContent = Buffer | undefined;

export class VirtualFile {
  /** What processes read. */
  visible: FileContent;
  /** What is certainly on the disk. */
  private durable: FileContent;
  /** Whether appends are the only changes that are not durable. */
  private isOnlyAppended = true;

  /** @param content - durable content; undefined if the name does not exist yet */
  constructor(content: FileContent) {
    this.visible = content;
    this.durable = content;
  }

  /** A file as an append creates it. */
  static empty(): VirtualFile {
    return new VirtualFile(EMPTY);
  }

  /** Appends bytes that are not durable yet. */
  append(bytes: Uint8Array): void {
    this.visible = Buffer.concat([this.visible ?? EMPTY, bytes]);
  }

  /** Bytes that processes read. */
  get length(): number {
    return this.visible?.length ?? 0;
  }

  /** Whether a sync would change nothing. */
  get isSynced(): boolean {
    return this.visible === this.durable;
  }

  /** Makes the content durable. */
  sync(): void {
    this.durable = this.visible;
    this.isOnlyAppended = true;
  }

  /** Makes replacements, removals and truncations durable, as a sync of the folder does. */
  syncName(): void {
    if (!this.isOnlyAppended) this.sync();
  }

  /** Makes unsynced appends durable up to `length` bytes, as a sync does that fails. */
  syncPartly(length: number): void {
    const durableLength = this.durable?.length ?? 0;
    if (!this.isOnlyAppended || length <= durableLength) return;
    this.durable = this.visible?.subarray(0, length);
  }

  /** Changes the content; it becomes durable too, or a power loss decides between old and new. */
  change(content: FileContent, isDurable: boolean): void {
    this.visible = content;
    this.isOnlyAppended = isDurable;
    if (isDurable) this.durable = content;
  }

  /** A power loss: unsynced appends are kept in part, other unsynced changes entirely or not at all. */
  losePower(random: RandomSource, reordersPages: boolean): void {
    this.durable = this.contentAfterPowerLoss(random, reordersPages);
    this.visible = this.durable;
    this.isOnlyAppended = true;
  }

  private contentAfterPowerLoss(random: RandomSource, reordersPages: boolean): FileContent {
    const { durable, visible } = this;
    if (!this.isOnlyAppended || !visible || !durable)
      return random.next() < 0.5 ? visible : durable;
    const kept = random.integer(0, visible.length - durable.length);
    const bytes = Buffer.from(visible.subarray(0, durable.length + kept));
    if (reordersPages) clearSomePages(bytes, durable.length, random);
    return bytes;
  }
}

/** Fills some of the pages from `start` on with zeros. */
function clearSomePages(bytes: Buffer, start: number, random: RandomSource): void {
  for (let page = start; page < bytes.length; page += PAGE_BYTES) {
    if (random.next() < LOST_PAGE_SHARE)
      bytes.fill(0, page, Math.min(page + PAGE_BYTES, bytes.length));
  }
}
