/** End of the messenger: a request that is read while an earlier reply is being delivered. */
import { connect } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import t from 'tap';
import { encodeEnvelope } from '../../src/protocol/envelope.js';
import { splitAddress } from '../../src/runtime/address.js';
import { frame } from '../../src/runtime/frame.js';
import { TcpMessenger } from '../../src/runtime/tcp_messenger.js';

const REPLY_BYTES = 4 * 1024 * 1024;

async function receivedBytes(sendsAnother: boolean): Promise<number> {
  const server = new TcpMessenger({ host: '127.0.0.1', port: 0, sharedKey: undefined });
  const address = await server.listen();
  let requests = 0;
  server.serve(() =>
    Promise.resolve({ refusal: { reason: requests++ === 0 ? 'x'.repeat(REPLY_BYTES) : 'no' } }),
  );
  const request = (id: number): Buffer =>
    Buffer.from(
      frame(encodeEnvelope({ id, reply: false, from: 'p', body: { statusRequest: {} } })),
    );
  const client = connect(splitAddress(address));
  client.on('error', () => undefined);
  client.write(request(1));
  await setTimeout(50);
  const finished = server.finish(2000);
  await setTimeout(20);
  if (sendsAnother) client.write(request(2));
  await setTimeout(20);
  let bytes = 0;
  client.on('data', (chunk) => void (bytes += chunk.length));
  await finished;
  await setTimeout(50);
  client.destroy();
  return bytes;
}

void t.test(
  'a reply is delivered though another request comes while the connection ends',
  async (t) => {
    t.ok((await receivedBytes(false)) >= REPLY_BYTES, 'without another request');
    t.ok((await receivedBytes(true)) >= REPLY_BYTES, 'with another request');
  },
);
