/**
 * Session of one caller: its values, prepared statements, open transaction, and the positions of its newest commits, which
 * later reads of the session must see if the route requires it.
 *
 * Each operation is admitted first: the database must have a route, the credential must be valid, and the tenant must be within
 * its operation limit. Otherwise it is refused without reaching an instance.
 */
import type { Timer } from '../../runtime/runtime.js';
import type { Position } from '../../positions/position.js';
import { Events } from '../../observability/events.js';
import { AdmittedOperation } from '../tenancy/admitted_operation.js';
import { type CallerReply, successReply, errorReply } from './caller_reply.js';
import type { TransactionState } from '../instance/instance_connection.js';
import { refuse, refuseCredential } from '../routing/refusal.js';
import { causeText } from '../routing/refusal_cause.js';
import { RequestDeadline } from '../routing/request_deadline.js';
import type { Route } from '../catalog/route_table.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import { RequestProgress } from './request_progress.js';
import { type SingleStatementRequest, SingleStatementRunner } from './single_statement.js';
import {
  type CallerStatement,
  type DataStatement,
  type PreparedShape,
  accessOf,
} from '../instance/statement.js';
import type { ShutdownNeed } from '../routing/shutdown_deadline.js';
import { SessionCommits } from './session_commits.js';
import type { SessionContent } from './session_loader.js';
import { StatementRunner } from './statement_runner.js';
import { CallerTransaction } from './caller_transaction.js';

const FAILED_TRANSACTION_TEXT = 'the transaction has failed; roll back';

/** An admitted operation. */
interface AdmittedRequest {
  readonly route: Route;
  readonly deadline: RequestDeadline;
  readonly operation: AdmittedOperation;
}

/** An admitted operation, or the reply that refuses it. */
type AdmissionResult = AdmittedRequest | { readonly refusal: CallerReply };

/** Session of one caller connection. Callers must run one statement at a time. */
export class RoutedSession {
  private readonly values = new Map<string, string>();
  private readonly preparedByName = new Map<string, PreparedShape>();
  private readonly runner: StatementRunner;
  private readonly singleStatements: SingleStatementRunner;
  private transaction: CallerTransaction | undefined;
  private transactionState: TransactionState = 'idle';
  private readonly commits = new SessionCommits();
  private idleTimer: Timer | undefined;
  /** Progress of the statement that is being run. */
  private progress: RequestProgress | undefined;
  private isCommitting = false;
  private isRunning = false;
  private isClosed = false;

  constructor(
    private readonly context: ProxyContext,
    private readonly database: string,
    private readonly credential: string,
  ) {
    this.runner = new StatementRunner(context, {
      onSent: () => this.setStage('sent'),
      onEnded: () => this.setStage('waiting'),
    });
    this.singleStatements = new SingleStatementRunner(context, this.runner);
  }

  /** Transaction state as seen by the caller. */
  get state(): TransactionState {
    return this.transactionState;
  }

  /** Runs one statement. Never rejects. */
  async execute(
    id: string,
    statement: CallerStatement,
    progress = new RequestProgress(id, this.context.clock.now()),
  ): Promise<CallerReply> {
    this.idleTimer?.cancel();
    this.isRunning = true;
    const startedAt = this.context.clock.now();
    const route = this.transaction?.route ?? this.route;
    progress.timeoutMs = route?.timeoutMs;
    progress.stage = 'waiting';
    this.progress = progress;
    this.isCommitting = statement.kind === 'commit';
    const reply = await this.dispatch(id, statement);
    this.progress = undefined;
    this.transactionState = reply.state;
    this.isRunning = false;
    if (this.isClosed) this.endTransaction('-');
    else this.startIdleTimer();
    const outcome = reply.error?.kind ?? 'ok';
    this.context.counters.answered(
      route?.name ?? '',
      outcome,
      this.context.clock.now() - startedAt,
    );
    return reply;
  }

  /**
   * Reply to the statement that is being run when the process ends and nothing can be sent any more; undefined if none is being
   * run.
   */
  abandonedReply(): CallerReply | undefined {
    const { progress, transactionState } = this;
    if (!progress) return undefined;
    const cause = causeText({ kind: 'shuttingDown' });
    const isInTransaction = transactionState === 'open';
    const notRunKind = isInTransaction ? 'aborted' : 'busy';
    const kind = progress.stage === 'sent' ? 'inDoubt' : notRunKind;
    const { clock, log } = this.context;
    const event = kind === 'inDoubt' ? Events.requestInDoubt : Events.requestRefused;
    log(event, { ...progress.fieldsAt(clock.now()), outcome: kind, cause });
    return errorReply(kind, cause, isInTransaction && !this.isCommitting ? 'failed' : 'idle');
  }

