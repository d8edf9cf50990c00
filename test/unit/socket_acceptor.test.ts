/** Socket acceptor: guards against losing or failing on connections that arrive before the handler is set. */
import { type Socket, connect } from 'node:net';
import t from 'tap';
import { splitAddress } from '../../src/runtime/address.js';
import { SocketAcceptor } from '../../src/runtime/socket_acceptor.js';

const ANY_PORT = '127.0.0.1:0';

function echo(socket: Socket): void {
  socket.on('data', (chunk) => socket.write(chunk));
}

async function connectTo(acceptor: SocketAcceptor): Promise<Socket> {
  const socket = connect(splitAddress(acceptor.address));
  await new Promise((resolve) => socket.once('connect', resolve));
  return socket;
}

function answerOf(socket: Socket): Promise<string> {
  return new Promise((resolve) => socket.once('data', (chunk) => resolve(chunk.toString())));
}

void t.test('data that a client sends before the handler is set is not lost', async (t) => {
  const acceptor = await SocketAcceptor.open(ANY_PORT);
  const early = await connectTo(acceptor);
  early.write('early');
  const answer = answerOf(early);
  await new Promise((resolve) => setTimeout(resolve, 20));
  acceptor.serve(echo);
  t.equal(await answer, 'early');
  const late = await connectTo(acceptor);
  late.write('late');
  t.equal(await answerOf(late), 'late');
  acceptor.close();
  early.write('again');
  t.equal(await answerOf(early), 'again', 'connections stay open when the listener closes');
  early.destroy();
  late.destroy();
});

void t.test(
  'a client that resets its connection before the handler is set affects no other client',
  async (t) => {
    const acceptor = await SocketAcceptor.open(ANY_PORT);
    const leaving = await connectTo(acceptor);
    leaving.resetAndDestroy();
    const staying = await connectTo(acceptor);
    staying.write('here');
    const answer = answerOf(staying);
    acceptor.serve((socket) => {
      socket.on('error', () => socket.destroy());
      echo(socket);
    });
    t.equal(await answer, 'here');
    staying.destroy();
    acceptor.close();
  },
);

void t.test('closing the listener closes the connections that have no handler yet', async (t) => {
  const acceptor = await SocketAcceptor.open(ANY_PORT);
  const waiting = await connectTo(acceptor);
  waiting.on('error', () => undefined);
  const ended = new Promise((resolve) => waiting.once('close', resolve));
  waiting.resume();
  await new Promise((resolve) => setTimeout(resolve, 20));
  acceptor.close();
  await t.resolves(ended);
});
