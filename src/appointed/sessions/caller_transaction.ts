/**
 * A caller's transaction.
 *
 * Owns: one instance connection, from its first statement to its end; before that it holds nothing. Whether it wrote, and so
 * what the end of its connection means for the caller: certainly rolled back, or in doubt.
 * Relies on: target_planner.ts and the trusted primary for an instance (there may be none in time), the runner of statements
 * (the instance may refuse, fail, or not answer: nothing is kept before COMMIT is sent), and the lease on the primary (it may
 * end: an answer then counts no more).
 */
import type { Position } from '../../positions/position.js';
import { type CallerReply, type CommittedReply, refused } from './caller_reply.js';
import type {
  InstanceAnswer,
  InstanceError,
  InstanceErrorKind,
} from '../instance/instance_connection.js';
import { causeWithoutPrimary } from '../routing/evacuated_primary.js';
import { type RefusedRequest, inDoubt, logRetry, refuse } from '../routing/refusal.js';
import type { AttemptFailure, RefusalCause } from '../routing/refusal_cause.js';
import { AcquireError } from '../connections/acquire_error.js';
import { ROLLBACK_TIMEOUT_MS, RequestDeadline } from '../routing/request_deadline.js';
import {
  awaitFloorWithin,
  causeWithoutInstance,
  homesOf,
  mayServe,
} from '../routing/request_homes.js';
import { RetryPause } from '../routing/retry_pause.js';
import type { EvacuationStage } from '../placement/evacuated_zones.js';
import type { Route } from '../catalog/route_table.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { AdmittedOperation } from '../tenancy/admitted_operation.js';
import type { SessionContent } from './session_loader.js';
import { type DataStatement, type InstanceCommand, accessOf } from '../instance/statement.js';
import {
  type Attempt,
  type HeldConnection,
  type StatementRunner,
  isNotRun,
} from './statement_runner.js';
import { type Target, isTargetTrusted, planRead } from '../routing/target_planner.js';
import { awaitPrimary } from '../trust/primary_waiter.js';

/** Identifier of the system's own statements. */
const OWN_REQUEST = '-';

/** One transaction, from BEGIN to COMMIT, ROLLBACK or its failure. */
export class CallerTransaction {
  private held: HeldConnection | undefined;
  private hasWritten = false;
  private isEnded = false;
  /** The BEGIN that is under way; resolves with the cause when it failed. */
  private binding: Promise<RefusalCause | undefined> | undefined;

  constructor(
    private readonly context: ProxyContext,
    private readonly runner: StatementRunner,
    /** Route as of BEGIN. */
    readonly route: Route,
    /** The operation that the tenant was allowed. */
    readonly operation: AdmittedOperation,
    /** Whether the caller began it for reads only. */
    readonly readOnly: boolean,
    private readonly beganAt: number,
    private readonly ownPosition: Position | undefined,
  ) {}

  /** Begins at an instance ahead of the first statement, which tries again when this fails. */
  prepare(content: SessionContent): void {
    void this.bind(OWN_REQUEST, new RequestDeadline(this.context.clock, this.route), content);
  }

  /** Runs a statement; after an error the transaction has failed and holds nothing any more. */
  async run(id: string, statement: DataStatement, content: SessionContent): Promise<CallerReply> {
    const deadline = new RequestDeadline(this.context.clock, this.route);
    const refusal = { id, deadline, state: 'failed' as const };
    const problem = await this.bind(id, deadline, content);
    if (problem !== undefined) return refuse(this.context, refusal, 'busy', problem);
    if (this.isZoneClosed) return this.endEvacuated(refusal);
    if (!this.isWithinHomes()) {
      this.drop();
      return refuse(this.context, refusal, 'aborted', { kind: 'outsideHomes' });
    }
    this.operation.markMayHaveRun();
    if (accessOf(statement) === 'write') this.hasWritten = true;
    const command = { kind: 'data' as const, id, statement };
    const limitMs = deadline.statementTimeout(this.held!.target.pool.load.slowAnswerThreshold);
    const attempt = await this.attempt(command, content, deadline, limitMs);
    if (attempt.outcome !== 'answered') {
      const cause = this.causeOfFailure(attempt);
      this.drop();
      return refuse(this.context, refusal, 'aborted', cause);
    }
    const { answer } = attempt;
    if (answer.error) return this.failStatement(answer.error, refusal);
    if (!this.isTrusted()) {
      this.drop();
      return refuse(this.context, refusal, 'aborted', { kind: 'leaseEnded' });
    }
    this.countServed();
    return {
      rows: answer.rows,
      signature: answer.signature,
      state: 'open',
      position: answer.position,
    };
  }

