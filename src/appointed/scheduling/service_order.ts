/**
 * Orders the requests that wait for a full instance, and selects those to refuse because they would be served too late.
 *
 * It keeps urgent requests and the other tenants served while one kind of request or one tenant sends several times its usual
 * load, for example when a group's replicas are unavailable and its primary serves everything. docs/design/scheduling.md
 * compares it with other orders. No I/O; callers pass the time.
 */
import { TenantUsage } from './tenant_usage.js';

/** A waiting request. Times are clock readings in milliseconds. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Undefined for internal requests. */
  readonly tenant: string | undefined;
  readonly arrivedAt: number;
  /** Latest start at which its answer can still meet the latency objective. */
  readonly latestStartAt: number;
  /** When it times out if it has not been started. */
  readonly expiresAt: number;
}

/**
 * Every n-th start goes to the request that has waited longest and can still meet its objective, regardless of priority and
 * tenant, so that a burst of urgent requests can't starve the others. Given to the request with the nearest deadline instead,
 * these starts leave nearly all of the least urgent ones late (docs/design/scheduling.md).
 */
const STARTS_PER_LONGEST_WAIT = 8;

export class ServiceOrder {
  private readonly tenantUsage: TenantUsage;
  private starts = 0;

  /** @param weightOf - share of the instance that a tenant may use relative to others; see {@link TenantUsage} */
  constructor(weightOf: (tenant: string) => number = () => 1) {
    this.tenantUsage = new TenantUsage(weightOf);
  }

  /** Counts a started request that is expected to occupy the instance for `expectedMs`. */
  recordStart(request: Pick<QueuedRequest, 'tenant'>, expectedMs: number, now: number): void {
    this.starts++;
    this.tenantUsage.add(request.tenant ?? '', expectedMs, now);
    if (this.starts % STARTS_PER_LONGEST_WAIT === 0) this.tenantUsage.removeIdle(now);
  }

  /**
   * Requests in the order in which they are served. Those that can still meet their objective come first, ordered by priority,
   * then by the recent usage of their tenant (least first), then by their latest start. Late ones follow.
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
   * Requests that will time out before they are started because others come first. Refusing them immediately lets their
   * callers use another proxy.
   * @param ranked - requests in the order in which they are served
   * @param spacingMs - expected time between two starts
   */
  displaced<Request extends QueuedRequest>(
    ranked: readonly Request[],
    spacingMs: number,
    now: number,
  ): Request[] {
    return ranked.filter(({ expiresAt }, position) => now + position * spacingMs > expiresAt);
  }
}
