/**
 * Computes the retry delay that is sent to a refused caller. Callers that retry too early load instances and control machines
 * that can't serve them yet; callers that retry too late miss their deadline.
 *
 * The cause of the refusal decides if it implies a delay: until the tenant's limit recovers, until instances are placed
 * elsewhere, until a cold instance has capacity again, or until control answers. Otherwise the state of the group's primary
 * decides. Pure: no I/O, no clock.
 */
import { type RefusalCause, isSlowStartCause } from './refusal_cause.js';

/** For requests that another proxy or a shorter queue may serve immediately; independent of the queue length. */
const SHORT_RETRY_MS = 50;
/** For requests that need an answer of control first (lease, configuration, grant); about the duration of an election. */
const CONTROL_RETRY_MS = 300;
/** For requests that need a newer document, another primary or a new instance; control retries a change after a second. */
const PLACEMENT_RETRY_MS = 1000;
/** For requests to a cold instance, whose rate is counted in a sliding window of 1.1 s. */
const SLOW_START_RETRY_MS = 400;
/** Expected duration of a change of primary. */
export const EXPECTED_PRIMARY_CHANGE_MS = 800;
/** Retries of a tenant over its limit are spread randomly over this multiple of the wait. */
const RETRY_JITTER_FACTOR = 1.5;

/** State of a group's primary as seen by this proxy. */
export interface PrimaryStatus {
  /** How long a change of primary has been in progress; undefined if there is none. */
  readonly changeAgeMs: number | undefined;
  /** Whether this proxy holds a lease on the primary. */
  readonly hasTrustedPrimary: boolean;
}

/**
 * Delay after which a caller should retry, in milliseconds.
 * @param primaryStatus - omitted if no group is known
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
    case 'shuttingDown':
    case 'isolated':
      return SHORT_RETRY_MS;
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
 * Delay after which a caller of a tenant over its limit should retry, in milliseconds.
 * @param waitMs - time until the leader may grant an operation again
 * @param random - random number from 0 to 1 that spreads the retries
 */
export function overLimitRetryMs(waitMs: number, random: number): number {
  return Math.ceil(waitMs * (1 + RETRY_JITTER_FACTOR * random));
}