  /** Ends the session after its caller has disconnected; an open transaction is rolled back. */
  close(): void {
    this.isClosed = true;
    this.idleTimer?.cancel();
    if (!this.isRunning) this.endTransaction('-');
  }

  private setStage(stage: RequestProgress['stage']): void {
    if (this.progress) this.progress.stage = stage;
  }

  private get route(): Route | undefined {
    return this.context.table?.routeByDatabase.get(this.database);
  }

  private dispatch(id: string, statement: CallerStatement): Promise<CallerReply> | CallerReply {
    switch (statement.kind) {
      case 'rollback':
        this.endTransaction(id);
        return successReply('idle');
      case 'commit':
        return this.commit(id);
      case 'malformed':
        return this.refuseMalformed(statement.problem);
      default:
        if (this.transactionState !== 'failed') return this.run(id, statement);
        return errorReply('malformed', FAILED_TRANSACTION_TEXT, 'failed');
    }
  }

  private run(
    id: string,
    statement: Exclude<CallerStatement, { kind: 'rollback' | 'commit' | 'malformed' }>,
  ): Promise<CallerReply> | CallerReply {
    const state = this.transactionState;
    switch (statement.kind) {
      case 'begin':
        return this.begin(id, statement.readOnly);
      case 'set':
        this.values.set(statement.name, statement.value);
        return successReply(state);
      case 'prepare':
        this.preparedByName.set(statement.name, statement.prepared);
        return successReply(state);
      case 'deallocate':
        this.preparedByName.delete(statement.name);
        return successReply(state);
      case 'execute': {
        const prepared = this.preparedByName.get(statement.name);
        if (!prepared) return this.failStatement('unknownName', statement.name);
        const { argument } = statement;
        return this.runData(id, { kind: 'execute', prepared, argument }, prepared);
      }
      default:
        return this.runData(id, statement, undefined);
    }
  }

  private async begin(id: string, readOnly: boolean): Promise<CallerReply> {
    if (this.transaction) return this.refuseMalformed('a transaction is open');
    const beganAt = this.context.clock.now();
    const admission = await this.admit(id, readOnly ? 'read' : 'transaction');
    if ('refusal' in admission) return admission.refusal;
    const { route, operation } = admission;
    this.transaction = new CallerTransaction(
      this.context,
      this.runner,
      route,
      operation,
      readOnly,
      beganAt,
      this.commits.newestIn(route.group),
    );
    this.transaction.beginEarly({ values: this.values });
    return successReply('open');
  }

  private async runData(
    id: string,
    statement: DataStatement,
    prepared: PreparedShape | undefined,
  ): Promise<CallerReply> {
    const content: SessionContent = { values: this.values, prepared };
    if (this.transaction) return this.runInTransaction(this.transaction, id, statement, content);
    const admission = await this.admit(id, accessOf(statement));
    if ('refusal' in admission) return admission.refusal;
    return this.runSingle(admission, id, statement, content);
  }

  private async runInTransaction(
    transaction: CallerTransaction,
    id: string,
    statement: DataStatement,
    content: SessionContent,
  ): Promise<CallerReply> {
    if (!this.isStillAuthorized(transaction)) return this.abortUnauthorized(id, 'failed');
    if (!this.canEndInTime(transaction)) return this.abortShuttingDown(id, 'failed');
    if (transaction.readOnly && accessOf(statement) === 'write') {
      return this.failStatement('readOnly', 'the transaction is read-only');
    }
    const reply = await transaction.run(id, statement, content);
    if (reply.state === 'failed') {
      this.context.allowances.returnUnused(transaction.operation);
      this.transaction = undefined;
    }
    return reply;
  }

  private async runSingle(
    { route, deadline, operation }: AdmittedRequest,
    id: string,
    statement: DataStatement,
    content: SessionContent,
  ): Promise<CallerReply> {
    const ownPosition = this.commits.newestIn(route.group);
    const request: SingleStatementRequest = {
      id,
      statement,
      content,
      deadline,
      operation,
      ownPosition,
    };
    if (accessOf(statement) === 'read') {
      const reply = await this.singleStatements.read(request);
      this.context.allowances.returnUnused(operation);
      return reply;
    }
    const { reply, commitPosition } = await this.singleStatements.write(request);
    this.context.allowances.returnUnused(operation);
    this.recordCommit(route.group, commitPosition);
    return reply;
  }

