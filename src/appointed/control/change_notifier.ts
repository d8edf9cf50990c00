/**
 * Decides when waiting long polls of proxies are answered after a catalog change.
 *
 * A change of primary and an evacuation order are urgent and answer all long polls at once. Other
 * changes are batched for `CHANGE_BATCH_WINDOW_MS`, so that a startup or a series of documents does
 * not wake every proxy for each change.
 */
import type { Catalog } from '../catalog/catalog.js';
import type { Clock } from '../../runtime/runtime.js';
import { TimedWaiters } from '../../runtime/timed_waiters.js';

/**
 * A small part of the seconds within which a document or a leaving instance must be known to all
 * proxies.
 */
const CHANGE_BATCH_WINDOW_MS = 100;
/** Epoch of a group that is seen for the first time. */
const FIRST_EPOCH = 1;

export class ChangeNotifier {
  private readonly waiters: TimedWaiters;
  private announcedVersion = 0;
  private isBatching = false;

  constructor(
    private readonly clock: Clock,
    private readonly catalog: Catalog,
  ) {
    this.waiters = new TimedWaiters(clock);
    catalog.onChange(() => this.onChange());
  }

  /** Whether a proxy that knows this version should be answered at once. */
  hasUpdatesFor(knownVersion: number): boolean {
    return knownVersion < this.announcedVersion;
  }

  /** Resolves when there are updates, after `maximumWaitMs` at the latest. */
  wait(maximumWaitMs: number): Promise<void> {
    return this.waiters.wait(maximumWaitMs);
  }

  /** Answers all waiting requests; the current version counts as announced. */
  notifyAll(): void {
    this.announcedVersion = this.catalog.version;
    this.waiters.wakeAll();
  }

  private onChange(): void {
    if (this.isUrgent()) {
      this.notifyAll();
      return;
    }
    if (this.isBatching) return;
    this.isBatching = true;
    this.clock.setTimer(CHANGE_BATCH_WINDOW_MS, () => {
      this.isBatching = false;
      this.notifyAll();
    });
  }

  private isUrgent(): boolean {
    if (this.catalog.evacuationsSince(this.announcedVersion).length > 0) return true;
    const changed = this.catalog.groupsSince(this.announcedVersion);
    return changed.some((group) => (group.epoch ?? 0) > FIRST_EPOCH);
  }
}
