/** Guards against names that mean something else on the wire than in a configuration or a heartbeat. */
import t from 'tap';
import { LineCallerCodec } from '../../platform/caller_codec.js';
import { encodeStart } from '../../platform/line_codec.js';
import { nameFromWire } from '../../platform/line_fields.js';
import { UnsendableCommandError } from '../../src/appointed/instance/instance_channel.js';
import { sharedPreparedName } from '../../src/appointed/instance/statement.js';
import type { CallerMessage } from '../../src/appointed/sessions/caller_channel.js';

/** The low byte of each character is a CR, an LF, a blank and an A. */
const BEYOND_LATIN1 = '\u010d\u010a\u0120\u0141';

function readStart(line: Uint8Array): CallerMessage | undefined {
  const [message] = new LineCallerCodec()
    .newReader()
    .push(Buffer.concat([line, Buffer.from('\r\n')]));
  return message;
}

void t.test('a database and a credential are compared by their UTF-8 bytes', (t) => {
  for (const name of ['caf\u00e9', BEYOND_LATIN1, '\ufeffdb', '\u{1f6e2}', '\ufffd']) {
    t.match(readStart(Buffer.from(`START ${name} ${name} x`)), {
      kind: 'start',
      database: name,
      credential: `${name} x`,
    });
  }
  t.end();
});

void t.test('a name that is not UTF-8 is that of no database and no tenant', (t) => {
  const start = readStart(Buffer.from('START caf\xe9 \xff\xfe', 'latin1'));
  t.match(start, { kind: 'start', database: '', credential: '' });
  t.end();
});

void t.test('names reach an instance as their UTF-8 bytes, or are not sent', (t) => {
  const target = { id: BEYOND_LATIN1, group: 'caf\u00e9', address: '' };
  const line = encodeStart(target, BEYOND_LATIN1);
  t.same(line.trimEnd().split(' ').map(nameFromWire), [
    'START',
    'caf\u00e9',
    BEYOND_LATIN1,
    BEYOND_LATIN1,
  ]);
  for (const name of ['', 'a b', 'a\r\nb', '\ud800']) {
    t.throws(() => encodeStart({ ...target, id: name }, 't'), UnsendableCommandError);
    t.throws(() => encodeStart({ ...target, group: name }, 't'), UnsendableCommandError);
    if (name) t.throws(() => encodeStart(target, name), UnsendableCommandError);
  }
  t.end();
});

void t.test('shapes whose characters have the same low bytes have different names', (t) => {
  const [one, other] = ['\u0141', 'A'].map((shape) =>
    sharedPreparedName({ access: 'read', shape }),
  );
  t.not(one, other);
  t.end();
});
