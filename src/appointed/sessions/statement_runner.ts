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
import { type SessionContent, loadingSteps, recordLoaded } from './session_loader.js';
import type { InstanceCommand } from '../instance/statement.js';
import type { EndWait } from '../placement/slow_start_gate.js';
import { isUrgent } from '../placement/slow_start_budget.js';
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
const FAILING_KINDS: ReadonlySet<InstanceErrorKind> = new Set<InstanceErrorKind>([
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
export interface HeldConnection {
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
interface Asked {
  readonly at: number;
  /** Newest position that it had told as the primary of its epoch. */
  readonly known: Position | undefined;
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
  async hold(
    target: Target,
    request: ConnectionRequest,
    timeoutMs: number,
  ): Promise<HeldConnection> {
    const { load } = target.pool;
    const endWait = this.enter(target, request);
    load.outstanding++;
    try {
      const pooled = await target.pool.acquire(request, timeoutMs);
      return { target, pooled, isUrgent: isUrgent(request.priority), inTransaction: false };
    } catch (error) {
      if (error instanceof AcquireError && !LOAD_FAILURES.has(error.failure)) {
        load.noteFailure(this.context.clock.now());
      }
      throw error;
    } finally {
      load.outstanding--;
      endWait?.();
    }
  }

  /** Refuses a request at once that a cold instance could not be sent; the system's own go there as to any. */
  private enter(
    { instance }: Target,
    { tenant, priority }: ConnectionRequest,
  ): EndWait | undefined {
    if (tenant === undefined) return undefined;
    const endWait = this.context.instances.enter(instance, isUrgent(priority));
    if (!endWait) throw new AcquireError('slowStart');
    return endWait;
  }

  /** Gives a connection back after an answer that left it idle; closes it otherwise. */
  release(held: HeldConnection, answer?: InstanceAnswer): void {
    const { pool } = held.target;
    const isClean = answer === undefined || answer.state === 'idle';
    if (isClean && !held.pooled.connection.closed) pool.release(held.pooled);
    else pool.discard(held.pooled);
  }

  /** Closes a connection in an unknown state. */
  discard(held: HeldConnection): void {
    held.target.pool.discard(held.pooled);
  }

  /**
   * Loads the session and runs a command, all sent at once. The connection stays held; a lost one is closed
   * already.
   */
  async attempt(
    held: HeldConnection,
    content: SessionContent,
    command: InstanceCommand,
    timeoutMs: number,
  ): Promise<Attempt> {
    const loading = loadingSteps(held.pooled, content).map((step) =>
      this.load(held, step, timeoutMs),
    );
    const running = this.exchange(held, command, timeoutMs);
    const [loaded, [result]] = await Promise.all([
      Promise.all(loading),
      Promise.allSettled([running]),
    ]);
    if (result.status === 'rejected') return failedAttempt(result.reason);
    const { value: answer } = result;
    if (loaded.every((isLoaded) => isLoaded)) return { outcome: 'answered', answer };
    // The statement met a session other than the caller's.
    held.pooled.connection.close();
    const cause = { kind: 'sessionNotLoaded' as const };
    const isHarmless = answer.error !== undefined && isNotRun(answer.error.kind);
    return { outcome: isHarmless ? 'notRun' : 'lost', cause };
  }

  private async load(
    held: HeldConnection,
    step: InstanceCommand,
    timeoutMs: number,
  ): Promise<boolean> {
    try {
      const answer = await this.exchange(held, step, timeoutMs);
      if (answer.error) return false;
      recordLoaded(held.pooled, step);
      return true;
    } catch {
      // Nothing is lost: the statement was sent on the same connection and fails with the same reason, which is reported.
      return false;
    }
  }

  /** Runs one command on a held connection and reports what its answer tells of the instance. */
  async exchange(
    held: HeldConnection,
    command: InstanceCommand,
    timeoutMs: number,
  ): Promise<InstanceAnswer> {
    const { clock } = this.context;
    const { target, pooled } = held;
    const { load } = target.pool;
    const { group, primaryEpoch: epoch } = target;
    // Nothing may be awaited between this check and the sending: the request is counted in the window of this very moment.
    if (!this.maySend(held, command)) return slowStartAnswer(held.target, held.inTransaction);
    const sentAt = clock.now();
    const known = this.context.positions.minimumPositionOf(group).highestOf(epoch);
    const asked = { at: sentAt, known };
    const tracker = epoch === undefined ? undefined : this.context.primaryHealth.of(group, epoch);
    const mayCommit = command.kind === 'commit' || isWrite(command);
    const ended = pooled.isRelayed ? undefined : tracker?.started(mayCommit, sentAt);
    load.outstanding++;
    try {
      const answer = await pooled.connection.run(command, timeoutMs);
      const now = clock.now();
      ended?.(true, now);
      if (pooled.isRelayed) tracker?.ownerAnswered();
      this.reportAnswer(held, answer, asked, command.kind === 'data');
      if (command.kind === 'begin' && !answer.error) held.inTransaction = true;
      return answer;
    } catch (error) {
      ended?.(false, clock.now());
      if (error instanceof OwnerUnreachableError) tracker?.ownersSilent(clock.now());
      if (isInstanceFault(held, error)) load.noteFailure(clock.now());
      throw error;
    } finally {
      load.outstanding--;
    }
  }

  /** Whether a command may be sent here and now; its relay asks where it does not leave this process's own connections. */
  private maySend(held: HeldConnection, { kind }: InstanceCommand): boolean {
    const isCounted = kind === 'data' || kind === 'commit';
    if (held.pooled.isRelayed || !isCounted) return true;
    // A transaction that has begun should end: it goes before requests that begin.
    const goesFirst = held.isUrgent || held.inTransaction;
    return this.context.instances.admit(held.target.instance, goesFirst);
  }

  /** Reports an answer to the load of the instance, and, from a primary, to trust and positions. */
  private reportAnswer(
    held: HeldConnection,
    answer: InstanceAnswer,
    asked: Asked,
    isTimed: boolean,
  ): void {
    const { primaryEpoch: epoch, pool } = held.target;
    const now = this.context.clock.now();
    if (answer.position) pool.load.notePosition(answer.position);
    if (answer.error?.kind === 'lagging') pool.load.noteLagging(now);
    if (answer.error?.kind === 'busy') pool.noteBusy(held.pooled);
    if (isTimed && !answer.error) {
      pool.load.noteAnswer(now - asked.at, now);
      pool.noteServed(held.pooled);
    }
    if (answer.error && FAILING_KINDS.has(answer.error.kind)) pool.load.noteRefusal(now);
    if (epoch !== undefined) this.reportPrimary(held, epoch, answer, asked);
  }

  /** Reports what an answer of the primary of an epoch tells of it. */
  private reportPrimary(
    { target: { group }, pooled }: HeldConnection,
    epoch: number,
    { error, position }: InstanceAnswer,
    asked: Asked,
  ): void {
    const { clock, leases, primaryHealth, positions } = this.context;
    const now = clock.now();
    if (error?.kind === 'readOnly' && !pooled.isRelayed) {
      primaryHealth.of(group, epoch).failed(PrimaryHealth.NOT_PRIMARY, now);
    } else if (position && leases.accepts(group, epoch, now)) {
      if (distrustShorterLog(this.context, { group, epoch }, position, asked.known)) return;
      positions.recordFromPrimary(group, epoch, asked.at, position);
    }
  }
}

/**
 * Whether a failure is the instance's. On a relayed connection, a failure of the connection owner is not, nor is one before
 * the statement was sent.
 */
function isInstanceFault({ pooled }: HeldConnection, error: unknown): boolean {
  if (!pooled.isRelayed) return true;
  const isOfOwner = error instanceof OwnerUnreachableError;
  return !isOfOwner && error instanceof BackendConnectionLostError && error.sent;
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
