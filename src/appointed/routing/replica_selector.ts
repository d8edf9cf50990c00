/**
 * Order in which instances are tried for a read.
 *
 * Situation: several instances could serve a read; some are slow, failing, far away, or needed for writes.
 * Inputs: for each instance its zone, whether it is the primary, and what this proxy saw of it: smoothed latency in
 * milliseconds, statements under way, fraction of recent answers that failed (0 to 1), whether it is avoided now.
 * Rule: the cheapest first; cost = latency × (statements under way + 1) × the factors below. Replicas that lacked the wanted
 * position a moment ago are left out. The factors have no unit; no ablation of them was played
 * (docs/measurements/pieraksts.md, "Ablation").
 * Relies on nothing: a pure function.
 */
import type { Position } from '../../positions/position.js';
import type { InstanceLoad } from '../connections/instance_load.js';

/** An instance that may serve a read. */
export interface ReadCandidate {
  readonly id: string;
  /** Zone of the instance. */
  readonly zone: string;
  /** What this proxy saw of the instance. */
  readonly load: InstanceLoad;
  /** Whether it leads its group. */
  readonly isPrimary: boolean;
  /** Whether it warms up, so that it may get few requests only. */
  readonly isCold?: boolean;
}

/**
 * Reads on a primary compete with its writes, so a replica of another zone is preferred. Guess, not measured by itself: set
 * in the round "reads stay in their zone more" (docs/measurements/platform.md).
 */
const PRIMARY_COST_FACTOR = 6;
/** Traffic to another zone costs latency and bytes. Guess, not measured by itself: set in the same round. */
const OTHER_ZONE_COST_FACTOR = 4;
/** A cold instance comes after all warm ones that are not avoided. Guess, not measured. */
const COLD_COST_FACTOR = 500;
/** An instance that is avoided after a broken connection or a missing answer comes last. Guess, not measured. */
const EJECTED_COST_FACTOR = 1000;
/**
 * An instance that fails all requests costs 1 + this many times as much; one that fails a fraction of them, that fraction of
 * it. Guess, not measured.
 */
const FAILURE_COST_FACTOR = 30;

/** Circumstances of one read. */
export interface ReadContext {
  /** Zone of this proxy. */
  readonly zone: string;
  /** Time on the clock of this process, in milliseconds. */
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

/** Whether a replica lacked the wanted position a moment ago: asked now it would most likely refuse again. */
function isKnownBehind(candidate: ReadCandidate, context: ReadContext): boolean {
  if (candidate.isPrimary || !context.minimumPosition) return false;
  return candidate.load.isBehind(context.minimumPosition, context.now);
}

/** Candidates that may have the wanted position, cheapest first. */
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
