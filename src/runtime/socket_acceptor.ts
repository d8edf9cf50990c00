/**
 * Accepts connections before the code that serves them is loaded: a process that starts again is reachable at
 * once, and its first callers wait for it in place of being refused. Loads little, so that it can be loaded first. Owns the
 * listener and the connections that wait; relies on the address being free, without which `open` is rejected.
 */
import { type Server, type Socket, createServer } from 'node:net';
import { splitAddress } from './address.js';

/** Connections that may wait to be accepted. Guess, not measured. */
const BACKLOG = 1024;

/** Listener at one address; connections are held, unread, until there is a handler. */
export class SocketAcceptor {
  private readonly held = new Set<Socket>();
  private handler: ((socket: Socket) => void) | undefined;

  private constructor(private readonly server: Server) {
    server.on('connection', (socket) => this.accept(socket));
  }

  /**
   * Listens at `address`, an IP address and port.
   * @throws Error of the system when it can't
   */
  static async open(address: string): Promise<SocketAcceptor> {
    const server = createServer({ pauseOnConnect: true });
    const acceptor = new SocketAcceptor(server);
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port, backlog: BACKLOG }, resolve);
    });
    return acceptor;
  }

  /** Address of the listener, with the port that was given to it. */
  get address(): string {
    const address = this.server.address();
    return typeof address === 'object' && address ? `${address.address}:${address.port}` : '';
  }

  /** Hands over the connections that were held, and all later ones as they come. */
  serve(handler: (socket: Socket) => void): void {
    this.handler = handler;
    for (const socket of this.held) {
      socket.removeAllListeners('error');
      this.handOver(socket);
    }
    this.held.clear();
  }

  /** Stops to listen; connections that were handed over stay open. */
  close(): void {
    this.server.close();
    for (const socket of this.held) socket.destroy();
    this.held.clear();
  }

  private accept(socket: Socket): void {
    if (this.handler) {
      this.handOver(socket);
      return;
    }
    this.held.add(socket);
    // A caller that leaves before it was read has sent nothing that could be lost.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.held.delete(socket));
  }

  private handOver(socket: Socket): void {
    this.handler?.(socket);
    socket.resume();
  }
}
