/**
 * DECISION: the leader's part of one tenant's bucket, and the reserves that lie with proxies. Owns both, in memory only; relies on
 * nothing that may fail.
 *
 * Inputs: rate (operations/s), demands (operations), the leader's clock (ms).
 * Rule: the rate adds operations up to the size of the bucket; whole operations are taken out, and none of the successor's
 * reserve. A proxy's reserve counts until {@link RESERVE_LIFE_MS} after the leader last renewed it.
 */
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import { type QuotaBudget, RESERVE_LIFE_MS } from './operation_budget.js';

/** Reserve that one run of a proxy holds. */
interface HeldReserve {
  readonly count: number;
  readonly until: number;
}

/** Account of one tenant. Times are those of the leader's clock, in milliseconds. */
export class TenantAccount {
  private readonly reserves = new Map<string, HeldReserve>();

  /**
   * @param level - operations in the bucket
   * @param filledAt - from when on the rate adds to them
   * @param reserve - operations that may not be granted, since a successor will grant them
   */
  constructor(
    private level: number,
    private filledAt: number,
    private reserve: number,
  ) {}

  /** Operations that must stay in the bucket for a successor. */
  get successorReserve(): number {
    return this.reserve;
  }

  /** Operations in the bucket. */
  get operations(): number {
    return this.level;
  }

  /** Operations that may be granted. */
  get free(): number {
    return this.level - this.reserve;
  }

  /** Changes the successor's reserve; a lower one only once it is committed. */
  setSuccessorReserve(operations: number): void {
    this.reserve = operations;
  }

  /** Adds what the rate brought since the last call. */
  refill(ratePerSecond: number, { bucket }: QuotaBudget, now: number): void {
    const earned = (ratePerSecond * Math.max(0, now - this.filledAt)) / MILLISECONDS_PER_SECOND;
    this.level = Math.min(bucket, this.level + earned);
    this.filledAt = Math.max(this.filledAt, now);
  }

  /** Puts back what was taken and never ran. */
  putBack(count: number, { bucket }: QuotaBudget): void {
    this.level = Math.min(bucket, this.level + count);
  }

  /** Takes up to `wanted` whole operations, and leaves `kept` in the bucket. */
  take(wanted: number, kept = 0): number {
    const most = Math.floor(this.level - Math.max(kept, this.reserve));
    const taken = Math.max(0, Math.min(wanted, most));
    this.level -= taken;
    return taken;
  }

  /** Time until the rate brings a whole operation that may be granted, in milliseconds. */
  nextAfter(ratePerSecond: number): number {
    return ((1 - this.free) / ratePerSecond) * MILLISECONDS_PER_SECOND;
  }

  /** Reserves of all runs of proxies but one. */
  heldByOthers(run: string, now: number): number {
    let total = 0;
    for (const [holder, { count, until }] of this.reserves) {
      if (until <= now) this.reserves.delete(holder);
      else if (holder !== run) total += count;
    }
    return total;
  }

  /** Notes what a run may hold from now on. */
  hold(run: string, count: number, now: number): void {
    if (count > 0) this.reserves.set(run, { count, until: now + RESERVE_LIFE_MS });
    else this.reserves.delete(run);
  }
}
