/**
 * Runs statements on instances: takes a connection, loads the session onto it, runs the statement, and reports to the
 * proxy what the answer tells of the instance.
 *
 * Owns: which errors promise that a statement did not run.
 * Relies on: the target's pool (it may have no connection: AcquireError) and the connection (it may break, or its answer
 * may come too late: the attempt is then `lost`, or `notRun` if nothing had been sent).
 */
import { BackendConnectionLostError, OwnerUnreachableError } from '../../errors/errors.js';
import { whinyoke } from '../../protocol/generated/messages.js';
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
import { distrustShorterLog } from '../trust/primary_incarnation.js';
import type { Target } from '../routing/target_planner.js';

const { PrimaryHealth } = whinyoke;

/** Errors that promise that the statement did not run at the instance. */
const NOT_RUN_KINDS: ReadonlySet<InstanceErrorKind> = new Set<InstanceErrorKind>([
  'busy',
  'unknownName',
  'lagging',
  'readOnly',
  'wrongInstance',
  'connectionLimit',
  'slowStart',
]);

/** Errors that count as failures of the instance; others are due to the request or to a replica's lag. */
const INSTANCE_FAILURE_KINDS: ReadonlySet<InstanceErrorKind> = new Set<InstanceErrorKind>([
  'busy',
  'failed',
  'timeout',
  'other',
]);

/** Failures to get a connection that are due to load or to an operator; the instance is not avoided for them. */
const LOAD_FAILURES: ReadonlySet<AcquireFailure> = new Set<AcquireFailure>([
  'timeout',
  'full',
  'displaced',
  'evacuated',
  'slowStart',
]);

/** Whether an error promises that the statement did not run. */
export function isNotRun(kind: InstanceErrorKind): boolean {
  return NOT_RUN_KINDS.has(kind);
}

/** A connection that is held for a session. */
export interface PinnedConnection {
  /** Instance that it leads to. */
  readonly target: Target;
  /** The connection. */
  readonly pooled: PooledConnection;
  /** Whether its requests may use what the rate of a cold instance leaves to urgent ones. */
  readonly isUrgent: boolean;
  /** Whether a transaction has begun on it. */
  inTransaction: boolean;
}

/** When an instance was asked, and what was known of it then. */
interface RequestSnapshot {
  readonly at: number;
  /** Newest position that it had told as the primary of its epoch. */
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
  /** The statement may have run. */
  | { readonly outcome: 'lost'; readonly cause: AttemptFailure };

/** Runner of one process. */
export class StatementRunner {
  constructor(private readonly context: ProxyContext) {}

  /** Takes a connection to a target. @throws AcquireError when none could be had in time */
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

  /** Refuses a request at once that a cold instance could not be sent; the system's own go there as to any. */
  private reserveSlowStart(
    { instance }: Target,
    { tenant, priority }: ConnectionRequest,
  ): CancelReservation | undefined {
    if (tenant === undefined) return undefined;
    const cancelReservation = this.context.instances.enter(instance, isUrgentPriority(priority));
    if (!cancelReservation) throw new AcquireError('slowStart');
    return cancelReservation;
  }

  /** Gives a connection back after an answer that left it idle; closes it otherwise. */
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
   * Loads the session and runs a command, all sent at once. The connection stays held; a lost one is closed
   * already.
   */
  async attempt(
    pinned: PinnedConnection,
    content: SessionContent,
    command: InstanceCommand,
    timeoutMs: number,
  ): Promise<Attempt> {
    const loading = loadingCommands(pinned.pooled, content).map((loadingCommand) =>
      this.load(pinned, loadingCommand, timeoutMs),
    );
    const running = this.exchange(pinned, command, timeoutMs);
    const [loaded, [result]] = await Promise.all([
      Promise.all(loading),
      Promise.allSettled([running]),
    ]);
    if (result.status === 'rejected') return failedAttempt(result.reason);
    const { value: answer } = result;
    if (loaded.every((isLoaded) => isLoaded)) return { outcome: 'answered', answer };
    // The statement met a session other than the caller's.
    pinned.pooled.connection.close();
    const cause = { kind: 'sessionNotLoaded' as const };
    const isHarmless = answer.error !== undefined && isNotRun(answer.error.kind);
    return { outcome: isHarmless ? 'notRun' : 'lost', cause };
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
      // Nothing is lost: the statement was sent on the same connection and fails with the same reason, which is reported.
      return false;
    }
  }

  /** Runs one command on a held connection and reports what its answer tells of the instance. */
  async exchange(
    pinned: PinnedConnection,
    command: InstanceCommand,
    timeoutMs: number,
  ): Promise<InstanceAnswer> {
    const { clock } = this.context;
    const { target, pooled } = pinned;
    const { load } = target.pool;
    const { group, primaryEpoch: epoch } = target;
    // Nothing may be awaited between this check and the sending: the request is counted in the window of this very moment.
    if (!this.canSend(pinned, command)) return slowStartAnswer(pinned.target, pinned.inTransaction);
    const sentAt = clock.now();
    const knownPosition = this.context.positions.minimumPositionOf(group).highestInEpoch(epoch);
    const snapshot = { at: sentAt, knownPosition };
    const tracker = epoch === undefined ? undefined : this.context.primaryHealth.of(group, epoch);
    const mayCommit = command.kind === 'commit' || isWrite(command);
    const onEnded = pooled.isRelayed ? undefined : tracker?.onStatementSent(mayCommit, sentAt);
    load.outstanding++;
    try {
      const answer = await pooled.connection.run(command, timeoutMs);
      const now = clock.now();
      onEnded?.(true, now);
      if (pooled.isRelayed) tracker?.onOwnerAnswered();
      this.reportAnswer(pinned, answer, snapshot, command.kind === 'data');
      if (command.kind === 'begin' && !answer.error) pinned.inTransaction = true;
      return answer;
    } catch (error) {
      onEnded?.(false, clock.now());
      if (error instanceof OwnerUnreachableError) tracker?.onOwnersSilent(clock.now());
      if (isInstanceFault(pinned, error)) load.recordFailure(clock.now());
      throw error;
    } finally {
      load.outstanding--;
    }
  }

  /** Whether a command may be sent here and now; its relay asks where it does not leave this process's own connections. */
  private canSend(pinned: PinnedConnection, { kind }: InstanceCommand): boolean {
    const isCounted = kind === 'data' || kind === 'commit';
    if (pinned.pooled.isRelayed || !isCounted) return true;
    // A transaction that has begun should end: it goes before requests that begin.
    const hasPrecedence = pinned.isUrgent || pinned.inTransaction;
    return this.context.instances.admit(pinned.target.instance, hasPrecedence);
  }

  /** Reports an answer to the load of the instance, and, from a primary, to trust and positions. */
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

  /** Reports what an answer of the primary of an epoch tells of it. */
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
 * Whether a failure is the instance's. On a relayed connection, a failure of the connection owner is not, nor is one before
 * the statement was sent.
 */
function isInstanceFault({ pooled }: PinnedConnection, error: unknown): boolean {
  if (!pooled.isRelayed) return true;
  const isOwnerFailure = error instanceof OwnerUnreachableError;
  return !isOwnerFailure && error instanceof BackendConnectionLostError && error.sent;
}

/** Answer in place of a cold instance's: nothing was sent. A transaction can't go on then. */
export function slowStartAnswer({ instance }: Target, inTransaction: boolean): InstanceAnswer {
  const error = { kind: 'slowStart' as const, text: instance };
  return { rows: [], signature: '', error, state: inTransaction ? 'failed' : 'idle' };
}

/** How an attempt ended whose connection failed. */
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
