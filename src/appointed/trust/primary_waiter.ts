/**
 * Waits for a primary under a lease; how long is decided in `routing/request_deadline.ts`. Owns nothing; relies on control or
 * replicas to extend the lease, which may not happen: the wait then ends by the request's deadline.
 */
import { delay } from '../../runtime/runtime.js';
import { isPrimaryEvacuated } from '../routing/evacuated_primary.js';
import { changeAge } from '../routing/refusal.js';
import type { RequestDeadline } from '../routing/request_deadline.js';
import { homesOf, isWaitInVain } from '../routing/request_homes.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import { type Target, primaryWithin } from '../routing/target_planner.js';
import type { Tenant } from '../tenancy/tenant.js';

/** The leased primary; undefined when the request may not wait longer for one, or its homes make that vain. */
export async function awaitPrimary(
  context: ProxyContext,
  deadline: RequestDeadline,
  tenant: Tenant,
): Promise<Target | undefined> {
  const { group } = deadline.route;
  for (;;) {
    const allowedRegions = homesOf(context, deadline.route, tenant);
    const target = primaryWithin(context, group, allowedRegions);
    context.leaseConfirmer.recordPrimaryNeeded(group);
    if (target) return target;
    if (isWaitInVain(context, group, allowedRegions)) return undefined;
    if (isPrimaryEvacuated(context, group)) return undefined;
    const waitMs = deadline.primaryWait(changeAge(context, group));
    if (waitMs <= 0) return undefined;
    await Promise.race([context.leases.nextExtension(), delay(context.clock, waitMs)]);
  }
}
