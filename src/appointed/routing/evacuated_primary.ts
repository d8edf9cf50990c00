/**
 * Refuses requests at once that only a primary in an evacuated zone could run, instead of letting them wait until they time
 * out. Uses the leases and instances in the proxy's memory; no I/O.
 */
import type { ProxyContext } from '../proxy/proxy_context.js';
import { primaryChangeAgeMs } from './refusal.js';
import type { RefusalCause } from './refusal_cause.js';
import { EXPECTED_PRIMARY_CHANGE_MS } from './retry_after.js';

/**
 * Whether the primary of a group is in a zone to which nothing is sent, and no change of primary is in progress that is
 * expected to end soon. A request that waited for the primary would time out.
 */
export function isPrimaryBlockedByEvacuation(context: ProxyContext, group: string): boolean {
  const primary = context.leases.entryOf(group)?.primary ?? '';
  if (context.instances.evacuationStageOf(primary) !== 'closed') return false;
  const ageMs = primaryChangeAgeMs(context, group);
  return ageMs === undefined || ageMs > EXPECTED_PRIMARY_CHANGE_MS;
}

/**
 * Cause of a refusal because no primary was available.
 * @param fallback - cause when an evacuation is not the reason
 */
export function noPrimaryCause(
  context: ProxyContext,
  group: string,
  fallback: RefusalCause,
): RefusalCause {
  return isPrimaryBlockedByEvacuation(context, group) ? { kind: 'primaryEvacuated' } : fallback;
}
