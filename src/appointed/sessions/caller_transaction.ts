/**
 * A caller's transaction. It pins one instance connection from its first statement (or an early BEGIN) to its end.
 *
 * Nothing is kept before COMMIT is sent, so until then a failure means that the transaction was rolled back. A COMMIT without
 * a trusted answer leaves a transaction that wrote in doubt: the connection was lost, the answer timed out, or the lease on
 * the primary ended meanwhile.
 */
import type { Position } from '../../positions/position.js';
import { type CallerReply, type WriteReply, errorReply } from './caller_reply.js';
import type {
  InstanceAnswer,
  InstanceError,
  InstanceErrorKind,
} from '../instance/instance_connection.js';
import { noPrimaryCause } from '../routing/evacuated_primary.js';
import { type RefusedRequest, replyInDoubt, logRetry, refuse } from '../routing/refusal.js';
import type { AttemptFailure, RefusalCause } from '../routing/refusal_cause.js';
import { AcquireError } from '../connections/acquire_error.js';
import { ROLLBACK_TIMEOUT_MS, RequestDeadline } from '../routing/request_deadline.js';
import {
  awaitPrimaryPosition,
  noInstanceCause,
  allowedRegionsOf,
  isInstanceAllowed,
} from '../routing/request_allowed_regions.js';
import { RetryBackoff } from '../routing/retry_backoff.js';
import type { EvacuationStage } from '../placement/evacuated_zones.js';
import type { Route } from '../catalog/route_table.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { AdmittedOperation } from '../tenancy/admitted_operation.js';
import type { SessionContent } from './session_loader.js';
import { type DataStatement, type InstanceCommand, accessOf } from '../instance/statement.js';
import {
  type Attempt,
  type PinnedConnection,
  type StatementRunner,
  isNotRun,
} from './statement_runner.js';
import { type Target, isTargetTrusted, planRead } from '../routing/target_planner.js';
import { awaitPrimary } from '../trust/primary_waiter.js';

/** Identifier of statements that the proxy sends on its own. */
const INTERNAL_REQUEST_ID = '-';

/** One transaction, from BEGIN to COMMIT, ROLLBACK or its failure. */
export class CallerTransaction {
  private pinned: PinnedConnection | undefined;
  private hasWritten = false;
  private isRolledBack = false;
  /** The BEGIN in progress; resolves with the cause if it failed. */
  private pendingBegin: Promise<RefusalCause | undefined> | undefined;

  constructor(
    private readonly context: ProxyContext,
    private readonly runner: StatementRunner,
    /** Route at the time of BEGIN. */
    readonly route: Route,
    /** Operation that was charged to the tenant. */
    readonly operation: AdmittedOperation,
    /** Whether the caller began it as read-only. */
    readonly readOnly: boolean,
    private readonly beganAt: number,
    private readonly ownPosition: Position | undefined,
  ) {}

  /** Begins at an instance ahead of the first statement, which retries if this fails. */
  beginEarly(content: SessionContent): void {
    void this.ensureBegun(
      INTERNAL_REQUEST_ID,
      new RequestDeadline(this.context.clock, this.route, this.context.shutdown),
      content,
    );
  }

