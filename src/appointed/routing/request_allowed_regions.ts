/**
 * Applies the allowed regions of a request's route and tenant at the proxy: which instances may run the request, and whether
 * it is refused because none may. The rule itself is in placement/data_residency.ts.
 *
 * Uses the newest routing document, so that a changed document also applies to open sessions and transactions. If it no longer
 * contains the route or the tenant, those under which the request was admitted apply.
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

/** Regions in which a request may run under the newest document. */
export function allowedRegionsOf(
  { table }: ProxyContext,
  route: Route,
  tenant: Tenant,
): AllowedRegions {
  const currentRoute = table?.routeByDatabase.get(route.database) ?? route;
  const currentTenant = table?.tenants.findByName(tenant.name) ?? tenant;
  return intersectAllowedRegions(currentRoute.allowedRegions, currentTenant.allowedRegions);
}

/** Whether an instance is in the allowed regions. */
export function isInstanceAllowed(
  context: ProxyContext,
  regions: AllowedRegions,
  instance: string,
): boolean {
  if (regions === undefined) return true;
  return isWithinAllowedRegions(regions, context.instances.zoneOf(instance), context.regionByZone);
}

/** Whether the currently trusted primary is outside the allowed regions; false if there is none. */
function isPrimaryOutside(context: ProxyContext, group: string, regions: AllowedRegions): boolean {
  if (regions === undefined) return false;
  const primary = context.leases.primaryOf(group, context.clock.now());
  return primary !== undefined && !isInstanceAllowed(context, regions, primary.instance);
}

/** Whether any instance of a group that accepts new work is in the allowed regions, including cold ones. */
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
 * Whether waiting for a primary can't help: the trusted one is outside the allowed regions, or no instance is in them. While no
 * primary is trusted, the next one may be in an allowed region.
 */
export function isExcludedByAllowedRegions(
  context: ProxyContext,
  group: string,
  regions: AllowedRegions,
): boolean {
  return isPrimaryOutside(context, group, regions) || !hasAllowedInstance(context, group, regions);
}

/**
 * Waits one backoff interval for a position of a primary outside the allowed regions. Replicas in these regions can't serve a
 * read before a minimum position is known.
 * @returns whether the read should be planned again
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

/**
 * Cause of a refusal because no instance was available.
 * @param fallback - cause when the allowed regions are not the reason
 */
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
