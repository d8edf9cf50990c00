/**
 * DECISION: which entries of the catalog name an instance to use, and which heartbeats make an entry.
 *
 * Answers: heartbeats of other writers, and entries that an older program took from them.
 * Inputs: an entry's id, address, state and group; the services that the document in force names.
 * Rule: an instance to use has an id, an address of host and port, a state that this program knows and that is not GONE, and a service
 *   that is named. Before the first document, heartbeats are stored and not used; after it, those of services that
 *   are not named make no entry, but keep one that is known up to date.
 * Constants: none. See docs/design/foreign-heartbeats.md. Tests: test/unit/foreign_heartbeats.test.ts. Pure.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { isAddress } from '../../runtime/address.js';
import type { InstanceEntry } from './instance_table.js';
import type { RouteTable } from './route_table.js';

const { InstanceState } = whinyoke;

/** Why an entry names no instance to use. */
type UnusableReason = 'no id' | 'no address' | 'gone' | 'unknown state' | 'service not named';

/** Why an entry names no instance to use; undefined when it names one. */
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

/** Whether a heartbeat of a service may be stored, beside the entry that is known under its id. */
export function isHeartbeatExpected(
  service: string,
  known: InstanceEntry | undefined,
  table: RouteTable | undefined,
): boolean {
  return !table || table.limitsByGroup.has(service) || known?.group === service;
}
