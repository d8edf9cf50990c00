/**
 * Request and response messages over TCP, optionally inside TLS.
 *
 * Frame: 32-bit big-endian length, then one encoded Envelope. Where a deployment has a shared key, each side
 * proves before its first frame that it knows the key: the server sends a random challenge, the client
 * answers with an HMAC of it (see `shared_key_handshake.ts`).
 *
 * Owns the listener and one connection an address and lane. Peers and the network to them may fail: requests are rejected
 * then, with whether they were sent.
 */
import { type Server, type Socket, connect, createServer } from 'node:net';
import { PeerUnreachableError, messageOf } from '../errors/errors.js';
import { type Envelope, decodeEnvelope, encodeEnvelope } from '../protocol/envelope.js';
import { splitAddress } from './address.js';
import { FRAME_HEADER_BYTES, FrameReader, frame } from './frame.js';
import { MessageTraffic } from './message_traffic.js';
import type { MessageBody, Messenger, RequestHandler } from './runtime.js';
import { type SharedKey, acceptPeer, introduceSelf } from './shared_key_handshake.js';

/** A request whose answer is awaited. */
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
  /** TCP port to listen on; 0 takes any free port. */
  readonly port: number;
  /** Key that all processes of a deployment share; without it, every peer is trusted. */
  readonly sharedKey: SharedKey | undefined;
  /**
   * A connection that is not open by then is given up, in milliseconds; 1000 by default. More than a round trip.
   * A system sends a lost opening packet again after a second, so a machine whose power has just come back is
   * found sooner by a new connection.
   */
  readonly connectTimeoutMs?: number;
}

/** Time to open a connection where the options name none, in milliseconds. Guess, not measured. */
const DEFAULT_CONNECT_TIMEOUT_MS = 1000;

/** One outgoing connection, reused by all requests to the same address. */
class PeerConnection {
  private readonly pending = new Map<number, PendingRequest>();
  private readonly ready: Promise<Socket>;
  private nextId = 1;
  private framesReceived = 0;
  private socket: Socket | undefined;
  /** Whether no request can be sent any more. */
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
    const heardBefore = this.framesReceived;
    return new Promise((resolve, reject) => {
      const timeout = setTimeout(() => {
        this.pending.delete(id);
        const text = `no answer from ${this.address} within ${timeoutMs} ms`;
        reject(new PeerUnreachableError(text, { sent: pending.wasSent }));
        // Nothing at all came meanwhile: the peer may be gone without a sign, so a new connection is due.
        if (this.framesReceived === heardBefore) this.close();
      }, timeoutMs);
      const pending: PendingRequest = { resolve, reject, timeout, wasSent: false };
      this.pending.set(id, pending);
      const envelope: Envelope = { id, reply: false, from: this.from, body };
      this.ready.then(
        (socket) => {
          // One that was given up while the connection was being opened is not sent any more.
          if (!this.pending.has(id)) return;
          pending.wasSent = true;
          const bytes = frame(encodeEnvelope(envelope));
          this.traffic.note('sent', body, bytes.length);
          socket.write(bytes);
        },
        // `fail` has rejected the request: the constructor listens to the same promise.
        () => undefined,
      );
    });
  }

  /** Ends the connection and all requests on it. */
  close(): void {
    this.socket?.destroy();
    this.fail('closed');
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

/** Messenger over TCP. */
export class TcpMessenger implements Messenger {
  /** What this process sent and received. */
  readonly traffic = new MessageTraffic();
  /** Connections by address and lane. */
  private readonly peers = new Map<string, PeerConnection>();
  private readonly incoming = new Set<Socket>();
  private server: Server | undefined;
  private localAddress = '';
  private setHandler: (handler: RequestHandler) => void = () => undefined;
  /**
   * Requests that come before the process can serve them wait for this: their senders do not ask again soon, since the
   * connection is open.
   */
  private readonly handler = new Promise<RequestHandler>((resolve) => {
    this.setHandler = resolve;
  });

  constructor(private readonly options: TcpMessengerOptions) {}

  /** Starts listening; resolves with the address others reach this process at. */
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

  /** Sets the handler for requests of other processes; requests that came before are answered now. */
  serve(handler: RequestHandler): void {
    this.setHandler(handler);
  }

  /** Closes the listener and all connections. */
  async close(): Promise<void> {
    for (const peer of this.peers.values()) peer.close();
    for (const socket of this.incoming) socket.destroy();
    const server = this.server;
    if (server) await new Promise<void>((resolve) => server.close(() => resolve()));
  }

  private async accept(socket: Socket): Promise<void> {
    this.incoming.add(socket);
    socket.setNoDelay(true);
    // The peer that broke the connection, or lost it, finds its requests rejected and logs them.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.incoming.delete(socket));
    const reader = new FrameReader();
    try {
      if (this.options.sharedKey) await acceptPeer(socket, reader, this.options.sharedKey);
    } catch {
      // A peer with a wrong key sees the closed connection and logs its failed request. A line here would let a stranger
      // fill the log.
      socket.destroy();
      return;
    }
    reader.start(socket, (bytes) => void this.answer(socket, bytes));
  }

  private async answer(socket: Socket, bytes: Buffer): Promise<void> {
    try {
      const request = decodeEnvelope(bytes);
      this.traffic.note('received', request.body, bytes.length + FRAME_HEADER_BYTES);
      const handle = await this.handler;
      const body = await handle(request.body, request.from);
      const reply: Envelope = { id: request.id, reply: true, from: this.localAddress, body };
      if (socket.destroyed) return;
      const written = frame(encodeEnvelope(reply));
      this.traffic.note('sent', body, written.length);
      socket.write(written);
    } catch (error) {
      // A handler that rejects drops the request: its sender gets no answer, and logs that. Undecodable bytes end the
      // connection.
      if (error instanceof RangeError || error instanceof TypeError) socket.destroy();
    }
  }
}
