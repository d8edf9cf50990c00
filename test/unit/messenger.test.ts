/** TCP messenger: unresponsive peers, connections without a shared key, requests before the handler is set, and the close at a shutdown. */
import { type Socket, createServer } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import t from 'tap';
import { TcpMessenger } from '../../src/runtime/tcp_messenger.js';

const HOST = '127.0.0.1';

void t.test(
  'a request timeout on a connection that received nothing makes the next request reconnect',
  async (t) => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => socket.destroy());
      socket.resume();
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const address = server.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    const messenger = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
    for (let attempt = 1; attempt <= 3; attempt++) {
      await t.rejects(messenger.request(`${HOST}:${port}`, { statusRequest: {} }, 100));
      t.equal(sockets.length, attempt, 'each attempt opens a new connection');
    }
    await messenger.close();
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  },
);

void t.test('a request is answered when neither side has a shared key', async (t) => {
  const server = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
  server.serve((body) =>
    Promise.resolve({ refusal: { reason: `got ${Object.keys(body).join()}` } }),
  );
  const address = await server.listen();
  const client = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
  const answer = await client.request(address, { statusRequest: {} }, 2000);
  t.match(answer.refusal?.reason, /got .*statusRequest/);
  await client.close();
  await server.close();
});

void t.test(
  'a request that arrives before the handler is set is answered once it is set',
  async (t) => {
    const server = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
    const address = await server.listen();
    const client = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
    const answered = client.request(address, { statusRequest: {} }, 2000);
    await setTimeout(100);
    server.serve(() => Promise.resolve({ refusal: { reason: 'served late' } }));
    t.equal((await answered).refusal?.reason, 'served late');
    await client.close();
    await server.close();
  },
);

void t.test('a shutdown does not lose the reply to a request that is being answered', async (t) => {
  const server = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
  const address = await server.listen();
  const reason = 'x'.repeat(4 * 1024 * 1024);
  let onReceived: () => void = () => undefined;
  const received = new Promise<void>((resolve) => {
    onReceived = resolve;
  });
  server.serve(async () => {
    onReceived();
    await setTimeout(50);
    return { refusal: { reason } };
  });
  const client = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
  const answered = client.request(address, { statusRequest: {} }, 2000);
  await received;
  const startedAt = performance.now();
  await server.finish(1000);
  t.ok(performance.now() - startedAt < 900, 'it ends when the reply has been delivered');
  t.equal((await answered).refusal?.reason?.length, reason.length, 'the whole reply arrives');
  await t.rejects(client.request(address, { statusRequest: {} }, 500), 'nothing is accepted later');
  await client.close();
});

void t.test('a shutdown does not wait for a request that is never answered', async (t) => {
  const server = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
  const address = await server.listen();
  let onReceived: () => void = () => undefined;
  const received = new Promise<void>((resolve) => {
    onReceived = resolve;
  });
  server.serve(() => {
    onReceived();
    return new Promise(() => undefined);
  });
  const client = new TcpMessenger({ host: HOST, port: 0, sharedKey: undefined });
  const answered = t.rejects(client.request(address, { statusRequest: {} }, 2000));
  await received;
  const startedAt = performance.now();
  await server.finish(100);
  const durationMs = performance.now() - startedAt;
  t.ok(durationMs >= 90 && durationMs < 500, 'it ends at its limit');
  await answered;
  await client.close();
});
