/**
 * Counts the region-restricted routes of a group that a primary in a given zone could serve. Control uses the count to choose
 * among instances that hold every acknowledged commit, so that a primary is not placed where its routes can't use it; it never
 * overrides that condition.
 *
 * Only routes are counted: unrestricted ones can be served from any zone, and restrictions of tenants apply to single requests.
 */
import type { InstanceEntry } from '../catalog/instance_table.js';
import type { RouteTable } from '../catalog/route_table.js';
import { type AllowedRegions, isWithinAllowedRegions } from './data_residency.js';

/** Inputs for the placement of primaries. */
export interface PrimaryPlacement {
  /** Newest document; its table is undefined before the first one is received. */
  readonly document: { readonly table: RouteTable | undefined };
  /** Region of each zone named in the settings. */
  readonly regionByZone: ReadonlyMap<string, string>;
}

/** Restricted routes of each group, cached per document since control checks all groups many times a second. */
const restrictedRoutesByTable = new WeakMap<
  RouteTable,
  ReadonlyMap<string, readonly AllowedRegions[]>
>();

function restrictedRoutesOf(table: RouteTable): ReadonlyMap<string, readonly AllowedRegions[]> {
  const known = restrictedRoutesByTable.get(table);
  if (known) return known;
  const restrictedRoutes = new Map<string, AllowedRegions[]>();
  for (const { group, allowedRegions } of table.routeByDatabase.values()) {
    if (allowedRegions)
      restrictedRoutes.set(group, [...(restrictedRoutes.get(group) ?? []), allowedRegions]);
  }
  restrictedRoutesByTable.set(table, restrictedRoutes);
  return restrictedRoutes;
}

/** Number of restricted routes of its group that an instance could serve as the primary. */
export function countServableRoutes(
  instance: InstanceEntry | undefined,
  { document: { table }, regionByZone }: PrimaryPlacement,
): number {
  const restrictedRoutes = table && restrictedRoutesOf(table).get(instance?.group ?? '');
  if (!restrictedRoutes) return 0;
  return restrictedRoutes.filter((regions) =>
    isWithinAllowedRegions(regions, instance?.zone ?? '', regionByZone),
  ).length;
}
