/**
 * Properties of the line protocol: what one side writes means the same to the side that reads it. Run with few cases by a unit test,
 * and with many by test/soak/message_fuzzer.js.
 */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import { AnswerReader } from '../../platform/answer_reader.js';
import { LineCallerCodec } from '../../platform/caller_codec.js';
import {
  encodeCommand,
  encodeReply,
  encodeStart,
  errorLine,
  parsePosition,
  readyLine,
} from '../../platform/line_codec.js';
import { LineReader } from '../../platform/line_reader.js';
import {
  type InstanceMessage,
  UnsendableCommandError,
} from '../../src/appointed/instance/instance_channel.js';
import {
  type CallerStatement,
  type InstanceCommand,
  type PreparedShape,
  sharedPreparedName,
} from '../../src/appointed/instance/statement.js';
import type { CallerErrorKind } from '../../src/appointed/sessions/caller_reply.js';
import type { CallerQuery } from '../../src/appointed/sessions/caller_channel.js';
import { linesOf, parseAnswers, parseMessage, parseStatement } from './wire_parser.js';

const CALLER_WORDS = ['START ', 'QUERY ', 'QUERY 1 ', 'TERMINATE', 'BEGIN', 'COMMIT', 'ROLLBACK'];
const STATEMENT_WORDS = [
  'READ ',
  'WRITE ',
  'SET ',
  'PREPARE ',
  'EXECUTE ',
  'DEALLOCATE ',
  'AFTER 3.1 ',
];
const ANSWER_WORDS = [
  'ROW ',
  'COMPLETE ',
  'ERROR ',
  'READY ',
  'READY I -',
  'READY T 3.9',
  'I',
  '-',
  '7.1',
];
/** Properties that every object inherits: an error code or a state that is looked up in an object would find them. */
const INHERITED = ['constructor', '__proto__', 'toString'];
const WHOLE_MESSAGES = [
  'QUERY 1 COMMIT\r\n',
  'QUERY - READ x\r\n',
  'QUERY 2 READ x y\r\n',
  'QUERY 3 WRITE x y\r\n',
  'QUERY 4 SET a \r\n',
  'QUERY 5 PREPARE s WRITE q WRITE q\r\n',
  'QUERY 6 EXECUTE s x y\r\n',
  'COMPLETE 7.1\r\nREADY I 3.1\r\n',
  'ERROR BUSY x\r\nREADY I -\r\n',
];
const ERROR_CODES = [
  ...[
    'BUSY',
    'UNKNOWN',
    'LAGGING',
    'READONLY',
    'WRONGNODE',
    'CONNLIMIT',
    'MALFORMED',
    'FAILED',
    'TIMEOUT',
  ],
  ...INHERITED,
];
const ERROR_KINDS: ReadonlyMap<string, string> = new Map([
  ['BUSY', 'busy'],
  ['UNKNOWN', 'unknownName'],
  ['LAGGING', 'lagging'],
  ['READONLY', 'readOnly'],
  ['WRONGNODE', 'wrongInstance'],
  ['CONNLIMIT', 'connectionLimit'],
  ['MALFORMED', 'malformed'],
  ['FAILED', 'failed'],
  ['TIMEOUT', 'timeout'],
]);
const STATE_LETTERS = { idle: 'I', open: 'T', failed: 'E' } as const;

const byte = fc.nat(255).map((code) => String.fromCharCode(code));
const delimiter = fc.constantFrom('\r', '\n', ' ', '\r\n');
const word = fc.constantFrom(...CALLER_WORDS, ...STATEMENT_WORDS, ...ANSWER_WORDS, ...INHERITED);

/** Any text of bytes, most often one that looks like messages. */
const byteText = fc
  .array(fc.oneof(byte, delimiter, word, fc.constantFrom(...WHOLE_MESSAGES)), { maxLength: 20 })
  .map((pieces) => pieces.join(''));
