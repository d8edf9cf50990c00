/**
 * Runs statements on instances: acquires a connection, loads the session onto it, runs the statement, and updates the load of
 * the instance, and the health and position of a primary, from its answer.
 *
 * It also determines which failures guarantee that a statement did not run. An attempt whose connection is lost or times out is
 * `notRun` if nothing had been sent, and `lost` otherwise.
 */
import { BackendConnectionLostError, OwnerUnreachableError } from '../../errors/errors.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { UnsendableCommandError } from '../instance/instance_channel.js';
import type { InstanceAnswer, InstanceErrorKind } from '../instance/instance_connection.js';
import type { Position } from '../../positions/position.js';
import { AcquireError, type AcquireFailure } from '../connections/acquire_error.js';
import type { ConnectionRequest, PooledConnection } from '../connections/pooled_connection.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import { type SessionContent, loadingCommands, recordLoaded } from './session_loader.js';
import type { InstanceCommand } from '../instance/statement.js';
import type { CancelReservation } from '../placement/slow_start_gate.js';
import { isUrgentPriority } from '../placement/slow_start_budget.js';
import type { AttemptFailure } from '../routing/refusal_cause.js';
import type { PrimaryHealthTracker } from '../trust/primary_health_tracker.js';
import { distrustShorterLog } from '../trust/primary_incarnation.js';
import { type Target, isTargetTrusted } from '../routing/target_planner.js';
import { isInstanceAllowed } from '../routing/request_allowed_regions.js';

const { PrimaryHealth } = whinyoke;

/** Errors with which an instance guarantees that the statement did not run. */
const NOT_RUN_KINDS: ReadonlySet<InstanceErrorKind> = new Set<InstanceErrorKind>([
  'busy',
  'unknownName',
  'lagging',
  'readOnly',
  'wrongInstance',
  'connectionLimit',
  'slowStart',
]);

/** Errors that count as failures of the instance; others are caused by the request or by replication lag. */
const INSTANCE_FAILURE_KINDS: ReadonlySet<InstanceErrorKind> = new Set<InstanceErrorKind>([
  'busy',
  'failed',
  'timeout',
  'other',
]);

/** Failures to acquire a connection that are caused by load or by an operator and don't count as failures of the instance. */
const LOAD_FAILURES: ReadonlySet<AcquireFailure> = new Set<AcquireFailure>([
  'timeout',
  'full',
  'displaced',
  'evacuated',
  'slowStart',
]);

/** Whether an error guarantees that the statement did not run. */
export function isNotRun(kind: InstanceErrorKind): boolean {
  return NOT_RUN_KINDS.has(kind);
}

/** A connection in exclusive use for one statement or transaction. */
export interface PinnedConnection {
  readonly target: Target;
  readonly pooled: PooledConnection;
  /** Whether its requests may use the reserve for urgent requests of a cold instance. */
  readonly isUrgent: boolean;
  /** Whether a transaction is open on it. */
  inTransaction: boolean;
}

/** When a command was sent, and what was known about the instance at that time. */
interface RequestSnapshot {
  readonly at: number;
  /** Highest position received from it as the primary of its epoch. */
  readonly knownPosition: Position | undefined;
}

/** The statement certainly did not run. */
export interface NotRunAttempt {
  readonly outcome: 'notRun';
  readonly cause: AttemptFailure;
}

/** How an attempt at one instance ended. */
export type Attempt =
  | { readonly outcome: 'answered'; readonly answer: InstanceAnswer }
  | NotRunAttempt
  /** The statement may have run, but there is no usable answer. */
  | { readonly outcome: 'lost'; readonly cause: AttemptFailure };

/** Told when a caller's statement is sent to an instance, and when that instance is done with it. */
export interface StatementObserver {
  onSent(): void;
  onEnded(): void;
}

export class StatementRunner {
  constructor(
    private readonly context: ProxyContext,
    private readonly observer?: StatementObserver,
  ) {}

