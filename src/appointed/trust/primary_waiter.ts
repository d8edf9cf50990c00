/**
 * Waits until the primary of a group is under a usable lease. The longest wait is decided in
 * `routing/request_deadline.ts`; without control and replicas no lease is extended and the wait ends by that deadline.
 */
import { delay } from '../../runtime/runtime.js';
import { isPrimaryBlockedByEvacuation } from '../routing/evacuated_primary.js';
import { primaryChangeAgeMs } from '../routing/refusal.js';
import type { RequestDeadline } from '../routing/request_deadline.js';
import {
  allowedRegionsOf,
  isExcludedByAllowedRegions,
} from '../routing/request_allowed_regions.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import { type Target, primaryWithinRegions } from '../routing/target_planner.js';
import type { Tenant } from '../tenancy/tenant.js';

/**
 * The leased primary; undefined when the request's wait is over, its allowed regions exclude any primary, or the primary's
 * zone is evacuated.
 */
export async function awaitPrimary(
  context: ProxyContext,
  deadline: RequestDeadline,
  tenant: Tenant,
): Promise<Target | undefined> {
  const { group } = deadline.route;
  for (;;) {
    const allowedRegions = allowedRegionsOf(context, deadline.route, tenant);
    const target = primaryWithinRegions(context, group, allowedRegions);
    context.leaseConfirmer.recordPrimaryNeeded(group);
    if (target) return target;
    if (isExcludedByAllowedRegions(context, group, allowedRegions)) return undefined;
    if (isPrimaryBlockedByEvacuation(context, group)) return undefined;
    const waitMs = deadline.primaryWaitMs(primaryChangeAgeMs(context, group));
    if (waitMs <= 0) return undefined;
    await Promise.race([context.leases.nextExtension(), delay(context.clock, waitMs)]);
  }
}