/** Text with characters of more than one byte too, whose low byte may be a delimiter. */
const anyText = fc.oneof(
  byteText,
  fc.string({ unit: 'binary', maxLength: 8 }),
  fc
    .array(fc.oneof(byteText, fc.constantFrom('\u010d', '\u010a', '\u0120', '\u0141', '\ud800')))
    .map((pieces) => pieces.join('')),
);
/** Text that a line can hold. */
const lineText = byteText.map((text) => text.replaceAll('\r\n', '\n\r'));
const fieldText = lineText.map((text) => text.replaceAll(' ', '') || 'x');
const cuts = fc.array(fc.nat(400), { maxLength: 8 });
const position = fc.option(
  fc.record({ term: fc.nat(), sequence: fc.nat() }, { noNullPrototype: true }),
  { nil: undefined },
);
const access = fc.constantFrom('read' as const, 'write' as const);
const state = fc.constantFrom('idle' as const, 'open' as const, 'failed' as const);

function chunksOf(stream: string, places: readonly number[]): Buffer[] {
  const bytes = Buffer.from(stream, 'latin1');
  const ends = [...places.map((place) => place % (bytes.length + 1)), bytes.length];
  ends.sort((left, right) => left - right);
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

// ---- callers ----

/** The command that carries a statement to an instance; a prepared name stands for the given shape. */
function commandOf({ id, statement }: CallerQuery, prepared: PreparedShape): InstanceCommand {
  switch (statement.kind) {
    case 'begin':
    case 'set':
    case 'prepare':
      return statement;
    case 'commit':
    case 'rollback':
      return { kind: statement.kind, id };
    case 'deallocate':
      return { kind: 'deallocate', prepared };
    case 'execute':
      return { kind: 'data', id, statement: { ...statement, prepared } };
    case 'read':
    case 'write':
      return { kind: 'data', id, statement };
    case 'malformed':
      throw new Error('a malformed statement is no command');
  }
}

const KEEP_ID: readonly CallerStatement['kind'][] = [
  'commit',
  'rollback',
  'read',
  'write',
  'execute',
];

/** Checks what an instance reads of a statement against what the caller wrote. */
function checkCommand(query: CallerQuery, text: string): void {
  const shape: PreparedShape = { access: 'write', shape: 'q WRITE q' };
  const sent = encodeCommand(commandOf(query, shape));
  const [line, ...others] = linesOf(sent);
  assert.deepEqual(others, []);
  const message = parseMessage(line!);
  assert.equal(message.kind, 'query');
  if (message.kind !== 'query') return;
  const { kind } = query.statement;
  assert.equal(message.id, KEEP_ID.includes(kind) ? query.id : '-');
  const asked = parseStatement(text)!;
  const read = parseStatement(message.text)!;
  const renamed = ['PREPARE', 'EXECUTE', 'DEALLOCATE'].includes(asked.word);
  if (!renamed) assert.equal(message.text, text);
  const [, ...afterName] = asked.fields;
  const named = query.statement.kind === 'prepare' ? query.statement.prepared : shape;
  const fields = renamed ? [sharedPreparedName(named), ...afterName] : asked.fields;
  assert.deepEqual(read, { ...asked, fields });
}

function checkCallerStream(stream: string, places: readonly number[]): void {
  const reader = new LineCallerCodec().newReader();
  const messages = chunksOf(stream, places).flatMap((chunk) => reader.push(chunk));
  const lines = linesOf(stream);
  assert.equal(messages.length, lines.length);
  for (const [index, line] of lines.entries()) {
    const expected = parseMessage(line);
    const message = messages[index]!;
    assert.equal(message.kind, expected.kind === 'invalid' ? 'broken' : expected.kind, line);
    if (message.kind !== 'query' || expected.kind !== 'query') continue;
    assert.equal(message.id, expected.id);
    const asked = parseStatement(expected.text);
    const isListed = asked !== undefined && asked.after === undefined && expected.id !== '-';
    assert.equal(message.statement.kind !== 'malformed', isListed, line);
    if (isListed) checkCommand(message, expected.text);
  }
}

const WHOLE_STATEMENTS = ['BEGIN', 'BEGIN READ', 'COMMIT', 'ROLLBACK'];
const suffix = fc.oneof(fc.constant(''), lineText);
const wholeStatement = fc
  .tuple(fc.constantFrom(...WHOLE_STATEMENTS), suffix)
  .map(([first, rest]) => `QUERY 5c ${first}${rest}`);
const statementWithFields = fc
  .tuple(fc.constantFrom(...STATEMENT_WORDS, 'PREPARE s READ ', 'EXECUTE s '), fieldText, lineText)
  .map(([first, field, last]) => `QUERY 5c ${first}${field} ${last}`);
const callerLine = fc.oneof(
  { weight: 3, arbitrary: byteText },
  { weight: 1, arbitrary: suffix.map((rest) => `TERMINATE${rest}`) },
  { weight: 2, arbitrary: wholeStatement },
  { weight: 6, arbitrary: statementWithFields },
);

// ---- instances ----

function checkAnswer(
  message: InstanceMessage,
  expected: ReturnType<typeof parseAnswers>['answers'][number],
) {
  const isGreeting = expected.signature === undefined && expected.error === undefined;
  assert.equal(message.kind, isGreeting ? 'greeting' : 'answer');
  if (message.kind === 'greeting') {
    assert.deepEqual(message.position, parsePosition(expected.position));
    return;
  }
  if (message.kind !== 'answer') return;
  const { answer } = message;
  const { code, text } = expected.error ?? {};
  const kind = code === undefined ? undefined : (ERROR_KINDS.get(code) ?? 'other');
  assert.deepEqual(answer.error, kind === undefined ? undefined : { kind, text });
  assert.deepEqual(answer.rows, expected.rows);
  const error = text === undefined ? undefined : { kind: 'failed' as const, text };
  const { answers: replies, isValid } = parseAnswers(linesOf(encodeReply({ ...answer, error })));
  assert.ok(isValid);
  const [reply, ...others] = replies;
  assert.deepEqual(others, []);
  assert.equal(reply!.state, expected.state);
  assert.deepEqual(parsePosition(reply!.position), parsePosition(expected.position));
  assert.equal(reply!.error?.text, text);
  if (expected.error) return;
  assert.deepEqual(reply!.rows, expected.rows);
  assert.equal(reply!.signature, expected.signature);
}

function checkInstanceStream(stream: string, places: readonly number[]): void {
  const lines = new LineReader();
  const answers = new AnswerReader();
  const messages: InstanceMessage[] = [];
  let isValid = true;
  try {
    for (const chunk of chunksOf(stream, places)) {
      for (const line of lines.push(chunk)) {
        const message = answers.push(line);
        if (message) messages.push(message);
      }
    }
  } catch (error) {
    assert.ok(error instanceof RangeError);
    isValid = false;
  }
  const expected = parseAnswers(linesOf(stream));
  assert.equal(isValid, expected.isValid);
  assert.equal(messages.length, expected.answers.length);
  for (const [index, message] of messages.entries()) checkAnswer(message, expected.answers[index]!);
}

const errorEnd = fc
  .tuple(fc.constantFrom(...ERROR_CODES), lineText)
  .map(([code, text]) => `ERROR ${code} ${text}`);
const answerStream = fc
  .record({
    rows: fc.array(lineText, { maxLength: 3 }),
    end: fc.oneof(
      lineText.map((signature) => `COMPLETE ${signature}`),
      errorEnd,
    ),
    ready: fc.constantFrom('I -', 'T 3.9', 'E 0.0', 'I 03.007', 'constructor -', 'I 1', 'T'),
  })
  .map(({ rows, end, ready }) =>
    [...rows.map((row) => `ROW ${row}`), end, `READY ${ready}`, ''].join('\r\n'),
  );

// ---- whatever is written ----

/** The lines of a text as its reader gets it, byte by byte; undefined if it was refused before it was sent. */
function writtenLines(encode: () => string): string[] | undefined {
  let text: string;
  try {
    text = encode();
  } catch (error) {
    assert.ok(error instanceof UnsendableCommandError);
    return undefined;
  }
  const received = Buffer.from(text, 'latin1').toString('latin1');
  assert.ok(received.endsWith('\r\n'));
  return linesOf(received);
}

function checkStart(group: string, id: string, tenant: string): void {
  const lines = writtenLines(() => encodeStart({ group, id, address: '' }, tenant));
  if (!lines) return;
  const names = [group, tenant || 'whinyoke', id];
  const bytes = names.map((name) => Buffer.from(name, 'utf8').toString('latin1'));
  assert.deepEqual(lines.map(parseMessage), [{ kind: 'start', fields: bytes }]);
}

function checkWrittenCommand(command: InstanceCommand, id: string, text: string): void {
  const lines = writtenLines(() => encodeCommand(command));
  if (lines) assert.deepEqual(lines.map(parseMessage), [{ kind: 'query', id, text }]);
}

function checkCommands(id: string, name: string, text: string, prepared: PreparedShape): void {
  const { access: kind, shape } = prepared;
  const upper = kind.toUpperCase();
  const shared = sharedPreparedName(prepared);
  const data = { kind: 'data', id } as const;
  checkWrittenCommand({ kind: 'commit', id }, id, 'COMMIT');
  checkWrittenCommand({ kind: 'rollback', id }, id, 'ROLLBACK');
  checkWrittenCommand({ ...data, statement: { kind, argument: text } }, id, `${upper} ${text}`);
  const execute = { kind: 'execute', prepared, argument: text } as const;
  checkWrittenCommand({ ...data, statement: execute }, id, `EXECUTE ${shared} ${text}`);
  checkWrittenCommand({ kind: 'set', name, value: text }, '-', `SET ${name} ${text}`);
  checkWrittenCommand({ kind: 'prepare', prepared }, '-', `PREPARE ${shared} ${upper} ${shape}`);
}

const CALLER_ERROR_KINDS: readonly CallerErrorKind[] = ['busy', 'inDoubt', 'failed', 'noDatabase'];

const reply = fc.record({
  rows: fc.array(anyText, { maxLength: 3 }),
  signature: anyText,
  state,
  position,
});

/** A property without its arguments. */
type Property = fc.IProperty<unknown>;

/** Each property by its name. */
export const LINE_PROPERTIES: Readonly<Record<string, Property>> = {
  'a statement of a caller is the same to the instance': fc.property(
    fc.array(callerLine, { maxLength: 4 }),
    cuts,
    (lines, places) => checkCallerStream(lines.map((line) => `${line}\r\n`).join(''), places),
  ),
  'any bytes of a caller are read as the page says': fc.property(byteText, cuts, checkCallerStream),
  'an answer of an instance is the same to the caller': fc.property(
    fc.array(answerStream, { maxLength: 4 }),
    cuts,
    (answers, places) => checkInstanceStream(answers.join(''), places),
  ),
  'any bytes of an instance are read as the page says': fc.property(
    byteText,
    cuts,
    checkInstanceStream,
  ),
  'a start is one message with its names, or is not sent': fc.property(
    anyText,
    anyText,
    anyText,
    checkStart,
  ),
  'a command is one message with its fields, or is not sent': fc.property(
    anyText,
    anyText,
    anyText,
    fc.record({ access, shape: anyText }),
    checkCommands,
  ),
  'an error is one message': fc.property(
    fc.constantFrom(...CALLER_ERROR_KINDS),
    anyText,
    state,
    position,
    (kind, text, readyState, readyPosition) => {
      const written = errorLine(kind, text) + readyLine(readyState, readyPosition);
      const { answers, isValid } = parseAnswers(writtenLines(() => written)!);
      assert.ok(isValid);
      assert.equal(answers.length, 1);
      assert.equal(answers[0]!.state, STATE_LETTERS[readyState]);
      assert.deepEqual(parsePosition(answers[0]!.position), readyPosition);
    },
  ),
  'a reply is one answer with its rows and signature, or an error': fc.property(
    reply,
    (written) => {
      const { answers, isValid } = parseAnswers(writtenLines(() => encodeReply(written))!);
      assert.ok(isValid);
      assert.equal(answers.length, 1);
      const [answer] = answers;
      if (answer!.error) return;
      assert.deepEqual(answer!.rows, written.rows);
      assert.equal(answer!.signature, written.signature);
    },
  ),
  'two shapes have two names': fc.property(
    access,
    anyText,
    access,
    anyText,
    (one, text, other, otherText) => {
      const lowBytes = Buffer.from(otherText, 'latin1').toString('latin1');
      const shapes = [
        { access: one, shape: text },
        { access: other, shape: otherText },
        { access: other, shape: lowBytes },
        {
          access: one,
          shape: `${sharedPreparedName({ access: other, shape: otherText })} ${text}`,
        },
      ];
      const different = new Set(shapes.map(({ access: kind, shape }) => `${kind} ${shape}`));
      assert.equal(new Set(shapes.map(sharedPreparedName)).size, different.size);
    },
  ),
};
