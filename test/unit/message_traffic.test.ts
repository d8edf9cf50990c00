/** Message counts: guards against byte counts that differ between sender and receiver. */
import t from 'tap';
import { MessageTraffic } from '../../src/runtime/message_traffic.js';
import { TcpMessenger } from '../../src/runtime/tcp_messenger.js';

void t.test('both ends count a request and its answer with the same number of bytes', async (t) => {
  const open = (): TcpMessenger =>
    new TcpMessenger({ host: '127.0.0.1', port: 0, sharedKey: undefined });
  const [client, server] = [open(), open()];
  t.teardown(() => Promise.all([client.close(), server.close()]));
  await client.listen();
  const address = await server.listen();
  server.serve(() => Promise.resolve({ syncReply: { accepted: true, update: Buffer.alloc(90) } }));
  await client.request(address, { syncRequest: { waitMs: 5 } }, 1000);
  const sent = client.traffic.all.find(({ direction }) => direction === 'sent');
  const received = client.traffic.all.find(({ direction }) => direction === 'received');
  t.match(sent, { kind: 'syncRequest', messages: 1 });
  t.match(received, { kind: 'syncReply', messages: 1 });
  t.ok(received!.bytes > 94 && received!.bytes < 200);
  const byKind = new Map(server.traffic.all.map(({ kind, bytes }) => [kind, bytes]));
  t.equal(byKind.get('syncRequest'), sent!.bytes);
  t.equal(byKind.get('syncReply'), received!.bytes);
});

void t.test('a body without a field is counted as kind empty', (t) => {
  const traffic = new MessageTraffic();
  traffic.note('sent', {}, 8);
  traffic.note('sent', {}, 8);
  t.same(traffic.all, [{ kind: 'empty', direction: 'sent', messages: 2, bytes: 16 }]);
  t.end();
});
