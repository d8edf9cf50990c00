/** Runs one statement outside a transaction. */
import { type Position } from '../../positions/position.js';
import { type CallerReply, type CommittedReply, refused } from './caller_reply.js';
import type { InstanceAnswer, InstanceError } from '../instance/instance_connection.js';
import { AcquireError } from '../connections/acquire_error.js';
import { inDoubt, logRetry, refuse } from '../routing/refusal.js';
import type { AttemptFailure, RefusalCause } from '../routing/refusal_cause.js';
import type { RequestDeadline } from '../routing/request_deadline.js';
import { RetryPause } from '../routing/retry_pause.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { SessionContent } from './session_loader.js';
import type { DataStatement } from '../instance/statement.js';
import {
  type Attempt,
  type HeldConnection,
  type NotRunAttempt,
  type StatementRunner,
  isNotRun,
} from './statement_runner.js';
import { type Target, isTargetTrusted, planRead } from '../routing/target_planner.js';
import { awaitPrimary } from '../trust/primary_waiter.js';
import type { AdmittedOperation } from '../tenancy/admitted_operation.js';

/** A statement to run. */
export interface SingleRequest {
  readonly id: string;
  readonly statement: DataStatement;
  readonly content: SessionContent;
  readonly deadline: RequestDeadline;
  /** The operation that it is. */
  readonly operation: AdmittedOperation;
  /** Newest commit of the same session. */
  readonly ownPosition: Position | undefined;
}

/** A write that certainly did not run. */
interface NotRunWrite {
  readonly cause: RefusalCause;
  /** Whether an instance was asked at all. */
  readonly wasOffered: boolean;
}

/** Runs single statements. */
export class SingleStatements {
  constructor(
    private readonly context: ProxyContext,
    private readonly runner: StatementRunner,
  ) {}

  /** Runs a read on any instance that is fresh enough; tries others when one fails. */
  async read(request: SingleRequest): Promise<CallerReply> {
    const { deadline } = request;
    const { route } = deadline;
    const plan = { route, firstByteAt: deadline.arrivedAt, ownPosition: request.ownPosition };
    const tried = new Set<string>();
    const pause = new RetryPause(this.context.clock);
    let wasOffered = false;
    let cause: RefusalCause = { kind: 'noInstanceForRead' };
    if (route.policy.kind !== 'primary') await this.context.positions.awaitFloor(route.group);
    while (deadline.allowsAttempt) {
      if (request.operation.hasRun && !(await this.mayRunAgain(request))) break;
      const targets = planRead(this.context, plan, tried);
      const target = targets[0];
      if (!target) {
        if (await this.mayTryAgain(deadline, tried, wasOffered, pause)) continue;
        break;
      }
      tried.add(target.instance);
      const attempt = await this.attemptRead(request, target, targets.length);
      wasOffered ||= attempt.outcome !== 'notRun';
      if (attempt.outcome === 'answered') {
        const { answer } = attempt;
        if (!answer.error) return this.succeed(request, target, answer);
        if (answer.error.kind === 'malformed') return fail(answer.error);
        const error = answer.error.kind;
        cause = { kind: 'instanceAnswered', instance: target.instance, error };
        logRetry(this.context, request, target, { kind: 'readAttempt', ending: error });
      } else {
        cause = attemptFailed(target, attempt.cause);
        logRetry(this.context, request, target, { kind: 'readAttempt', ending: attempt.outcome });
      }
    }
    const refusal = { id: request.id, deadline, state: 'idle' as const };
    return refuse(this.context, refusal, 'busy', cause);
  }

  /** Runs a write on the trusted primary; never a second time when it may have run. */
  async write(request: SingleRequest): Promise<CommittedReply> {
    const { deadline } = request;
    const { group } = deadline.route;
    const refusal = { id: request.id, deadline, state: 'idle' as const };
    const pause = new RetryPause(this.context.clock);
    let wasOffered = false;
    let cause: RefusalCause = { kind: 'noTrustedPrimary' };
    while (deadline.allowsAttempt) {
      const target = await awaitPrimary(this.context, deadline);
      if (!target) break;
      this.context.leases.commitStarted(group);
      const result = await this.attemptWrite(request, target).finally(() =>
        this.context.leases.commitEnded(group),
      );
      if ('reply' in result) return result;
      cause = result.cause;
      wasOffered ||= result.wasOffered;
      if (!deadline.allowsRetry(wasOffered)) break;
      logRetry(this.context, request, target, result.cause);
      await pause.wait();
    }
    return { reply: refuse(this.context, refusal, 'busy', cause) };
  }

  /**
   * Nothing is left to try: waits for a primary, or before another round. Returns whether there is something to try
   * then; a read that waited may have replicas too, since a floor has become known.
   */
  private async mayTryAgain(
    deadline: RequestDeadline,
    tried: Set<string>,
    wasOffered: boolean,
    pause: RetryPause,
  ): Promise<boolean> {
    if (tried.size === 0) return (await awaitPrimary(this.context, deadline)) !== undefined;
    if (!deadline.allowsRetry(wasOffered)) return false;
    tried.clear();
    await pause.wait();
    return true;
  }

