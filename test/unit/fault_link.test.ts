/** Fault link of the soak test: guards against injected faults that have no effect or don't end. */
import { type Socket, connect, createServer } from 'node:net';
import t from 'tap';
import { FaultLink } from '../../lab/fleet/fault_link.js';
import { splitAddress } from '../../src/runtime/address.js';

const HOST = '127.0.0.1';
const BLOCKED_MS = 60;
const DELAY_MS = 50;

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function nextData(socket: Socket): Promise<string> {
  return new Promise((resolve) => socket.once('data', (bytes) => resolve(bytes.toString())));
}

void t.test('a link forwards, blocks one direction, delays and resets connections', async (t) => {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.on('data', (bytes) => {
      received.push(bytes.toString());
      socket.write(`answer to ${bytes.toString()}`);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  const linkAddress = `${HOST}:${port + 1}`;
  const link = await FaultLink.open(linkAddress, `${HOST}:${port}`);
  t.teardown(async () => {
    await link.close();
    server.close();
  });
  const client = connect(splitAddress(linkAddress));
  client.on('error', () => client.destroy());
  client.write('one');
  t.equal(await nextData(client), 'answer to one');

  const unblockAnswers = link.silence(['toClient']);
  const late = nextData(client);
  client.write('two');
  await sleep(BLOCKED_MS);
  t.same(received, ['one', 'two'], 'requests are forwarded');
  const isEarly = await Promise.race([late.then(() => true), sleep(0).then(() => false)]);
  t.notOk(isEarly, 'answers are blocked');
  unblockAnswers();
  t.equal(await late, 'answer to two', 'blocked answers are delivered afterwards');

  const unblockRequests = link.silence(['toServer']);
  client.write('three');
  await sleep(BLOCKED_MS);
  t.equal(received.length, 2, 'requests are blocked');
  unblockRequests();
  t.equal(await nextData(client), 'answer to three');

  const endDelay = link.slowDown(DELAY_MS);
  const sentAt = performance.now();
  client.write('four');
  t.equal(await nextData(client), 'answer to four');
  t.ok(performance.now() - sentAt >= 2 * DELAY_MS - 2, 'each direction is delayed');
  endDelay();

  const closed = new Promise<void>((resolve) => client.once('close', () => resolve()));
  link.resetAll();
  await closed;
});
