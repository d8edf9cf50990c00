/**
 * Connection of one caller: runs its statements one after another, and closes without leaving a request unanswered.
 *
 * A connection that is to be closed while nothing is asked announces this with an error and lets the caller close. A request that
 * crosses the announcement takes it for its answer; it is not run, and the answer is completed.
 */
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import type { Clock } from '../../runtime/runtime.js';
import type { CallerStatement } from '../instance/statement.js';
import { type RefusalCause, causeText } from '../routing/refusal_cause.js';
import { retryAfterMs } from '../routing/retry_after.js';
import type { CallerChannel, CallerMessage, CallerQuery } from './caller_channel.js';
import type { CallerReply } from './caller_reply.js';
import { RequestProgress } from './request_progress.js';
import type { RoutedSession } from './routed_session.js';

/** What caller connections need from the proxy. */
export interface SessionSource {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Waits for a configuration; resolves with false after `timeoutMs`. */
  awaitTable(timeoutMs: number): Promise<boolean>;
  /** Whether the credential belongs to a tenant, or the database's route requires none. */
  isCredentialKnown(database: string, credential: string): Promise<boolean>;
  /** Whether a new session could not run a statement before this process ends. */
  isTooLateFor(database: string): boolean;
  /** Opens a session; undefined if the database has no route. */
  openSession(database: string, credential: string): RoutedSession | undefined;
}

/** Why a connection is closed that was not closed by its caller. */
export type CloseCause = Extract<RefusalCause, { kind: 'shuttingDown' | 'isolated' }>;

/**
 * How long a caller waits for the first configuration of a starting process. Together with the 600 ms before callers are read
 * (proxy_daemon.ts) it must be less than the 2 s after which callers close their session.
 */
const CONFIGURATION_WAIT_MS = 1200;

/** A message that was read, with the progress of the request that it is part of. */
interface ReadMessage {
  readonly message: CallerMessage;
  /** Undefined if the message is no request. */
  readonly progress: RequestProgress | undefined;
}

/** `announced`: the close was announced, and the caller is to close; `ended`: nothing more is sent; `closed`: the connection is gone. */
type Phase = 'open' | 'announced' | 'ended' | 'closed';

export class CallerConnection {
  private readonly queue: ReadMessage[] = [];
  /** Requests that were read and whose replies have not been delivered to the operating system. */
  private readonly requests = new Set<RequestProgress>();
  private session: RoutedSession | undefined;
  private phase: Phase = 'open';
  private isRunning = false;
  /** Why the connection is to be closed as soon as its request is answered. */
  private leaveCause: CloseCause | undefined;
  /** When the connection was accepted, or the last message in either direction. */
  private usedAt: number;
  /** Text of the error that announced the close. */
  private announcement = '';
  /** Whether the session runs on without an effect, after its request was answered in its place. */
  private isAbandoned = false;
  /** Gives the running request a reply in place of its session's. */
  private replyInstead: ((reply: CallerReply) => void) | undefined;

  constructor(
    private readonly channel: CallerChannel,
    private readonly source: SessionSource,
    private readonly onClosed: () => void,
  ) {
    this.usedAt = source.clock.now();
  }

  /** Whether a request is in progress or not delivered, or a transaction is open. */
  get isBusy(): boolean {
    return this.hasRequest || (this.session?.state ?? 'idle') !== 'idle';
  }

  /** Whether a message that was read has not been answered, or its answer is not delivered. */
  get hasRequest(): boolean {
    const isOpen = this.phase === 'open';
    return this.requests.size > 0 || (isOpen && (this.isRunning || this.queue.length > 0));
  }

  /** Takes messages that were read; none if only a part of one has arrived. */
  receive(messages: readonly CallerMessage[]): void {
    if (messages.length === 0) return;
    if (this.phase === 'announced') this.answerAnnounced(messages);
    // What follows TERMINATE or a malformed message, or comes after the last answer, is no request.
    if (this.phase !== 'open') return;
    for (const message of messages) this.queue.push(this.track(message));
    if (!this.isRunning) void this.runQueue();
  }

  /**
   * Closes the connection if it is not busy and has not been used for `minIdleMs`: a caller may be about to send the next statement of
   * the same operation, such as the one after SET.
   */
  closeIfIdle(cause: CloseCause, minIdleMs: number): void {
    if (!this.isBusy && this.source.clock.now() - this.usedAt >= minIdleMs) {
      this.announceClose(cause);
    }
  }

  /** Closes the connection as soon as its request is answered; an open transaction is rolled back. */
  leave(cause: CloseCause): void {
    this.leaveCause = cause;
    this.leaveIfAnswered();
  }

  /** Answers the message in progress with an error that fits its progress, if it has no answer yet. */
  answerNow(): void {
    if (this.isRunning && !this.session) this.refuseStart({ kind: 'shuttingDown' });
    const reply = this.session?.abandonedReply();
    if (!reply || !this.replyInstead) return;
    this.isAbandoned = true;
    this.replyInstead(reply);
  }

  /** Closes the connection at once; requests without a delivered reply are logged with the reason. */
  abort(reason: string): void {
    for (const progress of this.requests) this.logEnded(progress, reason);
    this.requests.clear();
    this.channel.destroy();
    this.handleClose();
  }

