/**
 * Guards the parsing and encoding of the platform's line protocol, settings, routing documents and
 * command line.
 */
import t from 'tap';
import { LineCallerCodec } from '../../platform/caller_codec.js';
import { readPlainCommand } from '../../platform/command_line.js';
import { AnswerReader } from '../../platform/answer_reader.js';
import {
  encodeCommand,
  encodeReply,
  parsePosition,
  parseStatement,
} from '../../platform/line_codec.js';
import { LineReader, MAXIMUM_LINE_BYTES } from '../../platform/line_reader.js';
import { PlatformDocumentReader } from '../../platform/routing_document.js';
import { readControlSettings, readProxySettings } from '../../platform/settings.js';
import { sharedPreparedName } from '../../src/appointed/instance/statement.js';
import { successReply, errorReply } from '../../src/appointed/sessions/caller_reply.js';

void t.test('a line split between chunks at any byte is reassembled without loss', (t) => {
  const text = 'START db who\r\nQUERY 1 WRITE k \xff\xfe x\r\n';
  for (let cut = 0; cut <= text.length; cut++) {
    const reader = new LineReader();
    const lines = [
      ...reader.push(Buffer.from(text.slice(0, cut), 'latin1')),
      ...reader.push(Buffer.from(text.slice(cut), 'latin1')),
    ];
    t.same(lines, ['START db who', 'QUERY 1 WRITE k \xff\xfe x'], `cut at ${cut}`);
  }
  t.end();
});

void t.test('a message with a lone line feed or carriage return is one message', (t) => {
  const line = 'ROW a\nCOMPLETE 7.1\rREADY I -\n\r\r';
  const bytes = Buffer.from(`${line}\r\nREADY I -\r\n`, 'latin1');
  for (let cut = 0; cut <= bytes.length; cut++) {
    const reader = new LineReader();
    const lines = [...reader.push(bytes.subarray(0, cut)), ...reader.push(bytes.subarray(cut))];
    t.same(lines, [line, 'READY I -'], `cut at ${cut}`);
  }
  t.end();
});

void t.test('a line over 1 MiB is refused before its end arrives', (t) => {
  const reader = new LineCallerCodec().newReader();
  const messages = reader.push(Buffer.alloc(1024 * 1024 + 1, 'x'));
  t.same(messages, [{ kind: 'broken', problem: 'message too long' }]);
  t.end();
});

void t.test('whole messages before one that is too long are not dropped with it', (t) => {
  const whole = 'QUERY 1 COMMIT\r\nTERMINATE\r\n';
  const reader = new LineCallerCodec().newReader();
  const messages = reader.push(Buffer.from(`${whole}${'x'.repeat(MAXIMUM_LINE_BYTES + 1)}`));
  const kinds = messages.map(({ kind }) => kind);
  t.same(kinds, ['query', 'terminate', 'broken']);
  t.same(reader.push(Buffer.from(`\r\n${whole}`)), [], 'nothing after it is a message');
  t.end();
});

void t.test('the longest line is read, and a longer one is not, wherever it is cut', (t) => {
  for (const [line, isRead] of [
    ['x'.repeat(MAXIMUM_LINE_BYTES), true],
    [`${'x'.repeat(MAXIMUM_LINE_BYTES - 1)}\r`, true],
    ['x'.repeat(MAXIMUM_LINE_BYTES + 1), false],
    [`${'x'.repeat(MAXIMUM_LINE_BYTES)}\r`, false],
  ] as const) {
    const bytes = Buffer.from(`${line}\r\n`);
    for (let cut = bytes.length - 4; cut <= bytes.length; cut++) {
      const reader = new LineReader();
      const lines = [...reader.push(bytes.subarray(0, cut)), ...reader.push(bytes.subarray(cut))];
      t.equal(lines.length, isRead ? 1 : 0, `${line.length} bytes, cut at ${cut}`);
      t.equal(reader.hasOverflowed, !isRead);
    }
  }
  t.end();
});

void t.test('caller statements are parsed, and invalid ones are malformed', (t) => {
  t.same(parseStatement('BEGIN READ'), { kind: 'begin', readOnly: true });
  t.same(parseStatement('WRITE k a b  c'), { kind: 'write', argument: 'k a b  c' });
  t.same(parseStatement('EXECUTE s1 k v'), { kind: 'execute', name: 's1', argument: 'k v' });
  t.same(parseStatement('PREPARE s1 WRITE q2c'), {
    kind: 'prepare',
    name: 's1',
    prepared: { access: 'write', shape: 'q2c' },
  });
  const unlisted = ['', 'BEGIN NOW', 'READ', 'PREPARE s1 q', 'AFTER 1.2 READ k', 'RESET', 'commit'];
  const withWords = ['COMMIT now', 'COMMIT ', 'COMMIT\n', 'ROLLBACK x', 'BEGIN ', 'BEGIN READ '];
  const withoutField = [
    'WRITE k',
    'WRITE  d',
    'SET a',
    'SET  v',
    'EXECUTE s1',
    'EXECUTE s1 ',
    'EXECUTE  k',
  ];
  const withoutName = ['PREPARE  READ q', 'DEALLOCATE ', 'DEALLOCATE a b'];
  for (const text of [...unlisted, ...withWords, ...withoutField, ...withoutName]) {
    t.equal(parseStatement(text).kind, 'malformed', text);
  }
  t.end();
});

