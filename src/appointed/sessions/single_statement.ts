/**
 * Runs one statement outside a transaction: a read on any instance that is fresh enough, a write on the trusted primary.
 *
 * A failed read is retried on other instances; if it may have run, each retry is charged to the tenant as another operation. A
 * write that may have run is never sent again, and is in doubt without a trusted answer.
 */
import { type Position } from '../../positions/position.js';
import { type CallerReply, type WriteReply, errorReply } from './caller_reply.js';
import type {
  InstanceAnswer,
  InstanceError,
  InstanceErrorKind,
} from '../instance/instance_connection.js';
import { AcquireError } from '../connections/acquire_error.js';
import { noPrimaryCause } from '../routing/evacuated_primary.js';
import { replyInDoubt, logRetry, refuse } from '../routing/refusal.js';
import {
  type AttemptFailure,
  type RefusalCause,
  isSlowStartCause,
} from '../routing/refusal_cause.js';
import type { RequestDeadline } from '../routing/request_deadline.js';
import { awaitPrimaryPosition, noInstanceCause } from '../routing/request_allowed_regions.js';
import { RetryBackoff } from '../routing/retry_backoff.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { SessionContent } from './session_loader.js';
import type { DataStatement } from '../instance/statement.js';
import {
  type Attempt,
  type PinnedConnection,
  type NotRunAttempt,
  type StatementRunner,
  isNotRun,
} from './statement_runner.js';
import { type Target, isTargetTrusted, planRead } from '../routing/target_planner.js';
import { awaitPrimary } from '../trust/primary_waiter.js';
import type { AdmittedOperation } from '../tenancy/admitted_operation.js';

/** A statement and the session it belongs to. */
export interface SingleStatementRequest {
  /** The caller's identifier of the request. */
  readonly id: string;
  readonly statement: DataStatement;
  /** Session state to load onto the connection. */
  readonly content: SessionContent;
  /** Time limits and route. */
  readonly deadline: RequestDeadline;
  /** Operation that was charged to the tenant. */
  readonly operation: AdmittedOperation;
  /** Position of the newest commit of the same session. */
  readonly ownPosition: Position | undefined;
}

/** A write that certainly did not run. */
interface NotRunWrite {
  readonly cause: RefusalCause;
  /** Whether an instance has received it. */
  readonly wasSent: boolean;
}

/** Runs the statements of one session that are outside transactions. */
export class SingleStatementRunner {
  constructor(
    private readonly context: ProxyContext,
    private readonly runner: StatementRunner,
  ) {}

  /** Runs a read on any instance that is fresh enough, and retries on others if it fails. */
  async read(request: SingleStatementRequest): Promise<CallerReply> {
    const { deadline } = request;
    const { route } = deadline;
    const { tenant } = request.operation;
    const firstByteAt = deadline.arrivedAt;
    const plan = { route, tenant, firstByteAt, ownPosition: request.ownPosition };
    const triedInstances = new Set<string>();
    const backoff = new RetryBackoff(this.context.clock);
    let wasSent = false;
    let cause: RefusalCause | undefined;
    if (route.policy.kind !== 'primary')
      await this.context.positions.awaitMinimumPosition(route.group);
    while (deadline.allowsAttempt) {
      if (request.operation.mayHaveRun && !(await this.canRetry(request))) break;
      const targets = planRead(this.context, plan, triedInstances);
      const target = targets[0];
      if (!target) {
        if (await this.shouldRetry(request, triedInstances, wasSent, backoff)) continue;
        break;
      }
      triedInstances.add(target.instance);
      const attempt = await this.attemptRead(request, target, targets.length);
      const result = this.evaluateRead(request, target, attempt);
      if ('reply' in result) return result.reply;
      cause = result.cause;
      if (isSlowStartCause(cause) && targets.length === 1) break;
      wasSent ||= attempt.outcome !== 'notRun';
    }
    const refusal = { id: request.id, deadline, state: 'idle' as const };
    const fallback = noPrimaryCause(this.context, route.group, { kind: 'noInstanceForRead' });
    cause ??= noInstanceCause(this.context, route, tenant, fallback);
    return refuse(this.context, refusal, 'busy', cause);
  }

