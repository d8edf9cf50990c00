/**
 * Decision: when a pool opens a spare connection, one that no request waits for. Pure but for the random draw.
 *
 * Load that it answers: a restart of all proxies, each of which wants a spare connection to each instance. By reckoning
 * the openings of 193 proxies on two slots take 2.6 s (27 ms each; docs/measurements/large.md).
 *
 * Inputs: the time, whether a spare one is missing, proxies with connections to the instance (count), time of an opening
 * (milliseconds, smoothed), slots of the instance (count).
 *
 * Rule: each proxy draws a time, evenly spread over a multiple of what the instance needs to open those of all proxies.
 */
import type { RandomSource } from '../../runtime/runtime.js';

/**
 * Spread of the openings, as a multiple (a ratio) of the time that the instance needs for all of them: they take a fifth
 * of its slots then. Guess, not measured alone (docs/measurements/large.md); held by test/unit/router.test.ts.
 */
const SPREAD_FACTOR = 5;

/** Openings of all proxies at one instance. */
export interface SpareDemand {
  /** Proxies that keep connections to the instance, this one included. */
  readonly proxyCount: number;
  /** Smoothed time of an opening, in milliseconds. */
  readonly connectMs: number;
  readonly slots: number;
}

/** Schedule of one pool. */
export class SpareSchedule {
  /** When the next one is opened; undefined while none is missing. */
  private dueAt: number | undefined;

  constructor(private readonly random: RandomSource) {}

  /** Whether the missing connection is opened now; draws a time at the first call since one was missing. */
  isDue(demand: SpareDemand, now: number): boolean {
    const totalConnectMs = (demand.proxyCount * demand.connectMs) / demand.slots;
    this.dueAt ??= now + this.random.next() * totalConnectMs * SPREAD_FACTOR;
    if (now < this.dueAt) return false;
    this.dueAt = undefined;
    return true;
  }

  /** No connection is missing. */
  clear(): void {
    this.dueAt = undefined;
  }
}