  /** Acquires a connection to a target. @throws AcquireError if none was available in time */
  async acquire(
    target: Target,
    request: ConnectionRequest,
    timeoutMs: number,
  ): Promise<PinnedConnection> {
    const { load } = target.pool;
    const cancelReservation = this.reserveSlowStart(target, request);
    load.outstanding++;
    try {
      const pooled = await target.pool.acquire(request, timeoutMs);
      return { target, pooled, isUrgent: isUrgentPriority(request.priority), inTransaction: false };
    } catch (error) {
      if (error instanceof AcquireError && !LOAD_FAILURES.has(error.failure)) {
        load.recordFailure(this.context.clock.now());
      }
      throw error;
    } finally {
      load.outstanding--;
      cancelReservation?.();
    }
  }

  /** Reserves slow-start capacity, or refuses the request if a cold instance has none. Internal requests need none. */
  private reserveSlowStart(
    { instance }: Target,
    { tenant, priority }: ConnectionRequest,
  ): CancelReservation | undefined {
    if (tenant === undefined) return undefined;
    const cancelReservation = this.context.instances.enter(instance, isUrgentPriority(priority));
    if (!cancelReservation) throw new AcquireError('slowStart');
    return cancelReservation;
  }

  /** Returns a connection to the pool if the answer left it idle; closes it otherwise. */
  release(pinned: PinnedConnection, answer?: InstanceAnswer): void {
    const { pool } = pinned.target;
    const isClean = answer === undefined || answer.state === 'idle';
    if (isClean && !pinned.pooled.connection.closed) pool.release(pinned.pooled);
    else pool.discard(pinned.pooled);
  }

  /** Closes a connection in an unknown state. */
  discard(pinned: PinnedConnection): void {
    pinned.target.pool.discard(pinned.pooled);
  }

  /**
   * Loads the session and runs a command. A statement is sent once the session's values are known to be loaded, together with what
   * prepares it. The caller must release or discard the connection afterwards.
   */
  async attempt(
    pinned: PinnedConnection,
    content: SessionContent,
    command: InstanceCommand,
    timeoutMs: number,
  ): Promise<Attempt> {
    const { clock } = this.context;
    const endAt = clock.now() + timeoutMs;
    const { values, prepared } = loadingCommands(pinned.pooled, content);
    // A BEGIN has no effect without the statements that follow, which are sent once it has succeeded.
    const isPipelined = values.length === 0 || command.kind === 'begin';
    if (!isPipelined) {
      if (!(await this.loadAll(pinned, values, timeoutMs))) return notLoaded(pinned);
      const objection = this.objectionTo(pinned);
      if (objection) return { outcome: 'notRun', cause: objection };
    }
    const remainingMs = endAt - clock.now();
    if (remainingMs <= 0) return notLoaded(pinned);
    const loading = this.loadAll(
      pinned,
      isPipelined ? [...values, ...prepared] : prepared,
      remainingMs,
    );
    const running = this.runObserved(pinned, command, remainingMs);
    const [isLoaded, [result]] = await Promise.all([loading, Promise.allSettled([running])]);
    if (result.status === 'rejected') return failedAttempt(result.reason);
    const { value: answer } = result;
    if (isLoaded) return { outcome: 'answered', answer };
    const { cause } = notLoaded(pinned);
    const isHarmless = answer.error !== undefined && isNotRun(answer.error.kind);
    return { outcome: isHarmless ? 'notRun' : 'lost', cause };
  }

  /** Why a statement must not be sent any more, though it could be sent before its session's values were loaded. */
  private objectionTo({ target, pooled }: PinnedConnection): AttemptFailure | undefined {
    const { context } = this;
    const { instance, pool, allowedRegions } = target;
    if (!isTargetTrusted(context, target)) return { kind: 'leaseEnded' };
    const isOpen = context.instances.evacuationStageOf(instance) !== 'closed';
    const isAllowed =
      isInstanceAllowed(context, allowedRegions, instance) &&
      pool.satisfiesResidency(pooled, allowedRegions);
    return isOpen && isAllowed ? undefined : { kind: 'zoneEvacuated' };
  }

