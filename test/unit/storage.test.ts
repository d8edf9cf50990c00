/**
 * Durable records and configuration: guards against losing acknowledged data in a crash, and against taking damage in the
 * middle of a file for an incomplete write at its end.
 */
import fc from 'fast-check';
import t from 'tap';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualDisk } from '../../lab/simulation/virtual_disk.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import { StorageCorruptionError } from '../../src/errors/errors.js';
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import {
  ConfigurationKeeper,
  type ConfigurationState,
} from '../../src/mysql/proxy/configuration_keeper.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { decodeRecords, encodeBatch, encodeRecord } from '../../src/storage/record_codec.js';
import { RecordFile } from '../../src/storage/record_file.js';

const NAME = 'records';

/** A virtual disk with the scheduler and random source of the processes that use it. */
function machine(seed: number): { scheduler: Scheduler; disk: VirtualDisk; random: SeededRandom } {
  const random = new SeededRandom(seed);
  return { scheduler: new Scheduler(), disk: new VirtualDisk(random, 1), random };
}

void t.test('a crash loses or reorders no acknowledged record and adds none', async (t) => {
  const steps = fc.array(
    fc.oneof(
      fc.record({ kind: fc.constant('append' as const), size: fc.nat({ max: 200 }) }),
      fc.record({ kind: fc.constant('crash' as const), afterMs: fc.nat({ max: 4 }) }),
      fc.record({ kind: fc.constant('wait' as const), afterMs: fc.nat({ max: 6 }) }),
    ),
    { maxLength: 25 },
  );
  await fc.assert(
    fc.asyncProperty(steps, fc.nat(), async (commands, seed) => {
      const { scheduler, disk, random } = machine(seed);
      let process = new VirtualProcess('host', scheduler, random);
      const sent: string[] = [];
      let acknowledged: string[] = [];
      const open = async (): Promise<RecordFile> => {
        const opening = RecordFile.open(disk.open(process), NAME);
        await scheduler.runUntil(scheduler.now + 10);
        const { file, records } = await opening;
        const found = records.map((record) => record.payload.toString());
        // The file holds a prefix of the appended records that includes every acknowledged one.
        t.ok(found.length >= acknowledged.length);
        t.same(found, sent.slice(0, found.length));
        sent.length = found.length;
        acknowledged = [...found];
        return file;
      };
      let file = await open();
      for (const command of commands) {
        if (command.kind === 'append') {
          const payload = `${sent.length}:${'x'.repeat(command.size)}`;
          sent.push(payload);
          const count = sent.length;
          const opened = process;
          void file.append([Buffer.from(payload)]).then(() => {
            if (opened === process) acknowledged = sent.slice(0, count);
          });
          continue;
        }
        await scheduler.runUntil(scheduler.now + command.afterMs);
        if (command.kind === 'wait') continue;
        process.kill();
        disk.crash();
        process = new VirtualProcess('host', scheduler, random);
        file = await open();
      }
    }),
    { seed: 4, numRuns: 150 },
  );
});

void t.test(
  'a proxy that restarts after a crash never loads a configuration older than the one in force',
  async (t) => {
    const steps = fc.array(
      fc.record({
        name: fc.constantFrom('a', 'b', 'c'),
        withdrawn: fc.boolean(),
        size: fc.constantFrom(10, 3000, 40_000),
        crashAfterMs: fc.option(fc.nat({ max: 3 }), { nil: undefined }),
      }),
      { maxLength: 25 },
    );
    await fc.assert(
      fc.asyncProperty(steps, fc.nat(), async (commands, seed) => {
        const { scheduler, disk, random } = machine(seed);
        let process = new VirtualProcess('host', scheduler, random);
        const states: string[] = ['{}'];
        const documents = new Map<string, number>();
        let shown: ConfigurationState = { revision: 0, documents: [] };
        let inForce = 0;
        const open = async (): Promise<ConfigurationKeeper> => {
          const keeper = new ConfigurationKeeper(disk.open(process), ProtectionSet.all, (state) => {
            shown = state;
          });
          const loading = keeper.load();
          await scheduler.runUntil(scheduler.now + 20);
          await loading;
          t.ok(
            keeper.revision >= inForce,
            'the loaded configuration is not older than the one in force',
          );
          const content = shown.documents.map((item) => [item.name, item.revision]);
          const isShown = keeper.revision === 0 || shown.revision === keeper.revision;
          t.ok(isShown);
          if (keeper.revision > 0) {
            t.equal(JSON.stringify(Object.fromEntries(content.sort())), states[keeper.revision]);
          }
          return keeper;
        };
        let keeper = await open();
        for (const { name, withdrawn, size, crashAfterMs } of commands) {
          const revision = states.length;
          if (withdrawn) documents.delete(name);
          else documents.set(name, revision);
          states.push(JSON.stringify(Object.fromEntries([...documents].sort())));
          const change = { name, revision, withdrawn, document: 'x'.repeat(size) };
          const isWhole = keeper.revision < revision - 1;
          const whole = [...documents].map(([item, at]) => ({ name: item, revision: at }));
          const accepted = keeper.accept({
            revision,
            documents: isWhole ? whole : [change],
            complete: isWhole,
          });
          const opened = process;
          void accepted.then(() => {
            if (opened === process) inForce = revision;
          });
          await scheduler.runUntil(scheduler.now + (crashAfterMs ?? 20));
          if (crashAfterMs === undefined) continue;
          process.kill();
          disk.crash();
          process = new VirtualProcess('host', scheduler, random);
          keeper = await open();
          inForce = keeper.revision;
        }
      }),
      { seed: 14, numRuns: 100 },
    );
  },
);

