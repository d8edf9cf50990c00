/**
 * Malformed or unexpected heartbeats, entries and bytes: they get a clear status, change nothing,
 * and do not stop the process.
 */
import { once } from 'node:events';
import { type Server, request as httpRequest } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import fc from 'fast-check';
import t from 'tap';
import { HEARTBEAT } from '../tools/heartbeat.js';
import { LineCallerCodec } from '../../platform/caller_codec.js';
import { ControlApi } from '../../platform/control_api.js';
import { AnswerReader } from '../../platform/answer_reader.js';
import { encodeCommand, parseStatement } from '../../platform/line_codec.js';
import { LineReader } from '../../platform/line_reader.js';
import { PlatformDocumentReader } from '../../platform/routing_document.js';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { documentOf } from '../../src/appointed/catalog/document_source.js';
import { NewestDocument } from '../../src/appointed/catalog/newest_document.js';
import {
  isHeartbeatExpected,
  unusableReason,
} from '../../src/appointed/catalog/usable_instance.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { documentWith, PlacedProxy } from '../tools/placed_proxy.js';
import { tableWithGroup } from '../tools/route_table.js';

const { CatalogOutcome } = whinyoke;
const TABLE = tableWithGroup('g');
/** An instance state of a newer program version. */
const UNKNOWN_STATE = 7 as whinyoke.InstanceState;

/**
 * Serves the control API on its own port; the core behind it records the changes it would make to
 * the catalog.
 */
async function serveApi(t: { teardown(end: () => void): void }, isFailing = false) {
  const changes: whinyoke.ICatalogRequest[] = [];
  const refusals: number[] = [];
  const events: string[] = [];
  const core = {
    catalog: { documentVersion: 1 },
    knownZones: new Set(['zone-a']),
    expectsHeartbeat: (_id: string, service: string) =>
      isHeartbeatExpected(service, undefined, TABLE),
    submit: (call: whinyoke.ICatalogRequest) => {
      if (isFailing) return Promise.reject(new Error('unexpected'));
      if (!call.readDocument) changes.push(call);
      return Promise.resolve({ outcome: CatalogOutcome.DONE, document: documentOf(1, '{}') });
    },
  };
  const reader = { read: () => new PlatformDocumentReader().read(documentWith(2, {})) };
  const api = new ControlApi(
    core,
    isFailing ? reader : new PlatformDocumentReader(),
    ({ name }) => events.push(name),
    (status) => refusals.push(status),
  );
  const server: Server = await api.listen('127.0.0.1:0');
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const { port } = server.address() as AddressInfo;
  return { changes, refusals, events, port };
}

/** Returns the status of a call; undefined if the connection ended without a reply. */
function call(
  port: number,
  path: string,
  body: string | Uint8Array,
  method = 'POST',
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const request = httpRequest({ host: '127.0.0.1', port, path, method }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
    });
    request.on('connect', ({ statusCode }, socket) => {
      socket.destroy();
      resolve(statusCode);
    });
    request.on('error', () => resolve(undefined));
    request.end(body);
  });
}

function postHeartbeat(port: number, change: object, id = 'i-1'): Promise<number | undefined> {
  const body = JSON.stringify({ ...HEARTBEAT, ...change });
  return call(port, `/instances/${id}/heartbeat`, body);
}

