/** Session listener: requests on caller connections that are closed. */
import { type Socket, connect } from 'node:net';
import t, { type Test } from 'tap';
import { LineCallerCodec } from '../../platform/caller_codec.js';
import type { CallerReply } from '../../src/appointed/sessions/caller_reply.js';
import type { RequestProgress } from '../../src/appointed/sessions/request_progress.js';
import type { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import { SessionListener } from '../../src/appointed/sessions/session_listener.js';
import { splitAddress } from '../../src/runtime/address.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { SocketAcceptor } from '../../src/runtime/socket_acceptor.js';

/** Session whose statements are answered when the test says so. */
class HeldSession {
  readonly state = 'idle';
  readonly progresses: RequestProgress[] = [];
  private release: (() => void) | undefined;

  execute(_id: string, _statement: unknown, progress: RequestProgress): Promise<CallerReply> {
    this.progresses.push(progress);
    progress.stage = 'sent';
    progress.timeoutMs = 800;
    return new Promise((resolve) => {
      this.release = () => resolve({ rows: [], signature: 's', state: 'idle' });
    });
  }

  answer = (): void => this.release?.();

  close(): void {
    this.release = undefined;
  }
}

interface Setup {
  readonly listener: SessionListener;
  readonly session: HeldSession;
  readonly caller: Socket;
  readonly logged: { readonly event: string; readonly fields: Readonly<Record<string, unknown>> }[];
  received: () => string;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

async function setUp(t: Test): Promise<Setup> {
  const acceptor = await SocketAcceptor.open('127.0.0.1:0');
  const session = new HeldSession();
  const logged: Setup['logged'] = [];
  const listener = new SessionListener(
    new LineCallerCodec(),
    {
      clock: new RealClock(),
      log: ({ name: event }, fields) => void logged.push({ event, fields }),
      awaitTable: () => Promise.resolve(true),
      isCredentialKnown: () => Promise.resolve(true),
      isTooLateFor: () => false,
      openSession: () => session as unknown as RoutedSession,
    },
    acceptor,
  );
  listener.start();
  const caller = connect(splitAddress(acceptor.address));
  caller.on('error', () => undefined);
  let received = '';
  caller.on('data', (chunk) => void (received += chunk.toString()));
  caller.write('START any who\r\n');
  await until(() => received.includes('READY'));
  t.teardown(() => {
    caller.destroy();
    listener.stopAccepting();
    listener.connections.abort('the test is over');
  });
  return { listener, session, caller, logged, received: () => received };
}

void t.test('each request that a stop ends is logged with its stage and time left', async (t) => {
  const { listener, session, caller, logged } = await setUp(t);
  caller.write('QUERY r1 WRITE x 1\r\nQUERY r2 READ x\r\n');
  await until(() => session.progresses.length === 1);
  listener.connections.abort('the time is over');
  t.match(logged, [
    {
      event: 'request_ended_by_stop',
      fields: { request: 'r1', stage: 'sent', reason: 'the time is over' },
    },
    {
      event: 'request_ended_by_stop',
      fields: { request: 'r2', stage: 'queued', remaining_ms: undefined },
    },
  ]);
  const { age_ms: ageMs, remaining_ms: remainingMs } = logged[0]!.fields;
  t.ok(Math.abs(Number(ageMs) + Number(remainingMs) - 800) <= 1, 'age and time left');
});

void t.test('an answered request is not logged', async (t) => {
  const { listener, session, caller, logged, received } = await setUp(t);
  caller.write('QUERY r1 READ x\r\n');
  await until(() => session.progresses.length === 1);
  session.answer();
  await until(() => received().includes('COMPLETE'));
  listener.connections.abort('the time is over');
  t.same(logged, []);
});
