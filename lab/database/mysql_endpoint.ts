/** MySQL endpoint of an emulated instance. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Completion, ResultSink } from '../../src/mysql/wire/result.js';
import type { CallerSession } from '../../src/mysql/frontend/caller_session.js';
import { MysqlListener } from '../../src/mysql/frontend/mysql_listener.js';
import type { DatabaseInstance } from './instance.js';
import type { InstanceSession } from './instance_session.js';

/**
 * Longest row batch sent before other connections are served, as a database with a thread for each connection serves them,
 * and before looking whether the client keeps up.
 */
const ROWS_PER_CHECK = 256;

class EndpointSession implements CallerSession {
  readonly ended: Promise<void>;
  readonly mayTakeEffect = true;

  constructor(private readonly session: InstanceSession) {
    this.ended = session.ended;
  }

  async execute(sql: string, sink: ResultSink): Promise<Completion> {
    const answer = await this.session.execute(sql);
    if (answer.columns) sink.columns({ kind: 'names', names: answer.columns });
    let sent = 0;
    for (const row of answer.rows ?? []) {
      sink.row(row);
      sent++;
      if (sent % ROWS_PER_CHECK !== 0) continue;
      await nextTurn();
      await sink.readyForMore?.();
    }
    const { affectedRows, insertId, gtid, inTransaction } = answer;
    return { affectedRows, insertId, info: '', gtid, inTransaction };
  }

  reset(): Promise<void> {
    this.session.reset();
    return Promise.resolve();
  }

  useSchema(): Promise<Completion> {
    return Promise.resolve({ affectedRows: 0, insertId: 0, info: '', inTransaction: false });
  }

  close(): void {
    this.session.close();
  }
}

/** Where an instance listens, and with which account. */
export interface EndpointOptions {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
}

/** Listener in front of an instance. */
export function createEndpoint(
  instance: DatabaseInstance,
  options: EndpointOptions,
): MysqlListener {
  return new MysqlListener({
    host: options.host,
    port: options.port,
    passwordOf: (user) => (user === options.user ? options.password : undefined),
    serverVersion: '8.4.0-whinyoke-lab',
    maximumConnections: Infinity,
    openSession: async ({ connectionId }) =>
      new EndpointSession(await instance.connect(connectionId)),
  });
}
