/**
 * Decision: which connection owners one proxy may send statements to. Owns the set of owners that are away, and a timer for
 * each.
 *
 * Load that it answers: owners that are killed, frozen or cut off, while many statements would each wait for them in vain.
 *
 * Inputs: answers of owners and their absence, whether statements want an owner, the time (milliseconds).
 *
 * Rule: an owner that did not answer, or does not serve the instance, is away until it answers a probe. It is probed for as
 * long as statements want it; after that the next statement tries it.
 *
 * Relies on the messenger, which may fail: a probe without an answer says that the owner is still away.
 * test/unit/connection_owners.test.ts holds the rule; its constants were not measured.
 */
import type { Clock, Messenger } from '../../runtime/runtime.js';

/** Time between two probes of an owner that is away, in milliseconds. Guess, not measured. */
const PROBE_INTERVAL_MS = 250;
/** Time for an answer to a probe, in milliseconds: more than a trip within a region, and a busy process. Guess, not measured. */
const PROBE_TIMEOUT_MS = 150;
/** An owner that no statement wanted for this long, in milliseconds, is not probed any more. Guess, not measured. */
const PROBE_DEMAND_WINDOW_MS = 4000;

interface UnavailableOwner {
  /** When a statement last asked for the owner. */
  lastRequestedAt: number;
}

/** Health of all connection owners, as one proxy has found it. */
export class OwnerHealth {
  private readonly unavailable = new Map<string, UnavailableOwner>();

  constructor(
    private readonly clock: Clock,
    private readonly messenger: Messenger,
  ) {}

  /** Whether an owner may be tried; counts as a statement that wants it. */
  isAvailable(address: string): boolean {
    const owner = this.unavailable.get(address);
    if (owner) owner.lastRequestedAt = this.clock.now();
    return owner === undefined;
  }

  /** Takes an owner for away: it did not answer, or does not serve the instance. */
  recordFailure(address: string): void {
    if (this.unavailable.has(address)) return;
    this.unavailable.set(address, { lastRequestedAt: this.clock.now() });
    this.scheduleProbe(address);
  }

  /** Takes an owner for there: it answered. */
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

  /** Any reply shows that the owner is back; the request asks it to do nothing. */
  private async probe(address: string): Promise<void> {
    const relayRequest = { closes: true };
    try {
      await this.messenger.request(address, { relayRequest }, PROBE_TIMEOUT_MS);
      this.recordAnswer(address);
    } catch {
      // Nothing is lost: the owner stays away, and is probed again for as long as statements want it.
      this.scheduleProbe(address);
    }
  }
}
