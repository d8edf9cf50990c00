/**
 * The homes of a request at its proxy: which regions bind it now, which instances they leave, and why it is refused when they leave
 * none. The rule itself is in placement/data_residency.ts.
 *
 * Owns nothing. Relies on the document in force: a newer one binds open sessions and transactions too. Where it does not have
 * the route or the tenant any more, those with which the request was admitted count.
 */
import type { Route } from '../catalog/route_table.js';
import {
  type AllowedRegions,
  intersectAllowedRegions,
  isWithinAllowedRegions,
} from '../placement/data_residency.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { Tenant } from '../tenancy/tenant.js';
import type { RefusalCause } from './refusal_cause.js';
import type { RequestDeadline } from './request_deadline.js';
import type { RetryBackoff } from './retry_backoff.js';

/** Regions to which a request is bound now. */
export function allowedRegionsOf(
  { table }: ProxyContext,
  route: Route,
  tenant: Tenant,
): AllowedRegions {
  const currentRoute = table?.routeByDatabase.get(route.database) ?? route;
  const currentTenant = table?.tenants.findByName(tenant.name) ?? tenant;
  return intersectAllowedRegions(currentRoute.allowedRegions, currentTenant.allowedRegions);
}

/** Whether an instance may run a request with these homes. */
export function isInstanceAllowed(
  context: ProxyContext,
  regions: AllowedRegions,
  instance: string,
): boolean {
  if (regions === undefined) return true;
  return isWithinAllowedRegions(regions, context.instances.zoneOf(instance), context.regionByZone);
}

/** Whether homes keep a request from the primary that is trusted now; false where none is. */
function isPrimaryOutside(context: ProxyContext, group: string, regions: AllowedRegions): boolean {
  if (regions === undefined) return false;
  const primary = context.leases.primaryOf(group, context.clock.now());
  return primary !== undefined && !isInstanceAllowed(context, regions, primary.instance);
}

/** Whether homes leave any instance of a group that takes new work; a cold one may have room for it in a moment. */
function hasAllowedInstance(
  context: ProxyContext,
  group: string,
  regions: AllowedRegions,
): boolean {
  if (regions === undefined) return true;
  return context.instances
    .instancesAcceptingWork(group)
    .some((id) => isInstanceAllowed(context, regions, id));
}

/**
 * Whether it is in vain to wait for a primary: the trusted one is outside the homes, or no instance is within them. While none is
 * trusted, the next one may be within.
 */
export function isExcludedByAllowedRegions(
  context: ProxyContext,
  group: string,
  regions: AllowedRegions,
): boolean {
  return isPrimaryOutside(context, group, regions) || !hasAllowedInstance(context, group, regions);
}

/**
 * Waits a moment for a position of a primary outside the homes, without which no replica within them may serve a read. Resolves with
 * whether the read may be planned anew.
 */
export async function awaitPrimaryPosition(
  context: ProxyContext,
  deadline: RequestDeadline,
  tenant: Tenant,
  backoff: RetryBackoff,
): Promise<boolean> {
  const { route } = deadline;
  const regions = allowedRegionsOf(context, route, tenant);
  const canPositionHelp =
    route.policy.kind !== 'primary' &&
    isPrimaryOutside(context, route.group, regions) &&
    hasAllowedInstance(context, route.group, regions);
  if (!canPositionHelp || !deadline.allowsRetry(false)) return false;
  await backoff.wait();
  return true;
}

/** Why there was no instance for a request, with another cause where homes did not decide. */
export function noInstanceCause(
  context: ProxyContext,
  route: Route,
  tenant: Tenant,
  fallback: RefusalCause,
): RefusalCause {
  const isExcluded = isExcludedByAllowedRegions(
    context,
    route.group,
    allowedRegionsOf(context, route, tenant),
  );
  return isExcluded ? { kind: 'outsideHomes' } : fallback;
}
