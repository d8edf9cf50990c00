/**
 * Requests that only a primary in an evacuated zone could run.
 *
 * Owns: when such a request is refused at once instead of waiting for a primary. Relies on the leases and the instances of the
 * proxy, which answer from memory.
 */
import type { ProxyContext } from '../proxy/proxy_context.js';
import { primaryChangeAgeMs } from './refusal.js';
import type { RefusalCause } from './refusal_cause.js';
import { EXPECTED_PRIMARY_CHANGE_MS } from './retry_after.js';

/**
 * Whether the primary of a group is in a zone to which nothing is sent, and no change that should end soon is under way: a
 * wait would be in vain.
 */
export function isPrimaryBlockedByEvacuation(context: ProxyContext, group: string): boolean {
  const primary = context.leases.entryOf(group)?.primary ?? '';
  if (context.instances.evacuationStageOf(primary) !== 'closed') return false;
  const ageMs = primaryChangeAgeMs(context, group);
  return ageMs === undefined || ageMs > EXPECTED_PRIMARY_CHANGE_MS;
}

/** Cause of a refusal for want of a primary: the evacuation where it is to blame, another one otherwise. */
export function noPrimaryCause(
  context: ProxyContext,
  group: string,
  fallback: RefusalCause,
): RefusalCause {
  return isPrimaryBlockedByEvacuation(context, group) ? { kind: 'primaryEvacuated' } : fallback;
}
