/** Configuration documents, and the store of accepted ones against a simple oracle. */
import fc from 'fast-check';
import t from 'tap';
import { readConfiguration } from '../../src/mysql/configuration/configuration.js';
import { ConfigurationStore } from '../../src/mysql/control/configuration_store.js';
import { messageOf } from '../../src/errors/errors.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';

const { SubmissionKind, SubmissionOutcome } = whinyoke;

const GOOD = `name: quetzal
groups:
  - name: payments
    schemas: [payments]
    instances:
      - { address: 10.0.0.1:3306, zone: zone-a }
`;

void t.test('a good document is read with its defaults', (t) => {
  const [group] = readConfiguration(GOOD, 'good.yaml').groups;
  t.equal(group?.limits.slots, 5);
  t.equal(group?.limits.connections, 35);
  t.equal(group?.reads.without_token, 'barrier');
  t.end();
});

const bad: Readonly<Record<string, readonly [text: string, message: RegExp]>> = {
  'unknown key': [GOOD.replace('schemas:', 'schemes: [x]\n    schemas:'), /bad.yaml:4.*schemes/],
  'wrong type': [GOOD.replace('[payments]', '7'), /bad.yaml:4.*schemas/],
  'bad address': [GOOD.replace('10.0.0.1:3306', 'localhost'), /bad.yaml:6.*address/],
  'truncated text': [GOOD.slice(0, -8), /bad.yaml/],
  'no group': ['name: quetzal\n', /bad.yaml.*groups/],
  'duplicate group': [GOOD + GOOD.slice(GOOD.indexOf('  - name')), /configured twice/],
  'more gateways than slots': [
    `${GOOD}    limits: { slots: 2, gateways: 3 }\n`,
    /bad.yaml.*more gateways than slots/,
  ],
  'not a mapping': ['- 1\n', /bad.yaml/],
  'empty text': ['', /bad.yaml/],
  'duplicate key': [`${GOOD}name: other\n`, /bad.yaml:7/],
};

for (const [title, [text, message]] of Object.entries(bad)) {
  void t.test(`${title}: one line with file, line and path`, (t) => {
    try {
      readConfiguration(text, 'bad.yaml');
      t.fail('was accepted');
    } catch (error) {
      t.match(messageOf(error), message);
      t.notMatch(messageOf(error), /\n/);
    }
    t.end();
  });
}

interface OracleDocument {
  readonly revision: number;
  readonly withdrawn: boolean;
}

void t.test('store: revisions, conflicts, resends and snapshots as the oracle says', (t) => {
  const commands = fc.array(
    fc.record({
      id: fc.nat({ max: 12 }).map(String),
      name: fc.constantFrom('a', 'b', 'c'),
      withdraw: fc.boolean(),
      base: fc.option(fc.nat({ max: 10 }), { nil: undefined }),
      restart: fc.boolean(),
    }),
    { maxLength: 40 },
  );
  const held = fc.assert(
    fc.property(commands, (list) => {
      let store = new ConfigurationStore();
      let revision = 0;
      const documents = new Map<string, OracleDocument>();
      const outcomes = new Map<string, string>();
      for (const [index, command] of list.entries()) {
        const current = documents.get(command.name)?.revision ?? 0;
        const isConflict = command.base !== undefined && current > command.base;
        const known = outcomes.get(command.id);
        const expected = known ?? (isConflict ? 'conflict' : `accepted ${revision + 1}`);
        if (known === undefined) {
          outcomes.set(command.id, expected);
          if (!isConflict) {
            revision++;
            documents.set(command.name, { revision, withdrawn: command.withdraw });
          }
        }
        const reply = applyTo(store, index, command);
        const isAccepted = (reply.outcome ?? 0) === SubmissionOutcome.ACCEPTED;
        const got = isAccepted ? `accepted ${reply.revision}` : 'conflict';
        if (got !== expected || store.revision !== revision) return false;
        if (!command.restart) continue;
        const restored = new ConfigurationStore();
        restored.restore(index, store.serialize());
        store = restored;
      }
      const inForce = [...documents].filter(([, document]) => !document.withdrawn);
      return store.inForce.length === inForce.length;
    }),
    { seed: 10, numRuns: 300 },
  );
  t.equal(held, undefined);
  t.end();
});

function applyTo(
  store: ConfigurationStore,
  index: number,
  command: { id: string; name: string; withdraw: boolean; base: number | undefined },
): whinyoke.ISubmitReply {
  const submission: whinyoke.ISubmitRequest = {
    submissionId: command.id,
    kind: command.withdraw ? SubmissionKind.WITHDRAW : SubmissionKind.APPLY,
    name: command.name,
    document: 'x',
    operator: 'o',
    hasBaseRevision: command.base !== undefined,
    baseRevision: command.base ?? 0,
  };
  const checkedRevision = store.revision;
  const bytes = whinyoke.StoreCommand.encode({ submission, checkedRevision }).finish();
  return whinyoke.SubmitReply.decode(store.apply(index, bytes));
}
