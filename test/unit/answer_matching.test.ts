/** Guards against an answer of an instance that is taken for that of another command. */
import t, { type Test } from 'tap';
import type {
  InstanceChannel,
  InstanceMessage,
} from '../../src/appointed/instance/instance_channel.js';
import type {
  InstanceAnswer,
  InstanceErrorKind,
  TransactionState,
} from '../../src/appointed/instance/instance_connection.js';
import {
  MatchedConnection,
  type UnexpectedAnswer,
} from '../../src/appointed/instance/matched_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { BackendConnectionLostError } from '../../src/errors/errors.js';
import { RealClock } from '../../src/runtime/real_clock.js';

const TIMEOUT_MS = 1000;
/** Answers between an answer and its copy. */
const LATE_COPY_ANSWERS = 4000;
const POSITION = { term: 1, sequence: 7 };
const READ: InstanceCommand = { kind: 'data', id: '1', statement: { kind: 'read', argument: 'k' } };
const WRITE: InstanceCommand = {
  kind: 'data',
  id: '2',
  statement: { kind: 'write', argument: 'k v' },
};
const SET: InstanceCommand = { kind: 'set', name: 'a', value: '1' };
const BEGIN: InstanceCommand = { kind: 'begin', readOnly: false };

/** The instance's side of a connection: keeps what was sent, and answers as the test tells it. */
class Instance implements InstanceChannel {
  onMessage: (message: InstanceMessage) => void = () => undefined;
  onClosed: (reason: string) => void = () => undefined;
  closed = false;
  isReceiving = false;
  readonly sent: string[] = [];
  readonly unexpected: UnexpectedAnswer[] = [];
  readonly connection = new MatchedConnection(this, new RealClock(), (item) =>
    this.unexpected.push(item),
  );

  sendStart(): void {
    this.sent.push('start');
  }

  send({ kind }: InstanceCommand): void {
    this.sent.push(kind);
  }

  close(): void {
    this.closed = true;
  }

  run(command: InstanceCommand): Promise<InstanceAnswer> {
    return this.connection.run(command, TIMEOUT_MS);
  }

  answer(answer: InstanceAnswer): void {
    this.onMessage({ kind: 'answer', answer });
  }
}

function signed(signature: string, state: TransactionState = 'idle'): InstanceAnswer {
  return { rows: [`row of ${signature}`], signature, state, position: POSITION };
}

function done(state: TransactionState = 'idle'): InstanceAnswer {
  return { rows: [], signature: '-', state, position: POSITION };
}

function refused(kind: InstanceErrorKind, state: TransactionState = 'idle'): InstanceAnswer {
  return { rows: [], signature: '', error: { kind, text: 'i' }, state, position: POSITION };
}

/** Whether a command failed without a promise that it did not run. */
async function mayHaveRun(run: Promise<InstanceAnswer>): Promise<boolean> {
  const error: unknown = await run.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  return error instanceof BackendConnectionLostError && error.sent;
}

async function started(t: Test): Promise<Instance> {
  const instance = new Instance();
  const start = instance.connection.start({ id: 'i', group: 'g', address: '' }, '', TIMEOUT_MS);
  instance.onMessage({ kind: 'greeting', position: POSITION });
  t.same(await start, POSITION);
  instance.sent.length = 0;
  return instance;
}

void t.test('a second answer to a read is not that of the next read', async (t) => {
  const instance = await started(t);
  const first = instance.run(READ);
  instance.answer(signed('s1'));
  await first;
  const second = instance.run(READ);
  instance.answer(signed('s1'));
  instance.answer(signed('s2'));
  t.equal((await second).signature, 's2');
  t.match(instance.unexpected, [{ command: 'data', outcome: 'dropped' }]);
  t.notOk(instance.connection.closed);
});

void t.test('a second answer to SET is not that of a write', async (t) => {
  const instance = await started(t);
  const set = instance.run(SET);
  instance.answer(done());
  await set;
  const write = instance.run(WRITE);
  instance.answer(done());
  instance.answer(signed('s1'));
  t.equal((await write).signature, 's1');
});

void t.test('a second answer to the start is no answer', async (t) => {
  const instance = await started(t);
  const read = instance.run(READ);
  instance.onMessage({ kind: 'greeting', position: POSITION });
  instance.answer(signed('s1'));
  t.equal((await read).signature, 's1');
});

void t.test(
  'a second answer that arrives while nothing is asked leaves the connection in service',
  async (t) => {
    const instance = await started(t);
    const read = instance.run(READ);
    instance.answer(signed('s1'));
    await read;
    instance.answer(signed('s1'));
    t.notOk(instance.connection.closed);
    instance.answer(signed('s2'));
    t.ok(instance.connection.closed, 'an answer that is no copy closes it');
  },
);

void t.test('a second refusal is no promise that the next write did not run', async (t) => {
  const instance = await started(t);
  const first = instance.run(WRITE);
  instance.answer(refused('busy'));
  t.match(await first, { error: { kind: 'busy' } });
  const second = instance.run(WRITE);
  instance.answer(refused('busy'));
  instance.answer(signed('s1'));
  t.ok(await mayHaveRun(second));
  t.ok(instance.connection.closed);
});