  /** Runs a statement; after an error the transaction has failed and its connection is released. */
  async run(id: string, statement: DataStatement, content: SessionContent): Promise<CallerReply> {
    const deadline = new RequestDeadline(this.context.clock, this.route, this.context.shutdown);
    const refusal = { id, deadline, state: 'failed' as const };
    const beginFailure = await this.ensureBegun(id, deadline, content);
    if (beginFailure !== undefined) return refuse(this.context, refusal, 'busy', beginFailure);
    if (this.isZoneClosed) return this.abortEvacuated(refusal);
    if (!this.isWithinAllowedRegions()) {
      this.discard();
      return refuse(this.context, refusal, 'aborted', { kind: 'outsideHomes' });
    }
    this.operation.markMayHaveRun();
    if (accessOf(statement) === 'write') this.hasWritten = true;
    const command = { kind: 'data' as const, id, statement };
    const limitMs = deadline.statementTimeoutMs(
      this.pinned!.target.pool.load.slowAnswerThresholdMs,
    );
    const maySend = (): boolean => !this.isZoneClosed && this.isWithinAllowedRegions();
    const attempt = await this.attempt(command, content, deadline, maySend, limitMs);
    if (attempt.outcome !== 'answered') {
      const cause = this.failureCause(attempt);
      this.discard();
      return refuse(this.context, refusal, 'aborted', cause);
    }
    const { answer } = attempt;
    if (answer.error) return this.failStatement(answer.error, refusal);
    if (!this.isPinnedTargetTrusted()) {
      this.discard();
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

  async commit(id: string, content: SessionContent): Promise<WriteReply> {
    const deadline = new RequestDeadline(this.context.clock, this.route, this.context.shutdown);
    const refusal = { id, deadline, state: 'idle' as const };
    const beginFailure = await this.ensureBegun(id, deadline, content);
    if (beginFailure !== undefined) {
      return { reply: refuse(this.context, refusal, 'aborted', beginFailure) };
    }
    if (this.isZoneClosed) return { reply: this.abortEvacuated(refusal) };
    const refusalCause = this.commitRefusalCause();
    if (refusalCause) {
      this.discard();
      return { reply: refuse(this.context, refusal, 'aborted', refusalCause) };
    }
    this.context.leases.onCommitStarted(this.route.group);
    try {
      const maySend = (): boolean => !this.isZoneClosed && !this.commitRefusalCause();
      const attempt = await this.attempt({ kind: 'commit', id }, content, deadline, maySend);
      return this.evaluateCommit(attempt, refusal);
    } finally {
      this.context.leases.onCommitEnded(this.route.group);
    }
  }

  /** Rolls back in the background. */
  rollback(id: string): void {
    this.isRolledBack = true;
    // No ROLLBACK is sent to a closed zone or outside the allowed regions; closing the connection rolls back as well.
    if (this.isZoneClosed || !this.isWithinAllowedRegions()) this.discard();
    const { pinned } = this;
    this.pinned = undefined;
    if (!pinned) return;
    this.runner.exchange(pinned, { kind: 'rollback', id }, ROLLBACK_TIMEOUT_MS).then(
      (answer) => this.runner.release(pinned, answer),
      // The instance rolls back when the connection closes.
      () => this.runner.discard(pinned),
    );
  }

  /** Closes the connection, which rolls the transaction back. */
  discard(): void {
    const { pinned } = this;
    this.pinned = undefined;
    if (pinned) this.runner.discard(pinned);
  }

  /** Decides whether a commit succeeded, certainly failed, or is in doubt. */
  private evaluateCommit(attempt: Attempt, refusal: RefusedRequest): WriteReply {
    const pinned = this.pinned!;
    const cause = this.failureCause(attempt);
    this.pinned = undefined;
    const answer = attempt.outcome === 'answered' ? attempt.answer : undefined;
    this.runner.release(pinned, answer?.state === 'idle' ? answer : UNKNOWN_ANSWER);
    if (attempt.outcome === 'notRun' || (answer?.error && isNotRun(answer.error.kind))) {
      return { reply: refuse(this.context, refusal, 'aborted', cause) };
    }
    if (!answer || answer.error) return { reply: this.commitFailed(refusal, cause) };
    const { rows, signature, position } = answer;
    const reply: CallerReply = { rows, signature, state: 'idle', position };
    if (!this.hasWritten) return { reply };
    // A change of primary must know the position of each acknowledged commit.
    if (!position || !isTargetTrusted(this.context, pinned.target)) {
      return { reply: this.commitFailed(refusal, { kind: 'leaseEnded' }) };
    }
    this.context.leases.recordAcknowledged(this.route.group, position);
    return { reply, commitPosition: position };
  }

  /** A commit without a trusted answer is in doubt, unless the transaction wrote nothing. */
  private commitFailed(refusal: RefusedRequest, cause: RefusalCause): CallerReply {
    if (this.hasWritten) return replyInDoubt(this.context, refusal, cause);
    return refuse(this.context, refusal, 'aborted', cause);
  }

  /**
   * Runs a command on the pinned connection; retries while the instance answers that it is busy.
   * @param maySend - checked right before each retry
   */
  private async attempt(
    command: InstanceCommand,
    content: SessionContent,
    deadline: RequestDeadline,
    maySend: () => boolean,
    limitMs = Infinity,
  ): Promise<Attempt> {
    const backoff = new RetryBackoff(this.context.clock);
    const { pooled, target } = this.pinned!;
    for (;;) {
      const timeoutMs = Math.min(deadline.remainingMs, limitMs);
      target.pool.markActive(pooled);
      const attempt = await this.runner.attempt(this.pinned!, content, command, timeoutMs);
      target.pool.markIdleInTransaction(pooled);
      const answer = attempt.outcome === 'answered' ? attempt.answer : undefined;
      const isBusy = answer?.error?.kind === 'busy' && answer.state === 'open';
      if (!isBusy || !deadline.allowsRetry(true)) return attempt;
      await backoff.wait();
      if (!maySend() || !deadline.allowsAttempt) return attempt;
    }
  }

  /** Ends the transaction after the instance returned an error. */
  private failStatement(error: InstanceError, refusal: RefusedRequest): CallerReply {
    this.discard();
    if (error.kind === 'malformed' || error.kind === 'unknownName') {
      return errorReply(error.kind, error.text, 'failed');
    }
    return refuse(this.context, refusal, 'aborted', transactionAnswered(error.kind));
  }

  /** Begins at an instance unless this has been done; returns the cause if it failed, in which case nothing ran. */
  private async ensureBegun(
    id: string,
    deadline: RequestDeadline,
    content: SessionContent,
  ): Promise<RefusalCause | undefined> {
    await this.pendingBegin;
    if (this.pinned) return undefined;
    this.pendingBegin = this.tryTargets(id, deadline, content);
    const beginFailure = await this.pendingBegin;
    if (this.isRolledBack) this.rollback(INTERNAL_REQUEST_ID);
    return beginFailure;
  }

  /** Tries one instance after another until BEGIN succeeds or the deadline has passed. */
  private async tryTargets(
    id: string,
    deadline: RequestDeadline,
    content: SessionContent,
  ): Promise<RefusalCause | undefined> {
    const triedInstances = new Set<string>();
    const backoff = new RetryBackoff(this.context.clock);
    let cause: RefusalCause | undefined;
    if (this.canUseReplicas) await this.context.positions.awaitMinimumPosition(this.route.group);
    while (deadline.allowsAttempt) {
      const target = await this.nextTarget(deadline, triedInstances, backoff);
      if (!target) break;
      triedInstances.add(target.instance);
      const failure = await this.beginAt(target, deadline, content);
      if (failure === undefined) return undefined;
      cause = { kind: 'attemptFailed', instance: target.instance, failure };
      logRetry(this.context, { id, deadline }, target, failure);
      // The primary is the last target, so no other instance could run it sooner.
      if (failure.kind === 'slowStart' && target.primaryEpoch !== undefined) break;
    }
    const { route, operation } = this;
    const fallback = noPrimaryCause(this.context, route.group, { kind: 'noTrustedPrimary' });
    return cause ?? noInstanceCause(this.context, route, operation.tenant, fallback);
  }

  /** The next target; after a round over all instances, backs off and waits for the primary. */
  private async nextTarget(
    deadline: RequestDeadline,
    triedInstances: Set<string>,
    backoff: RetryBackoff,
  ): Promise<Target | undefined> {
    const { route, ownPosition, operation } = this;
    const { tenant } = operation;
    if (this.canUseReplicas) {
      const plan = { route, tenant, firstByteAt: this.beganAt, ownPosition };
      for (;;) {
        const [target] = planRead(this.context, plan, triedInstances);
        if (target) return target;
        if (triedInstances.size > 0) break;
        if (!(await awaitPrimaryPosition(this.context, deadline, tenant, backoff))) break;
      }
    }
    if (triedInstances.size > 0) {
      if (!deadline.allowsRetry(false)) return undefined;
      triedInstances.clear();
      await backoff.wait();
    }
    return awaitPrimary(this.context, deadline, tenant);
  }

  /** Begins at one instance; returns the cause if it failed. */
  private async beginAt(
    target: Target,
    deadline: RequestDeadline,
    content: SessionContent,
  ): Promise<AttemptFailure | undefined> {
    const { priority } = this.route;
    let pinned: PinnedConnection;
    try {
      const { name: tenant } = this.operation.tenant;
      const objectiveMs = deadline.objectiveRemainingMs;
      const { allowedRegions } = target;
      const connectionRequest = {
        tenant,
        values: content.values,
        priority,
        objectiveMs,
        allowedRegions,
      };
      pinned = await this.runner.acquire(
        target,
        connectionRequest,
        deadline.connectionWaitMs(false),
      );
    } catch (error) {
      if (error instanceof AcquireError && error.failure === 'slowStart')
        return { kind: 'slowStart' };
      // Nothing ran. The pool counts its refusals by reason, so this cause needs none.
      return { kind: 'noConnection' };
    }
    const command = {
      kind: 'begin' as const,
      readOnly: this.readOnly,
      after: target.minimumPosition,
    };
    const limitMs = deadline.statementTimeoutMs(target.pool.load.slowAnswerThresholdMs);
    const timeoutMs = Math.min(deadline.remainingMs, limitMs);
    const attempt = await this.runner.attempt(
      pinned,
      { values: content.values },
      command,
      timeoutMs,
    );
    if (attempt.outcome === 'answered' && !attempt.answer.error) {
      this.pinned = pinned;
      target.pool.markIdleInTransaction(pinned.pooled);
      return undefined;
    }
    this.runner.release(pinned, attempt.outcome === 'answered' ? attempt.answer : undefined);
    if (attempt.outcome !== 'answered') return attempt.cause;
    const { kind: error } = attempt.answer.error!;
    return error === 'slowStart' ? { kind: 'slowStart' } : { kind: 'beginAnswered', error };
  }

  /** Whether the zone of the instance is closed by an evacuation, so that nothing may be sent to it. */
  private get isZoneClosed(): boolean {
    return this.evacuationStage === 'closed';
  }

  private get evacuationStage(): EvacuationStage | undefined {
    const instance = this.pinned?.target.instance;
    return instance === undefined ? undefined : this.context.instances.evacuationStageOf(instance);
  }

  /** Ends the transaction before its next statement is sent, so that none of it is kept. */
  private abortEvacuated(refusal: RefusedRequest): CallerReply {
    this.discard();
    return refuse(this.context, refusal, 'aborted', { kind: 'zoneEvacuated' });
  }

  /** Cause of a failed attempt. Pools in evacuated zones close the connections of idle transactions. */
  private failureCause(attempt: Attempt): RefusalCause {
    if (attempt.outcome === 'answered') {
      return transactionAnswered(attempt.answer.error?.kind);
    }
    const isEndedByEvacuation = attempt.outcome === 'notRun' && this.evacuationStage !== undefined;
    return isEndedByEvacuation ? { kind: 'zoneEvacuated' } : attempt.cause;
  }

  private isPinnedTargetTrusted(): boolean {
    return this.pinned !== undefined && isTargetTrusted(this.context, this.pinned.target);
  }

  /** Whether the instance, and the proxy that relays to it, are in the regions allowed by the newest document. */
  private isWithinAllowedRegions(): boolean {
    const { context, pinned, route, operation } = this;
    if (!pinned) return true;
    const regions = allowedRegionsOf(context, route, operation.tenant);
    const { instance, pool } = pinned.target;
    return (
      isInstanceAllowed(context, regions, instance) &&
      pool.satisfiesResidency(pinned.pooled, regions)
    );
  }

  /** Why COMMIT must not be sent; undefined if it may be. */
  private commitRefusalCause(): RefusalCause | undefined {
    if (!this.isWithinAllowedRegions()) return { kind: 'outsideHomes' };
    return this.isPinnedTargetTrusted() ? undefined : { kind: 'leaseEnded' };
  }

  private countServed(): void {
    const { target } = this.pinned!;
    const isPrimary = target.primaryEpoch !== undefined;
    const { route, canUseReplicas } = this;
    this.context.counters.served(route.name, target.instance, isPrimary, canUseReplicas);
  }

  private get canUseReplicas(): boolean {
    return this.readOnly && this.route.policy.kind !== 'primary';
  }
}

/** Passed to `release` in place of an answer so that the connection is closed. */
const UNKNOWN_ANSWER: InstanceAnswer = { rows: [], signature: '', state: 'failed' };

/** Cause of an error returned by the transaction's instance, or by the lease holder of a cold one. */
function transactionAnswered(error: InstanceErrorKind | undefined): RefusalCause {
  return error === 'slowStart' ? { kind: 'slowStart' } : { kind: 'transactionAnswered', error };
}
