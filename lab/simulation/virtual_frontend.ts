/** Connections from simulated callers to simulated proxies. */
import type { ResultSink } from '../../src/mysql/wire/result.js';
import type { CallerSession } from '../../src/mysql/frontend/caller_session.js';
import { ConnectionActivity } from '../../src/mysql/frontend/connection_activity.js';
import {
  type ErrorAnswer,
  abandonedAnswer,
  errorAnswer,
  stoppingAnswer,
} from '../../src/mysql/frontend/error_answer.js';
import { RequestError } from '../../src/errors/errors.js';
import type { StoppingListener } from '../../src/mysql/proxy/graceful_stop.js';
import type { Clock } from '../../src/runtime/runtime.js';
import { textValues } from '../../src/mysql/topology/instance_report.js';
import {
  type CallerAnswer,
  type CallerConnection,
  type CallerConnector,
  CallerError,
  callerError,
} from '../workload/caller.js';
import type { VirtualNetwork } from './virtual_network.js';
import type { VirtualProcess } from './virtual_process.js';
import { StreamEnd } from './virtual_stream.js';

type Reply =
  | { readonly kind: 'ready' }
  | { readonly kind: 'answer'; readonly answer: CallerAnswer }
  | { readonly kind: 'error'; readonly error: ErrorAnswer };

/** One caller's connection, on the proxy's side. */
class ServedConnection {
  private readonly activity = new ConnectionActivity(() => this.closeIdle());
  private previous: Promise<void> = Promise.resolve();

  constructor(
    private readonly end: StreamEnd,
    private readonly session: CallerSession,
    private readonly clock: Clock,
    onClosed: (connection: ServedConnection) => void,
  ) {
    end.onMessage = (message) => this.receive(message as string);
    end.onClosed = () => {
      session.close();
      onClosed(this);
    };
    end.send({ kind: 'ready' } satisfies Reply);
  }

  closeWhenIdle(): void {
    this.activity.closeWhenIdle();
  }

  get isAnswered(): boolean {
    return this.activity.unanswered.length === 0;
  }

  conclude(): void {
    if (this.activity.isOver) return;
    const [running, ...queued] = this.activity.unanswered;
    this.activity.end();
    if (running) this.sendError(abandonedAnswer(this.session.mayTakeEffect));
    for (let count = queued.length; count > 0; count--) this.sendError(stoppingAnswer());
    if (!running) this.sendError(stoppingAnswer());
    this.end.close();
  }

  close(): void {
    this.end.close();
  }

  private receive(sql: string): void {
    const readAt = this.clock.now();
    this.activity.commandStarted({ name: 'query', isAnswered: true, readAt });
    this.previous = this.previous.then(() => this.run(sql));
  }

  private async run(sql: string): Promise<void> {
    if (!this.activity.isOver && this.end.open) {
      const reply = await this.reply(sql);
      if (this.end.open) this.end.send(reply);
    }
    this.activity.commandEnded();
  }

  private async reply(sql: string): Promise<Reply> {
    const rows: (string | null)[][] = [];
    const sink: ResultSink = {
      columns: () => undefined,
      row: (row) => void rows.push(textValues(row)),
    };
    try {
      const completion = await this.session.execute(sql, sink);
      this.activity.setInTransaction(completion.inTransaction);
      const { affectedRows, info } = completion;
      return { kind: 'answer', answer: { rows, affectedRows, info } };
    } catch (error) {
      if (error instanceof RequestError) this.activity.setInTransaction(false);
      return { kind: 'error', error: errorAnswer(error) };
    }
  }

  private closeIdle(): void {
    this.sendError(stoppingAnswer());
    this.end.close();
  }

  private sendError(error: ErrorAnswer): void {
    this.end.send({ kind: 'error', error } satisfies Reply);
  }
}

/** Where a simulated proxy accepts callers. */
export class VirtualListener implements StoppingListener {
  private readonly connections = new Set<ServedConnection>();
  private isDraining = false;

  constructor(
    readonly process: VirtualProcess,
    private readonly openSession: (schema: string) => CallerSession,
  ) {}

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Takes a new connection. */
  accept(end: StreamEnd, schema: string): void {
    if (this.isDraining) {
      end.send({ kind: 'error', error: stoppingAnswer() } satisfies Reply);
      end.close();
      return;
    }
    const session = this.openSession(schema);
    const connection = new ServedConnection(end, session, this.process.clock, (closed) =>
      this.connections.delete(closed),
    );
    this.connections.add(connection);
  }

