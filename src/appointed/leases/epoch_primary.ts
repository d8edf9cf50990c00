/**
 * DECISION: whether an answer can come from the incarnation of an instance for which an epoch was begun.
 *
 * Answers: a primary that started again, empty, under its identifier, before control has told of it; an answer names a position
 *   and no incarnation.
 * Inputs: the position of the answer, the least position that the epoch's entry names.
 * Rule: a log only grows within an epoch, so a shorter one is another incarnation's. The position at the start of a connection
 *   may be that of what is applied, so there only an empty log counts as shorter.
 * Constants: none. Tests: test/unit/incarnations.test.ts. Pure; known to control and proxies.
 */
import type { GroupEntry } from '../catalog/catalog.js';
import { type Position, START, covers } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';

/** Whether a received position holds at least what the epoch names; true where it names none. */
export function coversEpoch(entry: GroupEntry, received: Position): boolean {
  return covers(received, positionOf(entry.leastPosition) ?? START);
}

/** Whether a primary has nothing although its log was not empty when its epoch began. */
export function isEmptyAgain(entry: GroupEntry, position: Position): boolean {
  return covers(START, position) && !coversEpoch(entry, START);
}
