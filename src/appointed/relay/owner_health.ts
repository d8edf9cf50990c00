/**
 * Tracks which connection owners are unavailable, so that statements do not wait for an owner that
 * crashed, hangs or is unreachable.
 *
 * An owner that did not answer, or does not serve the instance, is unavailable until it answers a
 * probe. It is probed for as long as statements request it; after that the next statement tries it.
 */
import type { Clock, Messenger } from '../../runtime/runtime.js';

const PROBE_INTERVAL_MS = 250;
/** Longer than a round trip within a region to a busy process. */
const PROBE_TIMEOUT_MS = 150;
/** An owner that no statement requested for this long is no longer probed. */
const PROBE_DEMAND_WINDOW_MS = 4000;

interface UnavailableOwner {
  /** When a statement last requested the owner. */
  lastRequestedAt: number;
}

/** Health of all connection owners, as seen by one proxy. */
export class OwnerHealth {
  private readonly unavailable = new Map<string, UnavailableOwner>();

  constructor(
    private readonly clock: Clock,
    private readonly messenger: Messenger,
  ) {}

  /**
   * Whether an owner may be used. Records that a statement requested it, which keeps the probes of
   * an unavailable owner running.
   */
  isAvailable(address: string): boolean {
    const owner = this.unavailable.get(address);
    if (owner) owner.lastRequestedAt = this.clock.now();
    return owner === undefined;
  }

  /** Marks an owner as unavailable: it did not answer, or does not serve the instance. */
  recordFailure(address: string): void {
    if (this.unavailable.has(address)) return;
    this.unavailable.set(address, { lastRequestedAt: this.clock.now() });
    this.scheduleProbe(address);
  }

  /** Marks an owner as available: it answered. */
  recordAnswer(address: string): void {
    this.unavailable.delete(address);
  }

  private scheduleProbe(address: string): void {
    this.clock.setTimer(PROBE_INTERVAL_MS, () => {
      const owner = this.unavailable.get(address);
      if (!owner) return;
      if (this.clock.now() - owner.lastRequestedAt > PROBE_DEMAND_WINDOW_MS)
        this.unavailable.delete(address);
      else void this.probe(address);
    });
  }

  /** Any reply shows that the owner is available; the request has no effect there. */
  private async probe(address: string): Promise<void> {
    const relayRequest = { closes: true };
    try {
      await this.messenger.request(address, { relayRequest }, PROBE_TIMEOUT_MS);
      this.recordAnswer(address);
    } catch {
      // The owner stays unavailable and is probed again while statements request it.
      this.scheduleProbe(address);
    }
  }
}
