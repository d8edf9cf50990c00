/**
 * One person of the booking workload: looks at slots, holds them, pays and confirms, and goes to another
 * proxy with each request. Writes its operations into the history.
 */
import { type Clock, type RandomSource, delay } from '../../src/runtime/runtime.js';
import { quoteString } from '../../src/mysql/sql/tokenizer.js';
import type { HistoryRecorder, OperationKind } from '../history/history.js';
import {
  type CallerAnswer,
  type CallerConnection,
  type CallerConnector,
  CallerError,
  tokenOf,
} from './caller.js';

/** How a session behaves. */
export interface BookingOptions {
  readonly session: string;
  /** Groups, which are also the names of their schemas. */
  readonly groups: readonly string[];
  /** Registers a group; few make callers chase the same slot. */
  readonly registers: number;
  /** Whether the session hands its token on. */
  readonly usesToken: boolean;
  /** Token that the session starts with. */
  readonly initialToken: string;
  /** Shares of operations; the rest are reads. */
  readonly writeShare: number;
  readonly paymentShare: number;
  readonly abandonShare: number;
  /** Longest pause between operations, in milliseconds. */
  readonly thinkMs: number;
  /** Pause after a write before the next operation, in milliseconds; for experiments. */
  readonly pauseAfterWriteMs?: number;
  /** Longest wait for an answer before the caller gives up, in milliseconds. */
  readonly patienceMs: number;
}

/** Statements that create the workload's tables. */
export function schemaStatements(): string[] {
  return [
    'CREATE TABLE IF NOT EXISTS registers (id VARCHAR(32) PRIMARY KEY, version INT, writer VARCHAR(64))',
    'CREATE TABLE IF NOT EXISTS journal (operation VARCHAR(64) PRIMARY KEY, register VARCHAR(32), version INT)',
    'CREATE TABLE IF NOT EXISTS payments (attempt VARCHAR(64) PRIMARY KEY, once_key VARCHAR(64))',
  ];
}

/** Statement that creates the registers. */
export function registerStatement(count: number): string {
  const rows = Array.from({ length: count }, (_, index) => `('r${index}', 0, '')`);
  return `INSERT INTO registers (id, version, writer) VALUES ${rows.join(', ')}`;
}

const MAXIMUM_PAYMENT_ATTEMPTS = 6;
const RESEND_PAUSE_MS = 50;

interface Operation {
  readonly name: string;
  readonly proxy: string;
  readonly group: string;
}

/** A session of the workload. */
export class BookingSession {
  private token: string;
  private nextOperation = 1;
  private stopped = false;
  private readonly connections = new Map<string, CallerConnection>();
  /** Operations finished, by outcome. */
  readonly counts = { ok: 0, notRun: 0, mayHaveRun: 0 };

  constructor(
    private readonly connector: CallerConnector,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly history: HistoryRecorder,
    private readonly options: BookingOptions,
  ) {
    this.token = options.initialToken;
  }

  /** Runs operations until `stop`. */
  async run(): Promise<void> {
    while (!this.stopped) {
      await this.runOne();
      if (this.options.thinkMs > 0) {
        await delay(this.clock, this.random.next() * this.options.thinkMs);
      }
    }
    for (const connection of this.connections.values()) connection.close();
  }

  /** Ends after the operation under way. */
  stop(): void {
    this.stopped = true;
  }

  private async runOne(): Promise<void> {
    const choice = this.random.next();
    const { writeShare, paymentShare, abandonShare, pauseAfterWriteMs = 0 } = this.options;
    if (choice < writeShare) {
      await this.write();
      if (pauseAfterWriteMs > 0) await delay(this.clock, pauseAfterWriteMs);
    } else if (choice < writeShare + paymentShare) await this.pay();
    else if (choice < writeShare + paymentShare + abandonShare) await this.abandon();
    else await this.read();
  }

  private async write(): Promise<void> {
    const register = this.chooseRegister();
    const operation = this.begin('write', register);
    await this.record(operation, async (connection) => {
      await this.execute(connection, 'BEGIN');
      const version = await this.raiseVersion(connection, operation, register);
      const answer = await this.execute(connection, 'COMMIT');
      return { version, term: this.termOf(answer, operation.group) };
    });
  }

  private async raiseVersion(
    connection: CallerConnection,
    operation: Operation,
    register: string,
  ): Promise<number> {
    const writer = quoteString(operation.name);
    const id = quoteString(register);
    await this.execute(
      connection,
      `UPDATE registers SET version = version + 1, writer = ${writer} WHERE id = ${id}`,
    );
    const select = `SELECT version FROM registers WHERE id = ${id}`;
    const { rows } = await this.execute(connection, select);
    const version = Number(rows[0]?.[0]);
    await this.execute(
      connection,
      `INSERT INTO journal (operation, register, version) VALUES (${writer}, ${id}, ${version})`,
    );
    return version;
  }

  private async read(): Promise<void> {
    const register = this.chooseRegister();
    const operation = this.begin('read', register);
    await this.record(operation, async (connection) => {
      const sql =
        `SELECT ${quoteString(operation.name)}, id, version, writer` +
        ` FROM registers WHERE id = ${quoteString(register)}`;
      const { rows } = await this.execute(connection, sql);
      const [echo, answeredKey, version, writer] = rows[0] ?? [];
      return {
        echo: echo ?? '',
        answeredKey: answeredKey ?? '',
        version: Number(version),
        writer: writer ?? '',
      };
    });
  }

