/**
 * DECISION: whether an answer can come from the incarnation of an instance for which an epoch was begun.
 *
 * Answers: a primary that started again, empty, under its identifier, before control has told of it; an answer names a position
 *   and no incarnation.
 * Inputs: the position of the answer, the least position that the epoch's entry names.
 * Rule: a log only grows within an epoch, so a shorter one is another incarnation's. Connections and statements tell what is
 *   applied, which may be less than what the primary had received when the epoch began: against that only an empty log is shorter.
 *   An entry without a least position is of a primary that does not tell when it started: nothing is concluded then.
 * Constants: none. Tests: test/unit/incarnations.test.ts. Pure; known to control and proxies.
 */
import type { GroupEntry } from '../catalog/catalog.js';
import { type Position, START, covers } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';

/** Whether a received position holds at least what the epoch names; true where it names none. */
export function coversEpochMinimum(entry: GroupEntry, received: Position): boolean {
  return covers(received, positionOf(entry.leastPosition) ?? START);
}

/**
 * Whether a position that the primary of an epoch told is that of a later incarnation.
 * @param known - newest position that it had told before it was asked; undefined when there is none
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