  /** Runs a write on the trusted primary; retries only if it certainly did not run. */
  async write(request: SingleStatementRequest): Promise<WriteReply> {
    const { deadline } = request;
    const { tenant } = request.operation;
    const { route } = deadline;
    const { group } = route;
    const refusal = { id: request.id, deadline, state: 'idle' as const };
    const backoff = new RetryBackoff(this.context.clock);
    let wasSent = false;
    let cause: RefusalCause | undefined;
    while (deadline.allowsAttempt) {
      const target = await awaitPrimary(this.context, deadline, tenant);
      if (!target) break;
      this.context.leases.onCommitStarted(group);
      const result = await this.attemptWrite(request, target).finally(() =>
        this.context.leases.onCommitEnded(group),
      );
      if ('reply' in result) return result;
      cause = result.cause;
      wasSent ||= result.wasSent;
      if (isSlowStartCause(cause) || !deadline.allowsRetry(wasSent)) break;
      logRetry(this.context, request, target, result.cause);
      await backoff.wait();
    }
    const fallback = noPrimaryCause(this.context, group, { kind: 'noTrustedPrimary' });
    cause ??= noInstanceCause(this.context, route, tenant, fallback);
    return { reply: refuse(this.context, refusal, 'busy', cause) };
  }

  /**
   * Called when no instance is left to try. Before the first attempt it waits for a primary, or for a minimum position with
   * which replicas may serve the read. Afterwards it backs off and lets all instances be tried again.
   * @returns whether the read should be planned again
   */
  private async shouldRetry(
    { deadline, operation: { tenant } }: SingleStatementRequest,
    triedInstances: Set<string>,
    wasSent: boolean,
    backoff: RetryBackoff,
  ): Promise<boolean> {
    if (triedInstances.size === 0) {
      const primary = await awaitPrimary(this.context, deadline, tenant);
      return primary !== undefined || awaitPrimaryPosition(this.context, deadline, tenant, backoff);
    }
    if (!deadline.allowsRetry(wasSent)) return false;
    triedInstances.clear();
    await backoff.wait();
    return true;
  }

  /** Reply to the caller, or the cause if another instance should be tried. */
  private evaluateRead(
    request: SingleStatementRequest,
    target: Target,
    attempt: Attempt,
  ): { readonly reply: CallerReply } | { readonly cause: RefusalCause } {
    if (attempt.outcome !== 'answered') {
      logRetry(this.context, request, target, { kind: 'readAttempt', ending: attempt.outcome });
      return { cause: attemptFailedCause(target, attempt.cause) };
    }
    const { answer } = attempt;
    if (!answer.error) return { reply: this.succeed(request, target, answer) };
    const { kind: error } = answer.error;
    if (error === 'malformed') return { reply: forwardError(answer.error) };
    logRetry(this.context, request, target, { kind: 'readAttempt', ending: error });
    return { cause: instanceAnsweredCause(target, error) };
  }

  /** Attempts a read on one instance; an answer without a valid lease on the primary counts as lost. */
  private async attemptRead(
    request: SingleStatementRequest,
    target: Target,
    remainingTargets: number,
  ): Promise<Attempt> {
    const { deadline } = request;
    const waitMs = deadline.connectionWaitMs(target.pool.queuesAtOwner, remainingTargets);
    const acquired = await this.acquire(request, target, waitMs);
    if (!('pooled' in acquired)) return acquired;
    const timeoutMs = deadline.readAnswerTimeoutMs(
      target.pool.load.slowAnswerThresholdMs,
      remainingTargets <= 1,
    );
    const { id, statement } = request;
    const command = { kind: 'data' as const, id, statement, after: target.minimumPosition };
    const attempt = await this.runner.attempt(acquired, request.content, command, timeoutMs);
    markIfRun(request.operation, attempt);
    this.runner.release(acquired, attempt.outcome === 'answered' ? attempt.answer : undefined);
    if (attempt.outcome === 'answered' && !isTargetTrusted(this.context, target)) {
      return { outcome: 'lost', cause: { kind: 'leaseEnded' } };
    }
    return attempt;
  }

  /** Reply to the caller, or the cause if the statement certainly did not run. */
  private async attemptWrite(
    request: SingleStatementRequest,
    target: Target,
  ): Promise<WriteReply | NotRunWrite> {
    const { deadline, id, statement } = request;
    const waitMs = deadline.connectionWaitMs(target.pool.queuesAtOwner);
    const acquired = await this.acquire(request, target, waitMs);
    if (!('pooled' in acquired)) return { cause: acquired.cause, wasSent: false };
    if (!isTargetTrusted(this.context, target)) {
      this.runner.release(acquired);
      return { cause: { kind: 'leaseEnded' }, wasSent: false };
    }
    const command = { kind: 'data' as const, id, statement };
    const attempt = await this.runner.attempt(
      acquired,
      request.content,
      command,
      deadline.remainingMs,
    );
    markIfRun(request.operation, attempt);
    this.runner.release(acquired, attempt.outcome === 'answered' ? attempt.answer : undefined);
    return this.evaluateWrite(request, target, attempt);
  }