  /** The connection is gone. */
  handleClose(): void {
    if (this.phase === 'closed') return;
    this.phase = 'closed';
    this.queue.length = 0;
    this.session?.close();
    this.onClosed();
  }

  /** Answers what crossed the announced close, and closes. Nothing of it is run; the first request has the announcement's error. */
  private answerAnnounced(messages: readonly CallerMessage[]): void {
    const queries = messages.filter((message) => message.kind === 'query');
    queries.forEach((query, index) => {
      if (index > 0) this.channel.sendError('busy', this.announcement);
      this.completeAnswer(query);
    });
    this.end();
  }

  private track(message: CallerMessage): ReadMessage {
    if (message.kind !== 'query') return { message, progress: undefined };
    const progress = new RequestProgress(message.id, this.source.clock.now());
    this.requests.add(progress);
    return { message, progress };
  }

  private async runQueue(): Promise<void> {
    this.isRunning = true;
    for (let next = this.queue.shift(); next; next = this.queue.shift()) await this.handle(next);
    this.isRunning = false;
    this.usedAt = this.source.clock.now();
    this.leaveIfAnswered();
  }

  private leaveIfAnswered(): void {
    if (this.leaveCause && !this.hasRequest) this.announceClose(this.leaveCause);
  }

  private announceClose(cause: CloseCause): void {
    if (this.phase !== 'open') return;
    const kind = this.session?.state === 'open' ? 'aborted' : 'busy';
    this.phase = 'announced';
    this.announcement = `${causeText(cause)}; retry after ${retryAfterMs(cause)} ms`;
    if (kind === 'aborted') this.logAbortedTransaction(cause);
    this.session?.close();
    this.channel.sendError(kind, this.announcement);
  }

  /** Completes the answer to a request that is not run, after its error. */
  private completeAnswer({ id, statement: { kind } }: CallerQuery): void {
    const fields = { request: id, outcome: 'crossed the close', cause: this.announcement };
    this.source.log(Events.requestRefused, fields);
    const endsTransaction = kind === 'commit' || kind === 'rollback';
    const wasInTransaction = (this.session?.state ?? 'idle') !== 'idle';
    this.channel.sendReady(wasInTransaction && !endsTransaction ? 'failed' : 'idle');
  }

  /** Closes after everything that was sent. */
  private end(): void {
    if (this.phase === 'ended' || this.phase === 'closed') return;
    this.phase = 'ended';
    // What follows TERMINATE or a malformed message is no request.
    for (const { progress } of this.queue.splice(0)) if (progress) this.requests.delete(progress);
    this.session?.close();
    this.channel.end();
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
        this.end();
        return;
      case 'broken':
        this.logRefused(message.problem);
        this.endWith('malformed', message.problem);
    }
  }

  private async start(database: string, credential: string): Promise<void> {
    if (this.session) {
      this.endWith('malformed', 'the session has started already');
      return;
    }
    if (!(await this.source.awaitTable(CONFIGURATION_WAIT_MS))) {
      this.refuseStart({ kind: 'noConfiguration' });
      return;
    }
    if (!(await this.source.isCredentialKnown(database, credential))) {
      this.endWith('unauthenticated', causeText({ kind: 'credentialUnknown' }));
      return;
    }
    if (this.source.isTooLateFor(database)) {
      this.refuseStart({ kind: 'shuttingDown' });
      return;
    }
    if (this.phase !== 'open') return;
    this.session = this.source.openSession(database, credential);
    if (this.session) this.channel.sendReady('idle');
    else this.endWith('noDatabase', database);
  }

  private refuseStart(cause: RefusalCause): void {
    this.endWith('busy', `${causeText(cause)}; retry after ${retryAfterMs(cause)} ms`);
  }

  private async query(
    id: string,
    statement: CallerStatement,
    progress: RequestProgress,
  ): Promise<void> {
    const { session } = this;
    if (!session) {
      this.requests.delete(progress);
      this.endWith('malformed', 'the session has not started');
      return;
    }
    if (statement.kind === 'malformed') this.logRefused(statement.problem);
    const reply = await new Promise<CallerReply>((resolve) => {
      this.replyInstead = resolve;
      void session.execute(id, statement, progress).then(resolve);
    });
    this.replyInstead = undefined;
    progress.stage = 'answered';
    if (this.phase !== 'open') return;
    this.channel.sendReply(reply, () => {
      this.requests.delete(progress);
      this.leaveIfAnswered();
    });
    if (this.isAbandoned) this.end();
  }

  /** Sends an error and closes the connection. */
  private endWith(kind: Parameters<CallerChannel['sendError']>[0], text: string): void {
    if (this.phase !== 'open') return;
    this.channel.sendError(kind, text);
    this.end();
  }

  private logRefused(reason: string): void {
    this.source.log(Events.messageRefused, { reason });
  }

  private logAbortedTransaction(cause: CloseCause): void {
    const { clock, log } = this.source;
    const idleMs = Math.round(clock.now() - this.usedAt);
    log(Events.transactionEndedByClose, { idle_ms: idleMs, reason: causeText(cause) });
  }

  private logEnded(progress: RequestProgress, reason: string): void {
    const { clock, log } = this.source;
    log(Events.requestEndedByStop, { ...progress.fieldsAt(clock.now()), reason });
  }
}
