/**
 * A session at a gateway on another proxy. A transaction stays at the gateway that began it; any other
 * statement may go to any gateway of the group.
 */
import { RetryAfterMs } from '../routing/retry_policy.js';
import type { ResultSink } from '../wire/result.js';
import {
  ErrorCode,
  PeerUnreachableError,
  mayHaveRun,
  messageOf,
  notRun,
} from '../../errors/errors.js';
import type {
  GroupSession,
  StatementOutcome,
  StatementRequest,
} from '../gateway/statement_request.js';
import { type Position, formatPosition } from '../../positions/position.js';
import type { StallDetector } from '../../runtime/stall_detector.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { type Clock, delay } from '../../runtime/runtime.js';
import {
  type ForwardedSessionName,
  decodeError,
  decodeOutcome,
  encodeRequest,
} from './forward_codec.js';
import type { GatewayClient } from './gateway_client.js';

/** What a remote session needs of its proxy. */
export interface RemoteSessionContext {
  readonly clock: Clock;
  readonly client: GatewayClient;
  readonly stalls: StallDetector;
  /** Addresses of the group's gateways, best first. */
  readonly gatewaysOf: (group: string) => readonly string[];
}

const GATEWAY_WAIT_MS = 100;
const MAXIMUM_ROUNDS = 30;

/** Session at gateways of one group. */
export class RemoteSession implements GroupSession {
  private pinned: string | undefined;
  /** Whether an earlier attempt of the present statement may have run. */
  private mayHaveRun = false;

  constructor(
    private readonly context: RemoteSessionContext,
    private readonly group: string,
    private readonly sessionName: ForwardedSessionName,
  ) {}

  get inTransaction(): boolean {
    return this.pinned !== undefined;
  }

  async run(request: StatementRequest, sink: ResultSink): Promise<StatementOutcome> {
    this.mayHaveRun = false;
    try {
      if (this.pinned !== undefined) return await this.runPinned(this.pinned, request, sink);
      return await this.runAtAnyGateway(request, sink);
    } catch (error) {
      throw this.mayHaveRun ? mayHaveRun(messageOf(error)) : error;
    }
  }

  private async runAtAnyGateway(
    request: StatementRequest,
    sink: ResultSink,
  ): Promise<StatementOutcome> {
    for (let round = 0; round < MAXIMUM_ROUNDS; round++) {
      const outcome = await this.tryGateways(request, sink);
      if (outcome) return outcome;
      if (this.context.client.isStopped) {
        throw notRun('The proxy is stopping', ErrorCode.stopping, RetryAfterMs.stopping);
      }
      // Gateways are changing hands.
      await delay(this.context.clock, GATEWAY_WAIT_MS);
    }
    throw notRun('No gateway serves the group', ErrorCode.unavailable, RetryAfterMs.noGateway);
  }

  close(): void {
    const gateway = this.pinned;
    this.pinned = undefined;
    if (gateway === undefined) return;
    void this.context.client.closeSession(gateway, this.sessionName, this.group);
  }

  private async runPinned(
    gateway: string,
    request: StatementRequest,
    sink: ResultSink,
  ): Promise<StatementOutcome> {
    try {
      const outcome = await this.runAt(gateway, request, sink);
      if (outcome) return outcome;
    } catch (error) {
      if (!(error instanceof PeerUnreachableError)) throw error;
      // The gateway may still hold the transaction and its locks.
      this.close();
      if (request.statementClass === 'commit') throw mayHaveRun(messageOf(error));
      throw this.transactionLost(messageOf(error));
    }
    this.pinned = undefined;
    throw this.transactionLost('the gateway changed');
  }

  private transactionLost(reason: string): Error {
    return notRun(
      `The transaction was rolled back: ${reason}`,
      ErrorCode.transactionLost,
      RetryAfterMs.noGateway,
    );
  }

  /** Undefined when no gateway accepted the statement; then it ran nowhere. */
  private async tryGateways(
    request: StatementRequest,
    sink: ResultSink,
  ): Promise<StatementOutcome | undefined> {
    for (const gateway of this.context.gatewaysOf(this.group)) {
      try {
        const outcome = await this.runAt(gateway, request, sink);
        if (outcome) return outcome;
      } catch (error) {
        if (!(error instanceof PeerUnreachableError)) throw error;
        this.requireRepeatable(request, error);
      }
    }
    return undefined;
  }

  /** A statement that may have reached a gateway is repeated only when that can't run it twice. */
  private requireRepeatable(request: StatementRequest, error: Error): void {
    const isHarmless = ['read', 'begin', 'begin_read_only'].includes(request.statementClass);
    if (isHarmless) return;
    if (request.onceKey !== undefined) {
      this.mayHaveRun = true;
      return;
    }
    throw mayHaveRun(messageOf(error));
  }

  private async runAt(
    gateway: string,
    request: StatementRequest,
    sink: ResultSink,
  ): Promise<StatementOutcome | undefined> {
    const { group, sessionName, inTransaction } = this;
    const sentAt = this.context.clock.now();
    const message = encodeRequest(group, sessionName, request, inTransaction);
    let reply = await this.context.client.send(gateway, message);
    if (!reply.accepted) return undefined;
    this.deliver(reply, sink);
    while (!reply.finished) {
      await sink.readyForMore?.();
      reply = await this.fetch(gateway);
      this.deliver(reply, sink);
    }
    const outcome = this.conclude(gateway, reply);
    const isWrite = request.statementClass === 'write' || request.statementClass === 'commit';
    const mayBeOld = isWrite && this.context.stalls.hasStalledSince(sentAt);
    if (mayBeOld && outcome.position) await this.confirmAgain(gateway, outcome.position);
    return outcome;
  }

  /** The gateway's evidence may be from before a freeze of this process; it is too old to answer with. */
  private async confirmAgain(gateway: string, position: Position): Promise<void> {
    const request = {
      kind: whinyoke.ForwardKind.CONFIRM,
      group: this.group,
      position: formatPosition(position),
    };
    const reply = await this.context.client
      .send(gateway, request)
      .catch(() => ({ accepted: false }));
    if (!reply.accepted) throw mayHaveRun('The commit was confirmed too long ago');
  }

  /** Next chunk of a result whose first part was delivered already. */
  private async fetch(gateway: string): Promise<whinyoke.IForwardReply> {
    const request = { kind: whinyoke.ForwardKind.FETCH, group: this.group, ...this.sessionName };
    try {
      const reply = await this.context.client.send(gateway, request);
      if (reply.accepted) return reply;
    } catch (error) {
      if (!(error instanceof PeerUnreachableError)) throw error;
    }
    throw notRun('The result was cut off', ErrorCode.unavailable, RetryAfterMs.noGateway);
  }

  private conclude(gateway: string, reply: whinyoke.IForwardReply): StatementOutcome {
    if (reply.error) {
      this.pinned = reply.error.inTransaction ? gateway : undefined;
      throw decodeError(reply.error);
    }
    const outcome = decodeOutcome(reply.completion ?? {});
    this.pinned = outcome.completion.inTransaction ? gateway : undefined;
    return outcome;
  }

  private deliver(reply: whinyoke.IForwardReply, sink: ResultSink): void {
    const packets = reply.columnPackets ?? [];
    if (reply.hasColumns && packets.length > 0) {
      sink.columns({ kind: 'packets', packets: packets.map((packet) => Buffer.from(packet)) });
    } else if (reply.hasColumns) {
      sink.columns({ kind: 'names', names: reply.columnNames ?? [] });
    }
    for (const row of reply.rows ?? []) sink.row(Buffer.from(row));
  }
}
