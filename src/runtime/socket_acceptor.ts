/**
 * Accepts connections before the code that serves them is loaded, so that clients that connect while a process restarts
 * wait instead of being refused. The module has few imports because it is loaded before the rest of the program.
 */
import { type Server, type Socket, createServer } from 'node:net';
import { splitAddress } from './address.js';

/** Length of the operating system's queue of connections that are not accepted yet. */
const BACKLOG = 1024;

/** Listener on one address; connections stay open and unread until a handler is set. */
export class SocketAcceptor {
  private readonly waiting = new Set<Socket>();
  private handler: ((socket: Socket) => void) | undefined;

  private constructor(private readonly server: Server) {
    server.on('connection', (socket) => this.accept(socket));
  }

  /**
   * Listens on `address`, an IP address and port.
   * @throws the operating system's error, for example when the address is in use
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

  /** Address of the listener, with the port that the operating system assigned. */
  get address(): string {
    const address = this.server.address();
    return typeof address === 'object' && address ? `${address.address}:${address.port}` : '';
  }

  /** Sets the handler; it receives the waiting connections at once and later ones when they arrive. */
  serve(handler: (socket: Socket) => void): void {
    this.handler = handler;
    for (const socket of this.waiting) {
      socket.removeAllListeners('error');
      this.handOver(socket);
    }
    this.waiting.clear();
  }

  /** Stops listening and closes waiting connections; those passed to the handler stay open. */
  close(): void {
    this.server.close();
    for (const socket of this.waiting) socket.destroy();
    this.waiting.clear();
  }

  private accept(socket: Socket): void {
    if (this.handler) {
      this.handOver(socket);
      return;
    }
    this.waiting.add(socket);
    // The error needs no report: nothing that the client sent has been read yet.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.waiting.delete(socket));
  }

  private handOver(socket: Socket): void {
    this.handler?.(socket);
    socket.resume();
  }
}
