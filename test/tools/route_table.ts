/** Route tables for tests. */
import type { Route, RouteTable } from '../../src/appointed/catalog/route_table.js';
import { TenantDirectory } from '../../src/appointed/tenancy/tenant.js';

/** A table with one group, and one route to it for each of the given lists of allowed regions. */
export function tableWithGroup(
  group: string,
  ...allowedRegionsByRoute: readonly Route['allowedRegions'][]
): RouteTable {
  const routes = allowedRegionsByRoute.map((allowedRegions, index): Route => {
    const name = `r${index}`;
    const policy = { kind: 'primary' } as const;
    const times = { timeoutMs: 800, targetLatencyMs: 150, priority: 1 };
    return {
      name,
      database: name,
      group,
      policy,
      ...times,
      isPublic: true,
      allowedRegions: allowedRegions,
    };
  });
  return {
    version: 1,
    routeByDatabase: new Map(routes.map((route) => [route.database, route])),
    limitsByGroup: new Map([[group, { group, connectionLimit: 30 }]]),
    transactionIdleMs: 0,
    tenants: new TenantDirectory([]),
  };
}

/** A table with several groups and no routes. */
export function tableWithGroups(groups: readonly string[]): RouteTable {
  const limits = groups.map((group) => [group, { group, connectionLimit: 30 }] as const);
  return { ...tableWithGroup(''), limitsByGroup: new Map(limits) };
}