  /** Runs loading commands, pipelined; returns whether all succeeded. */
  private async loadAll(
    pinned: PinnedConnection,
    commands: readonly InstanceCommand[],
    timeoutMs: number,
  ): Promise<boolean> {
    if (commands.length === 0) return true;
    const loaded = await Promise.all(
      commands.map((command) => this.load(pinned, command, timeoutMs)),
    );
    return loaded.every((isLoaded) => isLoaded);
  }

  private async runObserved(
    pinned: PinnedConnection,
    command: InstanceCommand,
    timeoutMs: number,
  ): Promise<InstanceAnswer> {
    // BEGIN is no statement of the caller: it was answered before, or is part of the first statement.
    if (command.kind !== 'begin') this.observer?.onSent();
    try {
      return await this.exchange(pinned, command, timeoutMs);
    } finally {
      if (command.kind !== 'begin') this.observer?.onEnded();
    }
  }

  private async load(
    pinned: PinnedConnection,
    loadingCommand: InstanceCommand,
    timeoutMs: number,
  ): Promise<boolean> {
    try {
      const answer = await this.exchange(pinned, loadingCommand, timeoutMs);
      if (answer.error) return false;
      recordLoaded(pinned.pooled, loadingCommand);
      return true;
    } catch {
      // The attempt ends with the cause that the session was not loaded.
      return false;
    }
  }

  /** Runs one command on a connection and updates the load, health and position of the instance from its answer. */
  async exchange(
    pinned: PinnedConnection,
    command: InstanceCommand,
    timeoutMs: number,
  ): Promise<InstanceAnswer> {
    const { clock } = this.context;
    const { target, pooled } = pinned;
    const { load } = target.pool;
    const { group, primaryEpoch: epoch } = target;
    // There must be no await between this check and sending: the request is counted in the sliding window of the current time.
    if (!this.canSend(pinned, command)) return slowStartAnswer(pinned.target, pinned.inTransaction);
    const sentAt = clock.now();
    const knownPosition = this.context.positions.minimumPositionOf(group).highestInEpoch(epoch);
    const snapshot = { at: sentAt, knownPosition };
    const tracker = epoch === undefined ? undefined : this.context.primaryHealth.of(group, epoch);
    const mayCommit = command.kind === 'commit' || isWrite(command);
    const sentStatement = pooled.isRelayed
      ? undefined
      : tracker?.onStatementSent(mayCommit, sentAt);
    load.outstanding++;
    try {
      const answer = await pooled.connection.run(command, timeoutMs);
      const now = clock.now();
      sentStatement?.end(true, now);
      if (pooled.isRelayed) tracker?.onOwnerAnswered();
      this.reportAnswer(pinned, answer, snapshot, command.kind === 'data');
      if (command.kind === 'begin' && !answer.error) pinned.inTransaction = true;
      return answer;
    } catch (error) {
      if (error instanceof UnsendableCommandError) {
        sentStatement?.cancel();
        return unsendableAnswer(error, pinned.inTransaction);
      }
      sentStatement?.end(false, clock.now());
      this.reportFailure(pinned, error, tracker);
      throw error;
    } finally {
      load.outstanding--;
    }
  }

  /** Updates the load of the instance, and health of a primary, from a command without an answer. */
  private reportFailure(
    pinned: PinnedConnection,
    error: unknown,
    tracker: PrimaryHealthTracker | undefined,
  ): void {
    const now = this.context.clock.now();
    if (error instanceof OwnerUnreachableError) tracker?.onOwnersSilent(now);
    if (isInstanceFault(pinned, error)) pinned.target.pool.load.recordFailure(now);
  }

  /** Whether slow start allows a command to be sent now. For a relayed connection, the connection owner checks this. */
  private canSend(pinned: PinnedConnection, { kind }: InstanceCommand): boolean {
    const isCounted = kind === 'data' || kind === 'commit';
    if (pinned.pooled.isRelayed || !isCounted) return true;
    // Open transactions take precedence over new requests, so that they can end.
    const hasPrecedence = pinned.isUrgent || pinned.inTransaction;
    return this.context.instances.admit(pinned.target.instance, hasPrecedence);
  }