void t.test('incomplete and unknown caller messages are broken', (t) => {
  const read = (line: string): string =>
    new LineCallerCodec().newReader().push(Buffer.from(`${line}\r\n`))[0]!.kind;
  t.equal(read('START db who'), 'start');
  t.equal(read('START db'), 'broken');
  t.equal(read('QUERY 1'), 'broken');
  t.equal(read('HELLO'), 'broken');
  t.equal(read('TERMINATE'), 'terminate');
  t.equal(read('TERMINATE now'), 'broken');
  t.end();
});

void t.test('an encoded instance command keeps the id, the text and the minimum position', (t) => {
  const after = { term: 3, sequence: 1207 };
  const read = { kind: 'read' as const, argument: '1a4' };
  t.equal(
    encodeCommand({ kind: 'data', id: '5c', statement: read, after }),
    'QUERY 5c AFTER 3.1207 READ 1a4\r\n',
  );
  const prepared = { access: 'write' as const, shape: 'q2c' };
  const execute = { kind: 'execute' as const, prepared, argument: '1a4 xk' };
  t.equal(
    encodeCommand({ kind: 'data', id: '5c', statement: execute }),
    `QUERY 5c EXECUTE ${sharedPreparedName(prepared)} 1a4 xk\r\n`,
  );
  t.equal(encodeCommand({ kind: 'pause', term: 4 }), 'QUERY - PAUSE 4\r\n');
  t.equal(encodeCommand({ kind: 'commit', id: '9' }), 'QUERY 9 COMMIT\r\n');
  t.end();
});

void t.test('instance answers are assembled from lines, and unknown lines throw', (t) => {
  const reader = new AnswerReader();
  t.equal(reader.push('ROW replica 3 3.1209 0 12 2 17'), undefined);
  t.equal(reader.push('COMPLETE -'), undefined);
  const answer = reader.push('READY I 3.1204')!;
  t.match(answer, {
    kind: 'answer',
    answer: {
      state: 'idle',
      position: { term: 3, sequence: 1204 },
      status: { role: 'replica', term: 3, received: { term: 3, sequence: 1209 }, lagMs: 12 },
    },
  });
  reader.push('ERROR READONLY i-7');
  t.match(reader.push('READY E 3.1209'), {
    kind: 'answer',
    answer: { state: 'failed', error: { kind: 'readOnly' } },
  });
  t.throws(() => reader.push('NONSENSE'), RangeError);
  t.equal(parsePosition('-'), undefined);
  t.end();
});

void t.test(
  'a state or an error code that every object inherits is none that the protocol lists',
  (t) => {
    for (const word of ['constructor', '__proto__', 'toString']) {
      const reader = new AnswerReader();
      reader.push(`ERROR ${word} text`);
      t.match(reader.push('READY I -'), { answer: { error: { kind: 'other', text: 'text' } } });
      t.throws(() => reader.push(`READY ${word} -`), RangeError);
    }
    t.end();
  },
);

void t.test('an error or a row that is too long for a line is not written as one', (t) => {
  const longest = 'x'.repeat(MAXIMUM_LINE_BYTES);
  const read = (text: string): string[] => new LineReader().push(Buffer.from(text, 'latin1'));
  const error = read(encodeReply(errorReply('failed', longest, 'idle')));
  t.same([error.length, error[1]], [2, 'READY I -']);
  const row = read(encodeReply({ rows: [longest], signature: '7.1', state: 'idle' }));
  t.same(row, ['ERROR FAILED the answer can not be passed on', 'READY I -']);
  t.end();
});

void t.test('replies to callers carry rows, error, state and position', (t) => {
  t.equal(encodeReply(successReply('open')), 'COMPLETE -\r\nREADY T -\r\n');
  t.equal(
    encodeReply(errorReply('busy', 'no slot; retry after 50 ms', 'idle')),
    'ERROR BUSY no slot; retry after 50 ms\r\nREADY I -\r\n',
  );
  const position = { term: 3, sequence: 9 };
  const reply = { rows: ['a b'], signature: '7.1', state: 'idle' as const, position };
  t.equal(encodeReply(reply), 'ROW a b\r\nCOMPLETE 7.1\r\nREADY I 3.9\r\n');
  t.end();
});

