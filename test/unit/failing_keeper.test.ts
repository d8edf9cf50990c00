/** The stored configuration of a proxy whose disk fails. */
import fc from 'fast-check';
import t from 'tap';
import { DISK_OPERATIONS } from '../../lab/simulation/disk_failures.js';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualDisk } from '../../lab/simulation/virtual_disk.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import { ConfigurationKeeper } from '../../src/mysql/proxy/configuration_keeper.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';

const SYNC_MS = 1;
/** Longer than all operations of one change. */
const SETTLE_MS = 50;
/** A few changes of this size are written anew as a whole. */
const LARGE_BYTES = 40_000;

/** A proxy's keeper on a disk that fails; each change replaces the only document. */
class FailingProxy {
  private readonly scheduler = new Scheduler();
  private readonly random: SeededRandom;
  readonly disk: VirtualDisk;
  private process!: VirtualProcess;
  private keeper!: ConfigurationKeeper;
  private newestRevision = 0;
  /** Newest revision that was ever in force. */
  private inForce = 0;
  /** Revision of the document in force now. */
  private shown = 0;
  /** First promise that was broken. */
  private broken: string | undefined;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.disk = new VirtualDisk(this.random, SYNC_MS);
    this.disk.reordersPages = true;
  }

  async start(): Promise<void> {
    this.disk.failures = undefined;
    this.process = new VirtualProcess('host', this.scheduler, this.random);
    this.shown = 0;
    this.keeper = new ConfigurationKeeper(
      this.disk.open(this.process),
      ProtectionSet.all,
      ({ revision, documents }) => {
        this.check(documents[0]?.revision === revision, `revision ${revision} has another content`);
        this.check(revision >= this.inForce, `revision ${revision} follows ${this.inForce}`);
        this.shown = revision;
        this.inForce = revision;
      },
    );
    const loaded = this.keeper.load();
    loaded.catch(() => undefined);
    await this.run(SETTLE_MS);
    await loaded;
    this.check(
      this.shown >= this.inForce,
      `${this.inForce} was in force, ${this.shown} is after a start`,
    );
  }

  run(milliseconds: number): Promise<void> {
    return this.scheduler.runUntil(this.scheduler.now + milliseconds);
  }

  /** Throws what was broken so far. */
  throwIfBroken(): void {
    if (this.broken) throw new Error(this.broken);
  }

  private check(isKept: boolean, message: string): void {
    if (!isKept) this.broken ??= message;
  }

  /** Sends a newer configuration; `waitMs` is the time until the next step. */
  async change(bytes: number, waitMs: number): Promise<void> {
    const revision = ++this.newestRevision;
    const document = { name: 'a', revision, document: 'x'.repeat(bytes) };
    const isRunning = this.process;
    this.keeper.accept({ revision, documents: [document], complete: false }).catch(() => {
      if (isRunning !== this.process) return;
      this.check(this.shown !== revision, `${revision} is in force, but its acceptance failed`);
    });
    await this.run(waitMs);
  }

  async restart(losesPower: boolean): Promise<void> {
    this.process.kill();
    if (losesPower) this.disk.crash();
    await this.start();
  }

  /** On a healthy disk a newer configuration comes into force. */
  async checkProgress(): Promise<void> {
    this.disk.failures = undefined;
    await this.run(SETTLE_MS);
    await this.change(10, SETTLE_MS);
    this.check(this.shown === this.newestRevision, `${this.newestRevision} is not in force`);
  }
}

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('change' as const),
      bytes: fc.constantFrom(10, 300, LARGE_BYTES),
      waitMs: fc.constantFrom(0, 1, 2, SETTLE_MS),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('fail' as const),
      operations: fc.subarray([...DISK_OPERATIONS], { minLength: 1 }),
      rate: fc.constantFrom(0.15, 0.5, 1),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('restart' as const), losesPower: fc.boolean() }),
  },
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

async function play(proxy: FailingProxy, item: Step): Promise<void> {
  if (item.kind === 'change') await proxy.change(item.bytes, item.waitMs);
  if (item.kind === 'restart') await proxy.restart(item.losesPower);
  if (item.kind === 'heal') proxy.disk.failures = undefined;
  if (item.kind === 'fail') {
    proxy.disk.failures = { operations: new Set(item.operations), rate: item.rate, slowness: 1 };
  }
}

// Guards against a proxy that goes back to an older configuration, or accepts none any more.
void t.test(
  'a proxy whose disk fails keeps its configuration and accepts newer ones later',
  async (t) => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 30 }), fc.nat(), async (steps, seed) => {
        const proxy = new FailingProxy(seed);
        await proxy.start();
        for (const item of steps) await play(proxy, item);
        await proxy.checkProgress();
        await proxy.restart(true);
        proxy.throwIfBroken();
      }),
      { seed: 44, numRuns: Number(process.env['WHINYOKE_TEST_RUNS'] ?? 300) },
    );
    t.pass('all runs kept their promises');
  },
);
