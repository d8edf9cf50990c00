/**
 * DECISION: how many routes of a group a primary in a zone may serve, by which primaries are placed.
 *
 * Answers: homes of routes, which a primary elsewhere can't serve.
 * Inputs: routes of the newest document, region of each zone.
 * Rule: a route counts when it is bound to no region, or to the zone's. Homes of tenants bind single requests and don't count. The number
 *   decides among instances that provably hold every acknowledged commit, never about the proof (`failover/candidate.ts`).
 * Constants: none. See docs/design/data-residency.md. Tests: test/unit/primary_homes.test.ts. Pure.
 */
import type { InstanceEntry } from '../catalog/instance_table.js';
import type { RouteTable } from '../catalog/route_table.js';
import { isWithinHomes } from './data_residency.js';

/** What places primaries. */
export interface PrimaryPlacement {
  /** Newest document; its table is undefined before the first. */
  readonly document: { readonly table: RouteTable | undefined };
  /** Region of each zone that the settings name. */
  readonly regionByZone: ReadonlyMap<string, string>;
}

/** Number of routes of its group that an instance may serve as the primary. */
export function servedRoutes(
  instance: InstanceEntry | undefined,
  { document, regionByZone }: PrimaryPlacement,
): number {
  const routes = [...(document.table?.routeByDatabase.values() ?? [])];
  const zone = instance?.zone ?? '';
  return routes.filter(
    ({ group, homes }) => group === instance?.group && isWithinHomes(homes, zone, regionByZone),
  ).length;
}