void t.test('a malformed heartbeat gets a 4xx status and changes nothing', async (t) => {
  const { changes, refusals, events, port } = await serveApi(t);
  for (const field of Object.keys(HEARTBEAT)) {
    t.equal(await postHeartbeat(port, { [field]: undefined }), 400, `without ${field}`);
    t.equal(await postHeartbeat(port, { [field]: { a: [] } }), 400, `${field} of another type`);
  }
  t.equal(await postHeartbeat(port, { state: 'resting' }), 400);
  t.equal(await postHeartbeat(port, { address: 'nowhere' }), 400);
  t.equal(await postHeartbeat(port, { slots: 1e12 }), 400);
  t.equal(await postHeartbeat(port, { service: 'not-named' }), 422);
  t.equal(await postHeartbeat(port, {}, '%E0%A4%A'), 400, 'an id that can not be decoded');
  t.equal(await postHeartbeat(port, {}, 'a%0D%0AQUERY'), 400, 'an id with a line break');
  t.equal(await call(port, '/instances/%ZZ/deregister', ''), 400);
  t.equal(await call(port, '/instances/i-1/heartbeat', Buffer.from([0x7b, 0xff, 0xfe])), 400);
  const halfText = Buffer.from(JSON.stringify({ ...HEARTBEAT, zone: 'z\xff' }), 'latin1');
  t.equal(
    await call(port, '/instances/i-1/heartbeat', halfText),
    400,
    'bytes that are not valid UTF-8',
  );
  t.equal(await call(port, '/configuration/replace', Buffer.from([0xc3, 0x28])), 400);
  t.equal(changes.length, 0);
  t.equal(refusals.length, 2 * Object.keys(HEARTBEAT).length + 10, 'all refusals are counted');
  t.ok(events.includes('call_refused'));
  t.equal(await postHeartbeat(port, {}), 200, 'a valid heartbeat is still accepted');
  t.match(changes, [{ beat: { instance: { id: 'i-1', group: 'g', slots: 2, sequence: 4 } } }]);
});

void t.test(
  'a new configuration with a name that no message can hold gets a 400 status',
  async (t) => {
    const { changes, port } = await serveApi(t);
    const replace = (from: string, to: string): Promise<number | undefined> =>
      call(port, '/configuration/replace', documentWith(2, {}).replaceAll(`"${from}"`, `"${to}"`));
    for (const name of ['db', 'g', 'ana']) {
      for (const invalid of ['a b', 'a\\r\\nb', '\\ud800']) {
        t.equal(await replace(name, invalid), 400, `${name}: ${invalid}`);
      }
    }
    t.equal(changes.length, 0);
    t.equal(await replace('db', 'caf\u00e9\u010d'), 200, 'any other character can be sent');
  },
);

void t.test('an unexpected error gets a 500 status, not a 4xx', async (t) => {
  const { events, port } = await serveApi(t, true);
  t.equal(await postHeartbeat(port, {}), 500);
  t.equal(await call(port, '/configuration/replace', documentWith(2, {})), 500, 'not a 4xx');
  t.ok(events.includes('connection_error'));
});

void t.test('a heartbeat of an unnamed service creates no entry, but updates a known one', (t) => {
  const known = { id: 'i', group: 'former' };
  t.equal(isHeartbeatExpected('any', undefined, undefined), true, 'before the first document');
  t.equal(isHeartbeatExpected('g', undefined, TABLE), true);
  t.equal(isHeartbeatExpected('other', undefined, TABLE), false);
  t.equal(isHeartbeatExpected('former', known, TABLE), true, 'removed by a newer document');
  t.equal(isHeartbeatExpected('other', known, TABLE), false, 'another service for a known id');
  t.end();
});

void t.test('entries that describe no usable instance are rejected with a reason', (t) => {
  const entry = { id: 'i', group: 'g', address: '10.0.0.1:80' };
  t.equal(unusableReason(entry, TABLE), undefined);
  t.equal(unusableReason({ ...entry, state: 1 }, TABLE), undefined, 'draining');
  t.equal(unusableReason({ ...entry, id: '' }, TABLE), 'no id');
  for (const address of ['', 'host', 'host:0', 'host:99999', ':80', 'a b:80']) {
    t.equal(unusableReason({ ...entry, address }, TABLE), 'no address', address);
  }
  t.equal(unusableReason({ ...entry, state: 2 }, TABLE), 'gone');
  t.equal(unusableReason({ ...entry, state: UNKNOWN_STATE }, TABLE), 'unknown state');
  t.equal(unusableReason({ ...entry, group: 'other' }, TABLE), 'service not named');
  t.equal(unusableReason(entry, undefined), 'service not named', 'before the first document');
  t.end();
});

