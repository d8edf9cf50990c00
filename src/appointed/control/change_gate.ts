/**
 * Wakes the held requests of proxies when the catalog has news. Changes of primary are told at once. Other changes are
 * gathered for a moment: each of them wakes every proxy, and at a start or in a storm of documents many come together.
 */
import type { Catalog } from '../catalog/catalog.js';
import type { Clock } from '../../runtime/runtime.js';
import { TimedWaiters } from '../../runtime/timed_waiters.js';

/**
 * How long changes that are not urgent are gathered, in milliseconds: a small part of the seconds within which a document
 * or a leaving instance must be known everywhere. At the start of 200 proxies and 42 instances each proxy took 57
 * catalogs in 4 s without it (docs/measurements/large.md).
 */
const GATHER_MS = 100;
/** Epoch that a group gets when it is seen for the first time. */
const FIRST_EPOCH = 1;

/** Gate of one control machine. */
export class ChangeGate {
  private readonly waiters: TimedWaiters;
  private announcedVersion = 0;
  private isGathering = false;

  constructor(
    private readonly clock: Clock,
    private readonly catalog: Catalog,
  ) {
    this.waiters = new TimedWaiters(clock);
    catalog.onChange(() => this.onChange());
  }

  /** Whether there is something that a proxy with this version should be told at once. */
  hasNewsFor(knownVersion: number): boolean {
    return knownVersion < this.announcedVersion;
  }

  /** Resolves when there is news, after `maximumWaitMs` at the latest. */
  wait(maximumWaitMs: number): Promise<void> {
    return this.waiters.wait(maximumWaitMs);
  }

  /** Ends all waits, and counts everything up to now as told. */
  open(): void {
    this.announcedVersion = this.catalog.version;
    this.waiters.wakeAll();
  }

  private onChange(): void {
    if (this.isUrgent()) {
      this.open();
      return;
    }
    if (this.isGathering) return;
    this.isGathering = true;
    this.clock.setTimer(GATHER_MS, () => {
      this.isGathering = false;
      this.open();
    });
  }

  private isUrgent(): boolean {
    const changed = this.catalog.groupsSince(this.announcedVersion);
    return changed.some((group) => (group.epoch ?? 0) > FIRST_EPOCH);
  }
}
