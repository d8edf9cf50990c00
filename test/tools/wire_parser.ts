/**
 * Parser of the platform's wire for tests. It is written from the protocol's page alone and shares no code with `platform/`, so that
 * both can be compared.
 */

/** What a line of a caller, or of the proxy to an instance, says. */
export type WireMessage =
  | { readonly kind: 'start'; readonly fields: readonly string[] }
  | { readonly kind: 'query'; readonly id: string; readonly text: string }
  | { readonly kind: 'terminate' }
  | { readonly kind: 'invalid' };

/** A statement with its fields, in the order of the page. */
export interface WireStatement {
  readonly word: string;
  /** Of `AFTER`; undefined without it. */
  readonly after: string | undefined;
  readonly fields: readonly string[];
}

/** An answer of an instance, or the reply to a caller. */
export interface WireAnswer {
  readonly rows: readonly string[];
  readonly signature?: string;
  readonly error?: { readonly code: string; readonly text: string };
  readonly state: string;
  readonly position: string;
}

const STATEMENTS: readonly RegExp[] = [
  /^(BEGIN)(?: (READ))?$/,
  /^(COMMIT)$/,
  /^(ROLLBACK)$/,
  /^(READ) ([^]+)$/,
  /^(WRITE) ([^ ]+) ([^]*)$/,
  /^(SET) ([^ ]+) ([^]*)$/,
  /^(PREPARE) ([^ ]+) (READ|WRITE) ([^]+)$/,
  /^(EXECUTE) ([^ ]+) ([^ ][^]*)$/,
  /^(DEALLOCATE) ([^ ]+)$/,
];

/** The complete lines of a stream. */
export function linesOf(stream: string): string[] {
  return stream.split('\r\n').slice(0, -1);
}

export function parseMessage(line: string): WireMessage {
  const [, id, text] = /^QUERY ([^ ]+) ([^]+)$/.exec(line) ?? [];
  if (id !== undefined && text !== undefined) return { kind: 'query', id, text };
  const [, database, who] = /^START ([^ ]+) ([^]+)$/.exec(line) ?? [];
  if (database !== undefined && who !== undefined) {
    return { kind: 'start', fields: [database, ...who.split(' ')] };
  }
  return { kind: line === 'TERMINATE' ? 'terminate' : 'invalid' };
}

/** Undefined for a text that the page does not list. */
export function parseStatement(text: string): WireStatement | undefined {
  const [, after, rest = text] = /^AFTER (\d+\.\d+) ((?:READ|BEGIN)[^]*)$/.exec(text) ?? [];
  for (const pattern of STATEMENTS) {
    const [whole, word = '', ...fields] = pattern.exec(rest) ?? [];
    if (whole !== undefined) return { word, after, fields };
  }
  return undefined;
}

/** A line of an answer. */
interface AnswerLine {
  readonly word: string;
  readonly field: string;
}

/** Words of an answer that may still go on, each with a blank after it. */
const BEGINNING_OF_ANSWER = /^(ROW )*(COMPLETE |ERROR )?(READY )?$/;

function parseAnswerLine(line: string): AnswerLine {
  const [, word = 'other', field = ''] =
    /^(ROW|COMPLETE|ERROR|READY)(?: ([^]*))?$/.exec(line) ?? [];
  return { word, field };
}

function fieldOf(lines: readonly AnswerLine[], wanted: string): string | undefined {
  return lines.find(({ word }) => word === wanted)?.field;
}

/** The answer of lines that end in `READY`; undefined if they are none. */
function toAnswer(lines: readonly AnswerLine[]): WireAnswer | undefined {
  const ready = /^([ITE]) (\d{1,15}\.\d{1,15}|-)$/.exec(fieldOf(lines, 'READY') ?? '');
  const [, state, position] = ready ?? [];
  if (state === undefined || position === undefined) return undefined;
  const rows = lines.filter(({ word }) => word === 'ROW').map(({ field }) => field);
  const signature = fieldOf(lines, 'COMPLETE');
  const errorField = fieldOf(lines, 'ERROR');
  if (errorField !== undefined) return { rows, error: parseError(errorField), state, position };
  if (signature !== undefined) return { rows, signature, state, position };
  return rows.length === 0 && state === 'I' ? { rows, state, position } : undefined;
}

/** The answers that the lines hold, up to the first line that is no part of one. */
export function parseAnswers(lines: readonly string[]): {
  readonly answers: readonly WireAnswer[];
  readonly isValid: boolean;
} {
  const answers: WireAnswer[] = [];
  let current: AnswerLine[] = [];
  for (const line of lines) {
    current.push(parseAnswerLine(line));
    const words = current.map(({ word }) => `${word} `).join('');
    if (!BEGINNING_OF_ANSWER.test(words)) return { answers, isValid: false };
    if (!words.endsWith('READY ')) continue;
    const answer = toAnswer(current);
    if (!answer) return { answers, isValid: false };
    answers.push(answer);
    current = [];
  }
  return { answers, isValid: true };
}

function parseError(field: string): { code: string; text: string } {
  const [, code = '', text = ''] = /^([^ ]*)(?: ([^]*))?$/.exec(field) ?? [];
  return { code, text };
}
