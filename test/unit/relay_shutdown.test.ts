/**
 * Statements of other proxies on the connections of a connection owner that shuts down or looks for
 * abandoned transactions. Guards against statements that are begun too late to be answered, and
 * against replies that are lost because the process or the connection ends first.
 */
import t from 'tap';
import { CallerConnections } from '../../src/appointed/sessions/caller_connections.js';
import { stopGracefully } from '../../src/appointed/proxy/graceful_stop.js';
import { encodeRelayCommand } from '../../src/appointed/relay/relay_codec.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { SingleProxyHarness } from '../tools/single_proxy_harness.js';

const { RelayOutcome } = whinyoke;
const GRACE_MS = 6000;
const TIMEOUT_MS = 1000;
/** Longer than a pinned connection may be idle. */
const LONG_TIMEOUT_MS = 12_000;
const WRITE = { kind: 'data', id: 'r-1', statement: { kind: 'write', argument: 'x' } } as const;
const BEGIN = { kind: 'begin', readOnly: false } as const;

type Relayed = Parameters<typeof encodeRelayCommand>[0];

/** A connection owner that has a connection to the primary of a group. */
async function startOwner(): Promise<SingleProxyHarness> {
  const owner = new SingleProxyHarness({ 'i-1': 'z1' });
  await owner.start();
  return owner;
}

/** Sends a command to the owner as another proxy does. */
async function relay(
  owner: SingleProxyHarness,
  command: Relayed,
  connection = '',
  timeoutMs = TIMEOUT_MS,
): Promise<whinyoke.IRelayReply> {
  const relayRequest = {
    instance: 'i-1',
    connection,
    command: encodeRelayCommand(command),
    anyTenant: true,
    waitMs: 100,
    timeoutMs,
  };
  const { relayReply } = await owner.handle({ relayRequest }, '10.7.0.2:7001');
  return relayReply ?? {};
}

/** Shuts the owner down; resolves when its process would end. */
function stop({ core, clock }: SingleProxyHarness): Promise<number> {
  const parts = {
    clock,
    shutdown: core.shutdown,
    connections: new CallerConnections(core),
    relayedCount: () => core.relayedCount,
    closeInstances: () => core.closeInstances(),
    stopAccepting: () => undefined,
  };
  core.startLeaving();
  return stopGracefully(parts, GRACE_MS);
}

function kindsSince(owner: SingleProxyHarness, at: number): InstanceCommand['kind'][] {
  return owner.sentCommands.filter((item) => item.at >= at).map(({ command }) => command.kind);
}

void t.test('a pinned statement that comes too late is refused as not run', async (t) => {
  const owner = await startOwner();
  const { connection } = await owner.runUntilSettled(relay(owner, BEGIN));
  const stopped = stop(owner);
  const inTime = await owner.runUntilSettled(relay(owner, WRITE, connection!));
  t.equal(inTime.outcome, RelayOutcome.ANSWERED, 'a transaction may go on after the signal');
  const endsAt = owner.now + owner.core.shutdown.remainingMs;
  await owner.run(owner.core.shutdown.remainingMs - TIMEOUT_MS / 2);
  const readAt = owner.now;
  const late = await owner.runUntilSettled(relay(owner, WRITE, connection!));
  t.equal(late.outcome, RelayOutcome.NOT_RUN_HERE);
  t.match(late.cause, /shutting down/);
  t.same(kindsSince(owner, readAt), [], 'nothing is sent to the instance');
  t.equal(owner.core.relayedCount, 0, 'its connection is closed, which rolls back');
  const commit = await owner.runUntilSettled(
    relay(owner, { kind: 'commit', id: 'r-2' }, connection!),
  );
  t.equal(commit.outcome, RelayOutcome.NOT_RUN_HERE, 'its COMMIT can not take effect');
  await owner.runUntilSettled(stopped);
  t.ok(owner.now <= endsAt, 'the refusal ends the shutdown early');
});

void t.test('a shutdown ends after the replies to relayed statements in flight', async (t) => {
  const owner = await startOwner();
  const { connection } = await owner.runUntilSettled(relay(owner, BEGIN));
  const stopped = stop(owner);
  await owner.run(owner.core.shutdown.remainingMs - 2 * TIMEOUT_MS);
  owner.unresponsiveInstances.add('i-1');
  const ended: string[] = [];
  const reply = relay(owner, WRITE, connection!).finally(() => ended.push('reply'));
  const end = stopped.finally(() => ended.push('process'));
  t.equal((await owner.runUntilSettled(reply)).outcome, RelayOutcome.LOST);
  await owner.runUntilSettled(end);
  t.same(ended, ['reply', 'process']);
});

void t.test(
  'an abandoned transaction of another proxy does not prolong the conclusion',
  async (t) => {
    const owner = await startOwner();
    await owner.runUntilSettled(relay(owner, BEGIN));
    const stopped = stop(owner);
    await owner.run(owner.core.shutdown.remainingMs - 10);
    const concludedAt = owner.now;
    await owner.runUntilSettled(stopped);
    t.ok(owner.now - concludedAt < 100, 'pinned connections without a statement are closed');
  },
);

void t.test('a pinned connection is not abandoned while a long statement runs on it', async (t) => {
  const owner = await startOwner();
  const { connection } = await owner.runUntilSettled(relay(owner, BEGIN));
  owner.unresponsiveInstances.add('i-1');
  const running = relay(owner, WRITE, connection!, LONG_TIMEOUT_MS);
  await owner.run(LONG_TIMEOUT_MS - 1000);
  owner.unresponsiveInstances.clear();
  t.equal((await owner.runUntilSettled(running)).outcome, RelayOutcome.ANSWERED);
  await owner.run(LONG_TIMEOUT_MS);
  t.equal(owner.core.relayedCount, 0, 'it is abandoned when nothing has followed for long');
});
