/**
 * Runs one statement outside a transaction: a read on any instance that is fresh enough, a write on the trusted primary.
 *
 * Owns: the loop of attempts, and what each outcome means for the caller. A write that may have run is never sent twice.
 * Relies on: target_planner.ts for the instances (there may be none), request_deadline.ts for all waits, the runner of
 * statements for each attempt (the instance may refuse, fail, or not answer), and allowances (another attempt of a read that
 * may have run counts as an operation, which may be refused).
 */
import { type Position } from '../../positions/position.js';
import { type CallerReply, type CommittedReply, refused } from './caller_reply.js';
import type {
  InstanceAnswer,
  InstanceError,
  InstanceErrorKind,
} from '../instance/instance_connection.js';
import { AcquireError } from '../connections/acquire_error.js';
import { causeWithoutPrimary } from '../routing/evacuated_primary.js';
import { inDoubt, logRetry, refuse } from '../routing/refusal.js';
import { type AttemptFailure, type RefusalCause, isSlowStart } from '../routing/refusal_cause.js';
import type { RequestDeadline } from '../routing/request_deadline.js';
import { awaitFloorWithin, causeWithoutInstance } from '../routing/request_homes.js';
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
  /** The caller's identifier of the request. */
  readonly id: string;
  /** The statement itself. */
  readonly statement: DataStatement;
  /** What the connection must have loaded. */
  readonly content: SessionContent;
  /** Time limits, and the route. */
  readonly deadline: RequestDeadline;
  /** The operation that the tenant was allowed. */
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

/** Runs the statements of one session that are outside transactions. */
export class SingleStatements {
  constructor(
    private readonly context: ProxyContext,
    private readonly runner: StatementRunner,
  ) {}

  /** Runs a read on any instance that is fresh enough; tries others when one fails. */
  async read(request: SingleRequest): Promise<CallerReply> {
    const { deadline } = request;
    const { route } = deadline;
    const { tenant } = request.operation;
    const firstByteAt = deadline.arrivedAt;
    const plan = { route, tenant, firstByteAt, ownPosition: request.ownPosition };
    const tried = new Set<string>();
    const pause = new RetryPause(this.context.clock);
    let wasOffered = false;
    let cause: RefusalCause | undefined;
    if (route.policy.kind !== 'primary')
      await this.context.positions.awaitMinimumPosition(route.group);
    while (deadline.allowsAttempt) {
      if (request.operation.mayHaveRun && !(await this.mayRunAgain(request))) break;
      const targets = planRead(this.context, plan, tried);
      const target = targets[0];
      if (!target) {
        if (await this.mayTryAgain(request, tried, wasOffered, pause)) continue;
        break;
      }
      tried.add(target.instance);
      const attempt = await this.attemptRead(request, target, targets.length);
      const result = this.judgeRead(request, target, attempt);
      if ('reply' in result) return result.reply;
      cause = result.cause;
      if (isSlowStart(cause) && targets.length === 1) break;
      wasOffered ||= attempt.outcome !== 'notRun';
    }
    const refusal = { id: request.id, deadline, state: 'idle' as const };
    const otherwise = causeWithoutPrimary(this.context, route.group, { kind: 'noInstanceForRead' });
    cause ??= causeWithoutInstance(this.context, route, tenant, otherwise);
    return refuse(this.context, refusal, 'busy', cause);
  }

  /** Runs a write on the trusted primary; never a second time when it may have run. */
  async write(request: SingleRequest): Promise<CommittedReply> {
    const { deadline } = request;
    const { tenant } = request.operation;
    const { route } = deadline;
    const { group } = route;
    const refusal = { id: request.id, deadline, state: 'idle' as const };
    const pause = new RetryPause(this.context.clock);
    let wasOffered = false;
    let cause: RefusalCause | undefined;
    while (deadline.allowsAttempt) {
      const target = await awaitPrimary(this.context, deadline, tenant);
      if (!target) break;
      this.context.leases.commitStarted(group);
      const result = await this.attemptWrite(request, target).finally(() =>
        this.context.leases.commitEnded(group),
      );
      if ('reply' in result) return result;
      cause = result.cause;
      wasOffered ||= result.wasOffered;
      if (isSlowStart(cause) || !deadline.allowsRetry(wasOffered)) break;
      logRetry(this.context, request, target, result.cause);
      await pause.wait();
    }
    const otherwise = causeWithoutPrimary(this.context, group, { kind: 'noTrustedPrimary' });
    cause ??= causeWithoutInstance(this.context, route, tenant, otherwise);
    return { reply: refuse(this.context, refusal, 'busy', cause) };
  }

  /**
   * Called when no instance is left to try. Before the first attempt it waits for a primary; after it, it pauses and has all
   * instances tried again. Returns whether another attempt is worth while; replicas may serve it too by then, if a position
   * floor has become known.
   */
  private async mayTryAgain(
    { deadline, operation: { tenant } }: SingleRequest,
    tried: Set<string>,
    wasOffered: boolean,
    pause: RetryPause,
  ): Promise<boolean> {
    if (tried.size === 0) {
      const primary = await awaitPrimary(this.context, deadline, tenant);
      return primary !== undefined || awaitFloorWithin(this.context, deadline, tenant, pause);
    }
    if (!deadline.allowsRetry(wasOffered)) return false;
    tried.clear();
    await pause.wait();
    return true;
  }