  /** Commits. */
  async commit(id: string, content: SessionContent): Promise<CommittedReply> {
    const deadline = new RequestDeadline(this.context.clock, this.route);
    const refusal = { id, deadline, state: 'idle' as const };
    const problem = await this.bind(id, deadline, content);
    if (problem !== undefined) {
      return { reply: refuse(this.context, refusal, 'aborted', problem) };
    }
    if (this.isZoneClosed) return { reply: this.endEvacuated(refusal) };
    const obstacle = this.obstacleToCommit();
    if (obstacle) {
      this.drop();
      return { reply: refuse(this.context, refusal, 'aborted', obstacle) };
    }
    this.context.leases.commitStarted(this.route.group);
    try {
      const attempt = await this.attempt({ kind: 'commit', id }, content, deadline);
      return this.judgeCommit(attempt, refusal);
    } finally {
      this.context.leases.commitEnded(this.route.group);
    }
  }

  /** Rolls back; the connection is cleaned up in the background. */
  rollback(id: string): void {
    this.isEnded = true;
    // Not even ROLLBACK goes to a closed zone, or to an instance that a newer document puts out of reach; closing rolls back too.
    if (this.isZoneClosed || !this.isWithinHomes()) this.drop();
    const { held } = this;
    this.held = undefined;
    if (!held) return;
    this.runner.exchange(held, { kind: 'rollback', id }, ROLLBACK_TIMEOUT_MS).then(
      (answer) => this.runner.release(held, answer),
      // Nothing is lost: the instance rolls back when the connection closes.
      () => this.runner.discard(held),
    );
  }

  /** Ends the transaction by closing its connection, which rolls back. */
  drop(): void {
    const { held } = this;
    this.held = undefined;
    if (held) this.runner.discard(held);
  }

  /** Decides whether a commit is kept, certainly not kept, or in doubt. */
  private judgeCommit(attempt: Attempt, refusal: RefusedRequest): CommittedReply {
    const held = this.held!;
    const cause = this.causeOfFailure(attempt);
    this.held = undefined;
    const answer = attempt.outcome === 'answered' ? attempt.answer : undefined;
    this.runner.release(held, answer?.state === 'idle' ? answer : UNKNOWN_ANSWER);
    if (attempt.outcome === 'notRun' || (answer?.error && isNotRun(answer.error.kind))) {
      return { reply: refuse(this.context, refusal, 'aborted', cause) };
    }
    if (!answer || answer.error) return { reply: this.commitFailed(refusal, cause) };
    if (this.hasWritten && !isTargetTrusted(this.context, held.target)) {
      return { reply: this.commitFailed(refusal, { kind: 'leaseEnded' }) };
    }
    const { rows, signature, position } = answer;
    const reply: CallerReply = { rows, signature, state: 'idle', position };
    if (!this.hasWritten || !position) return { reply };
    this.context.leases.noteAcknowledged(this.route.group, position);
    return { reply, committedAt: position };
  }

  /** A commit without a trusted answer is in doubt, unless there was nothing to commit. */
  private commitFailed(refusal: RefusedRequest, cause: RefusalCause): CallerReply {
    if (this.hasWritten) return inDoubt(this.context, refusal, cause);
    return refuse(this.context, refusal, 'aborted', cause);
  }