  private async attemptRead(
    request: SingleRequest,
    target: Target,
    targetsLeft: number,
  ): Promise<Attempt> {
    const { deadline } = request;
    const waitMs = deadline.connectionWait(target.pool.queuesAtOwner, targetsLeft);
    const held = await this.hold(request, target, waitMs);
    if (!('pooled' in held)) return held;
    const timeoutMs = deadline.readAnswerTimeout(
      target.pool.load.slowAnswerThreshold,
      targetsLeft <= 1,
    );
    const { id, statement } = request;
    const command = { kind: 'data' as const, id, statement, after: target.after };
    const attempt = await this.runner.attempt(held, request.content, command, timeoutMs);
    noteRun(request.operation, attempt);
    this.runner.release(held, attempt.outcome === 'answered' ? attempt.answer : undefined);
    if (attempt.outcome === 'answered' && !isTargetTrusted(this.context, target)) {
      return { outcome: 'lost', cause: { kind: 'leaseEnded' } };
    }
    return attempt;
  }

  /** Result, or the cause why the statement certainly did not run. */
  private async attemptWrite(
    request: SingleRequest,
    target: Target,
  ): Promise<CommittedReply | NotRunWrite> {
    const { deadline, id, statement } = request;
    const refusal = { id, deadline, state: 'idle' as const };
    const waitMs = deadline.connectionWait(target.pool.queuesAtOwner);
    const held = await this.hold(request, target, waitMs);
    if (!('pooled' in held)) return { cause: held.cause, wasOffered: false };
    if (!isTargetTrusted(this.context, target)) {
      this.runner.release(held);
      return { cause: { kind: 'leaseEnded' }, wasOffered: false };
    }
    const command = { kind: 'data' as const, id, statement };
    const attempt = await this.runner.attempt(held, request.content, command, deadline.remaining);
    noteRun(request.operation, attempt);
    this.runner.release(held, attempt.outcome === 'answered' ? attempt.answer : undefined);
    if (attempt.outcome === 'notRun') return { cause: attempt.cause, wasOffered: false };
    if (attempt.outcome === 'lost') {
      const cause = attemptFailed(target, attempt.cause);
      return { reply: inDoubt(this.context, refusal, cause) };
    }
    const { answer } = attempt;
    if (answer.error && isNotRun(answer.error.kind)) {
      const { kind: error } = answer.error;
      const cause = { kind: 'instanceAnswered' as const, instance: target.instance, error };
      return { cause, wasOffered: true };
    }
    if (answer.error) return { reply: fail(answer.error) };
    if (!isTargetTrusted(this.context, target) || !answer.position) {
      return { reply: inDoubt(this.context, refusal, { kind: 'leaseEnded' }) };
    }
    this.context.leases.noteAcknowledged(target.group, answer.position);
    return { reply: this.succeed(request, target, answer), committedAt: answer.position };
  }

  /** A statement that an instance may have run counts once more when another one is to run it. */
  private async mayRunAgain({ operation, deadline }: SingleRequest): Promise<boolean> {
    const { allowances } = this.context;
    const verdict = await allowances.take(operation.tenant, deadline.offerRemaining);
    return verdict.isGranted;
  }

  /** Takes a connection, waiting for it for `waitMs` at most. */
  private async hold(
    request: SingleRequest,
    target: Target,
    waitMs: number,
  ): Promise<HeldConnection | NotRunAttempt> {
    const { priority } = request.deadline.route;
    const usefulMs = request.deadline.usefulRemaining;
    try {
      const { values } = request.content;
      const needed = { tenant: request.operation.tenant.name, values, priority, usefulMs };
      return await this.runner.hold(target, needed, waitMs);
    } catch (error) {
      const failure = error instanceof AcquireError ? error.failure : 'no connection';
      return { outcome: 'notRun', cause: { kind: 'noConnection', failure } };
    }
  }

  private succeed(request: SingleRequest, target: Target, answer: InstanceAnswer): CallerReply {
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

/** Notes whether an instance may have run the statement. */
function noteRun(operation: AdmittedOperation, attempt: Attempt): void {
  const error = attempt.outcome === 'answered' ? attempt.answer.error : undefined;
  const isHarmless = attempt.outcome === 'notRun' || (error !== undefined && isNotRun(error.kind));
  if (!isHarmless) operation.noteRun();
}

function attemptFailed({ instance }: Target, failure: AttemptFailure): RefusalCause {
  return { kind: 'attemptFailed', instance, failure };
}

/** Passes on an error that promises nothing. */
function fail(error: InstanceError): CallerReply {
  const kind = error.kind === 'malformed' || error.kind === 'timeout' ? error.kind : 'failed';
  return refused(kind, error.text, 'idle');
}
