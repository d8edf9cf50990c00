/**
 * Classification of statements: where each may run, and what it does to the connection it runs on.
 * Whatever is not known to be a plain read counts as a write.
 */
import { EXECUTABLE_COMMENT_START, type Token, tokenize } from '../sql/tokenizer.js';

/** What a statement needs. */
export type StatementClass =
  /** Reads only; any instance that is fresh enough will do. */
  | 'read'
  /** Writes, locks, or may do so: the primary. */
  | 'write'
  | 'begin'
  | 'begin_read_only'
  | 'commit'
  | 'rollback'
  /** Sets a session variable that is the same on all pooled connections; answered by the proxy. */
  | 'session_default'
  /** Needs a connection of its own; refused outside a transaction. */
  | 'stateful'
  | 'use'
  /** Read of the session token. */
  | 'show_token'
  /** Nothing but white space and comments. */
  | 'empty';

/** Functions whose call ties a statement to one connection or makes it more than a read. */
const STATEFUL_FUNCTIONS = new Set([
  'GET_LOCK',
  'RELEASE_LOCK',
  'RELEASE_ALL_LOCKS',
  'IS_USED_LOCK',
  'LAST_INSERT_ID',
  'FOUND_ROWS',
  'ROW_COUNT',
  'CONNECTION_ID',
]);

/** Session variables whose usual settings change nothing for pooled connections. */
const HARMLESS_VARIABLES = new Set([
  'NAMES',
  'CHARACTER',
  'AUTOCOMMIT',
  'SQL_MODE',
  'TIME_ZONE',
  'SQL_SAFE_UPDATES',
  'CHARACTER_SET_RESULTS',
  'CHARACTER_SET_CLIENT',
  'CHARACTER_SET_CONNECTION',
  'COLLATION_CONNECTION',
  'NET_WRITE_TIMEOUT',
  'WAIT_TIMEOUT',
  'INTERACTIVE_TIMEOUT',
  'SESSION_TRACK_GTIDS',
]);

const WRITE_KEYWORDS = new Set([
  'INSERT',
  'UPDATE',
  'DELETE',
  'REPLACE',
  'CREATE',
  'ALTER',
  'DROP',
  'TRUNCATE',
  'RENAME',
  'CALL',
]);

/** User variables and assignments live on one connection. */
function usesUserVariable(token: Token): boolean {
  if (token.kind === 'variable') return !token.text.startsWith('@@');
  return token.kind === 'symbol' && token.text === ':=';
}

/** FOR UPDATE, FOR SHARE and LOCK IN SHARE MODE. */
function takesRowLocks(token: Token, next: Token | undefined): boolean {
  if (token.text === 'FOR') return next?.text === 'UPDATE' || next?.text === 'SHARE';
  return token.text === 'LOCK' && next?.text === 'IN';
}

function classifySelect(tokens: readonly Token[]): StatementClass {
  for (const [index, token] of tokens.entries()) {
    if (usesUserVariable(token)) return 'stateful';
    if (token.kind !== 'word') continue;
    const next = tokens[index + 1];
    if (STATEFUL_FUNCTIONS.has(token.text) && next?.text === '(') return 'stateful';
    if (token.text === 'INTO') return 'stateful';
    if (takesRowLocks(token, next)) return 'write';
  }
  return 'read';
}

function classifySet(tokens: readonly Token[]): StatementClass {
  const name = tokens.slice(1).find((token) => !['SESSION', 'LOCAL'].includes(token.text));
  if (!name) return 'stateful';
  if (tokens[1]?.text === 'TRANSACTION' || name.text === 'TRANSACTION') return 'stateful';
  const variable = name.text.toUpperCase().replace(/^@@(SESSION\.|LOCAL\.)?/, '');
  const turnsOffAutocommit = variable === 'AUTOCOMMIT' && tokens.at(-1)?.text === '0';
  if (turnsOffAutocommit || tokens.some((token) => token.text === ',')) return 'stateful';
  return HARMLESS_VARIABLES.has(variable) ? 'session_default' : 'stateful';
}

