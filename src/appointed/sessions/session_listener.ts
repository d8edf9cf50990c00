/** Accepts callers of a text protocol. The codec handles the protocol, each connection runs the statements of its session. */
import type { Socket } from 'node:net';
import type { SocketAcceptor } from '../../runtime/socket_acceptor.js';
import type { SessionSource } from './caller_connection.js';
import { CallerConnections } from './caller_connections.js';
import { type CallerCodec, SocketChannel } from './socket_channel.js';

/** Listener of one proxy. */
export class SessionListener {
  /** Connections that were accepted. */
  readonly connections: CallerConnections;

  constructor(
    private readonly codec: CallerCodec,
    source: SessionSource,
    private readonly acceptor: SocketAcceptor,
  ) {
    this.connections = new CallerConnections(source);
  }

  /** Serves the connections that were accepted, and those that follow. */
  start(): void {
    this.acceptor.serve((socket) => this.accept(socket));
  }

  /** Stops listening; the connections that are served stay open. */
  stopAccepting(): void {
    this.acceptor.close();
  }

  private accept(socket: Socket): void {
    const channel = new SocketChannel(socket, this.codec);
    channel.serve(this.connections.add(channel));
  }
}