  /** Stops accepting and closes each connection when nothing is in progress on it. */
  drain(): void {
    this.isDraining = true;
    for (const connection of [...this.connections]) connection.closeWhenIdle();
  }

  /** Whether no caller is left. */
  get isDrained(): boolean {
    return this.connections.size === 0;
  }

  /** Whether each command has an answer. */
  get isAnswered(): boolean {
    return [...this.connections].every((connection) => connection.isAnswered);
  }

  /** The history tells what became of each command. */
  logEndedCommands(): void {
    // Nothing is logged in a simulation.
  }

  /** Answers each remaining command and closes all connections behind the answers. */
  conclude(): void {
    for (const connection of [...this.connections]) connection.conclude();
  }

  /** Closes what is left. */
  abort(): number {
    const { size } = this.connections;
    this.closeAll();
    return size;
  }

  /** Closes every connection at once. */
  closeAll(): void {
    this.isDraining = true;
    for (const connection of [...this.connections]) connection.close();
  }
}

class VirtualCaller implements CallerConnection {
  private pending:
    { resolve(answer: CallerAnswer): void; reject(error: unknown): void } | undefined;
  private lastError: ErrorAnswer | undefined;

  constructor(private readonly end: StreamEnd) {
    end.onMessage = (message) => this.receive(message as Reply);
    end.onClosed = () => this.fail();
  }

  execute(sql: string): Promise<CallerAnswer> {
    const { lastError } = this;
    if (lastError) return Promise.reject(callerError(lastError.message, lastError.code));
    if (!this.end.open) {
      // The connection had ended before anything was sent.
      return Promise.reject(new CallerError('connection is closed', 'not_run', 0, 0, false));
    }
    return new Promise((resolve, reject) => {
      this.pending = { resolve, reject };
      this.end.send(sql);
    });
  }

  close(): void {
    this.end.onClosed = () => undefined;
    this.end.close();
  }

  private receive(reply: Reply): void {
    const pending = this.pending;
    this.pending = undefined;
    if (reply.kind === 'answer') pending?.resolve(reply.answer);
    if (reply.kind !== 'error') return;
    const { message, code } = reply.error;
    if (pending) pending.reject(callerError(message, code));
    else this.lastError = reply.error;
  }

  private fail(): void {
    this.pending?.reject(new CallerError('connection lost', 'may_have_run', 0, undefined, true));
    this.pending = undefined;
  }
}

const CONNECT_TIMEOUT_MS = 1000;
const REFUSED_RETRY_MS = 50;

/** Connector of simulated callers. */
export class VirtualCallerConnector implements CallerConnector {
  constructor(
    private readonly network: VirtualNetwork,
    private readonly process: VirtualProcess,
    readonly proxies: readonly string[],
    private readonly listenerOf: (proxy: string) => VirtualListener | undefined,
  ) {}

  connect(proxy: string, schema: string): Promise<CallerConnection> {
    return new Promise((resolve, reject) => {
      const end = new StreamEnd(this.network, this.process);
      const fail = (reason: string): void => {
        timer.cancel();
        end.onClosed = () => undefined;
        end.close();
        reject(new CallerError(reason, 'not_run', 0, REFUSED_RETRY_MS, false));
      };
      const timer = this.process.clock.setTimer(CONNECT_TIMEOUT_MS, () => fail('no answer'));
      const listener = this.listenerOf(proxy);
      if (!listener?.process.alive) {
        StreamEnd.join(this.network, end, new StreamEnd(this.network, this.process));
        this.process.clock.setTimer(1, () => fail('connection refused'));
        return;
      }
      const served = new StreamEnd(this.network, listener.process);
      StreamEnd.join(this.network, end, served);
      served.onMessage = (message) => listener.accept(served, message as string);
      end.onClosed = () => fail('connection lost');
      end.onMessage = (message) => {
        const reply = message as Reply;
        if (reply.kind === 'error') {
          fail(reply.error.message);
          return;
        }
        timer.cancel();
        resolve(new VirtualCaller(end));
      };
      end.send(schema);
    });
  }
}
