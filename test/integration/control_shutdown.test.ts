/**
 * Shutdown of the leading control machine as a process. Guards against calls that were read and end
 * with a closed connection instead of an answer, and against a longer absence of a leader.
 */
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout } from 'node:timers/promises';
import t from 'tap';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { TcpMessenger } from '../../src/runtime/tcp_messenger.js';
import { ControlProcesses } from '../tools/control_processes.js';
import { documentWith } from '../tools/placed_proxy.js';

const { CatalogOutcome } = whinyoke;
const CALLERS = 24;
const MESSAGES = 400;
const WARM_UP_MS = 300;
const LONG_POLL_MS = 2000;
/** More than the limits of the shutdown together with twice the election timeout. */
const MAX_DURATION_MS = 2000;

/** Sends whole calls on one connection, one after another, until one is refused or cut off; resolves with the last result. */
async function callUntilRefused(
  address: string,
  nextBody: () => string,
): Promise<number | 'cut' | 'closed'> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const [host, port] = address.split(':');
  const call = (): Promise<{ status: number; closes: boolean } | undefined> =>
    new Promise((resolve) => {
      const options = { host: host!, port: port!, path: '/configuration/replace', method: 'POST' };
      const request = httpRequest({ ...options, agent }, (response) => {
        response.resume();
        const closes = response.headers.connection === 'close';
        response.on('end', () => resolve({ status: response.statusCode!, closes }));
      });
      request.on('error', () => resolve(undefined));
      request.end(nextBody());
    });
  for (;;) {
    const answer = await call();
    if (!answer) return 'cut';
    if (answer.status !== 200) return answer.status;
    if (answer.closes) return 'closed';
  }
}

/** Keeps one long poll open, as a proxy does; resolves with the first refusal. */
async function pollUntilRefused(
  client: TcpMessenger,
  address: string,
): Promise<whinyoke.ISyncReply | null | undefined> {
  const proxy = { id: 'p', incarnation: '1', address: '127.0.0.1:1', zone: 'z1' };
  const syncRequest = { proxy, waitMs: LONG_POLL_MS, knownVersion: 1_000_000_000 };
  for (;;) {
    const { syncReply } = await client.request(address, { syncRequest }, 2 * LONG_POLL_MS, 1);
    if (!syncReply?.accepted) return syncReply;
  }
}

void t.test('a control machine that stops answers every call that it has read', async (t) => {
  const controls = new ControlProcesses();
  t.teardown(() => controls.stop());
  const leader = await controls.awaitLeader();
  await setTimeout(WARM_UP_MS);
  const client = new TcpMessenger({ host: '127.0.0.1', port: 0, sharedKey: undefined });
  t.teardown(() => client.close());
  let version = 0;
  const calls = Array.from({ length: CALLERS }, () =>
    callUntilRefused(leader.api, () => documentWith(++version, {})),
  );
  await setTimeout(WARM_UP_MS);
  const longPoll = Promise.allSettled([pollUntilRefused(client, leader.internal)]);
  const messages = Array.from({ length: MESSAGES }, () =>
    client.request(leader.internal, { catalogRequest: { readDocument: true } }, 2000, 2),
  );
  const settled = Promise.allSettled(messages);
  await Promise.race(messages);
  const stoppedAt = performance.now();
  const exit = leader.stop();
  const results = await Promise.all(calls);
  t.notOk(results.includes('cut'), 'calls of operators are answered');
  const replies = await settled;
  const cut = replies.filter(({ status }) => status === 'rejected');
  t.equal(cut.length, 0, 'requests of other processes are answered');
  const outcomes = replies.map(
    (reply) => reply.status === 'fulfilled' && reply.value.catalogReply?.outcome,
  );
  t.ok(outcomes.includes(CatalogOutcome.DONE));
  const [poll] = await longPoll;
  t.match(poll, { value: { accepted: false } }, 'a long poll is refused');
  t.equal(await exit, 0);
  t.ok(performance.now() - stoppedAt < MAX_DURATION_MS, 'it ends soon');
  const next = await controls.awaitLeader(leader);
  t.comment(
    `${results.filter((result) => result === 'cut').length} calls and ${cut.length} requests cut off`,
  );
  const ledUntil = leader.ledUntil ?? stoppedAt;
  t.comment(
    `no leader for ${Math.round(next.leadsSince! - ledUntil)} ms, from ${Math.round(ledUntil - stoppedAt)} ms on`,
  );
  t.ok(next.leadsSince! - stoppedAt < MAX_DURATION_MS, 'another machine leads soon');
});
