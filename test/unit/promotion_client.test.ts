/** Guards against a call to the platform that never ends, or whose outcome is told wrongly. */
import { type Server, type Socket, createServer } from 'node:net';
import t from 'tap';
import { PromotionClient } from '../../platform/promotion_client.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';

const { AppointOutcome } = whinyoke;
/** Longer than a whole call may take. */
const PATIENCE_MS = 4000;

/** Listens as the platform; resolves with its address. */
async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
}

/** Resolves with a promise's value, or with `open` if there is none in time. */
function withinPatience<T>(promise: Promise<T>): Promise<T | 'open'> {
  const expiry = new Promise<'open'>((resolve) => {
    setTimeout(() => resolve('open'), PATIENCE_MS).unref();
  });
  return Promise.race([promise, expiry]);
}

interface Trial {
  /** What the platform does with a connection. */
  readonly onConnection: (socket: Socket) => unknown;
  /** Milliseconds between preparing and sending. */
  readonly pauseMs: number;
  /** Name of the control machine that calls. */
  readonly holder?: string;
}

/** Prepares and sends one call; resolves with its outcome and what the platform received. */
async function call({
  onConnection,
  pauseMs,
  holder = 'h',
}: Trial): Promise<readonly [string, string]> {
  let received = '';
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => (received += chunk.toString()));
    onConnection(socket);
  });
  const client = new PromotionClient(await listen(server));
  const prepared = await client.prepare('g', 'i-1', { holder, token: 1 });
  await new Promise((resolve) => setTimeout(resolve, pauseMs));
  const outcome = prepared ? await withinPatience(prepared.send()) : 'not prepared';
  await new Promise((resolve) => setTimeout(resolve, 50));
  server.close();
  return [typeof outcome === 'string' ? outcome : AppointOutcome[outcome], received];
}

const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';
const REQUEST_TIMEOUT = 'HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n';

/** Answers once the request is whole. */
function answerWhole(socket: Socket, answer: string): void {
  socket.on('data', (chunk) => {
    if (chunk.toString().includes('}')) socket.write(answer);
  });
}

void t.test('a call that the platform answers', async (t) => {
  const [outcome, received] = await call({
    onConnection: (socket) => answerWhole(socket, OK),
    pauseMs: 20,
  });
  t.equal(outcome, 'APPOINTED');
  t.match(received, /^POST \/promotion HTTP\/1.1\r\n[^]*\r\n\r\n\{"service":"g","id":"i-1"\}$/);
});

void t.test('a holder with a name beyond Latin-1 is sent as UTF-8', async (t) => {
  const onConnection = (socket: Socket): void => answerWhole(socket, OK);
  const holder = 'Zabok-\u010d\u010a';
  const [outcome, received] = await call({ onConnection, pauseMs: 20, holder });
  t.equal(outcome, 'APPOINTED');
  t.match(received, `whinyoke-lease-holder: ${holder}\r\n`);
});

void t.test('an answer before the request was sent ends the call', async (t) => {
  const [kept] = await call({
    onConnection: (socket) => socket.write(REQUEST_TIMEOUT),
    pauseMs: 50,
  });
  t.equal(kept, 'UNKNOWN', 'the request followed the answer');
  const [ended, received] = await call({
    onConnection: (socket) => socket.end(REQUEST_TIMEOUT),
    pauseMs: 50,
  });
  t.equal(ended, 'NOT_SENT');
  t.notMatch(received, /token/, 'nothing beyond the first bytes was sent');
});

void t.test('a connection that the platform ends before the request was sent', async (t) => {
  for (const how of ['end', 'reset'] as const) {
    const [outcome] = await call({
      onConnection: (socket) => (how === 'end' ? socket.end() : socket.resetAndDestroy()),
      pauseMs: 50,
    });
    t.match(outcome, /^(NOT_SENT|not prepared)$/, 'nothing was sent');
  }
});

void t.test('a platform that does not answer', async (t) => {
  const [outcome] = await call({ onConnection: () => undefined, pauseMs: 20 });
  t.equal(outcome, 'UNKNOWN');
});
