/**
 * Which instances may run a statement, and in which order they are tried.
 *
 * Situation: a write may run on the trusted primary only; a read on every instance that its route's policy finds fresh
 * enough.
 * Inputs: the route's policy with its staleness bound in milliseconds, the time when the read or its transaction began, the
 * newest commit of the session, the instances that were tried already.
 * Homes of the request (request_homes.ts) bind both: an instance outside them is never a target.
 * Rule: a read gets a position floor (position_floor.ts); replicas come in the order of replica_selector.ts, the trusted
 * primary at its place among them, or last. Without a floor only the primary may serve the read. An instance in an evacuated
 * zone is no target; a primary there is one until the zone is closed, for a read only where nothing else is left.
 * Relies on: the lease on the primary (it may have ended: then the primary is no target), positions of the primary (they
 * may be missing or too old: then there is no floor), and the pools (an instance without one is left out).
 */
import { type Position, latest } from '../../positions/position.js';
import type { ConnectionSource } from '../connections/connection_source.js';
import { orderReadCandidates } from './replica_selector.js';
import { allowedRegionsOf, isInstanceAllowed } from './request_allowed_regions.js';
import type { Route } from '../catalog/route_table.js';
import type { AllowedRegions } from '../placement/data_residency.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { Tenant } from '../tenancy/tenant.js';

/**
 * Position floors are taken this much younger than the staleness bound, in milliseconds: for clocks that run at different
 * speeds, and for answers that were read late. Guess, not measured.
 */
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
  /** Regions to which the statement is bound; they bind its way to the instance too. */
  readonly homes?: AllowedRegions;
}

/** A read to be planned. */
export interface ReadPlanRequest {
  /** Route whose policy tells how fresh an instance must be. */
  readonly route: Route;
  /** Tenant of the caller, whose homes bind it too. */
  readonly tenant: Tenant;
  /** When the first byte of the read, or of its transaction, arrived. */
  readonly firstByteAt: number;
  /** Newest commit of the same session. */
  readonly ownPosition: Position | undefined;
}

/** The trusted primary of a group. */
function primaryTarget(context: ProxyContext, group: string): Target | undefined {
  const primary = context.leases.primaryOf(group, context.clock.now());
  const pool = primary && context.instances.connectionsTo(primary.instance);
  if (!primary || !pool) return undefined;
  if (context.instances.evacuationStageOf(primary.instance) === 'closed') return undefined;
  return { instance: primary.instance, pool, group, primaryEpoch: primary.epoch };
}

/** The trusted primary, if a statement with these homes may go there. */
export function primaryWithinRegions(
  context: ProxyContext,
  group: string,
  homes: AllowedRegions,
): Target | undefined {
  const primary = primaryTarget(context, group);
  if (!primary || homes === undefined) return primary;
  return isInstanceAllowed(context, homes, primary.instance) ? { ...primary, homes } : undefined;
}

/** Whether answers of a target count now: those of replicas always, those of a primary under its lease. */
export function isTargetTrusted(context: ProxyContext, target: Target): boolean {
  const { primaryEpoch, group } = target;
  if (primaryEpoch === undefined) return true;
  return context.leases.accepts(group, primaryEpoch, context.clock.now());
}

/** Position that a replica must have applied for a read; undefined when only the primary may serve it. */
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

/** Targets of a read, best first. */
export function planRead(
  context: ProxyContext,
  request: ReadPlanRequest,
  triedInstances: ReadonlySet<string>,
): Target[] {
  const { group } = request.route;
  const homes = allowedRegionsOf(context, request.route, request.tenant);
  const primary = primaryWithinRegions(context, group, homes);
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
        !triedInstances.has(candidate.id) && isInstanceAllowed(context, homes, candidate.id),
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
    if (pool) targets.push({ instance: id, pool, group, minimumPosition, homes });
  }
  const isPrimaryListed = targets.some((target) => target.primaryEpoch !== undefined);
  if (!primary || isPrimaryListed || triedInstances.has(primary.instance)) return targets;
  const isEvacuated = context.instances.evacuationStageOf(primary.instance) !== undefined;
  if (!isEvacuated || targets.length === 0) targets.push(primary);
  return targets;
}
