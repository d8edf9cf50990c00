/**
 * Positions in the transaction log of a database group.
 *
 * A position is a term and a sequence number, ordered by term first. Each change of primary increases the term, each
 * transaction increases the sequence number. The text form is `term-sequence`.
 */

/** A point in a database group's transaction log. */
export interface Position {
  readonly term: number;
  readonly sequence: number;
}

/** Position before the first transaction. */
export const START: Position = { term: 0, sequence: 0 };

/** A position that an instance reported as the primary. */
export interface PrimaryPosition {
  /** Epoch in which the instance was the primary. */
  readonly epoch: number;
  readonly position: Position;
  /** Time by which the position had been requested, in milliseconds of the local process's clock. */
  readonly askedAt: number;
}

/** Negative when `left` comes before `right`, zero when equal, positive otherwise. */
export function comparePositions(left: Position, right: Position): number {
  return left.term - right.term || left.sequence - right.sequence;
}

/** Whether `position` is at or after `minimum`. */
export function covers(position: Position, minimum: Position): boolean {
  return comparePositions(position, minimum) >= 0;
}

/**
 * Whether a log that ends at `end` can contain the transaction at `position`. Numbers continue across terms, so a log of a
 * later term with a lower number lacks it.
 */
export function contains(end: Position, position: Position): boolean {
  return covers(end, position) && end.sequence >= position.sequence;
}

/** The later of two positions. */
export function latest(left: Position, right: Position): Position {
  return covers(left, right) ? left : right;
}

export function formatPosition(position: Position): string {
  return `${position.term}-${position.sequence}`;
}

const POSITION_PATTERN = /^(\d{1,15})-(\d{1,15})$/;

/** Parses the text form; undefined if it is malformed. */
export function parsePosition(text: string): Position | undefined {
  const match = POSITION_PATTERN.exec(text);
  if (!match) return undefined;
  return { term: Number(match[1]), sequence: Number(match[2]) };
}
