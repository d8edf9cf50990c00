/**
 * Decision: the order in which requests that wait for a full instance are served, and which of them are refused since they
 * would be served too late. Pure: each call is told the time, and what was started.
 *
 * Load that it answers: the replicas of a group can't be used, so its primary's few slots serve everything, while one
 * kind of request or one tenant sends several times its usual.
 *
 * Inputs: priority, tenant and times of each request (milliseconds); requests that were started, and how long the instance
 * is busy with each (milliseconds); time between two starts (milliseconds).
 *
 * Rule: see {@link ServiceOrder.rank} and {@link ServiceOrder.displaced}.
 *
 * docs/design/scheduling.md compares it with other orders, by the replays in test/unit/scheduling.test.ts.
 */
import { TenantUsage } from './tenant_usage.js';

/** A request that waits. Times are clock readings in milliseconds. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Undefined for the system itself. */
  readonly tenant: string | undefined;
  readonly arrivedAt: number;
  /** If it is started later, its answer certainly misses its objective. */
  readonly latestStartAt: number;
  /** Its caller gives it up if it is not started by then. */
  readonly expiresAt: number;
}

/**
 * One start in so many (a count) goes to the request that has waited for the longest time and is still useful, whatever its
 * priority and tenant: so a burst of the urgent loses an eighth at most, and starves no other request. That these starts
 * go to the longest wait was compared (docs/design/scheduling.md: 0.938 of the least urgent are answered in time, 0.010 where
 * they go to the one that must start soonest); eight itself is a guess, not measured.
 */
const STARTS_PER_LONGEST_WAIT = 8;

/** Order of one queue. */
export class ServiceOrder {
  private readonly tenantUsage: TenantUsage;
  private starts = 0;

  /** @param weightOf - see {@link TenantUse} */
  constructor(weightOf: (tenant: string) => number = () => 1) {
    this.tenantUsage = new TenantUsage(weightOf);
  }

  /** Counts a request that is started; the instance is expected to be busy with it for `expectedMs`. */
  recordStart(request: Pick<QueuedRequest, 'tenant'>, expectedMs: number, now: number): void {
    this.starts++;
    this.tenantUsage.add(request.tenant ?? '', expectedMs, now);
    if (this.starts % STARTS_PER_LONGEST_WAIT === 0) this.tenantUsage.removeIdle(now);
  }

  /**
   * Requests in the order in which they are served. Those that can still be answered within their objective come first: by
   * priority, then those of the tenant that used the instance least, then the one that has to start soonest. All others
   * come after them, since a late answer is worth less to a caller than one in time to another.
   */
  rank<Request extends QueuedRequest>(requests: readonly Request[], now: number): Request[] {
    const servesLongestWait = this.starts % STARTS_PER_LONGEST_WAIT === STARTS_PER_LONGEST_WAIT - 1;
    const usageByTenant = new Map<string, number>();
    for (const { tenant = '' } of requests) {
      if (!usageByTenant.has(tenant))
        usageByTenant.set(tenant, this.tenantUsage.weightedUsage(tenant, now));
    }
    const usageOf = ({ tenant = '' }: QueuedRequest): number => usageByTenant.get(tenant) ?? 0;
    return requests.toSorted((left, right) => {
      const byLateness = Number(left.latestStartAt < now) - Number(right.latestStartAt < now);
      if (byLateness !== 0) return byLateness;
      const byArrival = left.arrivedAt - right.arrivedAt;
      if (servesLongestWait) return byArrival;
      const byPriorityAndUsage = left.priority - right.priority || usageOf(left) - usageOf(right);
      return byPriorityAndUsage || left.latestStartAt - right.latestStartAt || byArrival;
    });
  }

  /**
   * Requests that will not be started in time, since more urgent ones come first. Refused at once, their callers can go
   * elsewhere.
   * @param ranked - in the order in which they are served
   * @param spacingMs - time between two starts
   */
  displaced<Request extends QueuedRequest>(
    ranked: readonly Request[],
    spacingMs: number,
    now: number,
  ): Request[] {
    return ranked.filter(({ expiresAt }, position) => now + position * spacingMs > expiresAt);
  }
}
