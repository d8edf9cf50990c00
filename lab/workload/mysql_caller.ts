/** Callers' connections through an ordinary `mysql2` client. */
import { type Connection, type ResultSetHeader, createConnection } from 'mysql2';
import { splitAddress } from '../../src/runtime/address.js';
import { TOKEN_INFO_PREFIX } from '../../src/mysql/proxy/proxy_session.js';
import {
  type CallerAnswer,
  type CallerConnection,
  type CallerConnector,
  CallerError,
  callerError,
} from './caller.js';

/** Where proxies listen and how callers sign on. */
export interface MysqlCallerOptions {
  /** Address of each proxy by name. */
  readonly proxies: ReadonlyMap<string, string>;
  readonly user: string;
  readonly password: string;
}

const CONNECT_TIMEOUT_MS = 3000;

interface ServerError extends Error {
  readonly errno?: number;
  readonly sqlState?: string;
}

function toCallerError(error: ServerError): CallerError {
  // Errors of the connection itself carry no SQLSTATE.
  if (error.sqlState === undefined) {
    return new CallerError(error.message, 'may_have_run', 0, undefined, true);
  }
  return callerError(error.message, error.errno ?? 0);
}

type QueryResult = ResultSetHeader | (string | null)[][];

class MysqlCaller implements CallerConnection {
  private isEnded = false;

  constructor(private readonly connection: Connection) {
    connection.on('error', () => {
      this.isEnded = true;
    });
  }

  async execute(sql: string): Promise<CallerAnswer> {
    const answer = await this.query(sql);
    const isMarkedRead = answer.rows.length > 0 && sql.includes('whinyoke_position');
    if (!isMarkedRead) return answer;
    // Rows end without a text, so the token of what was read must be asked for.
    const status = await this.query('SHOW WHINYOKE STATUS');
    return { ...answer, info: `${TOKEN_INFO_PREFIX}${status.rows[0]?.[0] ?? ''}` };
  }

  close(): void {
    this.connection.destroy();
  }

  private query(sql: string): Promise<CallerAnswer> {
    // The proxy ended the connection before this statement was sent.
    if (this.isEnded) {
      const message = 'connection was ended by the proxy';
      return Promise.reject(new CallerError(message, 'not_run', 0, 0, false));
    }
    return new Promise((resolve, reject) => {
      this.connection.query(
        { sql, rowsAsArray: true, typeCast: (field) => field.string() },
        (error, result) => {
          if (error) {
            reject(toCallerError(error));
            return;
          }
          const answer = result as QueryResult;
          if (Array.isArray(answer)) resolve({ rows: answer, affectedRows: 0, info: '' });
          else resolve({ rows: [], affectedRows: answer.affectedRows, info: answer.info });
        },
      );
    });
  }
}

/** Connector of real callers. */
export class MysqlCallerConnector implements CallerConnector {
  constructor(private readonly options: MysqlCallerOptions) {}

  get proxies(): readonly string[] {
    return [...this.options.proxies.keys()];
  }

  connect(proxy: string, schema: string): Promise<CallerConnection> {
    const address = this.options.proxies.get(proxy) ?? '';
    const connection = createConnection({
      ...splitAddress(address),
      user: this.options.user,
      password: this.options.password,
      database: schema,
      connectTimeout: CONNECT_TIMEOUT_MS,
    });
    return new Promise((resolve, reject) => {
      connection.once('error', (error: ServerError) => {
        connection.destroy();
        // Nothing was sent yet.
        reject(new CallerError(error.message, 'not_run', error.errno ?? 0, 50, false));
      });
      connection.once('connect', () => {
        connection.removeAllListeners('error');
        resolve(new MysqlCaller(connection));
      });
    });
  }
}
