/**
 * When a refused caller is told to come back.
 *
 * Situation: callers that were refused come back. Too early, they load instances and control machines that can't serve
 * them yet; too late, their deadline has passed.
 * Inputs: the cause of the refusal; the situation of the group that the request is for (ages in milliseconds).
 * Rule: a cause that names its own time decides. Where homes leave no instance, the time told is a long one; a cold instance has room again in a part of a second. Where control must be reached first, the time of an election is told.
 * Otherwise the group decides: the rest of a change of primary, a short time while a primary is trusted, the time of an
 * election while this proxy has no lease.
 * Relies on nothing: pure functions.
 */
import { type RefusalCause, isSlowStartCause } from './refusal_cause.js';

/**
 * The request may be served at once, by another proxy or after a short queue; milliseconds. Guess, not measured;
 * docs/design/scheduling.md names that it does not follow the queue.
 */
const SHORT_RETRY_MS = 50;
/**
 * Control must be reached first: for a lease, a configuration, a confirmation or a grant; milliseconds. About the time of
 * an election. Guess, not measured (docs/design/quota.md tells that it is used for grants).
 */
const CONTROL_RETRY_MS = 300;
/**
 * Only a newer document, another primary or a new instance helps, or control must try a change again after a second, in
 * milliseconds: callers that come back sooner are refused again. Guess, not measured.
 */
const PLACEMENT_RETRY_MS = 1000;
/** A cold instance may be sent more after a part of its window of 1.1 s, in milliseconds. Guess, not measured. */
const SLOW_START_RETRY_MS = 400;
/** Usual duration of a change of primary, in milliseconds. Guess, not measured. */
export const EXPECTED_PRIMARY_CHANGE_MS = 800;
/**
 * Callers of a tenant over its limit come back spread over this many times the wait, not all at once; without unit.
 * Guess, not measured.
 */
const RETRY_JITTER_FACTOR = 1.5;

/** What decides when callers of a group should come back. */
export interface PrimaryStatus {
  /** How long the change of primary has been under way, in milliseconds; undefined when there is none. */
  readonly changeAgeMs: number | undefined;
  /** Whether this proxy trusts a primary now. */
  readonly hasTrustedPrimary: boolean;
}

/**
 * Time after which a caller should come back, in milliseconds.
 * @param situation - left out where nothing is known of a group
 */
export function retryAfterMs(cause: RefusalCause, primaryStatus?: PrimaryStatus): number {
  if (isSlowStartCause(cause)) return SLOW_START_RETRY_MS;
  switch (cause.kind) {
    case 'tenantOverLimit':
      return cause.retryAfterMs;
    case 'outsideHomes':
    case 'primaryEvacuated':
      return PLACEMENT_RETRY_MS;
    case 'noGrant':
    case 'credentialUnproven':
    case 'noConfiguration':
      return CONTROL_RETRY_MS;
    default:
      return primaryStatus ? groupRetryMs(primaryStatus) : CONTROL_RETRY_MS;
  }
}

function groupRetryMs({ changeAgeMs, hasTrustedPrimary }: PrimaryStatus): number {
  if (changeAgeMs !== undefined)
    return Math.max(SHORT_RETRY_MS, EXPECTED_PRIMARY_CHANGE_MS - changeAgeMs);
  return hasTrustedPrimary ? SHORT_RETRY_MS : CONTROL_RETRY_MS;
}

/**
 * Time told to a caller of a tenant that is over its limit, in milliseconds.
 * @param waitMs - time until the leader may have an operation again
 * @param drawn - a random number from 0 to 1, so that callers come back at different times
 */
export function overLimitRetryMs(waitMs: number, random: number): number {
  return Math.ceil(waitMs * (1 + RETRY_JITTER_FACTOR * random));
}
