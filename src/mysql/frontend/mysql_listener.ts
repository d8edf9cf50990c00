/** Accepts callers of the MySQL protocol through the `mysql2` library and runs their commands. */
import { createServer, type Connection } from 'mysql2';
import type { Server, Socket } from 'node:net';
import { messageOf } from '../../errors/errors.js';
import { CallerConnection, type ServerConnection } from './caller_connection.js';
import type { CallerIdentity, CallerSession } from './caller_session.js';

/** Options of a listener. */
export interface MysqlListenerOptions {
  /** IP address to bind. */
  readonly host: string;
  /** TCP port; 0 takes any free one. */
  readonly port: number;
  /** Password of a user; undefined refuses the user. */
  readonly passwordOf: (user: string) => string | undefined;
  /** Server version shown to clients. */
  readonly serverVersion: string;
  /** Connections held at most; further ones are refused at once. */
  readonly maximumConnections: number;
  /** Opens the session behind a connection. A rejection is shown to the caller. */
  readonly openSession: (identity: CallerIdentity) => Promise<CallerSession>;
  /** Called with anything unexpected on a connection. */
  readonly onConnectionError?: (message: string) => void;
}

interface LibraryServer {
  readonly _server: Server;
  on(event: 'connection', listener: (connection: Connection) => void): void;
  close(callback?: () => void): void;
}

/** A listening MySQL server endpoint. */
export class MysqlListener {
  private readonly connections = new Set<CallerConnection>();
  private readonly server: LibraryServer;
  private nextConnectionId = 1;
  private draining = false;

  constructor(private readonly options: MysqlListenerOptions) {
    this.server = createServer(() => undefined) as unknown as LibraryServer;
    this.server.on('connection', (connection) => this.accept(connection));
  }

  /** Binds the address; resolves with the port. */
  listen(): Promise<number> {
    const server = this.server._server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.options.port, this.options.host, () => {
        const address = server.address();
        resolve(typeof address === 'object' && address ? address.port : this.options.port);
      });
    });
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /**
   * Stops accepting, lets each connection finish its command or transaction, and closes it.
   * @param deadlineMs - after this many milliseconds the rest is closed anyway
   * @returns number of connections that had to be cut off
   */
  async drain(deadlineMs: number): Promise<number> {
    this.draining = true;
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const connection of this.connections) connection.closeWhenIdle();
    let timeout: NodeJS.Timeout | undefined;
    const deadline = new Promise<void>((resolve) => {
      timeout = setTimeout(resolve, deadlineMs);
    });
    await Promise.race([closed, deadline]);
    clearTimeout(timeout);
    const remaining = this.connections.size;
    for (const connection of this.connections) connection.destroy();
    return remaining;
  }

  private accept(connection: Connection): void {
    const server = connection as unknown as ServerConnection;
    // A cache of 16,000 client-side statements, half a megabyte that a server never uses.
    server._statements = new Map();
    const socket: Socket = server.stream;
    socket.setNoDelay(true);
    socket.on('error', (error) => this.options.onConnectionError?.(messageOf(error)));
    const isFull = this.connections.size >= this.options.maximumConnections;
    const caller = new CallerConnection(server, this.options, this.nextConnectionId++, isFull);
    this.connections.add(caller);
    socket.on('close', () => {
      this.connections.delete(caller);
      caller.onClosed();
    });
    if (this.draining) socket.destroy();
    else caller.start();
  }
}
