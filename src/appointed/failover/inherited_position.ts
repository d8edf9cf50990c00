/**
 * Position at or after every commit that was acknowledged before the epoch of a group's primary began.
 *
 * That primary held all these commits when it was chosen, but its replicas may still lack some of them, and the proxies that
 * acknowledged them may have restarted since.
 */
import type { GroupEntry } from '../catalog/catalog.js';
import type { Position } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';

/** See above; undefined if an earlier program began the epoch and recorded none. */
export function inheritedPositionOf(entry: GroupEntry): Position | undefined {
  // An earlier program recorded the primary's own position, which a choice of another instance replaces.
  const ofPrimary = entry.target ? undefined : entry.leastPosition;
  return positionOf(entry.inheritedPosition) ?? positionOf(ofPrimary);
}
