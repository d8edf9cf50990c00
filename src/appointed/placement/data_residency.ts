/**
 * Data residency: routes and tenants can restrict their requests to regions that the data must not leave.
 *
 * If both the route and the tenant of a request are restricted, only regions allowed by both remain, possibly none. A request
 * may run only on instances in an allowed region, and its body may be passed only to proxies in one. A zone without a
 * configured region is in no region. Pure: no I/O, no clock.
 */

/** Regions in which a request may run; undefined if it is not restricted. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** Regions allowed by both the route and the tenant of a request. */
export function intersectAllowedRegions(
  routeRegions: AllowedRegions,
  tenantRegions: AllowedRegions,
): AllowedRegions {
  if (routeRegions === undefined || tenantRegions === undefined)
    return routeRegions ?? tenantRegions;
  return new Set([...routeRegions].filter((region) => tenantRegions.has(region)));
}

/**
 * Whether the region of a zone is allowed, so that its instances may run the request and its proxies may receive the body.
 * @param zone - undefined if unknown
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
