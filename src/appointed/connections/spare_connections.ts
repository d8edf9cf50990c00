/**
 * Schedules the opening of spare connections, which no request waits for. Guards against the
 * handshakes of all proxies filling the slots of an instance after a restart of the whole fleet:
 * each proxy draws a random time, spread evenly over a multiple of the time that the instance needs
 * for the handshakes of all proxies.
 */
import type { RandomSource } from '../../runtime/runtime.js';

/**
 * Spread of the openings as a multiple of the time that the instance needs for all of them: they
 * use a fifth of its slots.
 */
const SPREAD_FACTOR = 5;

/** Load that the spare connections of all proxies put on one instance. */
export interface SpareDemand {
  /** Number of proxies that keep connections to the instance, this one included. */
  readonly proxyCount: number;
  /** Smoothed connect time. */
  readonly connectMs: number;
  readonly slots: number;
}

export class SpareSchedule {
  /** When the next connection is opened; undefined while none is missing. */
  private dueAt: number | undefined;

  constructor(private readonly random: RandomSource) {}

  /**
   * Whether to open the missing connection now. The first call since one was missing draws the
   * time.
   */
  isDue(demand: SpareDemand, now: number): boolean {
    const totalConnectMs = (demand.proxyCount * demand.connectMs) / demand.slots;
    this.dueAt ??= now + this.random.next() * totalConnectMs * SPREAD_FACTOR;
    if (now < this.dueAt) return false;
    this.dueAt = undefined;
    return true;
  }

  /** Cancels the schedule: no connection is missing. */
  clear(): void {
    this.dueAt = undefined;
  }
}
