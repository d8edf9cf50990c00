/**
 * Detects an answer that comes from a later incarnation of a primary than the one its epoch was begun for.
 *
 * A primary that restarted without its data keeps its identifier, and its answers name a log position but no
 * incarnation. The log of one incarnation only grows within an epoch, so a shorter log belongs to a later one. Positions
 * of connections and statements are applied positions, which may be behind what the primary had received when the epoch
 * began; against that minimum only an empty log counts as shorter. An epoch without a minimum position has a primary that
 * doesn't report its start time, and nothing is concluded. Pure; used by control and by proxies.
 */
import type { GroupEntry } from '../catalog/catalog.js';
import { type Position, START, covers } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';

/** Whether a received position covers the minimum position of the epoch; true where it has none. */
export function coversEpochMinimum(entry: GroupEntry, received: Position): boolean {
  return covers(received, positionOf(entry.leastPosition) ?? START);
}

/**
 * Whether a position reported by the primary of an epoch comes from a later incarnation.
 * @param known - newest position that it had reported before this request was sent; undefined when there is none
 */
export function isOfLaterIncarnation(
  entry: GroupEntry,
  position: Position,
  known: Position | undefined,
): boolean {
  if (!entry.leastPosition) return false;
  const hasBecomeEmpty = covers(START, position) && !coversEpochMinimum(entry, START);
  return hasBecomeEmpty || (known !== undefined && !covers(position, known));
}
