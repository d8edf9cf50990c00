/**
 * DECISION: where a request that is bound to regions may go.
 *
 * Answers: routes and tenants name regions that data must not leave.
 * Inputs: regions of the route and of the tenant, the zone of an instance or of another proxy, the region of each zone as the
 *   settings tell it.
 * Rule: where both are bound, only regions of both count, which may be none. An instance may run the request, and a proxy other
 *   than the one to which the caller connected may get its body, only in such a region. A zone whose region is not known is in none.
 * Constants: none. See docs/design/data-residency.md. Tests: test/unit/data_residency.test.ts. Pure.
 */

/** Regions to which something is bound; undefined where it is bound to none. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** Homes of a request on a route, of a tenant: both bind. */
export function intersectAllowedRegions(
  routeRegions: AllowedRegions,
  tenantRegions: AllowedRegions,
): AllowedRegions {
  if (routeRegions === undefined || tenantRegions === undefined)
    return routeRegions ?? tenantRegions;
  return new Set([...routeRegions].filter((region) => tenantRegions.has(region)));
}

/**
 * Whether an instance in a zone may run a request with these homes, and another proxy in it may get its body.
 * @param zone - undefined where it is not known
 */
export function isWithinAllowedRegions(
  allowedRegions: AllowedRegions,
  zone: string | undefined,
  regionByZone: ReadonlyMap<string, string>,
): boolean {
  if (allowedRegions === undefined) return true;
  const region = zone === undefined ? undefined : regionByZone.get(zone);
  return region !== undefined && allowedRegions.has(region);
}