void t.test('an incomplete record at the end is dropped, damage in the middle is rejected', (t) => {
  const records = ['first', 'second', 'third'].map((text) => encodeRecord(Buffer.from(text)));
  const whole = Buffer.concat(records);
  for (let length = 0; length < whole.length; length++) {
    const kept = decodeRecords(whole.subarray(0, length), NAME);
    t.ok(kept.length <= 3 && (kept.at(-1)?.end ?? 0) <= length);
  }
  const damaged = Buffer.from(whole);
  damaged[records[0]!.length + 9]! ^= 1;
  t.throws(() => decodeRecords(damaged, NAME), StorageCorruptionError);
  t.throws(() => decodeRecords(damaged, NAME), { message: /records: damaged record at byte 13/ });
  t.end();
});

void t.test(
  'pages of an unsynced batch reach the disk in any order, and the file opens',
  async (t) => {
    for (let seed = 1; seed <= 200; seed++) {
      const { scheduler, disk, random } = machine(seed);
      disk.reordersPages = true;
      const process = new VirtualProcess('host', scheduler, random);
      const opening = RecordFile.open(disk.open(process), NAME);
      await scheduler.runUntil(scheduler.now + 10);
      const { file } = await opening;
      const payloads = Array.from({ length: 8 }, (_, index) => Buffer.alloc(70, index + 1));
      void file.append(payloads.slice(0, 2));
      await scheduler.runUntil(scheduler.now + 10);
      void file.append(payloads.slice(2));
      process.kill();
      disk.crash();
      const reopening = RecordFile.open(
        disk.open(new VirtualProcess('host', scheduler, random)),
        NAME,
      );
      reopening.catch(() => undefined);
      await scheduler.runUntil(scheduler.now + 10);
      const { records } = await reopening;
      t.ok(records.length >= 2, 'the durable batch is kept');
      const found = records.map(({ payload }) => payload);
      t.same(found, payloads.slice(0, found.length));
    }
  },
);

void t.test('a damaged record before a later batch is rejected', (t) => {
  const [first, second] = ['ab', 'cd'].map((pair) =>
    encodeBatch([...pair].map((text) => Buffer.from(text))),
  );
  const damaged = Buffer.concat([first!, second!]);
  damaged[first!.length - 1]! ^= 1;
  t.throws(() => decodeRecords(damaged, NAME), StorageCorruptionError);
  t.end();
});

void t.test('zeros at the end of a file are not records', (t) => {
  const record = encodeRecord(Buffer.from('only'));
  t.equal(decodeRecords(Buffer.concat([record, Buffer.alloc(64)]), NAME).length, 1);
  t.throws(() => encodeRecord(new Uint8Array(0)), RangeError);
  t.end();
});

void t.test(
  'records that a killed process had not synced are durable once they are read',
  async (t) => {
    for (let seed = 1; seed <= 20; seed++) {
      const { scheduler, disk, random } = machine(seed);
      const open = async (): Promise<{
        process: VirtualProcess;
        file: RecordFile;
        count: number;
      }> => {
        const process = new VirtualProcess('host', scheduler, random);
        const opening = RecordFile.open(disk.open(process), NAME);
        await scheduler.runUntil(scheduler.now + 10);
        const { file, records } = await opening;
        return { process, file, count: records.length };
      };
      const killed = await open();
      void killed.file.append([Buffer.from('unsynced')]);
      await scheduler.runUntil(scheduler.now);
      killed.process.kill();
      const restarted = await open();
      t.equal(restarted.count, 1, 'the cache of the operating system still contains the record');
      restarted.process.kill();
      disk.crash();
      t.equal((await open()).count, 1, 'a power loss after that does not take it back');
    }
  },
);