function classifyStart(tokens: readonly Token[]): StatementClass {
  if (tokens[1]?.text !== 'TRANSACTION') return 'stateful';
  const isReadOnly = tokens.some(
    (token, index) => token.text === 'READ' && tokens[index + 1]?.text === 'ONLY',
  );
  return isReadOnly ? 'begin_read_only' : 'begin';
}

function classifyShow(tokens: readonly Token[]): StatementClass {
  const isToken = tokens[1]?.text === 'WHINYOKE';
  if (isToken) return 'show_token';
  return tokens[1]?.text === 'WARNINGS' || tokens[1]?.text === 'ERRORS' ? 'stateful' : 'read';
}

/** Ends of transactions that are followed by a savepoint name concern only a part of it. */
function classifyRollback(tokens: readonly Token[]): StatementClass {
  return tokens.some((token) => token.text === 'TO') ? 'stateful' : 'rollback';
}

function hasSecondStatement(tokens: readonly Token[]): boolean {
  const end = tokens.findIndex((token) => token.kind === 'symbol' && token.text === ';');
  return end >= 0 && end < tokens.length - 1;
}

function classifyTokens(tokens: readonly Token[]): StatementClass {
  const first = tokens.find((token) => token.text !== '(');
  if (!first) return 'empty';
  if (hasSecondStatement(tokens)) return 'stateful';
  if (WRITE_KEYWORDS.has(first.text)) {
    return tokens[1]?.text === 'TEMPORARY' ? 'stateful' : 'write';
  }
  switch (first.text) {
    case 'SELECT':
    case 'WITH':
    case 'VALUES':
    case 'TABLE':
      return classifySelect(tokens);
    case 'SET':
      return classifySet(tokens);
    case 'BEGIN':
      return 'begin';
    case 'START':
      return classifyStart(tokens);
    case 'COMMIT':
      return 'commit';
    case 'ROLLBACK':
      return classifyRollback(tokens);
    case 'USE':
      return 'use';
    case 'SHOW':
      return classifyShow(tokens);
    case 'DESCRIBE':
    case 'DESC':
    case 'EXPLAIN':
      return 'read';
    default:
      return 'stateful';
  }
}

function startsExecutableComment({ kind, text }: Token): boolean {
  return kind === 'symbol' && text === EXECUTABLE_COMMENT_START;
}

/**
 * Class of a statement with executable comments, whose text instances run or skip by their version. Tools set session variables
 * in one that holds the whole statement.
 */
function classifyExecutableComment([start, ...tokens]: readonly Token[]): StatementClass {
  const end = tokens.findIndex(
    ({ text }, index) => text === '*' && tokens[index + 1]?.text === '/',
  );
  const startsAndEnds = start !== undefined && startsExecutableComment(start) && end >= 0;
  const isWhole = startsAndEnds && tokens.slice(end + 2).every(({ text }) => text === ';');
  if (!isWhole || tokens.some(startsExecutableComment)) return 'stateful';
  const isVersion = tokens[0]?.kind === 'number';
  const result = classifyTokens(tokens.slice(isVersion ? 1 : 0, end));
  return result === 'session_default' ? result : 'stateful';
}

/** WITH may introduce a write; only a select-like body is a read. */
function refineWith(tokens: readonly Token[], result: StatementClass): StatementClass {
  const isWith = tokens[0]?.text === 'WITH';
  const writes = tokens.some((token) => token.kind === 'word' && WRITE_KEYWORDS.has(token.text));
  return isWith && writes && result === 'read' ? 'write' : result;
}

/** Class of a statement. */
export function classifyStatement(sql: string): StatementClass {
  const tokens = tokenize(sql);
  if (tokens.some(startsExecutableComment)) return classifyExecutableComment(tokens);
  return refineWith(tokens, classifyTokens(tokens));
}

/** Schema named by a USE statement. */
export function schemaOfUse(sql: string): string {
  return tokenize(sql)[1]?.raw ?? '';
}
