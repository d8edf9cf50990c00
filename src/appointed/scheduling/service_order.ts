/**
 * Whose turn it is where requests wait for a full instance. Pure: it is told the time and what was started.
 *
 * The load that it answers: the replicas of a group can't be used, so its primary's few slots serve everything, while one
 * kind of request or one tenant sends several times its usual.
 */
import { TenantShares } from './tenant_shares.js';

/** A request that waits. Times are clock readings in milliseconds. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Undefined for the system itself. */
  readonly tenant: string | undefined;
  readonly arrivedAt: number;
  /** Started later, its answer certainly comes after its objective. */
  readonly startBy: number;
  /** Nobody wants its answer if it is not started by then. */
  readonly giveUpAt: number;
}

/**
 * One start in so many goes to the request that has waited for the longest time and is still useful, whatever its priority
 * and tenant: so a burst of the urgent loses an eighth at most, and starves nobody.
 */
const URGENT_STARTS = 8;

/** Order of one queue. */
export class ServiceOrder {
  private readonly shares: TenantShares;
  private starts = 0;

  /** @param weightOf - see {@link TenantShares} */
  constructor(weightOf: (tenant: string) => number = () => 1) {
    this.shares = new TenantShares(weightOf);
  }

  /** Notes that a request is started, and how long the instance will be busy with it, in milliseconds. */
  noteStart(request: Pick<QueuedRequest, 'tenant'>, expectedMs: number, now: number): void {
    this.starts++;
    this.shares.note(request.tenant ?? '', expectedMs, now);
    if (this.starts % URGENT_STARTS === 0) this.shares.forgetIdle(now);
  }

  /**
   * Requests in the order of their turns. Those that can still be answered within their objective come first: by
   * priority, then those of the tenant that had least of the instance, then the one that has to start soonest. All others
   * come after them, since a late answer is worth less to a caller than one in time to another.
   */
  rank<Request extends QueuedRequest>(requests: readonly Request[], now: number): Request[] {
    const isTurnOfAll = this.starts % URGENT_STARTS === URGENT_STARTS - 1;
    const used = new Map<string, number>();
    for (const { tenant = '' } of requests) {
      if (!used.has(tenant)) used.set(tenant, this.shares.used(tenant, now));
    }
    const usedBy = ({ tenant = '' }: QueuedRequest): number => used.get(tenant) ?? 0;
    return requests.toSorted((left, right) => {
      const isLate = Number(left.startBy < now) - Number(right.startBy < now);
      if (isLate !== 0) return isLate;
      const earlier = left.arrivedAt - right.arrivedAt;
      if (isTurnOfAll) return earlier;
      const byClaim = left.priority - right.priority || usedBy(left) - usedBy(right);
      return byClaim || left.startBy - right.startBy || earlier;
    });
  }

  /**
   * Requests that will not be started in time: who is more urgent has taken their place. Told at once, their callers can
   * go elsewhere.
   * @param ranked - in the order of their turns
   * @param spacingMs - time between two starts
   */
  displaced<Request extends QueuedRequest>(
    ranked: readonly Request[],
    spacingMs: number,
    now: number,
  ): Request[] {
    return ranked.filter(({ giveUpAt }, place) => now + place * spacingMs > giveUpAt);
  }
}
