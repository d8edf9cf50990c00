/** Guards against a request to an instance that is delivered after it was given up. */
import { once } from 'node:events';
import { type AddressInfo, type Socket, createServer } from 'node:net';
import t, { type Test } from 'tap';
import type { InstanceConnection } from '../../src/appointed/instance/instance_connection.js';
import { linkTo } from '../tools/linked_connection.js';

interface Link {
  readonly connection: InstanceConnection;
  /** The instance's side of the connection, which answers to nothing but the start. */
  readonly instance: Socket;
}

/** Connects to an instance that listens until the test ends. */
async function connectTo(t: Test): Promise<Link> {
  const server = createServer((socket) => {
    socket.once('data', () => socket.write('READY I -\r\n'));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const target = { id: 'i-1', group: 'g', address: `127.0.0.1:${port}` };
  const { connection } = await linkTo(target);
  const [instance] = await accepted;
  return { connection, instance };
}

/** How the connection ends at the instance. */
function endOf(instance: Socket): Promise<string> {
  return new Promise((resolve) => {
    instance.once('end', () => resolve('end'));
    instance.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code ?? ''));
    instance.resume();
  });
}

void t.test('a request that is given up resets its connection', async (t) => {
  const { connection, instance } = await connectTo(t);
  const end = endOf(instance);
  await t.rejects(connection.run({ kind: 'resume' }, 20), /no answer within 20 ms/);
  t.equal(await end, 'ECONNRESET');
});

void t.test('a connection without requests is closed in order', async (t) => {
  const { connection, instance } = await connectTo(t);
  const end = endOf(instance);
  connection.close();
  t.equal(await end, 'end');
});
