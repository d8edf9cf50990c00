/**
 * Accepts callers of a text protocol and runs the statements of each connection one after another. The codec handles the
 * protocol, the session decides what to run.
 *
 * While the proxy has no configuration yet, callers wait and are eventually refused. A malformed message or a lost connection
 * closes the session.
 */
import type { Socket } from 'node:net';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import type { Clock } from '../../runtime/runtime.js';
import type { SocketAcceptor } from '../../runtime/socket_acceptor.js';
import type { CallerErrorKind, CallerReply } from './caller_reply.js';
import type { TransactionState } from '../instance/instance_connection.js';
import type { RoutedSession } from './routed_session.js';
import { RequestProgress } from './request_progress.js';
import { causeText } from '../routing/refusal_cause.js';
import { retryAfterMs } from '../routing/retry_after.js';
import type { CallerStatement } from '../instance/statement.js';

/** A message from a caller. */
export type CallerMessage =
  | { readonly kind: 'start'; readonly database: string; readonly credential: string }
  | { readonly kind: 'query'; readonly id: string; readonly statement: CallerStatement }
  | { readonly kind: 'terminate' }
  | { readonly kind: 'broken'; readonly problem: string };

/** Decoder of one caller's bytes. */
export interface CallerMessageReader {
  /** Returns the messages that are now complete. Input that can't be decoded ends with one `broken` message. */
  push(chunk: Buffer): CallerMessage[];
}

/** Encoder and decoder of the protocol for callers, without I/O. */
export interface CallerCodec {
  /** Decoder for a new connection. */
  newReader(): CallerMessageReader;
  /** Message that a session has started. */
  encodeReady(state: TransactionState): string;
  /** Error message after which the connection is closed. */
  encodeError(kind: CallerErrorKind, text: string): string;
  /** Complete reply to a statement. */
  encodeReply(reply: CallerReply): string;
}

/** What the listener needs from the proxy. */
export interface SessionSource {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Waits for a configuration; resolves with false after `timeoutMs`. */
  awaitTable(timeoutMs: number): Promise<boolean>;
  /** Whether the credential belongs to a tenant, or the database's route requires none. */
  isCredentialKnown(database: string, credential: string): Promise<boolean>;
  /** Opens a session; undefined if the database has no route. */
  openSession(database: string, credential: string): RoutedSession | undefined;
}

/** Idle time of a caller's connection before the first TCP keep-alive probe. */
const KEEP_ALIVE_MS = 2000;
/**
 * How long a caller waits for the first configuration of a starting process. Together with the 600 ms before callers are read
 * (proxy_daemon.ts) it must be less than the 2 s after which callers close their session.
 */
const CONFIGURATION_WAIT_MS = 1200;

/** Why a request was ended that arrived while its connection was being closed. */
const CLOSED_BEFORE = 'the connection was being closed';

/** A message that was read, with the progress of the request that it is part of. */
interface ReadMessage {
  readonly message: CallerMessage;
  /** Undefined if the message is no request. */
  readonly progress: RequestProgress | undefined;
}

/** Connection of one caller. */
class CallerConnection {
  private readonly reader;
  private readonly queue: ReadMessage[] = [];
  /** Requests that were read and whose replies have not been taken over by the operating system. */
  private readonly requests = new Set<RequestProgress>();
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

  /** Whether a statement is in flight or a transaction is open. */
  get isBusy(): boolean {
    return this.isRunning || this.queue.length > 0 || (this.session?.state ?? 'idle') !== 'idle';
  }

  /** Closes the connection as soon as it is not busy. */
  drain(): void {
    this.isDraining = true;
    this.closeIfDrained();
  }

  /** Closes the connection at once; requests without a delivered reply are logged with the reason. */
  abort(reason: string): void {
    for (const progress of this.requests) this.logEnded(progress, reason);
    this.end();
  }

  private logEnded(progress: RequestProgress, reason: string): void {
    const { clock, log } = this.source;
    log(Events.requestEndedByStop, { ...progress.fieldsAt(clock.now()), reason });
  }

  /** Closes the connection immediately. */
  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.socket.destroy();
    this.session?.close();
    this.onEnd();
  }

  private receive(chunk: Buffer): void {
    const messages = this.reader.push(chunk).map((message) => this.track(message));
    if (this.isEnded) {
      for (const { progress } of messages) if (progress) this.logEnded(progress, CLOSED_BEFORE);
      return;
    }
    this.queue.push(...messages);
    if (!this.isRunning) void this.runQueue();
  }

  private track(message: CallerMessage): ReadMessage {
    if (message.kind !== 'query') return { message, progress: undefined };
    const progress = new RequestProgress(message.id, this.source.clock.now());
    this.requests.add(progress);
    return { message, progress };
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

  private async handle({ message, progress }: ReadMessage): Promise<void> {
    switch (message.kind) {
      case 'start':
        await this.start(message.database, message.credential);
        return;
      case 'query':
        await this.query(message.id, message.statement, progress!);
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

  private async query(
    id: string,
    statement: CallerStatement,
    progress: RequestProgress,
  ): Promise<void> {
    if (!this.session) {
      this.endWith(this.codec.encodeError('malformed', 'the session has not started'));
      return;
    }
    const reply = await this.session.execute(id, statement, progress);
    progress.stage = 'answered';
    this.send(this.codec.encodeReply(reply), () => this.requests.delete(progress));
  }

  private send(text: string, onWritten?: () => void): void {
    if (!this.isEnded) this.socket.write(text, 'latin1', onWritten);
  }

  /** Sends a last message and closes the connection. */
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

  start(): void {
    this.acceptor.serve((socket) => this.accept(socket));
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /** Number of connections with a statement in flight or an open transaction. */
  get busyCount(): number {
    return [...this.connections].filter((connection) => connection.isBusy).length;
  }

  /** Closes each connection as soon as it is not busy. */
  drain(): void {
    for (const connection of this.connections) connection.drain();
  }

  /** Closes the connections that are not busy. */
  closeIdle(): void {
    for (const connection of this.connections) if (!connection.isBusy) connection.end();
  }

  /** Stops listening and closes all connections; requests that this ends are logged with the reason. */
  close(reason: string): void {
    this.acceptor.close();
    for (const connection of this.connections) connection.abort(reason);
  }

  private accept(socket: Socket): void {
    const connection = new CallerConnection(socket, this.codec, this.source, () =>
      this.connections.delete(connection),
    );
    this.connections.add(connection);
  }
}