  /** Admits an operation if it can end before the process does, the credential is valid and the tenant is within its limit. */
  private async admit(id: string, need: ShutdownNeed): Promise<AdmissionResult> {
    const { context, route, credential } = this;
    if (!route) return { refusal: errorReply('noDatabase', this.database, 'idle') };
    const deadline = new RequestDeadline(context.clock, route, context.shutdown);
    const request = { id, deadline, state: 'idle' as const };
    if (!context.shutdown.admits(need, route)) {
      return { refusal: refuse(context, request, 'busy', { kind: 'shuttingDown' }) };
    }
    const cachedCheck = context.admission.check(credential, route);
    const check =
      cachedCheck.outcome === 'unknown'
        ? await context.admission.checkWithRefresh(credential, route)
        : cachedCheck;
    if (check.outcome !== 'admitted') {
      return { refusal: refuseCredential(context, request, check.outcome) };
    }
    const { tenant } = check;
    const allowance = await context.allowances.acquire(tenant, deadline.firstAttemptRemainingMs);
    if (allowance.isGranted) {
      return { route, deadline, operation: new AdmittedOperation(tenant, context.clock.now()) };
    }
    const tenantRequest = { ...request, tenant: tenant.name };
    return { refusal: refuse(context, tenantRequest, 'busy', allowance.cause) };
  }

  /** Whether the caller's credential still belongs to the tenant of the open transaction. */
  private isStillAuthorized({ route, operation }: CallerTransaction): boolean {
    const check = this.context.admission.check(this.credential, route);
    return check.outcome === 'admitted' && check.tenant.name === operation.tenant.name;
  }

  /** Whether the transaction's next statement, or its COMMIT, can end before the process does. */
  private canEndInTime({ route, readOnly }: CallerTransaction): boolean {
    return this.context.shutdown.admits(readOnly ? 'read' : 'write', route);
  }

  /** Rolls the transaction back because the process ends too soon. */
  private abortShuttingDown(id: string, state: TransactionState): CallerReply {
    const { context } = this;
    const { route } = this.transaction!;
    this.endTransaction('-');
    const deadline = new RequestDeadline(context.clock, route, context.shutdown);
    return refuse(context, { id, deadline, state }, 'aborted', { kind: 'shuttingDown' });
  }

  /** Rolls the transaction back because the credential is no longer valid or can't be verified. */
  private abortUnauthorized(id: string, state: TransactionState): CallerReply {
    const { context } = this;
    const { route } = this.transaction!;
    this.endTransaction('-');
    const deadline = new RequestDeadline(context.clock, route, context.shutdown);
    return refuseCredential(context, { id, deadline, state }, 'unproven');
  }

  private async commit(id: string): Promise<CallerReply> {
    if (this.transactionState === 'failed') {
      this.endTransaction(id);
      return errorReply('aborted', 'the transaction had failed and was rolled back', 'idle');
    }
    const { transaction } = this;
    if (!transaction) return this.refuseMalformed('no transaction is open');
    if (!this.isStillAuthorized(transaction)) return this.abortUnauthorized(id, 'idle');
    if (!this.canEndInTime(transaction)) return this.abortShuttingDown(id, 'idle');
    const { reply, commitPosition } = await transaction.commit(id, { values: this.values });
    this.transaction = undefined;
    this.recordCommit(transaction.route.group, commitPosition);
    return reply;
  }

  /** Replies with an error of the proxy itself; an open transaction fails. */
  private failStatement(kind: 'unknownName' | 'readOnly', text: string): CallerReply {
    const isInTransaction = this.transaction !== undefined;
    this.endTransaction('-');
    return errorReply(kind, text, isInTransaction ? 'failed' : 'idle');
  }

  private refuseMalformed(problem: string): CallerReply {
    return errorReply('malformed', problem, this.transactionState);
  }

  private endTransaction(id: string): void {
    if (!this.transaction) return;
    this.transaction.rollback(id);
    this.context.allowances.returnUnused(this.transaction.operation);
    this.transaction = undefined;
  }

  private recordCommit(group: string, position: Position | undefined): void {
    if (position) this.commits.record(group, position);
  }

  /** Rolls the transaction back if its caller is idle for too long; the caller's next statement returns the error. */
  private startIdleTimer(): void {
    const limitMs = this.context.table?.transactionIdleMs ?? 0;
    if (!this.transaction || limitMs === 0) return;
    this.idleTimer = this.context.clock.setTimer(limitMs, () => {
      this.endTransaction('-');
      this.transactionState = 'failed';
    });
  }
}
