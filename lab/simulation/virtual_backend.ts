/** Connections from simulated proxies to simulated instances, with the same surface as MySQL's. */
import type { BackendConnection, BackendConnector } from '../../src/mysql/backend/backend.js';
import type { Completion, ResultSink } from '../../src/mysql/wire/result.js';
import { BackendConnectionLostError, DatabaseError, messageOf } from '../../src/errors/errors.js';
import { hostOf } from '../../src/runtime/address.js';
import type { DatabaseInstance } from '../database/instance.js';
import type { InstanceSession, StatementAnswer } from '../database/instance_session.js';
import type { VirtualNetwork } from './virtual_network.js';
import type { VirtualProcess } from './virtual_process.js';
import { StreamEnd } from './virtual_stream.js';

/** A simulated instance as connections reach it. */
export interface InstanceEndpoint {
  readonly process: VirtualProcess;
  readonly instance: DatabaseInstance;
  /** Called with each statement that arrives, and the virtual time at which it was sent. */
  onStatement(sql: string, sentAt: number, session: InstanceSession): void;
}

type Request =
  | { readonly kind: 'execute'; readonly sql: string; readonly sentAt: number }
  | { readonly kind: 'reset' };

type Reply =
  | { readonly kind: 'ready'; readonly sessionId: number }
  | { readonly kind: 'answer'; readonly answer: StatementAnswer }
  | { readonly kind: 'error'; readonly code: number; readonly sqlState: string; message: string };

const RESET_ANSWER: StatementAnswer = { affectedRows: 0, insertId: 0, inTransaction: false };

function errorReply(error: unknown): Reply {
  const { code, sqlState } =
    error instanceof DatabaseError ? error : { code: 1105, sqlState: 'HY000' };
  return { kind: 'error', code, sqlState, message: messageOf(error) };
}

/** The instance's side of a connection. */
async function serve(end: StreamEnd, endpoint: InstanceEndpoint): Promise<void> {
  let session: InstanceSession | undefined;
  let isClosed = false;
  let previous: Promise<void> = Promise.resolve();
  const isGone = (): boolean => isClosed;
  end.onClosed = () => {
    isClosed = true;
    session?.close();
  };
  const run = async (request: Request): Promise<void> => {
    if (!session || isClosed) return;
    try {
      if (request.kind === 'reset') {
        session.reset();
        end.send({ kind: 'answer', answer: RESET_ANSWER } satisfies Reply);
        return;
      }
      endpoint.onStatement(request.sql, request.sentAt, session);
      const answer = await session.execute(request.sql);
      end.send({ kind: 'answer', answer } satisfies Reply);
    } catch (error) {
      end.send(errorReply(error));
    }
  };
  end.onMessage = (message) => {
    previous = previous.then(() => run(message as Request));
  };
  try {
    session = await endpoint.instance.connect();
    if (isGone()) session.close();
    else end.send({ kind: 'ready', sessionId: session.connectionId } satisfies Reply);
  } catch (error) {
    end.send(errorReply(error));
    end.close();
  }
}

interface PendingStatement {
  readonly sentAt: number;
  readonly sink: ResultSink | undefined;
  resolve(completion: Completion): void;
  reject(error: unknown): void;
}

/**
 * The proxy's side. Answers carry no name: the next one belongs to whoever waits longest.
 * With `forgetsAfterMs` the connection forgets who waited longer, as a careless client does after a
 * timeout, and takes a late answer for the answer to the next statement.
 */
class VirtualBackendConnection implements BackendConnection {
  onClosed: (() => void) | undefined;
  private pending: PendingStatement[] = [];

  constructor(
    readonly sessionId: number,
    private readonly end: StreamEnd,
    private readonly now: () => number,
    private readonly forgetsAfterMs: number,
  ) {
    end.onMessage = (message) => this.receive(message as Reply);
    end.onClosed = () => this.fail();
  }

  get closed(): boolean {
    return !this.end.open;
  }

  execute(sql: string, sink: ResultSink): Promise<Completion> {
    return this.send({ kind: 'execute', sql, sentAt: this.now() }, sink);
  }

  async reset(): Promise<void> {
    await this.send({ kind: 'reset' }, undefined);
  }

  close(): void {
    this.end.close();
  }

  private send(request: Request, sink: ResultSink | undefined): Promise<Completion> {
    if (this.closed) {
      const lost = new BackendConnectionLostError('connection is closed', { sent: false });
      return Promise.reject(lost);
    }
    const sentAt = this.now();
    const oldest = sentAt - this.forgetsAfterMs;
    this.pending = this.pending.filter((statement) => statement.sentAt > oldest);
    return new Promise((resolve, reject) => {
      this.pending.push({ sentAt, sink, resolve, reject });
      this.end.send(request);
    });
  }

  private receive(reply: Reply): void {
    const pending = this.pending.shift();
    if (!pending) return;
    if (reply.kind === 'error') {
      const { code, sqlState } = reply;
      pending.reject(new DatabaseError(reply.message, { code, sqlState }));
    } else if (reply.kind === 'answer') {
      const { answer } = reply;
      if (answer.columns) pending.sink?.columns({ kind: 'names', names: answer.columns });
      for (const row of answer.rows ?? []) pending.sink?.row(row);
      const { affectedRows, insertId, gtid, inTransaction } = answer;
      pending.resolve({ affectedRows, insertId, info: '', gtid, inTransaction });
    }
  }

  private fail(): void {
    for (const statement of this.pending.splice(0)) {
      statement.reject(new BackendConnectionLostError('connection lost', { sent: true }));
    }
    this.onClosed?.();
  }
}

/** Connector of one simulated proxy. */
export class VirtualBackendConnector implements BackendConnector {
  constructor(
    private readonly network: VirtualNetwork,
    private readonly process: VirtualProcess,
    private readonly endpointAt: (address: string) => InstanceEndpoint | undefined,
    private readonly forgetsAfterMs = Infinity,
  ) {}

  connect(address: string, timeoutMs: number): Promise<BackendConnection> {
    return new Promise((resolve, reject) => {
      const end = new StreamEnd(this.network, this.process);
      const fail = (reason: string): void => {
        timer.cancel();
        end.onClosed = () => undefined;
        end.close();
        reject(new BackendConnectionLostError(`${address}: ${reason}`, { sent: false }));
      };
      const timer = this.process.clock.setTimer(timeoutMs, () => fail('connect timed out'));
      const host = hostOf(address);
      const server = this.endpointAt(address);
      if (!server) {
        const refusal = this.network.delay(this.process.host, host) * 2;
        StreamEnd.join(this.network, end, new StreamEnd(this.network, this.process));
        this.process.clock.setTimer(refusal, () => fail('connection refused'));
        return;
      }
      const serverEnd = new StreamEnd(this.network, server.process);
      StreamEnd.join(this.network, end, serverEnd);
      serverEnd.onMessage = () => void serve(serverEnd, server);
      end.onClosed = () => fail('connection lost');
      end.onMessage = (message) => {
        const reply = message as Reply;
        if (reply.kind !== 'ready') {
          fail(reply.kind === 'error' ? reply.message : 'unexpected answer');
          return;
        }
        timer.cancel();
        const now = (): number => this.network.scheduler.now;
        resolve(new VirtualBackendConnection(reply.sessionId, end, now, this.forgetsAfterMs));
      };
      end.send({ kind: 'hello' });
    });
  }
}