  /** A payment is resent, through any proxy, until its outcome is known. */
  private async pay(): Promise<void> {
    const key = `pay-${this.options.session}-${this.nextOperation}`;
    const group = this.chooseGroup();
    for (let attempt = 0; attempt < MAXIMUM_PAYMENT_ATTEMPTS && !this.stopped; attempt++) {
      const operation = this.begin('payment', key, group);
      const isDone = await this.record(operation, async (connection) => {
        const sql =
          `INSERT INTO payments (attempt, once_key)` +
          ` VALUES (${quoteString(operation.name)}, ${quoteString(key)})`;
        const answer = await this.execute(connection, sql, { whinyoke_once: key });
        return { term: this.termOf(answer, group) };
      });
      if (isDone) return;
      await delay(this.clock, RESEND_PAUSE_MS);
    }
  }

  /** Leaves a transaction without an end, as a caller that dies does. */
  private async abandon(): Promise<void> {
    const register = this.chooseRegister();
    const operation = this.begin('abandoned', register);
    await this.record(operation, async (connection) => {
      await this.execute(connection, 'BEGIN');
      await this.raiseVersion(connection, operation, register);
      this.connections.delete(this.connectionKey(operation));
      connection.close();
      return {};
    });
  }

  private chooseGroup(): string {
    const { groups } = this.options;
    return groups[this.random.integer(0, groups.length - 1)]!;
  }

  private chooseRegister(): string {
    return `r${this.random.integer(0, this.options.registers - 1)}`;
  }

  private begin(kind: OperationKind, key: string, group = this.chooseGroup()): Operation {
    const { proxies } = this.connector;
    const proxy = proxies[this.random.integer(0, proxies.length - 1)]!;
    const name = `${this.options.session}.${this.nextOperation++}`;
    const { session } = this.options;
    const at = this.clock.now();
    const withoutToken = !this.options.usesToken;
    const invoke = { operation: name, kind, session, proxy, group, key, withoutToken };
    this.history.add({ type: 'invoke', at, ...invoke });
    return { name, proxy, group };
  }

  private async record(
    operation: Operation,
    work: (connection: CallerConnection) => Promise<object>,
  ): Promise<boolean> {
    try {
      const connection = await this.connection(operation);
      const result = await work(connection);
      this.counts.ok++;
      this.history.add({
        type: 'ok',
        at: this.clock.now(),
        operation: operation.name,
        ...result,
      });
      return true;
    } catch (error) {
      if (!(error instanceof CallerError)) throw error;
      await this.recordError(operation, error);
      return false;
    }
  }

  private async recordError(operation: Operation, error: CallerError): Promise<void> {
    this.discard(operation);
    if (error.verdict === 'not_run') this.counts.notRun++;
    else this.counts.mayHaveRun++;
    this.history.add({
      type: 'error',
      at: this.clock.now(),
      operation: operation.name,
      verdict: error.verdict,
      code: error.code,
      message: error.message,
      connectionLost: error.connectionLost,
    });
    if (error.retryAfterMs !== undefined) await delay(this.clock, error.retryAfterMs);
  }

  /** After an error the caller starts over on a new connection, so no transaction is left open. */
  private discard(operation: Operation): void {
    const key = this.connectionKey(operation);
    this.connections.get(key)?.close();
    this.connections.delete(key);
  }

  private connectionKey({ proxy, group }: Operation): string {
    return `${proxy} ${group}`;
  }

  private async connection(operation: Operation): Promise<CallerConnection> {
    const key = this.connectionKey(operation);
    const open = this.connections.get(key);
    if (open) return open;
    const connection = await this.connector.connect(operation.proxy, operation.group);
    this.connections.set(key, connection);
    return connection;
  }

  private async execute(
    connection: CallerConnection,
    sql: string,
    marks: Readonly<Record<string, string>> = {},
  ): Promise<CallerAnswer> {
    const all = this.options.usesToken ? { ...marks, whinyoke_position: this.token } : marks;
    const pairs = Object.entries(all).map(
      ([key, value]) => `${key}='${encodeURIComponent(value)}'`,
    );
    const text = pairs.length === 0 ? sql : `${sql} /*${pairs.join(',')}*/`;
    const answer = await this.withPatience(connection, connection.execute(text));
    this.token = tokenOf(answer) || this.token;
    return answer;
  }

  private withPatience(
    connection: CallerConnection,
    answer: Promise<CallerAnswer>,
  ): Promise<CallerAnswer> {
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(this.options.patienceMs, () => {
        connection.close();
        reject(new CallerError('the caller gave up waiting', 'may_have_run', 0, undefined, false));
      });
      answer.then(
        (value) => {
          timer.cancel();
          resolve(value);
        },
        (error: unknown) => {
          timer.cancel();
          reject(error instanceof Error ? error : new Error(String(error)));
        },
      );
    });
  }

  private termOf(answer: CallerAnswer, group: string): number | undefined {
    const part = tokenOf(answer)
      .split(',')
      .find((item) => item.startsWith(`${group}:`));
    return part === undefined ? undefined : Number(part.slice(group.length + 1).split('-')[0]);
  }
}
