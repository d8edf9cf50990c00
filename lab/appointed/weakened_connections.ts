/** Connections to instances that match answers without some of their protections. */
import { BackendConnectionLostError } from '../../src/errors/errors.js';
import type {
  InstanceChannel,
  InstanceChannelConnector,
  InstanceMessage,
} from '../../src/appointed/instance/instance_channel.js';
import {
  ConnectError,
  type InstanceAnswer,
  type InstanceConnection,
  type InstanceConnector,
  type InstanceTarget,
  type OpenedConnection,
} from '../../src/appointed/instance/instance_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { NO_TENANT } from '../../src/appointed/tenancy/tenant.js';
import type { Clock } from '../../src/runtime/runtime.js';

/** A message to the instance that waits for its answer. */
interface PendingMessage {
  readonly settle: (answer: InstanceAnswer | undefined, reason: string) => void;
}

/** Takes each message for the answer to the oldest unanswered command, whatever it holds. */
class OrderedConnection implements InstanceConnection {
  onClosed: (() => void) | undefined;
  private readonly pending: PendingMessage[] = [];
  private isClosed = false;

  constructor(
    private readonly channel: InstanceChannel,
    private readonly clock: Clock,
  ) {
    channel.onMessage = (message) => this.receive(message);
    channel.onClosed = (reason) => this.end(reason);
    this.isClosed = channel.closed;
  }

  get closed(): boolean {
    return this.isClosed;
  }

  async start(target: InstanceTarget, tenant: string, timeoutMs: number): Promise<InstanceAnswer> {
    const answer = await this.exchange(() => this.channel.sendStart(target, tenant), timeoutMs);
    if (!answer.error) return answer;
    const failure = answer.error.kind === 'connectionLimit' ? 'connectionLimit' : 'refused';
    throw new ConnectError(answer.error.text, { failure });
  }

  run(command: InstanceCommand, timeoutMs: number): Promise<InstanceAnswer> {
    if (this.isClosed) {
      return Promise.reject(new BackendConnectionLostError('closed', { sent: false }));
    }
    return this.exchange(() => this.channel.send(command), timeoutMs);
  }

  close(): void {
    this.end('closed');
  }

  private exchange(send: () => void, timeoutMs: number): Promise<InstanceAnswer> {
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(timeoutMs, () => this.end('no answer in time'));
      const settle: PendingMessage['settle'] = (answer, reason) => {
        timer.cancel();
        if (answer) resolve(answer);
        else reject(new BackendConnectionLostError(reason, { sent: true }));
      };
      this.pending.push({ settle });
      send();
    });
  }

  private receive(message: InstanceMessage): void {
    const oldest = this.pending.shift();
    if (oldest) oldest.settle(answerOf(message), 'no answer');
    else this.end('an answer to nothing');
  }

  private end(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.channel.close(true);
    for (const { settle } of this.pending.splice(0)) settle(undefined, reason);
    this.onClosed?.();
  }
}

function answerOf(message: InstanceMessage): InstanceAnswer | undefined {
  if (message.kind === 'answer') return message.answer;
  const base = { rows: [], signature: '', state: 'idle' } as const;
  if (message.kind === 'greeting') return { ...base, position: message.position };
  return message.kind === 'brokenOff' ? { ...base, error: message.error } : undefined;
}

/** Opens connections that match answers by their order alone. */
export class OrderedConnector implements InstanceConnector {
  constructor(
    private readonly channels: InstanceChannelConnector,
    private readonly clock: Clock,
  ) {}

  /** @throws ConnectError */
  async connect(
    target: InstanceTarget,
    timeoutMs: number,
    tenant = NO_TENANT,
  ): Promise<OpenedConnection> {
    const channel = await this.channels.open(target.address, timeoutMs);
    const connection = new OrderedConnection(channel, this.clock);
    try {
      const { position } = await connection.start(target, tenant, timeoutMs);
      return { connection, position };
    } catch (error) {
      connection.close();
      if (error instanceof ConnectError) throw error;
      throw new ConnectError('no answer to the start', { failure: 'silent' });
    }
  }
}

/** Opens connections on which an answer that may be a copy counts without a check. */
export class UnconfirmingConnector implements InstanceConnector {
  constructor(private readonly connector: InstanceConnector) {}

  /** @throws ConnectError */
  async connect(
    target: InstanceTarget,
    timeoutMs: number,
    tenant?: string,
  ): Promise<OpenedConnection> {
    const opened = await this.connector.connect(target, timeoutMs, tenant);
    const { connection } = opened;
    const accept = Reflect.get(connection, 'accept') as (...parameters: unknown[]) => void;
    const acceptAtOnce = (pending: unknown, answer: unknown): void =>
      accept.call(connection, pending, answer, false);
    Reflect.set(connection, 'accept', acceptAtOnce);
    return opened;
  }
}