  /** Decides whether a write succeeded, certainly did not run, or is in doubt. */
  private evaluateWrite(
    request: SingleStatementRequest,
    target: Target,
    attempt: Attempt,
  ): WriteReply | NotRunWrite {
    const refusal = { id: request.id, deadline: request.deadline, state: 'idle' as const };
    if (attempt.outcome === 'notRun') return { cause: attempt.cause, wasSent: false };
    if (attempt.outcome === 'lost') {
      const cause = attemptFailedCause(target, attempt.cause);
      return { reply: replyInDoubt(this.context, refusal, cause) };
    }
    const { answer } = attempt;
    if (answer.error && isNotRun(answer.error.kind)) {
      const { kind: error } = answer.error;
      return { cause: instanceAnsweredCause(target, error), wasSent: true };
    }
    if (answer.error) return { reply: forwardError(answer.error) };
    if (!isTargetTrusted(this.context, target) || !answer.position) {
      return { reply: replyInDoubt(this.context, refusal, { kind: 'leaseEnded' }) };
    }
    this.context.leases.recordAcknowledged(target.group, answer.position);
    return { reply: this.succeed(request, target, answer), commitPosition: answer.position };
  }

  /** Charges another operation to the tenant, since an instance may have run the statement already. */
  private async canRetry({ operation, deadline }: SingleStatementRequest): Promise<boolean> {
    const { allowances } = this.context;
    const allowance = await allowances.acquire(operation.tenant, deadline.firstAttemptRemainingMs);
    return allowance.isGranted;
  }

  /** Acquires a connection, waiting at most `waitMs`. */
  private async acquire(
    request: SingleStatementRequest,
    target: Target,
    waitMs: number,
  ): Promise<PinnedConnection | NotRunAttempt> {
    const { priority } = request.deadline.route;
    const objectiveMs = request.deadline.objectiveRemainingMs;
    try {
      const { values } = request.content;
      const { homes } = target;
      const { name: tenant } = request.operation.tenant;
      const connectionRequest = { tenant, values, priority, objectiveMs, homes };
      return await this.runner.acquire(target, connectionRequest, waitMs);
    } catch (error) {
      const failure = error instanceof AcquireError ? error.failure : 'no connection';
      if (failure === 'slowStart') return { outcome: 'notRun', cause: { kind: 'slowStart' } };
      return { outcome: 'notRun', cause: { kind: 'noConnection', failure } };
    }
  }

  /** Counts a served statement and builds its reply. */
  private succeed(
    request: SingleStatementRequest,
    target: Target,
    answer: InstanceAnswer,
  ): CallerReply {
    const { route } = request.deadline;
    const isPrimary = target.primaryEpoch !== undefined;
    this.context.counters.served(
      route.name,
      target.instance,
      isPrimary,
      route.policy.kind !== 'primary',
    );
    const { rows, signature, position } = answer;
    return { rows, signature, state: 'idle', position };
  }
}

/** Marks the operation as run if an instance may have run the statement. */
function markIfRun(operation: AdmittedOperation, attempt: Attempt): void {
  const error = attempt.outcome === 'answered' ? attempt.answer.error : undefined;
  const isHarmless = attempt.outcome === 'notRun' || (error !== undefined && isNotRun(error.kind));
  if (!isHarmless) operation.markMayHaveRun();
}

/** Cause of an error returned by an instance, or by the lease holder of a cold one. */
function instanceAnsweredCause({ instance }: Target, error: InstanceErrorKind): RefusalCause {
  if (error === 'slowStart') return { kind: 'slowStart' };
  return { kind: 'instanceAnswered', instance, error };
}

function attemptFailedCause({ instance }: Target, failure: AttemptFailure): RefusalCause {
  return { kind: 'attemptFailed', instance, failure };
}

/** Passes an instance's error on to the caller, without a guarantee that the statement did not run. */
function forwardError(error: InstanceError): CallerReply {
  const kind = error.kind === 'malformed' || error.kind === 'timeout' ? error.kind : 'failed';
  return errorReply(kind, error.text, 'idle');
}
