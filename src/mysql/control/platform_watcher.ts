/**
 * Follows the platform's list of machines. The list lags, so it is used as advice only.
 *
 * Owns the newest list that was read. Relies on the platform, which may not answer: the former list stays.
 */
import { type Clock, type Timer } from '../../runtime/runtime.js';

/** A machine on the platform's list. */
export interface PlatformMachine {
  /** Address of the instance on it. */
  readonly address: string;
  /** Whether the platform is about to take the machine away. */
  readonly state: 'live' | 'leaving';
}

/** Where the list comes from. */
export interface PlatformSource {
  /** Reads the list; rejects when the platform does not answer. */
  list(): Promise<readonly PlatformMachine[]>;
}

/** Time between two reads of the list, in milliseconds. A guess, not measured. */
const POLL_INTERVAL_MS = 500;

/** Watcher of the list. */
export class PlatformWatcher {
  private machines: readonly PlatformMachine[] = [];
  private timer: Timer | undefined;
  private stopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly source: PlatformSource,
  ) {}

  /** Starts polling. */
  start(): void {
    void this.poll();
  }

  /** Stops polling. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  /** Addresses of instances that are leaving, by the newest list. */
  get leavingInstances(): readonly string[] {
    return this.machines
      .filter((machine) => machine.state === 'leaving')
      .map((machine) => machine.address);
  }

  private async poll(): Promise<void> {
    try {
      this.machines = await this.source.list();
    } catch {
      // The former list stays: it is advice only, and the next poll reads it again.
    }
    if (this.stopped) return;
    this.timer = this.clock.setTimer(POLL_INTERVAL_MS, () => void this.poll());
  }
}