const SETTINGS = [
  'node_name=n-1',
  'ip=10.1.0.8',
  'zone=z1',
  'internal_port_range=7440,7455',
  'seeds=10.1.0.10:8782,10.2.0.8:8782',
  'listen_addresses.frontend=10.1.0.8:8784',
  'listen_addresses.ready=10.1.0.8:8785',
  'listen_addresses.control_plane=10.1.0.8:8782',
  'bounds.grace_period_s=6',
  'data_directory=/data/x',
  'bootstrap=true',
  'fault_tolerance.machines=1',
  'cloud.address=10.200.0.160:8783',
  'some.future_field=1',
];

void t.test(
  'settings with unknown fields are accepted; errors name missing and invalid fields',
  (t) => {
    const proxy = readProxySettings(SETTINGS.join('\n'), 9100);
    t.match(proxy.daemon, { internal: '10.1.0.8:7441', graceMs: 6000, metrics: '10.1.0.8:9100' });
    t.same(proxy.daemon.seeds, ['10.1.0.10:7440', '10.2.0.8:7440']);
    const control = readControlSettings(SETTINGS.join('\n'));
    t.match(control.daemon, { internal: '10.1.0.8:7440', voters: 3, isFirstStart: true });
    for (const [index, line] of SETTINGS.slice(0, -1).entries()) {
      const without = SETTINGS.filter((_, other) => other !== index).join('\n');
      const field = line.split('=')[0]!;
      const reads = [(): unknown => readProxySettings(without), () => readControlSettings(without)];
      const problems = reads.map((read) => {
        try {
          read();
          return '';
        } catch (error) {
          return String(error);
        }
      });
      t.ok(
        problems.some((problem) => problem.includes(field)),
        `the error names the missing field ${field}`,
      );
    }
    const wrong = SETTINGS.join('\n').replace('bootstrap=true', 'bootstrap=maybe');
    t.throws(() => readControlSettings(wrong), /bootstrap/);
    t.end();
  },
);

function documentText(): string {
  const document = {
    version: 7,
    routes: [
      {
        name: 'r1',
        hostname: 'db1',
        path_prefix: '/',
        route_type: 'own_writes',
        timeout_ms: 800,
        target_latency_ms: 200,
        priority: 2,
        service: 's1',
        max_staleness_ms: 2500,
      },
      { name: 'r2', hostname: 'db2', route_type: 'primary', timeout_ms: 800, service: 's1' },
    ],
    services: [{ name: 's1', connection_limit: 32 }],
    limits: { transaction_idle_ms: 3000 },
  };
  return JSON.stringify(document);
}

void t.test('an invalid routing document is refused with an error that names the problem', (t) => {
  const reader = new PlatformDocumentReader();
  const table = reader.read(documentText());
  t.equal(table.version, 7);
  t.match(table.routeByDatabase.get('db1'), {
    group: 's1',
    policy: { kind: 'ownWrites', maximumStalenessMs: 2500 },
  });
  t.equal(table.limitsByGroup.get('s1')?.connectionLimit, 32);
  const invalid: readonly (readonly [text: string, problem: RegExp])[] = [
    [documentText().slice(0, -20), /whole JSON/],
    [documentText().replace('"service":"s1"', '"service":"s9"'), /unknown service s9/],
    [documentText().replace('"timeout_ms":800', '"timeout_ms":0'), /routes\.0\.timeout_ms/],
    [documentText().replace('db2', 'db1'), /host and prefix/],
    [documentText().replace('"version":7', '"version":"x"'), /version/],
    ['[]', /expected object/],
  ];
  for (const [text, problem] of invalid) t.throws(() => reader.read(text), problem);
  t.end();
});

void t.test('hosts and prefixes that only look alike when they are joined are different', (t) => {
  const text = documentText().replace('"db1","path_prefix":"/"', '"db","path_prefix":"1\\n/"');
  const other = text.replace('"db2"', '"db\\n1","path_prefix":"/"');
  t.not(other, text);
  t.doesNotThrow(() => new PlatformDocumentReader().read(other));
  t.end();
});

void t.test('the name of a node holds nothing that a header can not hold', (t) => {
  for (const name of ['n\r1', 'n\t1', 'n\u00001']) {
    const text = SETTINGS.join('\n').replace('node_name=n-1', `node_name=${name}`);
    t.throws(() => readControlSettings(text), /node_name/);
  }
  t.end();
});

void t.test('a valid command line is parsed without yargs; any other is left to yargs', (t) => {
  t.same(readPlainCommand(['proxy', '--metrics-port', '9100']), {
    program: 'proxy',
    metricsPort: 9100,
  });
  t.same(readPlainCommand(['control', '--metrics-port=1']), {
    program: 'control',
    metricsPort: 1,
  });
  t.same(readPlainCommand(['control']), { program: 'control', metricsPort: undefined });
  const others = [
    [],
    ['prox'],
    ['proxy', '--help'],
    ['proxy', 'x'],
    ['proxy', '--metrics-port', 'x'],
  ];
  for (const words of others) t.equal(readPlainCommand(words), undefined, words.join(' '));
  t.end();
});
