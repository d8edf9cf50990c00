/** TCP messenger: unresponsive peers, connections without a shared key, and requests before the handler is set. */
import { type Socket, createServer } from 'node:net';
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
    await new Promise((resolve) => setTimeout(resolve, 100));
    server.serve(() => Promise.resolve({ refusal: { reason: 'served late' } }));
    t.equal((await answered).refusal?.reason, 'served late');
    await client.close();
    await server.close();
  },
);
