/** Accepts callers of the MySQL protocol through the `mysql2` library and runs their commands. */
import { createServer, type Connection } from 'mysql2';
import type { Server, Socket } from 'node:net';
import { messageOf } from '../../errors/errors.js';
import { CallerConnection, type ServerConnection } from './caller_connection.js';
import type { CallerIdentity, CallerSession } from './caller_session.js';
import type { PendingCommand } from './connection_activity.js';
import { stoppingAnswer } from './error_answer.js';
import { ResultWriter } from './result_writer.js';

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
  /** Called for each command that a stop ends, and again if its answer could not be delivered. */
  readonly onEndedByStop?: (command: EndedCommand) => void;
}

/** A command that a stop ended. */
export interface EndedCommand {
  /** Number of the connection, as told to the caller. */
  readonly connectionId: number;
  readonly name: string;
  /** Milliseconds since it was read. */
  readonly ageMs: number;
  /** `running`: it is about to be answered; `answered`: its answer has not left this process. */
  readonly stage: 'running' | 'answered';
}

interface LibraryServer {
  readonly _server: Server;
  on(event: 'connection', listener: (connection: Connection) => void): void;
  close(callback?: () => void): void;
}

/** A listening MySQL server endpoint. */
export class MysqlListener {
  private readonly connections = new Set<CallerConnection>();
  /** Connections that get an error in place of a greeting. */
  private readonly refused = new Set<Socket>();
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

  /** Refuses new connections with an error, and closes each open one as soon as nothing is in progress on it. */
  drain(): void {
    this.draining = true;
    for (const connection of this.connections) connection.closeWhenIdle();
  }

  /** Whether no caller that has signed on is left. */
  get isDrained(): boolean {
    return ![...this.connections].some((connection) => connection.isSignedOn);
  }

  /** Logs the commands in progress, whose time is over. */
  logEndedCommands(): void {
    for (const connection of this.connections) {
      for (const command of connection.unanswered) this.report(connection, command, 'running');
    }
  }

  /** Whether each command has an answer that has left this process. */
  get isAnswered(): boolean {
    return [...this.connections].every(
      ({ unanswered, undelivered }) => unanswered.length === 0 && undelivered === undefined,
    );
  }

  /** Answers each remaining command and closes all connections behind the answers. */
  conclude(): void {
    for (const connection of this.connections) connection.conclude();
  }

  /** Stops accepting and closes what is left; returns the number of connections whose answers had not left this process. */
  abort(): number {
    this.server.close();
    let cutOff = 0;
    for (const connection of this.connections) {
      const { undelivered } = connection;
      if (undelivered) {
        cutOff++;
        this.report(connection, undelivered, 'answered');
      }
      connection.destroy();
    }
    for (const socket of this.refused) socket.destroy();
    return cutOff;
  }

  private report(
    { connectionId }: CallerConnection,
    { name, readAt }: PendingCommand,
    stage: EndedCommand['stage'],
  ): void {
    const ageMs = Math.round(performance.now() - readAt);
    this.options.onEndedByStop?.({ connectionId, name, ageMs, stage });
  }

  private accept(connection: Connection): void {
    const server = connection as unknown as ServerConnection;
    // A cache of 16,000 client-side statements, half a megabyte that a server never uses.
    server._statements = new Map();
    const socket: Socket = server.stream;
    socket.setNoDelay(true);
    socket.on('error', (error) => this.options.onConnectionError?.(messageOf(error)));
    if (this.draining) {
      this.refuse(server);
      return;
    }
    const isFull = this.connections.size >= this.options.maximumConnections;
    const caller = new CallerConnection(server, this.options, this.nextConnectionId++, isFull);
    this.connections.add(caller);
    socket.on('close', () => {
      this.connections.delete(caller);
      caller.onClosed();
    });
    caller.start();
  }

  private refuse(connection: ServerConnection): void {
    const socket = connection.stream;
    connection.on('error', (error: Error) => {
      this.options.onConnectionError?.(messageOf(error));
      socket.destroy();
    });
    this.refused.add(socket);
    socket.once('close', () => this.refused.delete(socket));
    new ResultWriter(socket).refuseConnection(stoppingAnswer());
    socket.end();
  }
}
