/**
 * Which homes did not answer, as one proxy has found. Such a home is left alone until it has answered a question of the
 * system's own, so that no statement of a caller finds out that it is still away.
 */
import type { Clock, Messenger } from '../../runtime/runtime.js';

/** Time between two questions to a home that is away, in milliseconds. */
const QUESTION_SPACING_MS = 250;
/** Time for its answer, in milliseconds: more than a trip within a region, and a busy process. */
const ANSWER_TIMEOUT_MS = 150;
/** A home that nobody wanted for this long is not asked any more, in milliseconds; the next statement tries it. */
const WANTED_MS = 4000;

interface Absence {
  wantedAt: number;
}

/** Health of all homes. */
export class OwnerHealth {
  private readonly absent = new Map<string, Absence>();

  constructor(
    private readonly clock: Clock,
    private readonly messenger: Messenger,
  ) {}

  /** Whether a home may be tried. */
  mayTry(address: string): boolean {
    const absence = this.absent.get(address);
    if (absence) absence.wantedAt = this.clock.now();
    return absence === undefined;
  }

  /** A home did not answer, or does not serve the instance. */
  noteFailure(address: string): void {
    if (this.absent.has(address)) return;
    this.absent.set(address, { wantedAt: this.clock.now() });
    this.askLater(address);
  }

  /** A home answered. */
  noteAnswer(address: string): void {
    this.absent.delete(address);
  }

  private askLater(address: string): void {
    this.clock.setTimer(QUESTION_SPACING_MS, () => {
      const absence = this.absent.get(address);
      if (!absence) return;
      if (this.clock.now() - absence.wantedAt > WANTED_MS) this.absent.delete(address);
      else void this.ask(address);
    });
  }

  /** Any reply shows that the home is back; it does nothing for this request. */
  private async ask(address: string): Promise<void> {
    const relayRequest = { closes: true };
    try {
      await this.messenger.request(address, { relayRequest }, ANSWER_TIMEOUT_MS);
      this.noteAnswer(address);
    } catch {
      // Still away: asked again, as long as somebody wants it.
      this.askLater(address);
    }
  }
}
