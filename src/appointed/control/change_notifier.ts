/**
 * DECISION: when the held requests of proxies are woken.
 *
 * Answers: a change of primary or an order on a zone that every proxy must know at once; a start, or many documents, where
 *   changes come together and each of them would wake every proxy.
 * Inputs: the catalog's version, the epochs of the groups and the orders on zones that changed since the last wake.
 * Rule: a change of primary and an order on a zone wake all held requests at once; anything else is gathered for GATHER_MS.
 * Constants: below.
 *
 * Owns the held requests of one control machine. Relies on the catalog only, which can't fail.
 */
import type { Catalog } from '../catalog/catalog.js';
import type { Clock } from '../../runtime/runtime.js';
import { TimedWaiters } from '../../runtime/timed_waiters.js';

/**
 * How long changes that are not urgent are gathered, in milliseconds: a small part of the seconds within which a document
 * or a leaving instance must be known everywhere. The value is a guess. Without gathering the leader of 195 proxies sent
 * 12,900 replies in the first 5 s of a start (docs/measurements/large.md).
 */
const CHANGE_BATCH_WINDOW_MS = 100;
/** Epoch that a group gets when it is seen for the first time. */
const FIRST_EPOCH = 1;

/** Notifier of one control machine. */
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

  /** Resolves when there is news, after `maximumWaitMs` at the latest. */
  wait(maximumWaitMs: number): Promise<void> {
    return this.waiters.wait(maximumWaitMs);
  }

  /** Ends all waits; everything up to now counts as announced. */
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
