/**
 * Plans which instances may run a statement, and in which order they are tried.
 *
 * A write runs on the trusted primary only. A read runs on any replica that has applied its minimum position
 * (minimum_position.ts), ordered by replica_selector.ts together with the trusted primary; without a minimum position only the
 * primary may serve it. Instances outside the request's allowed regions (request_allowed_regions.ts) and in evacuated zones are
 * left out. A primary in an evacuated zone is used until the zone is closed, for a read only if nothing else is left.
 */
import { type Position, latest } from '../../positions/position.js';
import type { ConnectionSource } from '../connections/connection_source.js';
import { orderReadCandidates } from './replica_selector.js';
import { allowedRegionsOf, isInstanceAllowed } from './request_allowed_regions.js';
import type { Route } from '../catalog/route_table.js';
import type { AllowedRegions } from '../placement/data_residency.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { Tenant } from '../tenancy/tenant.js';

/** Subtracted from the staleness bound to allow for clock drift and for answers that were read late. */
const STALENESS_MARGIN_MS = 100;

/** An instance that may run a statement. */
export interface Target {
  /** Identifier of the instance. */
  readonly instance: string;
  /** Where connections to it come from. */
  readonly pool: ConnectionSource;
  /** Group of the instance. */
  readonly group: string;
  /** Epoch under which the instance is used as the primary; undefined for a replica. */
  readonly primaryEpoch?: number;
  /** Position that a replica must have applied. */
  readonly minimumPosition?: Position;
  /** Regions that the statement may reach, which includes the connection owner that relays it. */
  readonly allowedRegions?: AllowedRegions;
}

/** Parameters of a read plan. */
export interface ReadPlanRequest {
  /** Route whose policy sets the required freshness. */
  readonly route: Route;
  /** Tenant of the caller, which may restrict the allowed regions further. */
  readonly tenant: Tenant;
  /** When the first byte of the read, or of its transaction, was received. */
  readonly firstByteAt: number;
  /** Position of the session's newest commit in the route's group. */
  readonly ownPosition: Position | undefined;
}

/** The trusted primary of a group, unless its zone is closed by an evacuation. */
function primaryTarget(context: ProxyContext, group: string): Target | undefined {
  const primary = context.leases.primaryOf(group, context.clock.now());
  const pool = primary && context.instances.connectionsTo(primary.instance);
  if (!primary || !pool) return undefined;
  if (context.instances.evacuationStageOf(primary.instance) === 'closed') return undefined;
  return { instance: primary.instance, pool, group, primaryEpoch: primary.epoch };
}

/** The trusted primary, if it is in the allowed regions. */
export function primaryWithinRegions(
  context: ProxyContext,
  group: string,
  allowedRegions: AllowedRegions,
): Target | undefined {
  const primary = primaryTarget(context, group);
  if (!primary || allowedRegions === undefined) return primary;
  return isInstanceAllowed(context, allowedRegions, primary.instance)
    ? { ...primary, allowedRegions }
    : undefined;
}

/** Whether answers of a target may be used: always for a replica, only under the lease for a primary. */
export function isTargetTrusted(context: ProxyContext, target: Target): boolean {
  const { primaryEpoch, group } = target;
  if (primaryEpoch === undefined) return true;
  return context.leases.accepts(group, primaryEpoch, context.clock.now());
}

/** Position that a replica must have applied for a read; undefined if only the primary may serve it. */
function minimumReadPosition(
  context: ProxyContext,
  request: ReadPlanRequest,
): Position | undefined {
  const { policy, group } = request.route;
  if (policy.kind === 'primary') return undefined;
  context.positions.recordReplicaRead(group);
  const sentSince = request.firstByteAt - policy.maximumStalenessMs + STALENESS_MARGIN_MS;
  const minimum = context.positions.minimumPositionOf(group).oldestSentSince(sentSince);
  if (!minimum || policy.kind === 'boundedStaleness' || !request.ownPosition) return minimum;
  return latest(minimum, request.ownPosition);
}

/** Targets of a read that were not tried yet, in the order in which they should be tried. */
export function planRead(
  context: ProxyContext,
  request: ReadPlanRequest,
  triedInstances: ReadonlySet<string>,
): Target[] {
  const { group } = request.route;
  const allowedRegions = allowedRegionsOf(context, request.route, request.tenant);
  const primary = primaryWithinRegions(context, group, allowedRegions);
  const minimumPosition = minimumReadPosition(context, request);
  if (!minimumPosition) {
    context.leaseConfirmer.recordPrimaryNeeded(group);
    return primary && !triedInstances.has(primary.instance) ? [primary] : [];
  }
  const primaryInstance = context.leases.entryOf(group)?.primary;
  const candidates = context.instances
    .readCandidates(group)
    .filter(
      (candidate) =>
        !triedInstances.has(candidate.id) &&
        isInstanceAllowed(context, allowedRegions, candidate.id),
    )
    .filter((candidate) => candidate.id !== primaryInstance || primary !== undefined);
  const ordered = orderReadCandidates(candidates, {
    zone: context.zone,
    now: context.clock.now(),
    minimumPosition,
  });
  const targets: Target[] = [];
  for (const { id } of ordered) {
    if (id === primary?.instance) {
      targets.push(primary);
      continue;
    }
    const pool = context.instances.connectionsTo(id);
    if (pool) targets.push({ instance: id, pool, group, minimumPosition, allowedRegions });
  }
  const isPrimaryListed = targets.some((target) => target.primaryEpoch !== undefined);
  if (!primary || isPrimaryListed || triedInstances.has(primary.instance)) return targets;
  const isEvacuated = context.instances.evacuationStageOf(primary.instance) !== undefined;
  if (!isEvacuated || targets.length === 0) targets.push(primary);
  return targets;
}
