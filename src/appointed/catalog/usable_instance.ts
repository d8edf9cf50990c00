/**
 * Decides which catalog entries describe a usable instance and which heartbeats are stored. This
 * guards against heartbeats that are malformed or come from other software than the configured
 * services, and against entries that an older program stored for them.
 *
 * A usable instance has an id, an address with host and port, a state that this program knows other
 * than GONE, and a service named in the current routing document. Before the first document,
 * heartbeats are stored but not used. After it, heartbeats of unnamed services create no entry, but
 * update a known one. See docs/design/foreign-heartbeats.md. Pure: no I/O, no clock.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { isAddress } from '../../runtime/address.js';
import type { InstanceEntry } from './instance_table.js';
import type { RouteTable } from './route_table.js';

const { InstanceState } = whinyoke;

/** Why an entry does not describe a usable instance. */
type UnusableReason = 'no id' | 'no address' | 'gone' | 'unknown state' | 'service not named';

/** Why an entry does not describe a usable instance; undefined if it does. */
export function unusableReason(
  { id, address, state, group }: InstanceEntry,
  table: RouteTable | undefined,
): UnusableReason | undefined {
  if (!id) return 'no id';
  if (!isAddress(address ?? '')) return 'no address';
  if (state === InstanceState.GONE) return 'gone';
  const isKnownState = (state ?? InstanceState.READY) in InstanceState;
  if (!isKnownState) return 'unknown state';
  return table?.limitsByGroup.has(group ?? '') ? undefined : 'service not named';
}

/** Whether a heartbeat of a service may be stored, given the known entry of its instance. */
export function isHeartbeatExpected(
  service: string,
  known: InstanceEntry | undefined,
  table: RouteTable | undefined,
): boolean {
  return !table || table.limitsByGroup.has(service) || known?.group === service;
}
