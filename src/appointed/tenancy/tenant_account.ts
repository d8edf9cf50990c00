/**
 * The leader's part of one tenant's token bucket, and the reserves and rates granted to proxies. In memory only. Whole
 * operations are withdrawn, and never the successor reserve. A proxy's reserve counts until {@link RESERVE_LEASE_MS} after
 * the leader last renewed it.
 */
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import { RESERVE_LEASE_MS } from './operation_budget.js';

/** What one proxy process may use without a request. */
interface GrantedReserve {
  /** Maximum size of its reserve. */
  readonly count: number;
  /** Leased rate that refills the reserve, in operations/s. */
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
   * @param refilledAt - time from which the rate adds operations
   * @param reservedForSuccessor - operations that only a successor may grant
   * @param rate - refill rate in operations/s
   */
  constructor(
    private level: number,
    private refilledAt: number,
    private reservedForSuccessor: number,
    private rate: number,
  ) {}

  get successorReserve(): number {
    return this.reservedForSuccessor;
  }

  /** Operations in the bucket, including the successor reserve. */
  get operations(): number {
    return this.level;
  }

  /** Operations that may be granted. */
  get free(): number {
    return this.level - this.reservedForSuccessor;
  }

  /** Sets the successor reserve; a lower value only once it is committed. */
  setSuccessorReserve(operations: number): void {
    this.reservedForSuccessor = operations;
  }

  /** Sets the refill rate, effective from the last refill. */
  setRate(ratePerSecond: number): void {
    this.rate = ratePerSecond;
  }

  /** Adds the operations that accrued since the last refill, up to `maxOperations` in the bucket. */
  refill(maxOperations: number, now: number): void {
    const accrued = (this.rate * Math.max(0, now - this.refilledAt)) / MILLISECONDS_PER_SECOND;
    this.add(accrued, maxOperations);
    this.refilledAt = Math.max(this.refilledAt, now);
  }

  /** Lets the next refill add operations for `moreMs` more. */
  extendRefill(moreMs: number): void {
    this.refilledAt -= moreMs;
  }

  /** Adds operations, such as returned ones, up to `maxOperations` in the bucket. */
  add(count: number, maxOperations: number): void {
    this.level = Math.max(0, Math.min(maxOperations, this.level + count));
  }

  /** Withdraws up to `wanted` whole operations and leaves at least `kept`, and the successor reserve, in the bucket. */
  withdraw(wanted: number, kept = 0): number {
    const available = Math.floor(this.level - Math.max(kept, this.reservedForSuccessor));
    const taken = Math.max(0, Math.min(wanted, available));
    this.level -= taken;
    return taken;
  }

  /** Time until a whole operation can be granted. */
  nextOperationAfterMs(): number {
    return ((1 - this.free) / this.rate) * MILLISECONDS_PER_SECOND;
  }

  /** Sum of all unexpired reserves and rates, except those of one proxy process. */
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

  /** Replaces the reserve and rate of a proxy process, and renews its lease. */
  recordReserve(proxyIncarnation: string, granted: GrantedReserve, now: number): void {
    const until = now + RESERVE_LEASE_MS;
    if (granted.count > 0 || granted.rate > 0)
      this.reserves.set(proxyIncarnation, { ...granted, until });
    else this.reserves.delete(proxyIncarnation);
  }
}