  /** Answer to the caller, or the cause why another instance should be tried. */
  private judgeRead(
    request: SingleRequest,
    target: Target,
    attempt: Attempt,
  ): { readonly reply: CallerReply } | { readonly cause: RefusalCause } {
    if (attempt.outcome !== 'answered') {
      logRetry(this.context, request, target, { kind: 'readAttempt', ending: attempt.outcome });
      return { cause: attemptFailed(target, attempt.cause) };
    }
    const { answer } = attempt;
    if (!answer.error) return { reply: this.succeed(request, target, answer) };
    const { kind: error } = answer.error;
    if (error === 'malformed') return { reply: fail(answer.error) };
    logRetry(this.context, request, target, { kind: 'readAttempt', ending: error });
    return { cause: answered(target, error) };
  }

  /** Tries a read at one instance, and judges whether its answer counts. */
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
    markRun(request.operation, attempt);
    this.runner.release(held, attempt.outcome === 'answered' ? attempt.answer : undefined);
    if (attempt.outcome === 'answered' && !isTargetTrusted(this.context, target)) {
      return { outcome: 'lost', cause: { kind: 'leaseEnded' } };
    }
    return attempt;
  }

  /** Answer to the caller, or the cause why the statement certainly did not run. */
  private async attemptWrite(
    request: SingleRequest,
    target: Target,
  ): Promise<CommittedReply | NotRunWrite> {
    const { deadline, id, statement } = request;
    const waitMs = deadline.connectionWait(target.pool.queuesAtOwner);
    const held = await this.hold(request, target, waitMs);
    if (!('pooled' in held)) return { cause: held.cause, wasOffered: false };
    if (!isTargetTrusted(this.context, target)) {
      this.runner.release(held);
      return { cause: { kind: 'leaseEnded' }, wasOffered: false };
    }
    const command = { kind: 'data' as const, id, statement };
    const attempt = await this.runner.attempt(held, request.content, command, deadline.remaining);
    markRun(request.operation, attempt);
    this.runner.release(held, attempt.outcome === 'answered' ? attempt.answer : undefined);
    return this.judgeWrite(request, target, attempt);
  }

  /** Decides whether a write ran, certainly did not, or is in doubt. */
  private judgeWrite(
    request: SingleRequest,
    target: Target,
    attempt: Attempt,
  ): CommittedReply | NotRunWrite {
    const refusal = { id: request.id, deadline: request.deadline, state: 'idle' as const };
    if (attempt.outcome === 'notRun') return { cause: attempt.cause, wasOffered: false };
    if (attempt.outcome === 'lost') {
      const cause = attemptFailed(target, attempt.cause);
      return { reply: inDoubt(this.context, refusal, cause) };
    }
    const { answer } = attempt;
    if (answer.error && isNotRun(answer.error.kind)) {
      const { kind: error } = answer.error;
      return { cause: answered(target, error), wasOffered: true };
    }
    if (answer.error) return { reply: fail(answer.error) };
    if (!isTargetTrusted(this.context, target) || !answer.position) {
      return { reply: inDoubt(this.context, refusal, { kind: 'leaseEnded' }) };
    }
    this.context.leases.noteAcknowledged(target.group, answer.position);
    return { reply: this.succeed(request, target, answer), committedAt: answer.position };
  }

  /** Takes another operation of the tenant: an instance may have run the statement, and another one is to run it. */
  private async mayRunAgain({ operation, deadline }: SingleRequest): Promise<boolean> {
    const { allowances } = this.context;
    const verdict = await allowances.acquire(operation.tenant, deadline.offerRemaining);
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
      const { homes } = target;
      const { name: tenant } = request.operation.tenant;
      const needed = { tenant, values, priority, usefulMs, homes };
      return await this.runner.hold(target, needed, waitMs);
    } catch (error) {
      // The cause of the attempt carries the reason; the pool counts its refusals.
      const failure = error instanceof AcquireError ? error.failure : 'no connection';
      if (failure === 'slowStart') return { outcome: 'notRun', cause: { kind: 'slowStart' } };
      return { outcome: 'notRun', cause: { kind: 'noConnection', failure } };
    }
  }

  /** Counts a served statement and makes its answer. */
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

/** Marks the operation as run if an instance may have run the statement. */
function markRun(operation: AdmittedOperation, attempt: Attempt): void {
  const error = attempt.outcome === 'answered' ? attempt.answer.error : undefined;
  const isHarmless = attempt.outcome === 'notRun' || (error !== undefined && isNotRun(error.kind));
  if (!isHarmless) operation.markMayHaveRun();
}

/** Cause of an error that an instance answered, or the holder of a cold one in its place. */
function answered({ instance }: Target, error: InstanceErrorKind): RefusalCause {
  if (error === 'slowStart') return { kind: 'slowStart' };
  return { kind: 'instanceAnswered', instance, error };
}

function attemptFailed({ instance }: Target, failure: AttemptFailure): RefusalCause {
  return { kind: 'attemptFailed', instance, failure };
}

/** Passes an instance's error on to the caller; it promises nothing about what ran. */
function fail(error: InstanceError): CallerReply {
  const kind = error.kind === 'malformed' || error.kind === 'timeout' ? error.kind : 'failed';
  return refused(kind, error.text, 'idle');
}
