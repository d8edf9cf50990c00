/**
 * Session tokens: the newest position per database group that a session saw acknowledged.
 *
 * Text form: `group:term-sequence` joined by commas. A caller hands it back in a statement's
 * trailing comment or as a connect attribute, and so keeps read-your-writes across proxies.
 */
import {
  type Position,
  START,
  covers,
  formatPosition,
  latest,
  parsePosition,
} from '../../positions/position.js';

/** An immutable map from group name to position. */
export class SessionToken {
  static readonly empty = new SessionToken(new Map());

  private constructor(private readonly positions: ReadonlyMap<string, Position>) {}

  /** Reads the text form; undefined when any part is malformed. */
  static parse(text: string): SessionToken | undefined {
    const positions = new Map<string, Position>();
    if (text === '') return SessionToken.empty;
    for (const part of text.split(',')) {
      const colon = part.lastIndexOf(':');
      const position = colon > 0 ? parsePosition(part.slice(colon + 1)) : undefined;
      if (!position) return undefined;
      const group = part.slice(0, colon);
      positions.set(group, latest(positions.get(group) ?? START, position));
    }
    return new SessionToken(positions);
  }

  /** The position for a group; the start when the session never touched it. */
  positionOf(group: string): Position {
    return this.positions.get(group) ?? START;
  }

  /** A token that also covers `position` of `group`; itself when it already does. */
  advance(group: string, position: Position): SessionToken {
    if (covers(this.positionOf(group), position)) return this;
    return new SessionToken(new Map(this.positions).set(group, position));
  }

  /** A token that covers both. */
  merge(other: SessionToken): SessionToken {
    return [...other.positions].reduce<SessionToken>(
      (merged, [group, position]) => merged.advance(group, position),
      this,
    );
  }

  /** Text form, groups in alphabetical order. */
  format(): string {
    const names = [...this.positions.keys()].sort();
    return names.map((name) => `${name}:${formatPosition(this.positionOf(name))}`).join(',');
  }
}
