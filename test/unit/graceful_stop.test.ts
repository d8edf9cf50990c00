/** Graceful shutdown of a proxy: whatever a caller sends and whenever, it gets a whole answer before the process ends. */
import t, { type Test } from 'tap';
import { stopGracefully } from '../../src/appointed/proxy/graceful_stop.js';
import { ShutdownDeadline } from '../../src/appointed/routing/shutdown_deadline.js';
import type { CallerStatement } from '../../src/appointed/instance/statement.js';
import type { CallerChannel } from '../../src/appointed/sessions/caller_channel.js';
import type { CallerConnection } from '../../src/appointed/sessions/caller_connection.js';
import { CallerConnections } from '../../src/appointed/sessions/caller_connections.js';
import type { CallerReply } from '../../src/appointed/sessions/caller_reply.js';
import type { TransactionState } from '../../src/appointed/instance/instance_connection.js';
import { SingleProxyHarness } from '../tools/single_proxy_harness.js';

const GRACE_MS = 6000;
/** Timeout of the harness's routes. */
const TIMEOUT_MS = 1000;
const WRITE: CallerStatement = { kind: 'write', argument: 'x' };

/** A message that a caller received. */
type Received =
  | { readonly kind: 'ready'; readonly state: TransactionState }
  | { readonly kind: 'error'; readonly error: string; readonly text: string }
  | { readonly kind: 'reply'; readonly reply: CallerReply };

/** Channel of a caller that closes when it is asked to, or when nothing more is sent to it. */
class RecordingChannel implements CallerChannel {
  readonly received: Received[] = [];
  connection: CallerConnection | undefined;
  isClosed = false;
  /** Whether the operating system takes replies over. */
  delivers = true;
  /** Whether the caller closes its connection at an announcement. */
  closesWhenAsked = true;

  sendReady(state: TransactionState): void {
    this.received.push({ kind: 'ready', state });
  }

  sendError(error: string, text: string): void {
    this.received.push({ kind: 'error', error, text });
    if (this.closesWhenAsked) queueMicrotask(() => this.close());
  }

  sendReply(reply: CallerReply, onDelivered: () => void): void {
    this.received.push({ kind: 'reply', reply });
    if (this.delivers) onDelivered();
  }

  end(): void {
    this.close();
  }

  destroy(): void {
    this.close();
  }

  private close(): void {
    this.isClosed = true;
    this.connection?.handleClose();
  }
}

interface StoppedProxy {
  readonly harness: SingleProxyHarness;
  readonly connections: CallerConnections;
  /** Opens a session. */
  readonly connect: (database: string) => Promise<RecordingChannel>;
  /** Stops the proxy; resolves with the number of callers that were cut off. */
  readonly stop: () => Promise<number>;
}

async function start(): Promise<StoppedProxy> {
  const harness = new SingleProxyHarness({ p1: 'z1', r1: 'z1' });
  await harness.start();
  const { core } = harness;
  const connections = new CallerConnections(core);
  const connect = async (database: string): Promise<RecordingChannel> => {
    const channel = new RecordingChannel();
    channel.connection = connections.add(channel);
    channel.connection.receive([{ kind: 'start', database, credential: 'who' }]);
    await harness.run(1);
    return channel;
  };
  const stop = (): Promise<number> => {
    const { clock, shutdown } = core;
    const relayedCount = (): number => core.relayedCount;
    const closeInstances = (): void => core.closeInstances();
    const proxy = { clock, shutdown, connections, relayedCount, closeInstances };
    return stopGracefully({ ...proxy, stopAccepting: () => undefined }, GRACE_MS);
  };
  return { harness, connections, connect, stop };
}

let lastId = 0;

function send({ connection }: RecordingChannel, statement: CallerStatement): void {
  connection!.receive([{ kind: 'query', id: `r${++lastId}`, statement }]);
}

function lastReply({ received }: RecordingChannel): CallerReply | undefined {
  const last = received.findLast(({ kind }) => kind === 'reply');
  return last?.kind === 'reply' ? last.reply : undefined;
}

/** Instances that received a caller's statement. */
function sentData({ sentCommands }: SingleProxyHarness): number {
  return sentCommands.filter(({ command }) => command.kind === 'data').length;
}

async function expectAllAnswered(t: Test, isUnresponsive: boolean): Promise<void> {
  const { harness, connect, stop } = await start();
  if (isUnresponsive) for (const id of ['p1', 'r1']) harness.unresponsiveInstances.add(id);
  const beganAt = harness.now;
  let endedAt: number | undefined;
  let cutOff: number | undefined;
  void stop().then((count) => {
    cutOff = count;
    endedAt = harness.now;
  });
  const channels: RecordingChannel[] = [];
  for (let number = 0; endedAt === undefined; number++) {
    const channel = await connect(number % 2 === 0 ? 'own' : 'any');
    if (!channel.isClosed) {
      channels.push(channel);
      send(channel, number % 3 === 0 ? { kind: 'read', argument: 'x' } : WRITE);
    }
    await harness.run(20);
  }
  t.equal(cutOff, 0, 'no caller was cut off');
  t.ok(endedAt - beganAt < GRACE_MS, `ended after ${endedAt - beganAt} ms`);
  const unanswered = channels.filter((channel) => !lastReply(channel));
  t.equal(unanswered.length, 0, `unanswered of ${channels.length}`);
  const served = channels.filter((channel) => lastReply(channel)?.error === undefined);
  if (!isUnresponsive) t.ok(served.length > channels.length / 2, `${served.length} were served`);
  t.notOk(harness.events.includes('request_ended_by_stop'));
}

