/**
 * Accepts callers of a text protocol and runs their statements one after the other.
 *
 * Owns: the callers' connections and the order of their statements; the codec knows the protocol, the session what to run.
 * Relies on: the acceptor, the proxy (which may have no configuration yet: callers then wait, and are refused) and the
 * callers (who may send anything, or leave at any time: their session is closed).
 */
import type { Socket } from 'node:net';
import type { SocketAcceptor } from '../../runtime/socket_acceptor.js';
import type { CallerErrorKind, CallerReply } from './caller_reply.js';
import type { TransactionState } from '../instance/instance_connection.js';
import type { RoutedSession } from './routed_session.js';
import { causeText } from '../routing/refusal_cause.js';
import { retryAfterMs } from '../routing/retry_after.js';
import type { CallerStatement } from '../instance/statement.js';

/** A message of a caller. */
export type CallerMessage =
  | { readonly kind: 'start'; readonly database: string; readonly credential: string }
  | { readonly kind: 'query'; readonly id: string; readonly statement: CallerStatement }
  | { readonly kind: 'terminate' }
  | { readonly kind: 'broken'; readonly problem: string };

/** Decoder of one caller's bytes. */
export interface CallerMessageReader {
  /** Messages that are now complete. Input that can't be read ends with one `broken` message. */
  push(chunk: Buffer): CallerMessage[];
}

/** The protocol towards callers, without I/O. */
export interface CallerCodec {
  /** Decoder for a new connection. */
  newReader(): CallerMessageReader;
  /** Answer that a session has started. */
  encodeReady(state: TransactionState): string;
  /** Error after which the connection is closed. */
  encodeError(kind: CallerErrorKind, text: string): string;
  /** Whole answer to a statement. */
  encodeReply(reply: CallerReply): string;
}

/** What the listener needs of the proxy. */
export interface SessionSource {
  /** Resolves with whether a configuration is in force, after `timeoutMs` at the latest. */
  awaitTable(timeoutMs: number): Promise<boolean>;
  /** Whether some tenant holds the credential, where the database's route wants one. */
  isCredentialKnown(database: string, credential: string): Promise<boolean>;
  /** Session of a caller; undefined when no route has that database. */
  openSession(database: string, credential: string): RoutedSession | undefined;
}

/** Silence of a caller's connection before the first TCP keep-alive probe, in milliseconds. Guess, not measured. */
const KEEP_ALIVE_MS = 2000;
/**
 * Longest time that a caller waits for the first configuration of a process that starts, in milliseconds. Together with the
 * time before callers are read (600 ms, proxy_daemon.ts) less than the 2 s after which callers close their session.
 */
const CONFIGURATION_WAIT_MS = 1200;

/** Connection of one caller. */
class CallerConnection {
  private readonly reader;
  private readonly queue: CallerMessage[] = [];
  private session: RoutedSession | undefined;
  private isRunning = false;
  private isDraining = false;
  private isEnded = false;

  constructor(
    private readonly socket: Socket,
    private readonly codec: CallerCodec,
    private readonly source: SessionSource,
    private readonly onEnd: () => void,
  ) {
    this.reader = codec.newReader();
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.on('data', (chunk) => this.receive(chunk));
    socket.on('error', () => this.end());
    socket.on('close', () => this.end());
  }

  /** Whether a statement or a transaction is under way. */
  get isBusy(): boolean {
    return this.isRunning || this.queue.length > 0 || (this.session?.state ?? 'idle') !== 'idle';
  }

  /** Closes the connection as soon as nothing is under way. */
  drain(): void {
    this.isDraining = true;
    this.closeIfDrained();
  }

  /** Closes the connection at once. */
  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.socket.destroy();
    this.session?.close();
    this.onEnd();
  }

  private receive(chunk: Buffer): void {
    this.queue.push(...this.reader.push(chunk));
    if (!this.isRunning) void this.runQueue();
  }

  private async runQueue(): Promise<void> {
    this.isRunning = true;
    for (let next = this.queue.shift(); next && !this.isEnded; next = this.queue.shift()) {
      await this.handle(next);
    }
    this.isRunning = false;
    this.closeIfDrained();
  }

  private closeIfDrained(): void {
    if (this.isDraining && !this.isBusy) this.endWith('');
  }

  private async handle(message: CallerMessage): Promise<void> {
    switch (message.kind) {
      case 'start':
        await this.start(message.database, message.credential);
        return;
      case 'query':
        await this.query(message.id, message.statement);
        return;
      case 'terminate':
        this.endWith('');
        return;
      case 'broken':
        this.endWith(this.codec.encodeError('malformed', message.problem));
    }
  }

  private async start(database: string, credential: string): Promise<void> {
    if (this.session) {
      this.endWith(this.codec.encodeError('malformed', 'the session has started already'));
      return;
    }
    if (!(await this.source.awaitTable(CONFIGURATION_WAIT_MS))) {
      const cause = { kind: 'noConfiguration' as const };
      const text = `${causeText(cause)}; retry after ${retryAfterMs(cause)} ms`;
      this.endWith(this.codec.encodeError('busy', text));
      return;
    }
    if (!(await this.source.isCredentialKnown(database, credential))) {
      this.endWith(
        this.codec.encodeError('unauthenticated', causeText({ kind: 'credentialUnknown' })),
      );
      return;
    }
    if (this.isEnded) return;
    this.session = this.source.openSession(database, credential);
    if (this.session) this.send(this.codec.encodeReady('idle'));
    else this.endWith(this.codec.encodeError('noDatabase', database));
  }

  private async query(id: string, statement: CallerStatement): Promise<void> {
    if (!this.session) {
      this.endWith(this.codec.encodeError('malformed', 'the session has not started'));
      return;
    }
    const reply = await this.session.execute(id, statement);
    this.send(this.codec.encodeReply(reply));
  }

  private send(text: string): void {
    if (!this.isEnded) this.socket.write(text, 'latin1');
  }

  /** Sends a last text and closes. */
  private endWith(text: string): void {
    if (this.isEnded) return;
    this.socket.end(text, 'latin1');
    this.isEnded = true;
    this.session?.close();
    this.onEnd();
  }
}

/** Listener of one proxy. */
export class SessionListener {
  private readonly connections = new Set<CallerConnection>();

  constructor(
    private readonly codec: CallerCodec,
    private readonly source: SessionSource,
    private readonly acceptor: SocketAcceptor,
  ) {}

  /** Starts to serve callers. */
  start(): void {
    this.acceptor.serve((socket) => this.accept(socket));
  }

  /** Open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Connections with a statement or transaction under way. */
  get busyCount(): number {
    return [...this.connections].filter((connection) => connection.isBusy).length;
  }

  /** Closes each connection as soon as nothing is under way on it. */
  drain(): void {
    for (const connection of this.connections) connection.drain();
  }

  /** Closes the connections on which nothing is under way. */
  closeIdle(): void {
    for (const connection of this.connections) if (!connection.isBusy) connection.end();
  }

  /** Stops to listen and closes everything. */
  close(): void {
    this.acceptor.close();
    for (const connection of this.connections) connection.end();
  }

  private accept(socket: Socket): void {
    const connection = new CallerConnection(socket, this.codec, this.source, () =>
      this.connections.delete(connection),
    );
    this.connections.add(connection);
  }
}
