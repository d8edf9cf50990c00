/** Order in which instances are tried for a read. */
import type { Position } from '../../positions/position.js';
import type { InstanceLoad } from '../connections/instance_load.js';

/** An instance that may serve a read. */
export interface ReadCandidate {
  readonly id: string;
  readonly zone: string;
  readonly load: InstanceLoad;
  readonly isPrimary: boolean;
}

/** Reads on a primary compete with writes, so that a replica of another zone is preferred. */
const PRIMARY_FACTOR = 6;
/** Traffic to another zone costs latency and bytes. */
const OTHER_ZONE_FACTOR = 4;
const UNAVAILABLE_FACTOR = 1000;
/** An instance that fails all requests costs this many times as much; one that fails a part, a part of it. */
const FAILING_FACTOR = 30;

/** Circumstances of one read. */
export interface ReadContext {
  readonly zone: string;
  readonly now: number;
  /** Position that a replica must have applied. */
  readonly after: Position | undefined;
}

function cost(candidate: ReadCandidate, context: ReadContext): number {
  const { load } = candidate;
  let result = load.latency * (load.outstanding + 1);
  result *= 1 + FAILING_FACTOR * load.failingFraction(context.now);
  if (candidate.isPrimary) result *= PRIMARY_FACTOR;
  if (candidate.zone !== context.zone) result *= OTHER_ZONE_FACTOR;
  if (load.isEjected(context.now)) result *= UNAVAILABLE_FACTOR;
  return result;
}

/** Whether a replica lacked the wanted position a moment ago: it would only say so again. */
function isKnownBehind(candidate: ReadCandidate, context: ReadContext): boolean {
  if (candidate.isPrimary || !context.after) return false;
  return candidate.load.isBehind(context.after, context.now);
}

/** Candidates that may have the wanted position, cheapest first. */
export function orderCandidates(
  candidates: readonly ReadCandidate[],
  context: ReadContext,
): ReadCandidate[] {
  const weighted = candidates
    .filter((candidate) => !isKnownBehind(candidate, context))
    .map((candidate) => ({ candidate, cost: cost(candidate, context) }));
  weighted.sort((left, right) => left.cost - right.cost);
  return weighted.map(({ candidate }) => candidate);
}
