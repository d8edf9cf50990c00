/**
 * Request and response messages over TCP, optionally inside TLS.
 *
 * A frame is a 32-bit big-endian length and one encoded Envelope. In a deployment with a shared key, both sides prove
 * that they know it before the first request (see `shared_key_handshake.ts`). Requests to the same address and lane use
 * one connection. When a peer or the network fails, requests are rejected with an error that says whether they were sent.
 */
import { once } from 'node:events';
import { type Server, type Socket, connect, createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { PeerUnreachableError, messageOf } from '../errors/errors.js';
import { type Envelope, decodeEnvelope, encodeEnvelope } from '../protocol/envelope.js';
import { splitAddress } from './address.js';
import { FRAME_HEADER_BYTES, FrameReader, frame } from './frame.js';
import { OperationsInFlight } from './operations_in_flight.js';
import { MessageTraffic } from './message_traffic.js';
import type { MessageBody, Messenger, RequestHandler } from './runtime.js';
import { type SharedKey, acceptPeer, introduceSelf } from './shared_key_handshake.js';

interface PendingRequest {
  resolve(body: MessageBody): void;
  reject(error: Error): void;
  readonly timeout: NodeJS.Timeout;
  wasSent: boolean;
}

/** Options of a TCP messenger. */
interface TcpMessengerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** TCP port to listen on; 0 selects any free port. */
  readonly port: number;
  /** Key that all processes of a deployment share; if undefined, every peer is trusted. */
  readonly sharedKey: SharedKey | undefined;
  /**
   * Time limit for opening a connection; 1000 by default, and it must exceed a round trip. Operating systems resend a
   * lost SYN packet after a second, so a new connection reaches a machine that has just started sooner.
   */
  readonly connectTimeoutMs?: number;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;

/** One outgoing connection, reused by all requests to the same address and lane. */
class PeerConnection {
  private readonly pending = new Map<number, PendingRequest>();
  private readonly ready: Promise<Socket>;
  private nextId = 1;
  private framesReceived = 0;
  private socket: Socket | undefined;
  /** Whether the connection has failed or was closed and accepts no more requests. */
  closed = false;

  constructor(
    private readonly address: string,
    private readonly from: string,
    private readonly options: TcpMessengerOptions,
    private readonly traffic: MessageTraffic,
  ) {
    this.ready = this.open();
    this.ready.catch((error: unknown) => this.fail(messageOf(error)));
  }

  /** Sends a request and resolves with its answer. */
  request(body: MessageBody, timeoutMs: number): Promise<MessageBody> {
    const id = this.nextId++;
    const framesBefore = this.framesReceived;
    return new Promise((resolve, reject) => {
      const timeout = setTimeout(() => {
        this.pending.delete(id);
        const text = `no answer from ${this.address} within ${timeoutMs} ms`;
        reject(new PeerUnreachableError(text, { sent: pending.wasSent }));
        // Nothing was received since the request: the peer may be gone without a RST or FIN. The next request reconnects.
        if (this.framesReceived === framesBefore) this.close();
      }, timeoutMs);
      const pending: PendingRequest = { resolve, reject, timeout, wasSent: false };
      this.pending.set(id, pending);
      const envelope: Envelope = { id, reply: false, from: this.from, body };
      this.ready.then(
        (socket) => {
          // A request that timed out while the connection was being opened is not sent.
          if (!this.pending.has(id)) return;
          pending.wasSent = true;
          const bytes = frame(encodeEnvelope(envelope));
          this.traffic.note('sent', body, bytes.length);
          socket.write(bytes);
        },
        // The constructor's handler of the same promise has already rejected the request through `fail`.
        () => undefined,
      );
    });
  }

  /** Closes the connection and rejects all pending requests. */
  close(): void {
    this.socket?.destroy();
    this.fail('closed');
  }

  /** Closes the connection after everything that was sent on it; resolves once it is closed. */
  async finish(): Promise<void> {
    if (this.socket && !this.socket.connecting) await endSocket(this.socket);
  }

  private async open(): Promise<Socket> {
    const { sharedKey, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = this.options;
    const socket = connect(splitAddress(this.address));
    this.socket = socket;
    socket.setNoDelay(true);
    socket.once('connect', () => socket.setTimeout(0));
    socket.on('error', (error) => this.fail(error.message));
    socket.on('close', () => this.fail('connection closed'));
    socket.setTimeout(connectTimeoutMs, () => {
      if (socket.connecting) socket.destroy();
    });
    const reader = new FrameReader();
    if (sharedKey) await introduceSelf(socket, reader, sharedKey);
    reader.start(socket, (bytes) => this.receive(bytes));
    return socket;
  }

  private receive(bytes: Buffer): void {
    this.framesReceived++;
    const envelope = decodeEnvelope(bytes);
    this.traffic.note('received', envelope.body, bytes.length + FRAME_HEADER_BYTES);
    const request = this.pending.get(envelope.id);
    if (!request) return;
    this.pending.delete(envelope.id);
    clearTimeout(request.timeout);
    request.resolve(envelope.body);
  }

  private fail(reason: string): void {
    this.closed = true;
    for (const request of this.pending.values()) {
      clearTimeout(request.timeout);
      const { wasSent: sent } = request;
      request.reject(new PeerUnreachableError(`${this.address}: ${reason}`, { sent }));
    }
    this.pending.clear();
  }
}

/** Closes a socket after everything that was written to it; resolves once the peer has closed it too. */
async function endSocket(socket: Socket): Promise<void> {
  if (socket.destroyed) return;
  const closed = once(socket, 'close');
  socket.end();
  // An error ends the connection as well, and its own listener handles it.
  await closed.catch(() => undefined);
}

/** Messenger over TCP. */
export class TcpMessenger implements Messenger {
  /** Counts of the messages that this process sent and received. */
  readonly traffic = new MessageTraffic();
  /** Connections by address and lane. */
  private readonly peers = new Map<string, PeerConnection>();
  private readonly incoming = new Set<Socket>();
  /** Requests of other processes that are being answered. */
  private readonly answering = new OperationsInFlight();
  private server: Server | undefined;
  private localAddress = '';
  private setHandler: (handler: RequestHandler) => void = () => undefined;
  /**
   * Resolves when `serve` is called. Requests that arrive earlier wait for it, because a sender whose connection is open
   * does not retry soon.
   */
  private readonly handler = new Promise<RequestHandler>((resolve) => {
    this.setHandler = resolve;
  });

  constructor(private readonly options: TcpMessengerOptions) {}

  /** Starts listening; resolves with the address at which other processes reach this one. */
  async listen(): Promise<string> {
    const server = createServer((socket) => void this.accept(socket));
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.options.port, this.options.host, resolve);
    });
    const address = server.address();
    const port = typeof address === 'object' && address ? address.port : this.options.port;
    this.localAddress = `${this.options.host}:${port}`;
    return this.localAddress;
  }

  /** Sends a request to a peer and resolves with its answer. */
  request(address: string, body: MessageBody, timeoutMs: number, lane = 0): Promise<MessageBody> {
    const key = `${address}/${lane}`;
    let peer = this.peers.get(key);
    if (!peer || peer.closed) {
      peer = new PeerConnection(address, this.localAddress, this.options, this.traffic);
      this.peers.set(key, peer);
    }
    return peer.request(body, timeoutMs);
  }

  /** Sets the handler for requests of other processes; requests that arrived earlier are answered now. */
  serve(handler: RequestHandler): void {
    this.setHandler(handler);
  }

  /**
   * Shuts down: stops listening, answers the requests that were read, and closes each connection after the peer got everything
   * that was sent. What is left after `limitMs` is closed at once.
   */
  async finish(limitMs: number): Promise<void> {
    const limit = delay(limitMs, undefined, { ref: false });
    this.server?.close();
    await Promise.race([this.answering.settled(), limit]);
    const peers = [...this.peers.values()].map((peer) => peer.finish());
    await Promise.race([Promise.all([...[...this.incoming].map(endSocket), ...peers]), limit]);
    this.destroyConnections();
  }

  /** Closes the listener and all connections. */
  async close(): Promise<void> {
    this.destroyConnections();
    const server = this.server;
    if (server) await new Promise<void>((resolve) => server.close(() => resolve()));
  }

  private destroyConnections(): void {
    for (const peer of this.peers.values()) peer.close();
    for (const socket of this.incoming) socket.destroy();
  }

  private async accept(socket: Socket): Promise<void> {
    this.incoming.add(socket);
    socket.setNoDelay(true);
    // Not logged here: the peer's requests are rejected, and the peer logs them.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.incoming.delete(socket));
    const reader = new FrameReader();
    try {
      if (this.options.sharedKey) await acceptPeer(socket, reader, this.options.sharedKey);
    } catch {
      // Not logged: an unauthenticated client could fill the log. A peer with a wrong key logs its failed requests.
      socket.destroy();
      return;
    }
    reader.start(socket, (bytes) => void this.answering.track(this.answer(socket, bytes)));
  }

  private async answer(socket: Socket, bytes: Buffer): Promise<void> {
    try {
      const request = decodeEnvelope(bytes);
      this.traffic.note('received', request.body, bytes.length + FRAME_HEADER_BYTES);
      const handle = await this.handler;
      const body = await handle(request.body, request.from);
      const reply: Envelope = { id: request.id, reply: true, from: this.localAddress, body };
      // After `end` a write would destroy the connection, with the replies that it still delivers.
      if (socket.destroyed || socket.writableEnded) return;
      const written = frame(encodeEnvelope(reply));
      this.traffic.note('sent', body, written.length);
      socket.write(written);
    } catch (error) {
      // If the handler rejects, no answer is sent, and the sender logs that. RangeError and TypeError are taken as
      // undecodable input and close the connection.
      if (error instanceof RangeError || error instanceof TypeError) socket.destroy();
    }
  }
}
