/**
 * The log of a consensus member on a disk whose truncations, removals and syncs fail, and whose operations may fail after
 * their effect.
 */
import fc from 'fast-check';
import t from 'tap';
import { DISK_OPERATIONS } from '../../lab/simulation/disk_failures.js';
import type { LogEntry } from '../../src/consensus/log_entry.js';
import { RaftLog } from '../../src/consensus/raft_log.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { type Effect, FailingFolder } from '../tools/failing_folder.js';
import { FailingMember } from '../tools/failing_member.js';

const EFFECTS: readonly Effect[] = ['none', 'partly', 'whole'];
/** Three entries of this size need two segments. */
const LARGE_BYTES = 150 * 1024;
/** Longer than any queue of writes of the test. */
const SETTLE_MS = 500;

function entry(index: number, term: number, bytes = 1): LogEntry {
  const kind = whinyoke.EntryKind.COMMAND;
  return { term, index, kind, command: new Uint8Array(bytes).fill(term), membership: undefined };
}

function termsOf(log: RaftLog): (number | undefined)[] {
  const first = (log.snapshot?.lastIndex ?? 0) + 1;
  const count = log.lastIndex - first + 1;
  return Array.from({ length: count }, (_, offset) => log.termAt(first + offset));
}

/** A log with five entries of term 1. */
async function openWithEntries(folder: FailingFolder, bytes?: number): Promise<RaftLog> {
  const log = await RaftLog.open(folder);
  for (let index = 1; index <= 5; index++) await log.append([entry(index, 1, bytes)]);
  return log;
}

for (const effect of EFFECTS) {
  void t.test(
    `an entry is never stored after entries that it does not follow (truncation fails, effect: ${effect})`,
    async (t) => {
      const folder = new FailingFolder();
      const log = await openWithEntries(folder);
      folder.failNext('truncate', effect);
      log.truncateFrom(3);
      const first = log.append([entry(3, 2), entry(4, 2)]);
      const second = log.append([entry(5, 2)]);
      await t.rejects(first);
      await t.rejects(second, 'the entry before it was not written');
      t.equal(log.lastIndex, 2);
      const terms = termsOf(await RaftLog.open(folder));
      t.notMatch(terms, [1, 1, 1, 1, 2]);
      t.same(
        terms,
        terms.map(() => 1),
        'only entries of term 1 are on disk',
      );
      t.ok(terms.length >= 2, 'the entries before the truncation are kept');
      await log.append([entry(3, 2), entry(4, 2), entry(5, 2)]);
      t.same(termsOf(await RaftLog.open(folder)), [1, 1, 2, 2, 2]);
    },
  );

  void t.test(
    `a log whose segment could not be removed opens again (effect: ${effect})`,
    async (t) => {
      const folder = new FailingFolder();
      const log = await openWithEntries(folder, LARGE_BYTES);
      folder.failNext('remove', effect);
      log.truncateFrom(2);
      const first = log.append([entry(2, 2)]);
      const second = log.append([entry(3, 2)]);
      await t.rejects(first);
      await t.rejects(second, 'the entry before it was not written');
      await RaftLog.open(folder);
      await log.append([entry(2, 2)]);
      t.same(termsOf(await RaftLog.open(folder)), [1, 2]);
    },
  );

  void t.test(
    `a snapshot in place of conflicting entries leaves none of them after it (removal fails, effect: ${effect})`,
    async (t) => {
      const folder = new FailingFolder();
      const log = await openWithEntries(folder, LARGE_BYTES);
      folder.failNext('remove', effect);
      const state = new Uint8Array([7]);
      await t.rejects(log.compact({ lastIndex: 3, lastTerm: 2, membership: {}, state }));
      const reopened = await RaftLog.open(folder);
      t.same(termsOf(reopened), [], 'entries of term 1 do not follow a snapshot of term 2');
      await reopened.append([entry(4, 2)]);
      t.same(termsOf(await RaftLog.open(folder)), [2]);
    },
  );

  void t.test(
    `a log that ends before its snapshot takes the next entry after a restart (removal fails, effect: ${effect})`,
    async (t) => {
      const folder = new FailingFolder();
      const log = await openWithEntries(folder);
      folder.failNext('remove', effect);
      const state = new Uint8Array([7]);
      await t.rejects(log.compact({ lastIndex: 20, lastTerm: 2, membership: {}, state }));
      const reopened = await RaftLog.open(folder);
      t.equal(reopened.lastIndex, 20);
      await reopened.append([entry(21, 2)]);
      t.equal((await RaftLog.open(folder)).lastIndex, 21);
    },
  );
}

