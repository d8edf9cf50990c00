/** A session served by this process: its transaction, if one is open, and its statements. */
import { MAXIMUM_WRITE_ATTEMPTS, RetryAfterMs } from '../routing/retry_policy.js';
import type { BackendConnection } from '../backend/backend.js';
import { type Completion, DISCARD, type ResultSink } from '../wire/result.js';
import { DatabaseError, ErrorCode, RequestError, messageOf, notRun } from '../../errors/errors.js';
import { Priority } from '../pool/slot_queue.js';
import type { GroupGateway, InstanceResources } from './group_gateway.js';
import { ensureOnceTable, insertOnceKey, readOnceOutcome, storeOnceOutcome } from './once_key.js';
import { chooseReplica, runRead } from './read_path.js';
import {
  type GroupSession,
  type StatementOutcome,
  type StatementRequest,
  emptyCompletion,
} from './statement_request.js';
import { executeWithTimeout, inSlot, isRefusal } from './slot_execution.js';
import {
  confirmWrite,
  pause,
  provesNotRun,
  runWrite,
  unknownOutcome,
  writePriority,
} from './write_path.js';

/** A transaction that runs on a connection of its own. */
interface OpenTransaction {
  readonly connection: BackendConnection;
  readonly resources: InstanceResources;
  /** Whether it runs on the primary. */
  readonly isOnPrimary: boolean;
  wrote: boolean;
}

/** Instance for a transaction. */
interface ChosenInstance {
  readonly address: string;
  readonly isPrimary: boolean;
}

type TransactionState = 'none' | 'begun' | 'begun_read_only' | 'open';

const TRANSACTION_LOST = 'The transaction was rolled back';

/** One session at this process. */
export class GatewaySession implements GroupSession {
  private state: TransactionState = 'none';
  private transaction: OpenTransaction | undefined;
  private closed = false;

  constructor(private readonly gateway: GroupGateway) {}

  get inTransaction(): boolean {
    return this.state !== 'none';
  }

  async run(request: StatementRequest, sink: ResultSink): Promise<StatementOutcome> {
    this.gateway.setBusy(this, true);
    try {
      return await this.dispatch(request, sink);
    } finally {
      this.gateway.setBusy(this, this.inTransaction);
    }
  }

  private async dispatch(request: StatementRequest, sink: ResultSink): Promise<StatementOutcome> {
    switch (request.statementClass) {
      case 'begin':
      case 'begin_read_only':
        return this.begin(request);
      case 'commit':
        return this.commit();
      case 'rollback':
        return this.rollback();
      default:
        if (this.inTransaction) return this.runInTransaction(request, sink);
        return this.runAlone(request, sink);
    }
  }

  close(): void {
    this.closed = true;
    this.abandon();
    this.gateway.setBusy(this, false);
  }

  private runAlone(request: StatementRequest, sink: ResultSink): Promise<StatementOutcome> {
    if (request.statementClass === 'read') return runRead(this.gateway, request, sink);
    if (request.statementClass === 'write') return runWrite(this.gateway, request, sink);
    return Promise.reject(
      notRun(
        'The statement needs a connection of its own: use it inside a transaction',
        ErrorCode.unsupported,
      ),
    );
  }

  /** Starts a transaction without a connection: many callers begin long before their first statement. */
  private async begin(request: StatementRequest): Promise<StatementOutcome> {
    // A second BEGIN commits what is open, as in MySQL.
    const committed = this.inTransaction ? await this.commit() : undefined;
    this.state = request.statementClass === 'begin' ? 'begun' : 'begun_read_only';
    return { completion: emptyCompletion(true), position: committed?.position };
  }

  private async runInTransaction(
    request: StatementRequest,
    sink: ResultSink,
  ): Promise<StatementOutcome> {
    try {
      const isFirst = this.transaction === undefined;
      const transaction = this.transaction ?? (await this.open(request));
      const priority = isFirst ? writePriority(request) : Priority.continuing;
      await this.gateway.refresh(transaction.resources.address);
      const completion = await inSlot(
        this.gateway,
        transaction.resources,
        transaction.connection,
        priority,
        () => this.runOn(transaction, request, sink),
      );
      return { completion: { ...completion, inTransaction: true }, position: undefined };
    } catch (error) {
      throw this.statementError(error);
    }
  }

  /** An error of the database leaves the transaction open; anything else has ended it. */
  private statementError(error: unknown): unknown {
    if (error instanceof DatabaseError && !isRefusal(error.code)) return error;
    this.abandon();
    if (error instanceof RequestError) return error;
    return notRun(
      `${TRANSACTION_LOST}: ${messageOf(error)}`,
      ErrorCode.transactionLost,
      this.retryAfter(),
    );
  }

  /** When to begin the lost transaction anew, in milliseconds: it may wait for a primary here. */
  private retryAfter(): number {
    return this.gateway.trustedPrimary() === undefined
      ? RetryAfterMs.transactionLostWithoutPrimary
      : RetryAfterMs.transactionLost;
  }

  private async runOn(
    transaction: OpenTransaction,
    request: StatementRequest,
    sink: ResultSink,
  ): Promise<Completion> {
    const { connection } = transaction;
    const { onceKey, sql } = request;
    transaction.wrote ||= request.statementClass !== 'read';
    if (onceKey === undefined || !this.gateway.options.protections.isOn('once-key')) {
      return executeWithTimeout(this.gateway, connection, sql, sink);
    }
    const isNew = await insertOnceKey(this.gateway, connection, onceKey);
    if (!isNew) return readOnceOutcome(connection, onceKey, true);
    const completion = await executeWithTimeout(this.gateway, connection, sql, sink);
    await storeOnceOutcome(this.gateway, connection, onceKey, completion);
    return completion;
  }