void t.test(
  'a refusal like an earlier one counts once a check shows that it is no copy',
  async (t) => {
    const instance = await started(t);
    const first = instance.run(WRITE);
    instance.answer(refused('busy'));
    await first;
    const second = instance.run(WRITE);
    instance.answer(refused('busy'));
    t.same(instance.sent, ['data', 'data', 'prepare', 'begin', 'rollback']);
    instance.answer(done());
    instance.answer(done('open'));
    instance.answer(done());
    t.match(await second, { error: { kind: 'busy' } });
    t.notOk(instance.connection.closed);
  },
);

void t.test('a second answer to SET does not stand for a SET that was refused', async (t) => {
  const instance = await started(t);
  const first = instance.run(SET);
  instance.answer(done());
  await first;
  const second = instance.run(SET);
  instance.answer(done());
  instance.answer(refused('busy'));
  t.ok(await mayHaveRun(second));
});

void t.test(
  'a SET like an earlier one counts once a check shows that its answer is no copy',
  async (t) => {
    const instance = await started(t);
    const first = instance.run(SET);
    instance.answer(done());
    await first;
    const second = instance.run(SET);
    instance.answer(done());
    t.same(instance.sent, ['set', 'set', 'prepare', 'begin', 'rollback']);
    instance.answer(done());
    instance.answer(done('open'));
    instance.answer(done());
    t.match(await second, { signature: '-' });
  },
);

void t.test('a status of before is not that of now', async (t) => {
  const instance = await started(t);
  const statusAt = (fencedTerm: number): InstanceAnswer => {
    const status = { role: 'replica' as const, term: 1, received: POSITION, fencedTerm, lagMs: 0 };
    return { ...done(), rows: [`replica 1 1.7 ${fencedTerm} 0`], status };
  };
  const first = instance.run({ kind: 'status' });
  instance.answer(statusAt(0));
  await first;
  const second = instance.run({ kind: 'status' });
  instance.answer(statusAt(0));
  t.equal(instance.sent.at(-1), 'prepare');
  instance.answer(statusAt(2));
  t.ok(await mayHaveRun(second));
});

void t.test('a second answer to BEGIN does not stand for a BEGIN that was refused', async (t) => {
  const instance = await started(t);
  const first = instance.run(BEGIN);
  instance.answer(done('open'));
  await first;
  const rollback = instance.run({ kind: 'rollback', id: '-' });
  instance.answer(done());
  await rollback;
  const second = instance.run(BEGIN);
  instance.answer(done('open'));
  t.equal(instance.sent.at(-1), 'prepare');
  instance.answer(refused('readOnly'));
  t.ok(await mayHaveRun(second));
});

void t.test(
  'an answer outside the transaction does not stand for a statement inside it',
  async (t) => {
    const instance = await started(t);
    const begin = instance.run(BEGIN);
    instance.answer(done('open'));
    await begin;
    const write = instance.run(WRITE);
    instance.answer(signed('s1', 'idle'));
    t.ok(await mayHaveRun(write));
  },
);

void t.test('a signed answer confirms what was asked before it', async (t) => {
  const instance = await started(t);
  const set = instance.run(SET);
  instance.answer(done());
  await set;
  const prepare = instance.run({ kind: 'prepare', prepared: { access: 'read', shape: 'q' } });
  const read = instance.run(READ);
  instance.answer(done());
  instance.answer(signed('s1'));
  t.match(await prepare, { signature: '-' });
  t.match(await read, { signature: 's1' });
  t.same(instance.sent, ['set', 'prepare', 'data'], 'without a check');
});

void t.test('an answer does not begin with the rows of a copy that broke off', async (t) => {
  const instance = await started(t);
  instance.isReceiving = true;
  await t.rejects(instance.run(READ), /closed/);
  t.same(instance.sent, [], 'the read is not sent');
  t.match(instance.unexpected, [{ outcome: 'closed' }]);
});

void t.test('bytes that are no message end the connection and what was asked on it', async (t) => {
  const instance = await started(t);
  const write = instance.run(WRITE);
  instance.onMessage({ kind: 'violation', problem: 'unexpected line' });
  t.ok(await mayHaveRun(write));
  t.match(instance.unexpected, [{ outcome: 'closed' }]);
});

void t.test('a copy that comes thousands of answers later is not that of a write', async (t) => {
  const instance = await started(t);
  for (let count = 0; count < LATE_COPY_ANSWERS; count++) {
    const read = instance.run(READ);
    instance.answer(signed(`s${count}`));
    await read;
  }
  const write = instance.run(WRITE);
  instance.answer(signed('s0'));
  instance.answer(signed('own'));
  t.equal((await write).signature, 'own');
  t.match(instance.unexpected, [{ command: 'data', outcome: 'dropped' }]);
});