  /** Runs a command on the held connection, and again while the instance answers that it is busy. */
  private async attempt(
    command: InstanceCommand,
    content: SessionContent,
    deadline: RequestDeadline,
    limitMs = Infinity,
  ): Promise<Attempt> {
    const pause = new RetryPause(this.context.clock);
    const { pooled, target } = this.held!;
    for (;;) {
      const timeoutMs = Math.min(deadline.remaining, limitMs);
      target.pool.wake(pooled);
      const attempt = await this.runner.attempt(this.held!, content, command, timeoutMs);
      target.pool.rest(pooled);
      const answer = attempt.outcome === 'answered' ? attempt.answer : undefined;
      const isBusy = answer?.error?.kind === 'busy' && answer.state === 'open';
      if (!isBusy || !deadline.allowsRetry(true)) return attempt;
      await pause.wait();
    }
  }

  /** Ends the transaction after an error of the instance. */
  private failStatement(error: InstanceError, refusal: RefusedRequest): CallerReply {
    this.drop();
    if (error.kind === 'malformed' || error.kind === 'unknownName') {
      return refused(error.kind, error.text, 'failed');
    }
    return refuse(this.context, refusal, 'aborted', transactionAnswered(error.kind));
  }

  /** Begins at an instance, unless done already; returns the cause when none could begin. Nothing ran then. */
  private async bind(
    id: string,
    deadline: RequestDeadline,
    content: SessionContent,
  ): Promise<RefusalCause | undefined> {
    await this.binding;
    if (this.held) return undefined;
    this.binding = this.tryTargets(id, deadline, content);
    const problem = await this.binding;
    if (this.isEnded) this.rollback(OWN_REQUEST);
    return problem;
  }

  /** Begins at one instance after another, until one has begun or the time is up. */
  private async tryTargets(
    id: string,
    deadline: RequestDeadline,
    content: SessionContent,
  ): Promise<RefusalCause | undefined> {
    const tried = new Set<string>();
    const pause = new RetryPause(this.context.clock);
    let cause: RefusalCause | undefined;
    if (this.mayUseReplicas) await this.context.positions.awaitMinimumPosition(this.route.group);
    while (deadline.allowsAttempt) {
      const target = await this.nextTarget(deadline, tried, pause);
      if (!target) break;
      tried.add(target.instance);
      const failure = await this.beginAt(target, deadline, content);
      if (failure === undefined) return undefined;
      cause = { kind: 'attemptFailed', instance: target.instance, failure };
      logRetry(this.context, { id, deadline }, target, failure);
      // The primary is the last choice, so nothing else is left that could take it sooner.
      if (failure.kind === 'slowStart' && target.primaryEpoch !== undefined) break;
    }
    const { route, operation } = this;
    const otherwise = causeWithoutPrimary(this.context, route.group, { kind: 'noTrustedPrimary' });
    return cause ?? causeWithoutInstance(this.context, route, operation.tenant, otherwise);
  }

  /** The instance to try next; after a round over all of them, pauses and waits for the primary. */
  private async nextTarget(
    deadline: RequestDeadline,
    tried: Set<string>,
    pause: RetryPause,
  ): Promise<Target | undefined> {
    const { route, ownPosition, operation } = this;
    const { tenant } = operation;
    if (this.mayUseReplicas) {
      const plan = { route, tenant, firstByteAt: this.beganAt, ownPosition };
      for (;;) {
        const [target] = planRead(this.context, plan, tried);
        if (target) return target;
        if (tried.size > 0) break;
        if (!(await awaitFloorWithin(this.context, deadline, tenant, pause))) break;
      }
    }
    if (tried.size > 0) {
      if (!deadline.allowsRetry(false)) return undefined;
      tried.clear();
      await pause.wait();
    }
    return awaitPrimary(this.context, deadline, tenant);
  }

