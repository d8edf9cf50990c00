/**
 * Position of a session's newest commit in each group. A route may move to another group and back, and the session must see
 * its commits in both.
 */
import { type Position, latest } from '../../positions/position.js';

export class SessionCommits {
  private readonly newestByGroup = new Map<string, Position>();

  /** Position of the newest commit in a group's log; undefined if the session has none there. */
  newestIn(group: string): Position | undefined {
    return this.newestByGroup.get(group);
  }

  /** Records an acknowledged commit. */
  record(group: string, position: Position): void {
    const known = this.newestByGroup.get(group);
    this.newestByGroup.set(group, known ? latest(known, position) : position);
  }
}