  /** Updates the load of the instance from an answer, and health and position of a primary. */
  private reportAnswer(
    pinned: PinnedConnection,
    answer: InstanceAnswer,
    snapshot: RequestSnapshot,
    isTimed: boolean,
  ): void {
    const { primaryEpoch: epoch, pool } = pinned.target;
    const now = this.context.clock.now();
    if (answer.position) pool.load.recordPosition(answer.position);
    if (answer.error?.kind === 'lagging') pool.load.recordLagging(now);
    if (answer.error?.kind === 'busy') pool.recordBusy(pinned.pooled);
    if (isTimed && !answer.error) {
      pool.load.recordAnswer(now - snapshot.at, now);
      pool.recordServed(pinned.pooled);
    }
    if (answer.error && INSTANCE_FAILURE_KINDS.has(answer.error.kind)) pool.load.recordRefusal(now);
    if (epoch !== undefined) this.reportPrimaryAnswer(pinned, epoch, answer, snapshot);
  }

  /** Updates health and position of the primary of an epoch from its answer. */
  private reportPrimaryAnswer(
    { target: { group }, pooled }: PinnedConnection,
    epoch: number,
    { error, position }: InstanceAnswer,
    snapshot: RequestSnapshot,
  ): void {
    const { clock, leases, primaryHealth, positions } = this.context;
    const now = clock.now();
    if (error?.kind === 'readOnly' && !pooled.isRelayed) {
      primaryHealth.of(group, epoch).onFailure(PrimaryHealth.NOT_PRIMARY, now);
    } else if (position && leases.accepts(group, epoch, now)) {
      if (distrustShorterLog(this.context, { group, epoch }, position, snapshot.knownPosition))
        return;
      positions.recordFromPrimary(group, epoch, snapshot.at, position);
    }
  }
}

/**
 * Whether a failure counts against the instance. On a relayed connection, failures of the connection owner and failures before
 * the statement was sent do not.
 */
function isInstanceFault({ pooled }: PinnedConnection, error: unknown): boolean {
  if (!pooled.isRelayed) return true;
  const isOwnerFailure = error instanceof OwnerUnreachableError;
  return !isOwnerFailure && error instanceof BackendConnectionLostError && error.sent;
}

/** Answer on behalf of a cold instance to which nothing was sent; an open transaction fails. */
export function slowStartAnswer({ instance }: Target, inTransaction: boolean): InstanceAnswer {
  const error = { kind: 'slowStart' as const, text: instance };
  return { rows: [], signature: '', error, state: inTransaction ? 'failed' : 'idle' };
}

/** The session could not be loaded; the connection, whose state is unknown, is closed. */
function notLoaded({ pooled }: PinnedConnection): NotRunAttempt {
  pooled.connection.close();
  return { outcome: 'notRun', cause: { kind: 'sessionNotLoaded' } };
}

/** Answer in place of the instance's to a command that can't be sent. */
function unsendableAnswer({ message }: Error, inTransaction: boolean): InstanceAnswer {
  const error = { kind: 'malformed' as const, text: message };
  return { rows: [], signature: '', error, state: inTransaction ? 'failed' : 'idle' };
}

/** Outcome of an attempt whose connection failed. */
function failedAttempt(reason: unknown): Attempt {
  const message = reason instanceof Error ? reason.message : 'connection lost';
  const wasSent = !(reason instanceof BackendConnectionLostError) || reason.sent;
  return { outcome: wasSent ? 'lost' : 'notRun', cause: { kind: 'connectionLost', message } };
}

/** Whether a command may change data. */
function isWrite(command: InstanceCommand): boolean {
  if (command.kind !== 'data') return false;
  const { statement } = command;
  return (
    statement.kind === 'write' ||
    (statement.kind === 'execute' && statement.prepared.access === 'write')
  );
}