  /** Begins at one instance; returns why it could not. */
  private async beginAt(
    target: Target,
    deadline: RequestDeadline,
    content: SessionContent,
  ): Promise<AttemptFailure | undefined> {
    const { priority } = this.route;
    let held: HeldConnection;
    try {
      const { name: tenant } = this.operation.tenant;
      const usefulMs = deadline.usefulRemaining;
      const { homes } = target;
      const needed = { tenant, values: content.values, priority, usefulMs, homes };
      held = await this.runner.hold(target, needed, deadline.connectionWait(false));
    } catch (error) {
      if (error instanceof AcquireError && error.failure === 'slowStart')
        return { kind: 'slowStart' };
      // Nothing ran. The pool counts its refusals by reason; the text of this cause names none.
      return { kind: 'noConnection' };
    }
    const command = { kind: 'begin' as const, readOnly: this.readOnly, after: target.after };
    const limitMs = deadline.statementTimeout(target.pool.load.slowAnswerThreshold);
    const timeoutMs = Math.min(deadline.remaining, limitMs);
    const attempt = await this.runner.attempt(held, { values: content.values }, command, timeoutMs);
    if (attempt.outcome === 'answered' && !attempt.answer.error) {
      this.held = held;
      target.pool.rest(held.pooled);
      return undefined;
    }
    this.runner.release(held, attempt.outcome === 'answered' ? attempt.answer : undefined);
    if (attempt.outcome !== 'answered') return attempt.cause;
    const { kind: error } = attempt.answer.error!;
    return error === 'slowStart' ? { kind: 'slowStart' } : { kind: 'beginAnswered', error };
  }

  /** Whether nothing may be sent to the instance any more, since its zone is evacuated. */
  private get isZoneClosed(): boolean {
    return this.evacuationStage === 'closed';
  }

  private get evacuationStage(): EvacuationStage | undefined {
    const instance = this.held?.target.instance;
    return instance === undefined ? undefined : this.context.instances.evacuationStageOf(instance);
  }

  /** Ends the transaction before its next statement is sent: nothing of it is kept. */
  private endEvacuated(refusal: RefusedRequest): CallerReply {
    this.drop();
    return refuse(this.context, refusal, 'aborted', { kind: 'zoneEvacuated' });
  }

  /** Cause of an attempt that was not answered, or was answered with an error. Pools of evacuated zones end what rests. */
  private causeOfFailure(attempt: Attempt): RefusalCause {
    if (attempt.outcome === 'answered') {
      return transactionAnswered(attempt.answer.error?.kind);
    }
    const isEnded = attempt.outcome === 'notRun' && this.evacuationStage !== undefined;
    return isEnded ? { kind: 'zoneEvacuated' } : attempt.cause;
  }

  private isTrusted(): boolean {
    return this.held !== undefined && isTargetTrusted(this.context, this.held.target);
  }

  /** Whether the homes of now leave the instance, and the way to it, to the transaction. */
  private isWithinHomes(): boolean {
    const { context, held, route, operation } = this;
    if (!held) return true;
    const homes = homesOf(context, route, operation.tenant);
    const { instance, pool } = held.target;
    return mayServe(context, homes, instance) && pool.mayCarry(held.pooled, homes);
  }

  /** Why COMMIT may not be sent; undefined when it may. */
  private obstacleToCommit(): RefusalCause | undefined {
    if (!this.isWithinHomes()) return { kind: 'outsideHomes' };
    return this.isTrusted() ? undefined : { kind: 'leaseEnded' };
  }

  private countServed(): void {
    const { target } = this.held!;
    const isPrimary = target.primaryEpoch !== undefined;
    const { route, mayUseReplicas } = this;
    this.context.counters.served(route.name, target.instance, isPrimary, mayUseReplicas);
  }

  private get mayUseReplicas(): boolean {
    return this.readOnly && this.route.policy.kind !== 'primary';
  }
}

/** Stands for an answer after which a connection can't be used again. */
const UNKNOWN_ANSWER: InstanceAnswer = { rows: [], signature: '', state: 'failed' };

/** Cause of an error in a transaction, of its instance or of the holder of a cold one. */
function transactionAnswered(error: InstanceErrorKind | undefined): RefusalCause {
  return error === 'slowStart' ? { kind: 'slowStart' } : { kind: 'transactionAnswered', error };
}