void t.test('an unreadable document leaves the previous one in force', (t) => {
  const catalog = new Catalog();
  const events: string[] = [];
  const log = ({ name }: { name: string }): void => void events.push(name);
  const newest = new NewestDocument(catalog, new PlatformDocumentReader(), log);
  const put = (version: number, source: string): void => {
    const command = { putDocument: documentOf(version, source) };
    catalog.apply(version, whinyoke.CatalogCommand.encode(command).finish());
  };
  t.equal(newest.table, undefined, 'before the first document');
  put(1, documentWith(1, {}));
  t.equal(newest.table?.version, 1);
  put(2, 'of another version of the program');
  t.equal(newest.table?.version, 1);
  t.equal(newest.table?.version, 1);
  t.same(events, ['document_unreadable'], 'logged once');
  t.end();
});

void t.test('a proxy sends nothing to instances of unusable entries', async (t) => {
  const instances = [
    { id: 'p', zone: 'z' },
    { id: 'r', zone: 'z' },
    { id: 'x', zone: 'z', address: '' },
    { id: 'y', zone: 'z', state: UNKNOWN_STATE },
    { id: 'u', zone: 'z', group: 'other' },
  ];
  const proxy = new PlacedProxy({ zone: 'z', instances, primary: 'p', regionByZone: {} }, {});
  t.teardown(() => proxy.core.stop());
  const session = await proxy.start();
  t.same(proxy.core.allPools.map(({ target }) => target.id).sort(), ['p', 'r']);
  for (let count = 0; count < 20; count++) {
    await session.execute('q', { kind: 'read', argument: 'k' });
  }
  const reached = new Set(proxy.takeSentCommands().map(({ instance }) => instance));
  t.ok(
    [...reached].every((id) => id === 'p' || id === 'r'),
    [...reached].join(),
  );
});

// ---- generated input ----

const field = fc.constantFrom(...Object.keys(HEARTBEAT));
const someHeartbeat = fc
  .tuple(fc.dictionary(field, fc.jsonValue(), { maxKeys: 2 }), fc.subarray(Object.keys(HEARTBEAT)))
  .map(([changed, dropped]) => {
    const body: Record<string, unknown> = { ...HEARTBEAT, ...changed };
    for (const name of dropped.slice(0, 2)) delete body[name];
    return JSON.stringify(body);
  });
const someBody = fc.oneof(
  someHeartbeat,
  fc.json(),
  fc.string(),
  fc.uint8Array({ maxLength: 200 }),
  fc.constant(JSON.stringify(HEARTBEAT)),
);
const segment = fc.oneof(
  fc.constantFrom('instances', 'i-1', 'heartbeat', 'deregister', 'configuration', 'replace'),
  fc.constantFrom('fetch', '%', '%E0%A4%A', '%00', '..', '', 'a%2Fb', 'x'.repeat(300)),
  fc.webSegment(),
);
const somePath = fc.oneof(
  fc.constantFrom('/instances/i-1/heartbeat', '/configuration/replace', '/configuration/fetch'),
  segment.map((id) => `/instances/${id}/heartbeat`),
  fc.array(segment, { maxLength: 4 }).map((parts) => `/${parts.join('/')}`),
);
const someMethod = fc.constantFrom(
  'POST',
  'POST',
  'POST',
  'GET',
  'PUT',
  'DELETE',
  'PATCH',
  'CONNECT',
);

void t.test('every generated call gets a status, and a refused one changes nothing', async (t) => {
  const { changes, port } = await serveApi(t);
  const seen = new Map<number, number>();
  const property = fc.asyncProperty(someMethod, somePath, someBody, async (method, path, body) => {
    const before = changes.length;
    const status = await call(port, path, body, method);
    seen.set(status ?? 0, (seen.get(status ?? 0) ?? 0) + 1);
    if (status === undefined || status >= 500) return false;
    return status === 200 || changes.length === before;
  });
  await fc.assert(property, { seed: 36, numRuns: 1500 });
  t.ok(
    [200, 400, 404].every((status) => seen.has(status)),
    JSON.stringify([...seen]),
  );
  t.equal(await postHeartbeat(port, {}), 200);
});

