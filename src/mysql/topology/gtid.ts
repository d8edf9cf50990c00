/**
 * Positions in tagged GTID sets. Each change of primary starts a new tag `t<term>`, so the last tag of a
 * set tells its newest transaction. Source: MySQL 8.4 reference manual, "GTID Format and Storage".
 */
import { type Position, START } from '../../positions/position.js';

const TAG_PATTERN = /:t(\d+):(\d+)(?:-(\d+))?/g;

/** Newest position of a GTID or GTID set; the start for an empty set. */
export function newestPosition(gtidSet: string): Position {
  let newest = START;
  for (const match of gtidSet.matchAll(TAG_PATTERN)) {
    const term = Number(match[1]);
    if (term >= newest.term) newest = { term, sequence: Number(match[3] ?? match[2]) };
  }
  return newest;
}
