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
const PROBE_SPACING_MS = 250;
/** Time for an answer to a probe, in milliseconds: more than a trip within a region, and a busy process. Guess, not measured. */
const PROBE_TIMEOUT_MS = 150;
/** An owner that no statement wanted for this long, in milliseconds, is not probed any more. Guess, not measured. */
const PROBED_SINCE_WANTED_MS = 4000;

interface Absence {
  /** When a statement last asked for the owner. */
  wantedAt: number;
}

/** Health of all connection owners, as one proxy has found it. */
export class OwnerHealth {
  private readonly absent = new Map<string, Absence>();

  constructor(
    private readonly clock: Clock,
    private readonly messenger: Messenger,
  ) {}

  /** Whether an owner may be tried; counts as a statement that wants it. */
  mayTry(address: string): boolean {
    const absence = this.absent.get(address);
    if (absence) absence.wantedAt = this.clock.now();
    return absence === undefined;
  }

  /** Takes an owner for away: it did not answer, or does not serve the instance. */
  noteFailure(address: string): void {
    if (this.absent.has(address)) return;
    this.absent.set(address, { wantedAt: this.clock.now() });
    this.probeLater(address);
  }

  /** Takes an owner for there: it answered. */
  noteAnswer(address: string): void {
    this.absent.delete(address);
  }

  private probeLater(address: string): void {
    this.clock.setTimer(PROBE_SPACING_MS, () => {
      const absence = this.absent.get(address);
      if (!absence) return;
      if (this.clock.now() - absence.wantedAt > PROBED_SINCE_WANTED_MS) this.absent.delete(address);
      else void this.probe(address);
    });
  }

  /** Any reply shows that the owner is back; the request asks it to do nothing. */
  private async probe(address: string): Promise<void> {
    const relayRequest = { closes: true };
    try {
      await this.messenger.request(address, { relayRequest }, PROBE_TIMEOUT_MS);
      this.noteAnswer(address);
    } catch {
      // Nothing is lost: the owner stays away, and is probed again for as long as statements want it.
      this.probeLater(address);
    }
  }
}