void t.test('callers that arrive until the process ends are all answered', async (t) => {
  await expectAllAnswered(t, false);
});

void t.test('callers are all answered when the instances answer nothing', async (t) => {
  await expectAllAnswered(t, true);
});

void t.test('a write whose timeout ends after the process is refused at once', async (t) => {
  const { harness, connect, stop } = await start();
  // An open transaction keeps the process from ending early.
  const other = await connect('own');
  send(other, { kind: 'begin', readOnly: false });
  const stopped = stop();
  await harness.run(GRACE_MS * 0.9 - TIMEOUT_MS - 100);
  const early = await connect('own');
  send(early, WRITE);
  await harness.run(20);
  t.notOk(lastReply(early)?.error, 'one that may take its whole timeout is served');
  await harness.run(60);
  const late = await connect('own');
  await harness.run(30);
  const sentBefore = sentData(harness);
  send(late, WRITE);
  await harness.run(1);
  t.match(lastReply(late)?.error, { kind: 'busy', text: /shutting down; retry after 50 ms/ });
  t.equal(sentData(harness), sentBefore, 'it was not sent');
  await harness.runUntilSettled(stopped);
});

void t.test('a request that crosses the announced close is refused and not run', async (t) => {
  const { harness, connect, stop } = await start();
  const channel = await connect('own');
  channel.closesWhenAsked = false;
  void stop();
  await harness.run(GRACE_MS * 0.4 + 10);
  t.match(channel.received.at(-1), { kind: 'error', error: 'busy', text: /shutting down/ });
  const sentBefore = sentData(harness);
  send(channel, WRITE);
  t.same(channel.received.at(-1), { kind: 'ready', state: 'idle' }, 'the answer is whole');
  await harness.run(100);
  t.equal(sentData(harness), sentBefore, 'it was not sent');
  t.ok(channel.isClosed);
});

void t.test('an open transaction is aborted when its COMMIT could be left in doubt', async (t) => {
  const { harness, connect, stop } = await start();
  const channel = await connect('own');
  const stopped = stop();
  send(channel, { kind: 'begin', readOnly: false });
  send(channel, WRITE);
  await harness.run(GRACE_MS * 0.9 - TIMEOUT_MS + 1);
  t.equal(lastReply(channel)?.state, 'open', 'it may rest until then');
  send(channel, { kind: 'commit' });
  await harness.run(1);
  t.match(lastReply(channel), { error: { kind: 'aborted' }, state: 'idle' });
  t.notOk(harness.sentCommands.some(({ command }) => command.kind === 'commit'));
  await harness.runUntilSettled(stopped);
});

void t.test('a connection is not closed between two statements of an operation', async (t) => {
  const { harness, connect, stop } = await start();
  const channel = await connect('own');
  const stopped = stop();
  await harness.run(GRACE_MS * 0.4 - 30);
  for (let number = 0; number < 10; number++) {
    send(channel, { kind: 'set', name: 'v', value: String(number) });
    await harness.run(60);
  }
  t.notOk(channel.isClosed);
  await harness.run(200);
  t.ok(channel.isClosed, 'it is closed once it is idle');
  await harness.runUntilSettled(stopped);
});

void t.test('a reply that is not delivered is waited for, and logged at the end', async (t) => {
  const { harness, connect, stop } = await start();
  const channel = await connect('own');
  channel.delivers = false;
  send(channel, WRITE);
  await harness.run(20);
  let cutOff: number | undefined;
  void stop().then((count) => void (cutOff = count));
  await harness.run(GRACE_MS * 0.9);
  t.notOk(channel.isClosed);
  await harness.run(GRACE_MS * 0.1);
  t.equal(cutOff, 1);
  t.ok(harness.events.includes('request_ended_by_stop'));
});

void t.test('a route with a long timeout is served during a shutdown', async (t) => {
  const { core } = await start().then(({ harness }) => harness);
  const route = { ...core.table!.routeByDatabase.get('own')!, timeoutMs: 60_000 };
  const deadline = new ShutdownDeadline(core.clock);
  t.ok(deadline.allows('transaction', route), 'without a limit before it begins');
  deadline.begin(5000);
  for (const need of ['read', 'write', 'transaction'] as const) t.ok(deadline.allows(need, route));
  deadline.expire();
  for (const need of ['read', 'write', 'transaction'] as const) {
    t.notOk(deadline.allows(need, route));
  }
});
