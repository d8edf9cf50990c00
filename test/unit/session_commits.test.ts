/** Commits that a session must see in its later reads, while its route moves between groups. */
import t from 'tap';
import type { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import { SessionCommits } from '../../src/appointed/sessions/session_commits.js';
import { type Position, covers } from '../../src/positions/position.js';
import { SingleProxyHarness } from '../tools/single_proxy_harness.js';

const ZONES = { g1: 'z2', g2: 'z1', g3: 'z1' };

/** A proxy before the groups g and h; its replicas of g are preferred to the primary. */
async function createProxy(): Promise<SingleProxyHarness> {
  const proxy = new SingleProxyHarness(ZONES);
  for (const id of ['h1', 'h2', 'h3']) proxy.placeInstance(id, 'z1', 'h');
  proxy.setPrimary('h1', 1, undefined, 'h');
  await proxy.start();
  return proxy;
}

type Execute = ReturnType<SingleProxyHarness['session']>['execute'];

/** Runs a statement whose instance reports a log up to `sequence`. */
async function runAt(
  proxy: SingleProxyHarness,
  execute: Execute,
  statement: Parameters<RoutedSession['execute']>[1],
  sequence: number,
): Promise<void> {
  proxy.received = { term: 1, sequence };
  const reply = await proxy.runUntilSettled(execute(statement));
  if (reply.error) throw new Error(reply.error.text);
}

/** Position that the newest read or BEGIN required of its instance; undefined at the primary of g. */
function requiredPosition({ sentCommands }: SingleProxyHarness): Position | undefined {
  const { instance, command } = sentCommands.findLast(
    (sent) => sent.command.kind === 'data' || sent.command.kind === 'begin',
  )!;
  return instance === 'g1' || !('after' in command) ? undefined : command.after;
}

const WRITE = { kind: 'write', argument: 'x' } as const;
const READ = { kind: 'read', argument: 'x' } as const;

// Guards against a read without the session's own commit after its route moved away, where it wrote, and back.
void t.test('a session sees its commit after its route has moved away and back', async (t) => {
  const proxy = await createProxy();
  const { execute } = proxy.session('mine');
  await runAt(proxy, execute, READ, 1);
  t.same(requiredPosition(proxy), { term: 1, sequence: 1 }, 'a replica serves, up to the bound');
  await runAt(proxy, execute, WRITE, 50);
  await proxy.moveRoute('mine', 'h');
  await runAt(proxy, execute, WRITE, 7);
  await proxy.moveRoute('mine', 'g');
  await runAt(proxy, execute, READ, 50);
  const afterSingle = requiredPosition(proxy);
  t.ok(!afterSingle || covers(afterSingle, { term: 1, sequence: 50 }), 'a single read');
  await runAt(proxy, execute, { kind: 'begin', readOnly: true }, 50);
  await proxy.run(50);
  const afterBegin = requiredPosition(proxy);
  t.ok(!afterBegin || covers(afterBegin, { term: 1, sequence: 50 }), 'a transaction');
});

void t.test('commits of a session are kept by group, and never go back', (t) => {
  const commits = new SessionCommits();
  t.equal(commits.newestIn('g'), undefined);
  commits.record('g', { term: 2, sequence: 9 });
  commits.record('h', { term: 1, sequence: 3 });
  commits.record('g', { term: 2, sequence: 8 });
  t.same(commits.newestIn('g'), { term: 2, sequence: 9 });
  t.same(commits.newestIn('h'), { term: 1, sequence: 3 });
  t.end();
});

// Guards against an acknowledged commit that no proxy can name when a primary is chosen.
void t.test('a write that is answered without a log position is in doubt', async (t) => {
  const proxy = await createProxy();
  const { execute } = proxy.session('own');
  proxy.received = undefined;
  const single = await proxy.runUntilSettled(execute(WRITE));
  t.equal(single.error?.kind, 'inDoubt');
  await proxy.runUntilSettled(execute({ kind: 'begin', readOnly: false }));
  await proxy.runUntilSettled(execute(WRITE));
  const committed = await proxy.runUntilSettled(execute({ kind: 'commit' }));
  t.equal(committed.error?.kind, 'inDoubt', 'a transaction');
  await proxy.runUntilSettled(execute({ kind: 'begin', readOnly: false }));
  await proxy.runUntilSettled(execute(READ));
  const unchanged = await proxy.runUntilSettled(execute({ kind: 'commit' }));
  t.equal(unchanged.error, undefined, 'a transaction that wrote nothing');
});

// Guards against a commit in doubt that the caller can't repeat, where nothing had been kept.
void t.test(
  'a COMMIT that the instance was too busy for is not sent again without a lease',
  async (t) => {
    const proxy = await createProxy();
    const { execute } = proxy.session('own');
    await proxy.runUntilSettled(execute({ kind: 'begin', readOnly: false }));
    await proxy.runUntilSettled(execute(WRITE));
    proxy.isControlUnresponsive = true;
    for (const replica of ['g2', 'g3']) proxy.unresponsiveInstances.add(replica);
    while (proxy.core.syncAgeMs < 2700) await proxy.run(10);
    proxy.refusesCommits = true;
    const committed = execute({ kind: 'commit' });
    while (proxy.core.syncAgeMs <= 3000) await proxy.run(1);
    const leaseEndedAt = proxy.now;
    proxy.refusesCommits = false;
    const { error } = await proxy.runUntilSettled(committed);
    t.equal(error?.kind, 'aborted', 'the caller may run the transaction again');
    const commits = proxy.sentCommands.filter(({ command }) => command.kind === 'commit');
    t.ok(commits.length > 1, 'it was sent again while the lease lasted');
    t.notOk(commits.some(({ at }) => at > leaseEndedAt));
  },
);
