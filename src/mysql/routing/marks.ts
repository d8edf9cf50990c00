/**
 * Marks that callers put in a trailing comment of a statement, in the published sqlcommenter form:
 * `key='value'` pairs, URL-encoded, joined by commas.
 */
import { ErrorCode, notRun } from '../../errors/errors.js';
import { SessionToken } from '../session/token.js';

/** What a caller marked on one statement. */
export interface Marks {
  /** Session token to read at or after. */
  readonly token: SessionToken | undefined;
  /** Key under which the statement runs at most once. */
  readonly onceKey: string | undefined;
  /** Database group to use, in place of the one that holds the default schema. */
  readonly group: string | undefined;
}

/** No marks. */
const NO_MARKS: Marks = { token: undefined, onceKey: undefined, group: undefined };

const MARK_PREFIX = 'whinyoke_';
const TRAILING_COMMENT = /\/\*([^*]*(?:\*(?!\/)[^*]*)*)\*\/\s*;?\s*$/;
const PAIR_PATTERN = /\s*([A-Za-z_][\w.]*)='((?:[^'\\]|\\.)*)'\s*(?:,|$)/gy;
const MAXIMUM_ONCE_KEY_LENGTH = 128;

function badMark(text: string): Error {
  return notRun(`The mark ${text} can't be read`, ErrorCode.badMark);
}

function decode(value: string): string {
  try {
    return decodeURIComponent(value.replaceAll("\\'", "'"));
  } catch {
    throw badMark(value);
  }
}

function readPairs(comment: string): Map<string, string> {
  const pairs = new Map<string, string>();
  PAIR_PATTERN.lastIndex = 0;
  for (let match = PAIR_PATTERN.exec(comment); match; match = PAIR_PATTERN.exec(comment)) {
    if (match[1]!.startsWith(MARK_PREFIX)) pairs.set(match[1]!, decode(match[2]!));
  }
  return pairs;
}

/** Reads a token; throws a RequestError when it is malformed. */
export function readToken(text: string): SessionToken {
  const token = SessionToken.parse(text);
  if (!token) throw badMark(`whinyoke_position='${text}'`);
  return token;
}

/**
 * Marks of a statement.
 * @throws RequestError with verdict `not_run` when a mark is malformed: ignoring it would drop a promise
 */
export function readMarks(sql: string): Marks {
  if (!sql.includes(MARK_PREFIX)) return NO_MARKS;
  const comment = TRAILING_COMMENT.exec(sql);
  if (!comment) return NO_MARKS;
  const pairs = readPairs(comment[1]!);
  const token = pairs.get('whinyoke_position');
  const onceKey = pairs.get('whinyoke_once');
  if (onceKey !== undefined && (onceKey === '' || onceKey.length > MAXIMUM_ONCE_KEY_LENGTH)) {
    throw badMark(`whinyoke_once='${onceKey}'`);
  }
  return {
    token: token === undefined ? undefined : readToken(token),
    onceKey,
    group: pairs.get('whinyoke_group'),
  };
}