void t.test(
  'a snapshot is stored in place of entries that an earlier failure kept on disk',
  async (t) => {
    const folder = new FailingFolder();
    const log = await openWithEntries(folder);
    folder.failNext('truncate', 'none');
    log.truncateFrom(3);
    const replaced = log.append([entry(3, 2), entry(4, 2), entry(5, 2)]);
    // Memory contains entry 4 of term 2, the disk entry 4 of term 1.
    const state = new Uint8Array([7]);
    const stored = log.compact({ lastIndex: 4, lastTerm: 2, membership: {}, state });
    await t.rejects(replaced);
    await stored;
    t.same(termsOf(await RaftLog.open(folder)), []);
  },
);

void t.test('entries that fit are stored although a snapshot does not fit', async (t) => {
  const folder = new FailingFolder();
  const log = await openWithEntries(folder);
  folder.failNext('replace', 'none');
  const state = new Uint8Array([7]);
  await t.rejects(log.compact({ lastIndex: 4, lastTerm: 1, membership: {}, state }));
  folder.failNext('replace', 'none');
  await t.resolves(log.append([entry(6, 1)]));
  t.same(termsOf(await RaftLog.open(folder)), [1, 1, 1, 1, 1, 1]);
  t.equal(log.durableIndex, 6);
});

const operations = fc.subarray([...DISK_OPERATIONS], { minLength: 1 });
const step = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('propose' as const),
      count: fc.integer({ min: 1, max: 3 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('send' as const),
      back: fc.nat({ max: 4 }),
      count: fc.nat({ max: 4 }),
      isLarge: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('lead' as const), lost: fc.nat({ max: 4 }) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('snapshot' as const), back: fc.nat({ max: 3 }) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('compact' as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('vote' as const),
      candidate: fc.constantFrom('a', 'c'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('commit' as const) }) },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.nat({ max: 6 }) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('settle' as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('restart' as const), losesPower: fc.boolean() }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('fail' as const),
      operations,
      rate: fc.constantFrom(0.15, 0.5, 1),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

async function play(member: FailingMember, item: Step): Promise<void> {
  if (item.kind === 'propose') member.propose(item.count);
  if (item.kind === 'send') member.sendEntries(item.back, item.count, item.isLarge);
  if (item.kind === 'lead') member.changeLeader(item.lost);
  if (item.kind === 'snapshot') member.sendSnapshot(item.back);
  if (item.kind === 'compact') member.compact();
  if (item.kind === 'vote') member.requestVote(item.candidate);
  if (item.kind === 'commit') member.commit();
  if (item.kind === 'wait') await member.run(item.ms);
  if (item.kind === 'settle') await member.run(SETTLE_MS);
  if (item.kind === 'restart') await member.restart(item.losesPower);
  if (item.kind === 'heal') member.setFailures(undefined);
  if (item.kind === 'fail') {
    member.setFailures({ operations: new Set(item.operations), rate: item.rate, slowness: 1 });
  }
}

// Guards against confirmations that a restart takes back, and against a log that does not open or takes no more entries.
void t.test(
  'a member whose disk fails keeps what it confirmed and goes on once the disk works',
  async (t) => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 40 }), fc.nat(), async (steps, seed) => {
        const member = new FailingMember(seed);
        await member.found();
        for (const item of steps) await play(member, item);
        await member.restart(true);
        await member.checkProgress();
        await member.restart(true);
      }),
      { seed: 43, numRuns: Number(process.env['WHINYOKE_TEST_RUNS'] ?? 300) },
    );
    t.pass('all runs kept their promises');
  },
);
