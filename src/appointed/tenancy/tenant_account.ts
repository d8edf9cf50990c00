/**
 * DECISION: the leader's part of one tenant's bucket, and the reserves and rates that lie with proxies. Owns both, in memory only; relies on
 * nothing that may fail.
 *
 * Inputs: rate (operations/s), demands (operations), the leader's clock (ms).
 * Rule: the rate adds operations up to the size of the bucket; whole operations are taken out, and none of the successor's
 * reserve. A proxy's reserve counts until {@link RESERVE_LIFE_MS} after the leader last renewed it.
 */
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import { RESERVE_LEASE_MS } from './operation_budget.js';

/** What one run of a proxy may hold. */
interface GrantedReserve {
  /** Most operations in its reserve. */
  readonly count: number;
  /** Rate that fills the reserve up to that again, in operations a second. */
  readonly rate: number;
}

interface ExpiringReserve extends GrantedReserve {
  readonly until: number;
}

/** Account of one tenant. Times are those of the leader's clock, in milliseconds. */
export class TenantAccount {
  private readonly reserves = new Map<string, ExpiringReserve>();

  /**
   * @param level - operations in the bucket
   * @param filledAt - from when on the rate adds to them
   * @param reserve - operations that may not be granted, since a successor will grant them
   * @param rate - operations that are added in a second
   */
  constructor(
    private level: number,
    private refilledAt: number,
    private reservedForSuccessor: number,
    private rate: number,
  ) {}

  /** Operations that must stay in the bucket for a successor. */
  get successorReserve(): number {
    return this.reservedForSuccessor;
  }

  /** Operations in the bucket. */
  get operations(): number {
    return this.level;
  }

  /** Operations that may be granted. */
  get free(): number {
    return this.level - this.reservedForSuccessor;
  }

  /** Changes the successor's reserve; a lower one only once it is committed. */
  setSuccessorReserve(operations: number): void {
    this.reservedForSuccessor = operations;
  }

  /** Changes the rate that adds to the bucket from the last refill on. */
  setRate(ratePerSecond: number): void {
    this.rate = ratePerSecond;
  }

  /** Adds what the rate brought since the last call, up to `most` operations. */
  refill(most: number, now: number): void {
    const earned = (this.rate * Math.max(0, now - this.refilledAt)) / MILLISECONDS_PER_SECOND;
    this.add(earned, most);
    this.refilledAt = Math.max(this.refilledAt, now);
  }

  /** Has the next refill add for so many milliseconds more. */
  extendRefill(moreMs: number): void {
    this.refilledAt -= moreMs;
  }

  /** Puts operations back that were taken and never ran, up to `most` in the bucket. */
  add(count: number, most: number): void {
    this.level = Math.max(0, Math.min(most, this.level + count));
  }

  /** Takes up to `wanted` whole operations, and leaves `kept` in the bucket. */
  withdraw(wanted: number, kept = 0): number {
    const most = Math.floor(this.level - Math.max(kept, this.reservedForSuccessor));
    const taken = Math.max(0, Math.min(wanted, most));
    this.level -= taken;
    return taken;
  }

  /** Time until the rate brings a whole operation that may be granted, in milliseconds. */
  nextOperationAfterMs(): number {
    return ((1 - this.free) / this.rate) * MILLISECONDS_PER_SECOND;
  }

  /** What all runs of proxies may hold together, but for `run`. */
  grantedExcept(excludedIncarnation: string | undefined, now: number): GrantedReserve {
    let [count, rate] = [0, 0];
    for (const [incarnation, granted] of this.reserves) {
      if (granted.until <= now) this.reserves.delete(incarnation);
      if (granted.until <= now || incarnation === excludedIncarnation) continue;
      count += granted.count;
      rate += granted.rate;
    }
    return { count, rate };
  }

  /** Notes what a run may hold from now on. */
  recordReserve(proxyIncarnation: string, granted: GrantedReserve, now: number): void {
    const until = now + RESERVE_LEASE_MS;
    if (granted.count > 0 || granted.rate > 0)
      this.reserves.set(proxyIncarnation, { ...granted, until });
    else this.reserves.delete(proxyIncarnation);
  }
}
