/** Graceful shutdown: answers that arrive while the process is stalled. */
import { Worker } from 'node:worker_threads';
import t from 'tap';
import { stopGracefully } from '../../src/appointed/proxy/graceful_stop.js';
import { ShutdownDeadline } from '../../src/appointed/routing/shutdown_deadline.js';
import { CallerConnections } from '../../src/appointed/sessions/caller_connections.js';
import type { SessionSource } from '../../src/appointed/sessions/caller_connection.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { linkTo } from '../tools/linked_connection.js';

const GRACE_MS = 2000;
const ANSWERED_AFTER_MS = 100;

const INSTANCE = `
const { createServer } = require('node:net');
const { parentPort } = require('node:worker_threads');
const server = createServer((socket) => {
  socket.on('error', () => socket.destroy());
  socket.on('data', (chunk) => {
    if (chunk.toString().startsWith('START')) socket.write('READY I 1.1\\r\\n');
    else setTimeout(() => socket.write('COMPLETE s\\r\\nREADY I 1.2\\r\\n'), ${ANSWERED_AFTER_MS});
  });
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

void t.test('an answer that arrived during a stall is used', async (t) => {
  const worker = new Worker(INSTANCE, { eval: true });
  t.teardown(() => worker.terminate());
  const port = await new Promise<number>((resolve) => worker.once('message', resolve));
  const target = { id: 'i', group: 'g', address: `127.0.0.1:${port}`, incarnation: 0 };
  const { connection } = await linkTo(target);
  const clock = new RealClock();
  const shutdown = new ShutdownDeadline(clock);
  let isInFlight = true;
  const stopped = stopGracefully(
    {
      clock,
      shutdown,
      connections: new CallerConnections({ clock } as unknown as SessionSource),
      relayedCount: () => Number(isInFlight),
      closeInstances: () => connection.close(),
      stopAccepting: () => undefined,
    },
    GRACE_MS,
  );
  await new Promise((resolve) => setTimeout(resolve, shutdown.remainingMs - 400));
  const command = { kind: 'data', id: 'r', statement: { kind: 'write', argument: 'x' } } as const;
  const answer = connection.run(command, 1000).then(
    () => 'answered',
    (error: Error) => error.message,
  );
  void answer.then(() => void (isInFlight = false));
  await new Promise((resolve) => setTimeout(resolve, 20));
  // As in the handler of a message: the event loop runs expired timers before it reads sockets again.
  await new Promise((resolve) => setImmediate(resolve));
  // The process is stalled until after the end of the answers; the answer arrives 300 ms before it.
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 450);
  t.equal(await answer, 'answered');
  await stopped;
});