void t.test('bytes that are not HTTP change nothing and do not stop the service', async (t) => {
  const { changes, port } = await serveApi(t);
  const heads = ['', 'POST /instances/i-1/heartbeat HTTP/1.1\r\n', 'GET / HTTP/9\r\n\r\n'];
  const property = fc.asyncProperty(
    fc.constantFrom(...heads),
    fc.uint8Array({ minLength: 1, maxLength: 300 }),
    async (head, bytes) => {
      const socket = connect({ host: '127.0.0.1', port });
      socket.on('error', () => undefined);
      socket.resume();
      socket.end(Buffer.concat([Buffer.from(head), bytes, Buffer.from('\r\n\r\n')]));
      await once(socket, 'close');
      return changes.length === 0;
    },
  );
  await fc.assert(property, { seed: 37, numRuns: 200 });
  t.equal(await postHeartbeat(port, {}), 200);
});

const someLine = fc.oneof(
  fc.string({ unit: 'binary' }),
  fc
    .array(
      fc.constantFrom(
        'START',
        'QUERY',
        'READY',
        'ERROR',
        'ROW',
        'EXECUTE',
        'PREPARE',
        'I',
        '1.2',
        '',
      ),
      { maxLength: 5 },
    )
    .map((words) => words.join(' ')),
);

void t.test('the line codec accepts any bytes without failing', (t) => {
  const property = fc.property(fc.array(someLine, { maxLength: 6 }), fc.nat(), (texts, place) => {
    const bytes = Buffer.from(texts.map((text) => `${text}\r\n`).join(''));
    const cut = bytes.length === 0 ? 0 : place % bytes.length;
    const whole = new LineReader().push(bytes);
    const reader = new LineReader();
    const inTwo = [...reader.push(bytes.subarray(0, cut)), ...reader.push(bytes.subarray(cut))];
    if (inTwo.join('\n') !== whole.join('\n')) return false;
    const kinds = ['start', 'query', 'terminate', 'broken'];
    const messages = new LineCallerCodec().newReader().push(bytes);
    if (messages.length !== whole.length) return false;
    const answers = new AnswerReader();
    for (const line of whole) {
      try {
        answers.push(line);
      } catch (error) {
        if (!(error instanceof RangeError)) return false;
      }
    }
    return messages.every(({ kind }) => kinds.includes(kind));
  });
  fc.assert(property, { seed: 36, numRuns: 1000 });
  const word = fc.stringMatching(/^[!-~]{1,12}$/);
  const roundTrip = fc.property(word, word, fc.constantFrom('read', 'write'), (id, thing, kind) => {
    const argument = kind === 'write' ? `${thing} data` : thing;
    const line = encodeCommand({ kind: 'data', id, statement: { kind, argument } });
    const [, , text] = /^QUERY (\S+) (.*)\r\n$/.exec(line)!;
    const parsed = parseStatement(text!);
    return parsed.kind === kind && 'argument' in parsed && parsed.argument === argument;
  });
  fc.assert(roundTrip, { seed: 36, numRuns: 300 });
  t.end();
});

void t.test('damaged internal messages are decoded or rejected with an error', (t) => {
  const entry = { id: 'i', group: 'g', address: 'a:1', zone: 'z', slots: 5, state: 1, sequence: 9 };
  const body = { catalogRequest: { beat: { instance: entry, role: 1, warmupMs: 5 } } };
  const frame = whinyoke.Envelope.encode({ id: 1, from: 'a:1', body }).finish();
  const property = fc.property(
    fc.array(fc.tuple(fc.nat(), fc.nat(255))),
    fc.nat(),
    (bytes, cut) => {
      const damaged = Buffer.from(frame);
      for (const [place, value] of bytes) damaged[place % damaged.length] = value;
      try {
        whinyoke.Envelope.decode(damaged.subarray(0, cut % (frame.length + 1)));
        return true;
      } catch (error) {
        return error instanceof Error;
      }
    },
  );
  fc.assert(property, { seed: 36, numRuns: 2000 });
  t.end();
});
