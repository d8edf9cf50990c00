/** Malformed input at every listener. Guards against random, truncated or oversized input that ends a process. */
import { connect } from 'node:net';
import fc from 'fast-check';
import t from 'tap';
import { type LocalFleet, startLocalFleet } from '../tools/local_fleet.js';

/** Sends bytes; resolves when the peer closes the connection or after a timeout. */
function send(address: string, chunks: readonly Uint8Array[]): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host: host!, port: Number(port) });
    const finish = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve();
    };
    const timer = setTimeout(finish, 60);
    socket.on('error', finish);
    socket.on('close', finish);
    socket.on('connect', () => {
      for (const chunk of chunks) socket.write(chunk);
    });
    socket.resume();
  });
}

const HUGE_LENGTHS = [
  Buffer.from([0xff, 0xff, 0xff, 0xff]),
  Buffer.from([0xff, 0xff, 0xff, 0x01, 0x03]),
  Buffer.from([0x7f, 0xff, 0xff, 0xff, 0x00]),
];

void t.test('processes keep serving after malformed input at any listener', async (t) => {
  const local: LocalFleet = await startLocalFleet();
  t.teardown(() => local.stop());
  const { layout } = local.fleet;
  const addresses = [
    layout.proxies[0]!.listen,
    layout.proxies[0]!.internal,
    layout.controls[0]!.internal,
    layout.proxies[0]!.metrics,
  ];
  const bytes = fc.array(fc.uint8Array({ maxLength: 300 }), { minLength: 1, maxLength: 3 });
  for (const address of addresses) {
    await fc.assert(
      fc.asyncProperty(bytes, (chunks) => send(address, chunks)),
      { seed: 11, numRuns: 12 },
    );
    for (const length of HUGE_LENGTHS) await send(address, [length, Buffer.alloc(70_000)]);
  }
  const connection = await local.connect(0);
  const [rows] = await connection.query('SELECT 1 AS one');
  t.same(rows, [{ one: 1 }]);
  connection.destroy();
  const status = await local.fleet.status();
  t.ok(status.controls.every((control) => control.hasQuorum));
  t.equal(status.proxies.length, layout.proxies.length);
});

void t.test('malformed commands in a session do not affect other sessions', async (t) => {
  const local: LocalFleet = await startLocalFleet();
  t.teardown(() => local.stop());
  const healthy = await local.connect(0);
  const commands = fc.uint8Array({ minLength: 1, maxLength: 60 });
  await fc.assert(
    fc.asyncProperty(commands, async (payload) => {
      const victim = await local.connect(0);
      victim.on('error', () => undefined);
      const inner = victim as unknown as { connection: { stream: NodeJS.WritableStream } };
      const header = Buffer.from([payload.length, 0, 0, 0]);
      inner.connection.stream.write(Buffer.concat([header, payload]));
      await new Promise((resolve) => setTimeout(resolve, 20));
      victim.destroy();
    }),
    { seed: 12, numRuns: 40 },
  );
  const [rows] = await healthy.query('SELECT 1 AS one');
  t.same(rows, [{ one: 1 }]);
  healthy.destroy();
});
