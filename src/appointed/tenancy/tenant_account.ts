/** The leader's part of one tenant's bucket, and the reserves that lie with proxies. */
import type { QuotaBudget } from './operation_budget.js';
import { RESERVE_LIFE_MS } from './operation_budget.js';

interface HeldReserve {
  readonly count: number;
  readonly until: number;
}

const MILLISECONDS = 1000;

/** Account of one tenant. Times are those of the leader's clock, in milliseconds. */
export class TenantAccount {
  private readonly reserves = new Map<string, HeldReserve>();

  /**
   * @param level - operations in the bucket
   * @param filledAt - from when on the rate adds to them
   * @param floorOperations - operations that may not be granted, since a successor will grant them
   */
  constructor(
    private level: number,
    private filledAt: number,
    private floorOperations: number,
  ) {}

  /** Operations that must stay in the bucket. */
  get floor(): number {
    return this.floorOperations;
  }

  /** Operations in the bucket. */
  get operations(): number {
    return this.level;
  }

  /** Operations that may be granted. */
  get free(): number {
    return this.level - this.floorOperations;
  }

  /** Changes the floor; a lower one only once it is committed. */
  setFloor(operations: number): void {
    this.floorOperations = operations;
  }

  /** Adds what the rate brought since the last call. */
  refill(ratePerSecond: number, { bucket }: QuotaBudget, now: number): void {
    const earned = (ratePerSecond * Math.max(0, now - this.filledAt)) / MILLISECONDS;
    this.level = Math.min(bucket, this.level + earned);
    this.filledAt = Math.max(this.filledAt, now);
  }

  /** Puts back what was taken and never ran. */
  putBack(count: number, { bucket }: QuotaBudget): void {
    this.level = Math.min(bucket, this.level + count);
  }

  /** Takes up to `wanted` whole operations, and leaves `kept` in the bucket. */
  take(wanted: number, kept = 0): number {
    const most = Math.floor(this.level - Math.max(kept, this.floorOperations));
    const taken = Math.max(0, Math.min(wanted, most));
    this.level -= taken;
    return taken;
  }

  /** Time until the rate brings a whole operation that may be granted, in milliseconds. */
  nextAfter(ratePerSecond: number): number {
    return ((1 - this.free) / ratePerSecond) * MILLISECONDS;
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
