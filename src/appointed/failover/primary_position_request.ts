/**
 * Asks the primary of a group for the end of its log, which is at or after every commit acknowledged before the request was
 * sent.
 */
import type { Catalog, GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import { coversEpochMinimum } from '../leases/epoch_incarnation.js';
import type { Position } from '../../positions/position.js';
import type { InstanceAdministrator } from './instance_administrator.js';
import { targetOf } from './instance_target.js';

interface PrimaryPositionContext {
  readonly catalog: Catalog;
  readonly administrator: Pick<InstanceAdministrator, 'status'>;
}

/**
 * Position of the primary; undefined when it does not answer, does not lead the term of its epoch, or is not the incarnation
 * for which the epoch was begun.
 */
export async function askPrimaryPosition(
  { catalog, administrator }: PrimaryPositionContext,
  group: string,
): Promise<Position | undefined> {
  const entry = catalog.group(group);
  const primary = catalog.instance(entry?.primary ?? '');
  if (!entry || !primary) return undefined;
  const status = await administrator.status(targetOf(primary));
  const isLeading = status?.role === 'primary' && status.term === entry.term;
  if (!isLeading || !coversEpochMinimum(entry, status.received)) return undefined;
  return isSameEpochAndIncarnation(catalog, entry, primary) ? status.received : undefined;
}

function isSameEpochAndIncarnation(
  catalog: Catalog,
  entry: GroupEntry,
  primary: InstanceEntry,
): boolean {
  const isEpoch = catalog.group(entry.group ?? '')?.epoch === entry.epoch;
  const present = catalog.instance(primary.id ?? '')?.incarnation ?? 0;
  return isEpoch && present === (entry.primaryIncarnation ?? 0);
}
