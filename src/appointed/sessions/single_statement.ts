/** Runs one statement outside a transaction. */
import { type Position } from '../../positions/position.js';
import { type CallerReply, type CommittedReply, refused } from './caller_reply.js';
import type { InstanceAnswer, InstanceError } from '../instance/instance_connection.js';
import { AcquireError } from '../connections/acquire_error.js';
import { inDoubt, noteRetry, refuse } from '../routing/refusal.js';
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

const MINIMUM_ATTEMPT_MS = 5;
/** Share of the target latency that every attempt of a read gets. */
const ATTEMPT_SHARE = 0.4;

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
  readonly cause: string;
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
    let cause = 'no instance may serve the read';
    if (route.policy.kind !== 'primary') await this.context.positions.awaitFloor(route.group);
    while (deadline.remaining > MINIMUM_ATTEMPT_MS) {
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
        cause = `${target.instance} answered ${answer.error.kind}`;
      } else {
        cause = `${target.instance}: ${attempt.cause}`;
      }
      noteRetry(this.context, request, target, causeOf(attempt));
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
    let cause = 'no trusted primary';
    while (deadline.remaining > MINIMUM_ATTEMPT_MS) {
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
      noteRetry(this.context, request, target, result.cause);
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
    const isLast = targetsLeft <= 1;
    const waitMs = isLast ? longestWait(target, deadline) : deadline.offerRemaining / targetsLeft;
    const held = await this.hold(request, target, waitMs);
    if (!('pooled' in held)) return held;
    const usual = Math.max(
      target.pool.load.patience,
      deadline.route.targetLatencyMs * ATTEMPT_SHARE,
    );
    // Where there is no other instance, its answer is waited for as long as the caller could still come again.
    const patienceMs = isLast ? Math.max(usual, deadline.retryRemaining) : usual;
    const timeoutMs = Math.min(deadline.remaining, patienceMs);
    const { id, statement } = request;
    const command = { kind: 'data' as const, id, statement, after: target.after };
    const attempt = await this.runner.attempt(held, request.content, command, timeoutMs);
    noteRun(request.operation, attempt);
    this.runner.release(held, attempt.outcome === 'answered' ? attempt.answer : undefined);
    if (attempt.outcome === 'answered' && !isTargetTrusted(this.context, target)) {
      return { outcome: 'lost', cause: 'the lease on the primary ended' };
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
    const held = await this.hold(request, target, longestWait(target, deadline));
    if (!('pooled' in held)) return { cause: held.cause, wasOffered: false };
    if (!isTargetTrusted(this.context, target)) {
      this.runner.release(held);
      return { cause: 'the lease on the primary ended', wasOffered: false };
    }
    const command = { kind: 'data' as const, id, statement };
    const attempt = await this.runner.attempt(held, request.content, command, deadline.remaining);
    noteRun(request.operation, attempt);
    this.runner.release(held, attempt.outcome === 'answered' ? attempt.answer : undefined);
    if (attempt.outcome === 'notRun') return { cause: attempt.cause, wasOffered: false };
    if (attempt.outcome === 'lost') {
      return { reply: inDoubt(this.context, refusal, `${target.instance}: ${attempt.cause}`) };
    }
    const { answer } = attempt;
    if (answer.error && isNotRun(answer.error.kind)) {
      return { cause: `${target.instance} answered ${answer.error.kind}`, wasOffered: true };
    }
    if (answer.error) return { reply: fail(answer.error) };
    if (!isTargetTrusted(this.context, target) || !answer.position) {
      return { reply: inDoubt(this.context, refusal, 'the lease on the primary ended') };
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

  /** Takes a connection, waiting for it for `patienceMs` at most. */
  private async hold(
    request: SingleRequest,
    target: Target,
    patienceMs: number,
  ): Promise<HeldConnection | NotRunAttempt> {
    const { priority } = request.deadline.route;
    const usefulMs = request.deadline.usefulRemaining;
    const waitMs = Math.max(MINIMUM_ATTEMPT_MS, patienceMs);
    try {
      const { values } = request.content;
      const needed = { tenant: request.operation.tenant.name, values, priority, usefulMs };
      return await this.runner.hold(target, needed, waitMs);
    } catch (error) {
      const cause = error instanceof AcquireError ? error.failure : 'no connection';
      return { outcome: 'notRun', cause: `no connection: ${cause}` };
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

/**
 * How long a statement waits for a connection to the only instance that is left, in milliseconds. A home knows its queue
 * and refuses at once whom it would serve too late, so there the wait is as long as an answer would be worth something.
 */
function longestWait({ pool }: Target, deadline: RequestDeadline): number {
  return pool.isHomed ? deadline.retryRemaining : deadline.offerRemaining;
}

/** Notes whether an instance may have run the statement. */
function noteRun(operation: AdmittedOperation, attempt: Attempt): void {
  const error = attempt.outcome === 'answered' ? attempt.answer.error : undefined;
  const isHarmless = attempt.outcome === 'notRun' || (error !== undefined && isNotRun(error.kind));
  if (!isHarmless) operation.noteRun();
}

/** Why an attempt brought nothing, in few words. */
function causeOf(attempt: Attempt): string {
  if (attempt.outcome !== 'answered') return attempt.outcome;
  return attempt.answer.error?.kind ?? 'untrusted';
}

/** Passes on an error that promises nothing. */
function fail(error: InstanceError): CallerReply {
  const kind = error.kind === 'malformed' || error.kind === 'timeout' ? error.kind : 'failed';
  return refused(kind, error.text, 'idle');
}
