/**
 * Serves statements that other proxies forward to this one as a gateway. A session is kept while it has
 * a transaction or unread rows, and is closed when its proxy falls silent.
 */
import type { ResultColumns, ResultRow, ResultSink } from '../wire/result.js';
import { framed } from '../wire/packet.js';
import { textRow } from '../wire/text_row.js';
import { RequestError } from '../../errors/errors.js';
import { GatewaySession } from '../gateway/gateway_session.js';
import type { GroupGateway } from '../gateway/group_gateway.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock, MessageBody, Timer } from '../../runtime/runtime.js';
import { parsePosition } from '../../positions/position.js';
import { decodeRequest, encodeError, encodeOutcome } from './forward_codec.js';

/** Bytes of rows collected before they are sent or the instance is made to wait. */
const CHUNK_BYTES = 256 * 1024;
/** A session whose proxy is silent for longer is closed, in milliseconds. */
const IDLE_LIMIT_MS = 20_000;

const NOT_ACCEPTED: MessageBody = { forwardReply: { accepted: false, finished: true } };

/** Collects a result in chunks that the other proxy fetches. */
class ChunkSink implements ResultSink {
  private columnsToSend: ResultColumns | undefined;
  private rows: Buffer[] = [];
  private bytes = 0;
  private outcome: Pick<whinyoke.IForwardReply, 'completion' | 'error'> | undefined;
  private wasDeclined = false;
  private onAvailable: (() => void) | undefined;
  private onTaken: (() => void) | undefined;

  columns(columns: ResultColumns): void {
    this.columnsToSend = columns;
  }

  row(row: ResultRow): void {
    const packet = Buffer.isBuffer(row) ? row : framed(textRow(row));
    this.rows.push(packet);
    this.bytes += packet.length;
    if (this.bytes >= CHUNK_BYTES) this.onAvailable?.();
  }

  readyForMore(): Promise<void> | undefined {
    if (this.bytes < CHUNK_BYTES) return undefined;
    return new Promise((resolve) => {
      this.onTaken = resolve;
    });
  }

  /** No more rows follow. */
  finish(outcome: Pick<whinyoke.IForwardReply, 'completion' | 'error'>): void {
    this.outcome = outcome;
    this.onAvailable?.();
  }

  /** The statement did not run here; another gateway may run it. */
  decline(): void {
    this.wasDeclined = true;
    this.finish({});
  }

  /** Next chunk, as soon as it is full or the last one. */
  async take(): Promise<whinyoke.IForwardReply> {
    if (!this.outcome && this.bytes < CHUNK_BYTES) {
      await new Promise<void>((resolve) => {
        this.onAvailable = resolve;
      });
    }
    if (this.wasDeclined) return { accepted: false, finished: true };
    const columns = this.columnsToSend;
    const reply: whinyoke.IForwardReply = {
      accepted: true,
      finished: this.outcome !== undefined,
      rows: this.rows,
      hasColumns: columns !== undefined,
      columnNames: columns?.kind === 'names' ? [...columns.names] : [],
      columnPackets: columns?.kind === 'packets' ? [...columns.packets] : [],
      ...this.outcome,
    };
    this.columnsToSend = undefined;
    this.rows = [];
    this.bytes = 0;
    this.onTaken?.();
    return reply;
  }
}

interface ForwardedSession {
  /** Run of the proxy that forwards. */
  readonly proxy: string;
  readonly session: GatewaySession;
  result: ChunkSink | undefined;
  idleTimer: Timer | undefined;
}

/** Forwarded sessions at this proxy. */
export class ForwardServer {
  private readonly sessions = new Map<string, ForwardedSession>();
  private liveProxies: ReadonlySet<string> = new Set();
  private ended = false;

  constructor(
    private readonly clock: Clock,
    private readonly gatewayOf: (group: string) => GroupGateway | undefined,
  ) {}

  /** Sessions that have a transaction or unread rows here. */
  get sessionCount(): number {
    return this.sessions.size;
  }