  private async open(request: StatementRequest): Promise<OpenTransaction> {
    const { clock } = this.gateway.runtime;
    const deadline = clock.now() + this.gateway.configuration.failover.buffer_ms;
    let lastError: unknown;
    this.gateway.retryBudget.earn();
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      const chosen = await this.chooseInstance(request, deadline - clock.now());
      if (!chosen) break;
      try {
        return await this.openOn(chosen, request);
      } catch (error) {
        lastError = error;
        const canRetry = provesNotRun(error) || !(error instanceof RequestError);
        const isOver = clock.now() >= deadline || this.gateway.isEnded;
        if (!canRetry || isOver || !this.gateway.retryBudget.spend()) break;
        this.gateway.counters.retries++;
        await pause(this.gateway, attempt);
      }
    }
    throw lastError instanceof RequestError
      ? lastError
      : notRun('No primary is available', ErrorCode.unavailable, RetryAfterMs.noPrimary);
  }

  private async chooseInstance(
    request: StatementRequest,
    maximumWaitMs: number,
  ): Promise<ChosenInstance | undefined> {
    if (this.state === 'begun_read_only' && request.position) {
      const replica = chooseReplica(this.gateway, request.position);
      if (replica !== undefined) return { address: replica, isPrimary: false };
    }
    const primary = await this.gateway.waitForPrimary(Math.max(0, maximumWaitMs));
    return primary === undefined ? undefined : { address: primary, isPrimary: true };
  }

  private async openOn(
    chosen: ChosenInstance,
    request: StatementRequest,
  ): Promise<OpenTransaction> {
    const { gateway } = this;
    const { address, isPrimary } = chosen;
    const resources = gateway.resourcesOf(address);
    if (!resources)
      throw notRun('Instance is gone', ErrorCode.unavailable, RetryAfterMs.noInstanceToBegin);
    const connection = await resources.pool.acquire(gateway.options.queueTimeoutMs);
    try {
      await inSlot(gateway, resources, connection, writePriority(request), async () => {
        // The table can't be created inside the transaction, which that would commit.
        if (request.onceKey !== undefined) await ensureOnceTable(connection);
        const begin = this.state === 'begun_read_only' ? 'START TRANSACTION READ ONLY' : 'BEGIN';
        await executeWithTimeout(gateway, connection, begin, DISCARD);
      });
    } catch (error) {
      resources.pool.release(connection, 'broken');
      throw error;
    }
    // As it was chosen, not as it is seen now: a commit there needs evidence in any case.
    const transaction = { connection, resources, isOnPrimary: isPrimary, wrote: false };
    if (this.closed || this.state === 'none') {
      resources.pool.release(connection, 'broken');
      throw notRun('The session was closed', ErrorCode.transactionLost);
    }
    this.transaction = transaction;
    this.state = 'open';
    return transaction;
  }

  private async commit(): Promise<StatementOutcome> {
    const transaction = this.transaction;
    this.state = 'none';
    this.transaction = undefined;
    if (!transaction) return { completion: emptyCompletion(false), position: undefined };
    const completion = await this.sendCommit(transaction);
    if (!transaction.isOnPrimary) return { completion, position: undefined };
    return confirmWrite(this.gateway, transaction.resources.address, completion);
  }

  private async sendCommit(transaction: OpenTransaction): Promise<Completion> {
    const { connection, resources } = transaction;
    let state: 'used' | 'broken' = 'broken';
    try {
      const completion = await inSlot(
        this.gateway,
        resources,
        connection,
        Priority.continuing,
        () => executeWithTimeout(this.gateway, connection, 'COMMIT', DISCARD),
      );
      state = 'used';
      return completion;
    } catch (error) {
      throw this.commitError(transaction, error);
    } finally {
      this.release(transaction, state);
    }
  }

  private commitError(transaction: OpenTransaction, error: unknown): unknown {
    const isLost = error instanceof DatabaseError || error instanceof RequestError;
    if (isLost || provesNotRun(error) || !transaction.wrote) {
      return notRun(
        `${TRANSACTION_LOST}: ${messageOf(error)}`,
        ErrorCode.transactionLost,
        this.retryAfter(),
      );
    }
    return unknownOutcome(this.gateway, messageOf(error));
  }

  private async rollback(): Promise<StatementOutcome> {
    const transaction = this.transaction;
    this.state = 'none';
    this.transaction = undefined;
    if (transaction) {
      try {
        await inSlot(
          this.gateway,
          transaction.resources,
          transaction.connection,
          Priority.continuing,
          () => executeWithTimeout(this.gateway, transaction.connection, 'ROLLBACK', DISCARD),
        );
        this.release(transaction, 'used');
      } catch {
        // Closing the connection rolls back too.
        this.release(transaction, 'broken');
      }
    }
    return { completion: emptyCompletion(false), position: undefined };
  }

  /** Ends an open transaction by closing its connection; the instance rolls it back. */
  private abandon(): void {
    const transaction = this.transaction;
    this.state = 'none';
    this.transaction = undefined;
    if (transaction) this.release(transaction, 'broken');
  }

  private release(transaction: OpenTransaction, state: 'used' | 'broken'): void {
    const keepsState = !this.gateway.options.protections.isOn('connection-reset');
    transaction.resources.pool.release(transaction.connection, keepsState ? 'clean' : state);
  }
}
