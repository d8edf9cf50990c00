/**
 * Lexical analysis of MySQL statements: words, literals, symbols; comments are skipped. The text of an executable comment
 * (started by `/*!`) is code for instances, and is read as code after its start.
 * Source: MySQL reference manual, chapter "Language Structure".
 */

/** Kind of a token. */
type TokenKind = 'word' | 'quoted_name' | 'number' | 'string' | 'symbol' | 'variable';

/** One token of a statement. */
export interface Token {
  readonly kind: TokenKind;
  /** Words in upper case, everything else as written without its quotes. */
  readonly text: string;
  /** The token as written, without its quotes. */
  readonly raw: string;
}

// One alternative per token kind; the first that matches at the current offset wins.
const TOKEN_PATTERN =
  /\s+|--(?=\s|$)[^\n]*|#[^\n]*|\/\*(?!!)[\s\S]*?\*\/|(@{1,2}(?:[A-Za-z_$][\w$.]*)?)|([A-Za-z_$\u0080-\uffff][\w$\u0080-\uffff]*)|(0[xX][0-9A-Fa-f]+|\d+(?:\.\d*)?(?:[eE][+-]?\d+)?|\.\d+)|'((?:[^'\\]|\\[\s\S]|'')*)'|"((?:[^"\\]|\\[\s\S]|"")*)"|`((?:[^`]|``)*)`|(\/\*!|<=>|<=|>=|<>|!=|:=|&&|\|\||[\s\S])/gy;

const ESCAPES: Readonly<Record<string, string>> = {
  n: '\n',
  t: '\t',
  r: '\r',
  b: '\b',
  '0': '\0',
  Z: '\x1a',
};

function unescape(body: string, quote: string): string {
  if (!body.includes('\\') && !body.includes(quote)) return body;
  return body.replace(/\\([\s\S])|(['"])\2/g, (whole, escaped: string | undefined, doubled) => {
    if (escaped !== undefined) return ESCAPES[escaped] ?? escaped;
    return doubled === quote ? quote : whole;
  });
}

function tokenOf(match: RegExpExecArray): Token | undefined {
  const [, variable, word, number, single, double, quotedName, symbol] = match;
  if (word !== undefined) return { kind: 'word', text: word.toUpperCase(), raw: word };
  if (symbol !== undefined) return { kind: 'symbol', text: symbol, raw: symbol };
  if (number !== undefined) return { kind: 'number', text: number, raw: number };
  if (variable !== undefined) {
    return { kind: 'variable', text: variable.toLowerCase(), raw: variable };
  }
  if (quotedName !== undefined) {
    const name = quotedName.replaceAll('``', '`');
    return { kind: 'quoted_name', text: name, raw: name };
  }
  const text =
    single !== undefined
      ? unescape(single, "'")
      : double !== undefined
        ? unescape(double, '"')
        : undefined;
  return text === undefined ? undefined : { kind: 'string', text, raw: text };
}

/** Token that starts an executable comment. */
export const EXECUTABLE_COMMENT_START = '/*!';

/** All tokens of a statement. */
export function tokenize(sql: string): Token[] {
  const tokens: Token[] = [];
  TOKEN_PATTERN.lastIndex = 0;
  let match = TOKEN_PATTERN.exec(sql);
  while (match) {
    const token = tokenOf(match);
    if (token) tokens.push(token);
    match = TOKEN_PATTERN.lastIndex < sql.length ? TOKEN_PATTERN.exec(sql) : null;
  }
  return tokens;
}

/** A string as a MySQL literal, quotes included. */
export function quoteString(text: string): string {
  return `'${text.replaceAll('\\', '\\\\').replaceAll("'", "''")}'`;
}
