/** Connections to instances through the `mysql2` client. */
import { type Connection, createConnection } from 'mysql2';
import { BackendConnectionLostError, messageOf } from '../../errors/errors.js';
import { splitAddress } from '../../runtime/address.js';
import type { BackendConnection, BackendConnector } from './backend.js';
import type { Completion, ResultSink } from '../wire/result.js';
import { Command } from '../wire/protocol.js';
import type { ClientConnection } from './client_connection.js';
import { CommandRequest } from './raw_command.js';

/** How the proxy signs on to instances. */
export interface MysqlConnectorOptions {
  readonly user: string;
  readonly password: string;
}

class MysqlConnection implements BackendConnection {
  closed = false;
  onClosed: (() => void) | undefined;
  /** Commands without an answer: a monitoring connection has several at once. */
  private readonly unanswered = new Set<CommandRequest>();

  constructor(private readonly connection: Connection) {
    connection.on('error', (error) => this.fail(messageOf(error)));
    this.client.stream.on('close', () => this.fail('connection closed'));
  }

  execute(sql: string, sink: ResultSink): Promise<Completion> {
    const payload = Buffer.allocUnsafe(1 + Buffer.byteLength(sql));
    payload[0] = Command.query;
    payload.write(sql, 1);
    return this.run(payload, sink);
  }

  async reset(): Promise<void> {
    await this.run(Buffer.from([Command.resetConnection]), {
      columns: () => undefined,
      row: () => undefined,
    });
  }

  close(reason: string): void {
    this.fail(`connection closed by this process: ${reason}`);
    this.client.stream.destroy();
  }

  get sessionId(): number {
    return this.connection.threadId ?? 0;
  }

  private get client(): ClientConnection {
    return this.connection as unknown as ClientConnection;
  }

  private run(payload: Buffer, sink: ResultSink): Promise<Completion> {
    if (this.closed) {
      return Promise.reject(
        new BackendConnectionLostError('connection is closed', { sent: false }),
      );
    }
    return new Promise((resolve, reject) => {
      const command = new CommandRequest(payload, sink, {
        resolve: (completion) => {
          this.unanswered.delete(command);
          resolve(completion);
        },
        reject: (error) => {
          this.unanswered.delete(command);
          if (error instanceof BackendConnectionLostError) this.close(error.message);
          reject(error);
        },
      });
      this.unanswered.add(command);
      this.client.addCommand(command);
    });
  }

  private fail(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    for (const command of [...this.unanswered]) {
      command.fail(new BackendConnectionLostError(reason, { sent: true }));
    }
    this.onClosed?.();
  }
}

/** Opens connections with one account. */
export class MysqlConnector implements BackendConnector {
  constructor(private readonly options: MysqlConnectorOptions) {}

  connect(address: string, timeoutMs: number): Promise<BackendConnection> {
    const connection = createConnection({
      ...splitAddress(address),
      user: this.options.user,
      password: this.options.password,
      connectTimeout: timeoutMs,
      // The library sets this much memory aside for each connection; none is used here.
      maxPreparedStatements: 1,
      // Callers can't be given several results or asked for a file: instances refuse such statements then.
      flags: ['SESSION_TRACK', '-MULTI_RESULTS', '-PS_MULTI_RESULTS', '-LOCAL_FILES'],
    });
    return new Promise((resolve, reject) => {
      const fail = (error: unknown): void => {
        connection.destroy();
        const message = `${address}: ${messageOf(error)}`;
        reject(new BackendConnectionLostError(message, { sent: false }));
      };
      connection.once('error', fail);
      connection.once('connect', () => {
        connection.off('error', fail);
        resolve(new MysqlConnection(connection));
      });
    });
  }
}
