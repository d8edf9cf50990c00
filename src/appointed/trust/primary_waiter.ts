/**
 * Waits for a primary under a lease; how long is decided in `routing/request_deadline.ts`. Owns nothing; relies on control or
 * replicas to extend the lease, which may not happen: the wait then ends by the request's deadline.
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

/** The leased primary; undefined when the request may not wait longer for one, or its homes make that vain. */
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
