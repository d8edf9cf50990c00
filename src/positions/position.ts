/**
 * Positions in the transaction log of a database group.
 *
 * A position is a pair of term and sequence, ordered first by term. The term rises with each change
 * of primary, the sequence with each transaction. On the wire it is written `term-sequence`.
 */

/** A point in a database group's transaction log. */
export interface Position {
  readonly term: number;
  readonly sequence: number;
}

/** The position before the first transaction. */
export const START: Position = { term: 0, sequence: 0 };

/** A position that a primary told. */
export interface PrimaryPosition {
  /** Epoch in which it was the primary. */
  readonly epoch: number;
  readonly position: Position;
  /** When it was asked, at the latest, on the clock of the process that keeps this; in milliseconds. */
  readonly askedAt: number;
}

/** Negative when `left` comes before `right`, zero when equal, positive otherwise. */
export function comparePositions(left: Position, right: Position): number {
  return left.term - right.term || left.sequence - right.sequence;
}

/** Whether `held` is at or past `wanted`. */
export function covers(held: Position, wanted: Position): boolean {
  return comparePositions(held, wanted) >= 0;
}

/** The later of two positions. */
export function latest(left: Position, right: Position): Position {
  return covers(left, right) ? left : right;
}

/** Text form, `term-sequence`. */
export function formatPosition(position: Position): string {
  return `${position.term}-${position.sequence}`;
}

const POSITION_PATTERN = /^(\d{1,15})-(\d{1,15})$/;

/** Reads the text form; undefined when it is malformed. */
export function parsePosition(text: string): Position | undefined {
  const match = POSITION_PATTERN.exec(text);
  if (!match) return undefined;
  return { term: Number(match[1]), sequence: Number(match[2]) };
}
