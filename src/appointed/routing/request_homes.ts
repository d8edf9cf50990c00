/**
 * The homes of a request at its proxy: which regions bind it now, which instances they leave, and why it is refused when they leave
 * none. The rule itself is in placement/data_residency.ts.
 *
 * Owns nothing. Relies on the document in force: a newer one binds open sessions and transactions too. Where it does not have
 * the route or the tenant any more, those with which the request was admitted count.
 */
import type { Route } from '../catalog/route_table.js';
import { type Homes, commonHomes, isWithinHomes } from '../placement/data_residency.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { Tenant } from '../tenancy/tenant.js';
import type { RefusalCause } from './refusal_cause.js';
import type { RequestDeadline } from './request_deadline.js';
import type { RetryPause } from './retry_pause.js';

/** Regions to which a request is bound now. */
export function homesOf({ table }: ProxyContext, route: Route, tenant: Tenant): Homes {
  const routeInForce = table?.routeByDatabase.get(route.database) ?? route;
  const tenantInForce = table?.tenants.named(tenant.name) ?? tenant;
  return commonHomes(routeInForce.allowedRegions, tenantInForce.homes);
}

/** Whether an instance may run a request with these homes. */
export function mayServe(context: ProxyContext, homes: Homes, instance: string): boolean {
  if (homes === undefined) return true;
  return isWithinHomes(homes, context.instances.zoneOf(instance), context.regionByZone);
}

/** Whether homes keep a request from the primary that is trusted now; false where none is. */
function isPrimaryOutside(context: ProxyContext, group: string, homes: Homes): boolean {
  if (homes === undefined) return false;
  const primary = context.leases.primaryOf(group, context.clock.now());
  return primary !== undefined && !mayServe(context, homes, primary.instance);
}

/** Whether homes leave any instance of a group that takes new work; a cold one may have room for it in a moment. */
function leavesInstance(context: ProxyContext, group: string, homes: Homes): boolean {
  if (homes === undefined) return true;
  return context.instances.takingNewWork(group).some((id) => mayServe(context, homes, id));
}

/**
 * Whether it is in vain to wait for a primary: the trusted one is outside the homes, or no instance is within them. While none is
 * trusted, the next one may be within.
 */
export function isWaitInVain(context: ProxyContext, group: string, homes: Homes): boolean {
  return isPrimaryOutside(context, group, homes) || !leavesInstance(context, group, homes);
}

/**
 * Waits a moment for a position of a primary outside the homes, without which no replica within them may serve a read. Resolves with
 * whether the read may be planned anew.
 */
export async function awaitFloorWithin(
  context: ProxyContext,
  deadline: RequestDeadline,
  tenant: Tenant,
  pause: RetryPause,
): Promise<boolean> {
  const { route } = deadline;
  const homes = homesOf(context, route, tenant);
  const isHelpful =
    route.policy.kind !== 'primary' &&
    isPrimaryOutside(context, route.group, homes) &&
    leavesInstance(context, route.group, homes);
  if (!isHelpful || !deadline.allowsRetry(false)) return false;
  await pause.wait();
  return true;
}

/** Why there was no instance for a request, with another cause where homes did not decide. */
export function causeWithoutInstance(
  context: ProxyContext,
  route: Route,
  tenant: Tenant,
  otherwise: RefusalCause,
): RefusalCause {
  const isByHomes = isWaitInVain(context, route.group, homesOf(context, route, tenant));
  return isByHomes ? { kind: 'outsideHomes' } : otherwise;
}
