/**
 * Messages of the internal protocol stay as they are on the wire: proxies and control machines of two versions run side
 * by side during an upgrade. Each kept frame was encoded by an earlier version and must decode to the same fields.
 */
import { readFileSync } from 'node:fs';
import t from 'tap';
import { whinyoke } from '../../src/protocol/generated/messages.js';

/** One message as an earlier version sent it. */
interface KeptFrame {
  /** Name of the message in messages.proto. */
  readonly message: string;
  /** Encoded message, hexadecimal. */
  readonly bytes: string;
  /** Fields by name; bytes stand as `hex:` and hexadecimal digits. */
  readonly fields: unknown;
}

interface MessageCodec {
  decode(bytes: Uint8Array): unknown;
  encode(message: unknown): { finish(): Uint8Array };
}

/**
 * Lists that messages got after some of their frames were kept. A decoded message always has its lists, so such a frame
 * decodes to an empty one; everything else must be as it was.
 */
const LISTS_ADDED_LATER: Readonly<Record<string, Readonly<Record<string, readonly []>>>> = {
  CatalogSnapshot: {
    evacuations: [],
    incarnations: [],
    replicaLosses: [],
    formerProxies: [],
    pendingAppointments: [],
  },
  CatalogUpdate: { evacuations: [] },
};

const FRAMES_FILE = 'test/fixtures/internal_protocol_frames.json';

/** Content of a decoded message that can be compared with a kept one. */
function plain(message: unknown): unknown {
  const asText = function (this: Record<string, unknown>, key: string, value: unknown): unknown {
    const raw = this[key];
    return raw instanceof Uint8Array ? `hex:${Buffer.from(raw).toString('hex')}` : value;
  };
  return JSON.parse(JSON.stringify(message, asText));
}

const frames = JSON.parse(readFileSync(FRAMES_FILE, 'utf8')) as KeptFrame[];
const codecs = whinyoke as unknown as Record<string, MessageCodec | undefined>;

void t.test('kept frames decode to the same fields and are encoded to the same bytes', (t) => {
  for (const { message, bytes, fields } of frames) {
    const codec = codecs[message];
    if (!codec) {
      t.fail(`there is no message ${message}`);
      continue;
    }
    const decoded = codec.decode(Buffer.from(bytes, 'hex'));
    const expected = { ...LISTS_ADDED_LATER[message], ...(fields as object) };
    t.same(plain(decoded), expected, `${message} decodes`);
    t.equal(
      Buffer.from(codec.encode(decoded).finish()).toString('hex'),
      bytes,
      `${message} encodes`,
    );
  }
  t.end();
});

void t.test('each message has a kept frame', (t) => {
  const kept = new Set(frames.map(({ message }) => message));
  const proto = readFileSync('src/protocol/messages.proto', 'utf8');
  for (const [, name] of proto.matchAll(/^message (\w+)/gm)) t.ok(kept.has(name!), name!);
  t.end();
});
