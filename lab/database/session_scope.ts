/**
 * Names that the expressions of one connection may use: variables of the user and of the server, functions, and the
 * columns of a row. Owns the user's variables and the last inserted identifier.
 */
import { DatabaseError } from '../../src/errors/errors.js';
import { newestPosition } from '../../src/mysql/topology/gtid.js';
import { covers } from '../../src/positions/position.js';
import type { Scope } from './evaluate.js';
import type { HostedSession, SessionHost } from './session_host.js';
import type { Value } from './sql/syntax.js';
import { systemVariable } from './system_variables.js';
import type { Row, Table } from './tables.js';

const ER_BAD_FIELD = { code: 1054, sqlState: '42S22' };
const ER_NO_SUCH_FUNCTION = { code: 1305, sqlState: '42000' };

/** Scope of one session. */
export class SessionScope {
  lastInsertId = 0;
  private userVariables = new Map<string, Value>();

  constructor(
    private readonly host: SessionHost,
    private readonly session: HostedSession,
  ) {}

  /** Forgets all variables. */
  reset(): void {
    this.userVariables = new Map();
    this.lastInsertId = 0;
  }

  /** Sets a variable of the user (`@name`). */
  setUserVariable(name: string, value: Value): void {
    this.userVariables.set(name, value);
  }

  /** Scope of a row of a table. */
  ofRow(table: Table, row: Row): Scope {
    return this.ofColumns((name) => {
      const index = table.definition.columns.findIndex((column) => column.name === name);
      return index < 0 ? undefined : row[index];
    });
  }

  /**
   * Scope of one row.
   * @param column - value of a column; undefined where there is none of that name
   */
  ofColumns(column: (name: string) => Value | undefined): Scope {
    return {
      column: (name) => {
        const value = column(name);
        if (value === undefined) {
          throw new DatabaseError(`Unknown column '${name}' in 'field list'`, ER_BAD_FIELD);
        }
        return value;
      },
      systemVariable: (name) => systemVariable(this.host, name),
      userVariable: (name) => this.userVariables.get(name) ?? null,
      call: (name, parameters) => this.call(name, parameters),
    };
  }

  /** Scope outside all rows. */
  withoutRow(): Scope {
    return this.ofColumns(() => undefined);
  }

  /** Whether all transactions of a GTID set are executed on the instance. */
  hasExecuted(gtidSet: Value | undefined): boolean {
    return covers(this.host.member.executedPosition, newestPosition(String(gtidSet ?? '')));
  }

  private call(name: string, parameters: readonly Value[]): Value {
    const { host, session } = this;
    switch (name) {
      case 'GET_LOCK':
        return host.namedLocks.take(String(parameters[0]), session);
      case 'RELEASE_LOCK':
        return host.namedLocks.release(String(parameters[0]), session);
      case 'CONNECTION_ID':
        return session.connectionId;
      case 'LAST_INSERT_ID':
        return this.lastInsertId;
      case 'VERSION':
        return systemVariable(host, 'version');
      case 'DATABASE':
        return null;
      case 'REPEAT':
        return String(parameters[0]).repeat(Number(parameters[1]));
      case 'WAIT_FOR_EXECUTED_GTID_SET':
        return this.hasExecuted(parameters[0]) ? 0 : 1;
      case 'SLEEP':
        return 0;
      case 'COUNT':
        return 0;
      default:
        throw new DatabaseError(`FUNCTION ${name} does not exist`, ER_NO_SUCH_FUNCTION);
    }
  }
}
