/**
 * Emulated instance with an appointed primary. Guards against an emulation that loses track of
 * committed data, so that the checker calls a fresh read stale.
 */
import t from 'tap';
import { EmulatedInstance, type InstanceStorage } from '../../lab/appointed/emulated_instance.js';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';

const NO_OP_JOURNAL = {
  onArrival: () => undefined,
  onRun: () => undefined,
  onCommit: () => undefined,
  onAppended: () => undefined,
};

void t.test('a primary that steps down does not lose track of its committed writes', async (t) => {
  const process = new VirtualProcess('10.9.0.1', new Scheduler(), new SeededRandom(1), 0);
  const storage: InstanceStorage = { log: [], role: 'primary', term: 1, born: 0, isWhole: true };
  const options = {
    id: 'i-1',
    group: 'group-1',
    zone: 'zone-1',
    slots: 1,
    connectionLimit: 1,
    workMs: 1,
  };
  const instance = new EmulatedInstance(options, process, storage, NO_OP_JOURNAL, () => undefined);
  const committed = { position: { term: 1, sequence: 1 }, requests: ['c1.1'] };
  storage.log.push(committed);
  const session = instance.connect('')!;
  const { answer } = await instance.run(session, { kind: 'stepDown', term: 2 });
  t.equal(answer.status?.role, 'replica');
  t.same(instance.applied, committed.position);
});
