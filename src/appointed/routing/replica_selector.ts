/**
 * Orders the instances that may serve a read by estimated cost, cheapest first.
 *
 * The cost is latency × (outstanding statements + 1) × the dimensionless factors below, which make slow, failing, remote and
 * cold instances and the primary more expensive. Replicas that recently lacked the required position are left out. Pure: no
 * I/O, no clock.
 */
import type { Position } from '../../positions/position.js';
import type { InstanceLoad } from '../connections/instance_load.js';

/** An instance that may serve a read. */
export interface ReadCandidate {
  readonly id: string;
  /** Zone of the instance. */
  readonly zone: string;
  /** Load and failures of the instance as observed by this proxy. */
  readonly load: InstanceLoad;
  /** Whether it is the primary of its group. */
  readonly isPrimary: boolean;
  /** Whether it is in slow start and accepts only a limited rate of requests. */
  readonly isCold?: boolean;
}

/** Reads on a primary compete with its writes, so a replica in another zone is preferred. */
const PRIMARY_COST_FACTOR = 6;
/** Requests to another zone add latency and cross-zone traffic. */
const OTHER_ZONE_COST_FACTOR = 4;
/** Orders a cold instance after all warm ones that are not ejected. */
const COLD_COST_FACTOR = 500;
/** Orders an instance last that is ejected after a lost connection or a timeout. */
const EJECTED_COST_FACTOR = 1000;
/** The cost is multiplied by 1 + this factor × the fraction of failed requests. */
const FAILURE_COST_FACTOR = 30;

/** Parameters of one read. */
export interface ReadContext {
  /** Zone of this proxy. */
  readonly zone: string;
  /** Current time on the clock of this process, in milliseconds. */
  readonly now: number;
  /** Position that a replica must have applied. */
  readonly minimumPosition: Position | undefined;
}

function costOf(candidate: ReadCandidate, context: ReadContext): number {
  const { load } = candidate;
  let result = load.latencyMs * (load.outstanding + 1);
  result *= 1 + FAILURE_COST_FACTOR * load.failureFraction(context.now);
  if (candidate.isPrimary) result *= PRIMARY_COST_FACTOR;
  if (candidate.zone !== context.zone) result *= OTHER_ZONE_COST_FACTOR;
  if (candidate.isCold) result *= COLD_COST_FACTOR;
  if (load.isEjected(context.now)) result *= EJECTED_COST_FACTOR;
  return result;
}

/** Whether a replica recently lacked the required position and would probably refuse the read again. */
function isKnownBehind(candidate: ReadCandidate, context: ReadContext): boolean {
  if (candidate.isPrimary || !context.minimumPosition) return false;
  return candidate.load.isBehind(context.minimumPosition, context.now);
}

/** Candidates that may have the required position, cheapest first. */
export function orderReadCandidates(
  candidates: readonly ReadCandidate[],
  context: ReadContext,
): ReadCandidate[] {
  const candidatesWithCost = candidates
    .filter((candidate) => !isKnownBehind(candidate, context))
    .map((candidate) => ({ candidate, cost: costOf(candidate, context) }));
  candidatesWithCost.sort((left, right) => left.cost - right.cost);
  return candidatesWithCost.map(({ candidate }) => candidate);
}