  /** Closes the sessions of proxies that were alive before and are not any more. */
  setLiveProxies(proxies: ReadonlySet<string>): void {
    for (const [key, { proxy }] of this.sessions) {
      if (this.liveProxies.has(proxy) && !proxies.has(proxy)) this.close(key);
    }
    this.liveProxies = proxies;
  }

  /** Closes idle sessions; statements under way are answered as they end, and those that did not run are declined. */
  end(): void {
    this.ended = true;
    for (const [key, { result }] of this.sessions) if (!result) this.close(key);
  }

  /** Answers one message of another proxy. */
  async handle(message: whinyoke.IForwardRequest): Promise<MessageBody> {
    const key = `${message.proxy}\n${message.session}\n${message.group}`;
    switch (message.kind) {
      case whinyoke.ForwardKind.CLOSE:
        this.close(key);
        return { forwardReply: { accepted: true, finished: true } };
      case whinyoke.ForwardKind.CHECK:
        return { forwardReply: { accepted: true, finished: true } };
      case whinyoke.ForwardKind.CONFIRM:
        return { forwardReply: { accepted: await this.confirm(message), finished: true } };
      case whinyoke.ForwardKind.FETCH:
        return this.reply(key, this.sessions.get(key));
      default:
        return this.run(key, message);
    }
  }

  /** Whether a commit is still confirmed now. */
  private async confirm(message: whinyoke.IForwardRequest): Promise<boolean> {
    const gateway = this.gatewayOf(message.group ?? '');
    const position = parsePosition(message.position ?? '');
    if (!gateway || !position) return false;
    return (await gateway.confirmCommit(position)) === 'confirmed';
  }

  private async run(key: string, message: whinyoke.IForwardRequest): Promise<MessageBody> {
    const forwarded = this.sessions.get(key) ?? this.open(key, message);
    if (!forwarded || forwarded.result) return NOT_ACCEPTED;
    forwarded.idleTimer?.cancel();
    const sink = new ChunkSink();
    forwarded.result = sink;
    const { session } = forwarded;
    session.run(decodeRequest(message), sink).then(
      (outcome) => sink.finish({ completion: encodeOutcome(outcome) }),
      (error: unknown) => {
        if (this.shouldDecline(error, message)) sink.decline();
        else sink.finish({ error: encodeError(error, session.inTransaction) });
      },
    );
    return this.reply(key, forwarded);
  }

  /** Whether a statement that this proxy ended as it stops may be repeated at another gateway. */
  private shouldDecline(error: unknown, message: whinyoke.IForwardRequest): boolean {
    const hasNotRun = error instanceof RequestError && error.verdict === 'not_run';
    return this.ended && hasNotRun && !message.inTransaction;
  }

  private open(key: string, message: whinyoke.IForwardRequest): ForwardedSession | undefined {
    // A transaction that was lost here must not go on as single statements.
    if (message.inTransaction) return undefined;
    const gateway = this.gatewayOf(message.group ?? '');
    if (!gateway) return undefined;
    const forwarded: ForwardedSession = {
      proxy: message.proxy ?? '',
      session: new GatewaySession(gateway),
      result: undefined,
      idleTimer: undefined,
    };
    this.sessions.set(key, forwarded);
    return forwarded;
  }

  private async reply(key: string, forwarded: ForwardedSession | undefined): Promise<MessageBody> {
    if (!forwarded?.result) return NOT_ACCEPTED;
    const reply = await forwarded.result.take();
    if (reply.finished) forwarded.result = undefined;
    const isOver = reply.finished && !forwarded.session.inTransaction;
    if (isOver) this.close(key);
    else this.watch(key, forwarded);
    return { forwardReply: reply };
  }

  private watch(key: string, forwarded: ForwardedSession): void {
    forwarded.idleTimer?.cancel();
    forwarded.idleTimer = this.clock.setTimer(IDLE_LIMIT_MS, () => this.close(key));
  }

  private close(key: string): void {
    const forwarded = this.sessions.get(key);
    if (!forwarded) return;
    this.sessions.delete(key);
    forwarded.idleTimer?.cancel();
    forwarded.session.close();
  }
}
