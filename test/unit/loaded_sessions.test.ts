/** Guards against a connection whose record of values and prepared names differs from what its instance holds. */
import fc from 'fast-check';
import t from 'tap';
import { encodeCommand } from '../../platform/line_codec.js';
import { PooledConnection } from '../../src/appointed/connections/pooled_connection.js';
import {
  type InstanceCommand,
  type PreparedShape,
  sharedPreparedName,
} from '../../src/appointed/instance/statement.js';
import { loadingCommands, recordLoaded } from '../../src/appointed/sessions/session_loader.js';
import { FakeConnection } from '../tools/fake_connection.js';
import { linesOf, parseMessage, parseStatement } from '../tools/wire_parser.js';

const SEED = 61;
/** Most names that a connection keeps. */
const MAXIMUM_NAMES = 256;

/** What an instance holds for a connection, from the lines that it reads. */
class HeldSession {
  readonly values = new Map<string, string>();
  /** Access and shape by name. */
  readonly shapes = new Map<string, string>();

  run(command: InstanceCommand): void {
    const [message] = linesOf(encodeCommand(command)).map(parseMessage);
    if (message?.kind !== 'query') throw new Error('no query');
    if (message.text === 'RESET') {
      this.values.clear();
      this.shapes.clear();
      return;
    }
    const statement = parseStatement(message.text);
    const [name = '', ...fields] = statement?.fields ?? [];
    if (statement?.word === 'SET') this.values.set(name, fields[0]!);
    if (statement?.word === 'PREPARE') this.shapes.set(name, fields.join(' '));
    if (statement?.word === 'DEALLOCATE') this.shapes.delete(name);
  }
}

/** A session that is loaded, and which of its commands the instance refuses. */
interface Load {
  readonly shape: number;
  readonly values: readonly number[];
  readonly refused: readonly boolean[];
}

function shapeOf(number: number): PreparedShape {
  return { access: number % 2 === 0 ? 'read' : 'write', shape: `q${number} WRITE q${number + 1}` };
}

/** Loads a session; returns whether all of its commands succeeded. */
function load(pooled: PooledConnection, held: HeldSession, { shape, values, refused }: Load) {
  const content = {
    values: new Map(values.map((number) => [`v${number}`, `${number}`])),
    prepared: shapeOf(shape),
  };
  const { values: setting, prepared } = loadingCommands(pooled, content);
  const commands = [...setting, ...prepared];
  const run = commands.filter((_command, index) => refused[index] !== true);
  for (const command of run) {
    held.run(command);
    recordLoaded(pooled, command);
  }
  return run.length === commands.length;
}

/** Whether the record of the connection says what the instance holds. */
function isRecordRight(pooled: PooledConnection, held: HeldSession): boolean {
  const recorded = [...pooled.preparedShapes].map(([name, { access, shape }]) => [
    name,
    `${access.toUpperCase()} ${shape}`,
  ]);
  return (
    JSON.stringify(recorded) === JSON.stringify([...held.shapes]) &&
    JSON.stringify([...pooled.values]) === JSON.stringify([...held.values])
  );
}

const anyLoad = fc.record({
  shape: fc.nat(400),
  values: fc.oneof(
    { weight: 20, arbitrary: fc.constant([]) },
    { weight: 1, arbitrary: fc.uniqueArray(fc.nat(3)) },
  ),
  refused: fc.oneof(
    { weight: 20, arbitrary: fc.constant([]) },
    { weight: 1, arbitrary: fc.array(fc.boolean(), { maxLength: 4 }) },
  ),
});

void t.test('a connection with many prepared names, and its instance, hold the same', (t) => {
  const loads = fc.array(anyLoad, { minLength: 300, maxLength: 900, size: 'max' });
  const property = fc.property(loads, (sessions) => {
    const pooled = new PooledConnection(new FakeConnection(), '');
    const held = new HeldSession();
    return sessions.every((session) => {
      const isLoaded = load(pooled, held, session);
      const name = sharedPreparedName(shapeOf(session.shape));
      return isRecordRight(pooled, held) && (!isLoaded || held.shapes.has(name));
    });
  });
  fc.assert(property, { seed: SEED, numRuns: 30 });
  t.end();
});

void t.test(
  'names beyond the maximum are removed, one that could not be removed before too',
  (t) => {
    const pooled = new PooledConnection(new FakeConnection(), '');
    const held = new HeldSession();
    for (let shape = 0; shape <= MAXIMUM_NAMES; shape++) {
      load(pooled, held, { shape, values: [], refused: [shape === MAXIMUM_NAMES] });
    }
    t.equal(held.shapes.size, MAXIMUM_NAMES + 1);
    load(pooled, held, { shape: 1000, values: [], refused: [] });
    t.equal(held.shapes.size, MAXIMUM_NAMES);
    t.end();
  },
);
