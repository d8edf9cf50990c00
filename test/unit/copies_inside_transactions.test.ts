/** Guards against a second copy of an answer that is taken for that of a statement inside a transaction, or of one after it. */
import t from 'tap';
import type { InstanceAnswer } from '../../src/appointed/instance/instance_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { ModelInstance } from '../tools/model_instance.js';

const BEGIN: InstanceCommand = { kind: 'begin', readOnly: false };
const ROLLBACK: InstanceCommand = { kind: 'rollback', id: '-' };
const WRITE: InstanceCommand = {
  kind: 'data',
  id: '1',
  statement: { kind: 'write', argument: 'k v' },
};

/** Opens a transaction in which a write is refused; returns the refusal. */
async function refuseWriteInTransaction(instance: ModelInstance): Promise<InstanceAnswer> {
  const begin = instance.run(BEGIN);
  instance.answerNext();
  await begin.result;
  const write = instance.run(WRITE);
  instance.answerNext('busy');
  return write.result;
}

function answerAll(instance: ModelInstance): void {
  while (instance.queue.length > 0) instance.answerNext();
}

/** What the sender is told: the kind of error, `success`, or `unknown` if the command may have run. */
function outcomeOf(result: Promise<InstanceAnswer>): Promise<string> {
  return result.then(
    ({ error }) => error?.kind ?? 'success',
    () => 'unknown',
  );
}

void t.test('a write that ran in a transaction is not told to be refused', async (t) => {
  const instance = new ModelInstance();
  const refusal = await refuseWriteInTransaction(instance);
  const { result, fate } = instance.run(WRITE);
  instance.deliver(refusal);
  answerAll(instance);
  t.ok(fate.hasRun);
  t.not(await outcomeOf(result), 'busy');
});

void t.test('a signed answer is not that of a command that runs no statement', async (t) => {
  const instance = new ModelInstance();
  const { result } = instance.run({ kind: 'set', name: 'a', value: '1' });
  instance.deliver({ rows: [], signature: 's9', state: 'idle' });
  t.not(await outcomeOf(result), 'success');
});

void t.test('copies from a transaction do not refuse a write after it', async (t) => {
  const instance = new ModelInstance();
  const refusal = await refuseWriteInTransaction(instance);
  const [begun] = instance.answers;
  const rollback = instance.run(ROLLBACK);
  answerAll(instance);
  await rollback.result;
  const { result, fate } = instance.run(WRITE);
  instance.deliver(refusal);
  instance.deliver(begun!);
  answerAll(instance);
  t.ok(fate.hasRun);
  t.not(await outcomeOf(result), 'busy');
});
