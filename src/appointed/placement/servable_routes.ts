/**
 * DECISION: how many bound routes of a group a primary in a zone may serve, by which primaries are placed.
 *
 * Answers: homes of routes, which a primary elsewhere can't serve.
 * Inputs: routes of the newest document, region of each zone.
 * Rule: a route counts when it is bound to the region of the zone; one that is bound to none may be served by all alike. Homes of tenants
 *   bind single requests and don't count. The number decides among instances that provably hold every acknowledged commit, never about the proof (`failover/candidate.ts`).
 * Constants: none. See docs/design/data-residency.md. Tests: test/unit/primary_homes.test.ts. Pure.
 */
import type { InstanceEntry } from '../catalog/instance_table.js';
import type { RouteTable } from '../catalog/route_table.js';
import { type AllowedRegions, isWithinAllowedRegions } from './data_residency.js';

/** What places primaries. */
export interface PrimaryPlacement {
  /** Newest document; its table is undefined before the first. */
  readonly document: { readonly table: RouteTable | undefined };
  /** Region of each zone that the settings name. */
  readonly regionByZone: ReadonlyMap<string, string>;
}

/** Homes of the bound routes of each group, by document: control looks at all groups many times a second. */
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

/** Number of bound routes of its group that an instance may serve as the primary. */
export function countServableRoutes(
  instance: InstanceEntry | undefined,
  { document: { table }, regionByZone }: PrimaryPlacement,
): number {
  const restrictedRoutes = table && restrictedRoutesOf(table).get(instance?.group ?? '');
  if (!restrictedRoutes) return 0;
  return restrictedRoutes.filter((homes) =>
    isWithinAllowedRegions(homes, instance?.zone ?? '', regionByZone),
  ).length;
}
