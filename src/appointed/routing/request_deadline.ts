/**
 * Time limits of one request: how long it waits for each resource, and when it is refused instead of retried.
 *
 * The limits derive from the route's `timeout_ms` (end of the statement) and `target_latency_ms` (latency objective of the
 * operation), so that a request that one instance can't serve in time is sent to another instance, or refused early enough for
 * the caller to retry elsewhere. They count from the arrival of the request unless stated otherwise. A read waits, in this order:
 *
 * 1. for an operation of the tenant's limit: `firstAttemptRemainingMs`;
 * 2. for the first positions after the start of the process: `awaitMinimumPosition` of the proxy;
 * 3. for a trusted primary, if no replica may serve the read: `primaryWaitMs`;
 * 4. for a connection: `connectionWaitMs`, divided among the remaining instances;
 * 5. for an answer: `readAnswerTimeoutMs`, counted from when the statement is sent;
 * 6. between two rounds over all instances: retry_backoff.ts.
 *
 * No wait lasts longer than the shutdown of the process. It is refused once `allowsRetry` or `allowsAttempt` is false. Writes wait in the same order, but for an answer until the
 * timeout. Statements of a transaction wait for `statementTimeoutMs`.
 */
import type { Clock } from '../../runtime/runtime.js';
import type { Route } from '../catalog/route_table.js';
import type { ShutdownDeadline } from './shutdown_deadline.js';
import { EXPECTED_PRIMARY_CHANGE_MS } from './retry_after.js';

/** Fraction of the target latency that a request may wait before it is first sent to an instance. */
const FIRST_ATTEMPT_WAIT_FRACTION = 0.4;
/**
 * Fraction of the target latency that a request may wait for a lease on the primary. It is short because a proxy without a
 * lease has been partitioned from control for seconds; after an early refusal the caller can use another proxy.
 */
const LEASE_WAIT_FRACTION = 0.2;
/** Lower bound of both waits above. */
const MIN_FIRST_ATTEMPT_WAIT_MS = 20;
/** Fraction of the timeout after which a request is refused instead of retried. */
const RETRY_TIMEOUT_FRACTION = 0.6;
/** An attempt is not started with less time than this until the timeout. */
const MIN_ATTEMPT_MS = 5;
/** Lower bound of the answer timeout of a read, as a fraction of the target latency. */
const MIN_READ_TIMEOUT_FRACTION = 0.4;
/** Lower bound of the answer timeout of a statement in a transaction, as a fraction of the target latency. */
const MIN_STATEMENT_TIMEOUT_FRACTION = 0.6;
/** Timeout of a ROLLBACK, which runs in the background; afterwards the connection is closed. */
export const ROLLBACK_TIMEOUT_MS = 1000;

const NO_SHUTDOWN = { remainingMs: Infinity };

/** Time limits of one request on the clock of this process. */
export class RequestDeadline {
  /** When the request arrived. */
  readonly arrivedAt: number;

  constructor(
    private readonly clock: Clock,
    readonly route: Route,
    private readonly shutdown: Pick<ShutdownDeadline, 'remainingMs'> = NO_SHUTDOWN,
  ) {
    this.arrivedAt = clock.now();
  }

  /** Milliseconds since the request arrived. */
  get elapsedMs(): number {
    return this.clock.now() - this.arrivedAt;
  }

  /** Milliseconds until the timeout of the statement, or until the process ends. */
  get remainingMs(): number {
    return this.limit(this.route.timeoutMs - this.elapsedMs);
  }

  /** Milliseconds until the latency objective is missed; negative afterwards. */
  get objectiveRemainingMs(): number {
    return this.route.targetLatencyMs - this.elapsedMs;
  }

  /** Milliseconds that the request may still wait before it is first sent to an instance. */
  get firstAttemptRemainingMs(): number {
    return this.remainingOfTargetMs(FIRST_ATTEMPT_WAIT_FRACTION);
  }

  /** Whether enough time is left to start an attempt. */
  get allowsAttempt(): boolean {
    return this.remainingMs > MIN_ATTEMPT_MS;
  }

  /**
   * Whether the request should be retried rather than refused.
   * @param wasSent - whether an instance has received it; otherwise it is refused early, so that its caller can use another
   *   proxy
   */
  allowsRetry(wasSent: boolean): boolean {
    return wasSent ? this.retryRemainingMs > 0 : this.firstAttemptRemainingMs > 0;
  }

  /**
   * Milliseconds that the request may wait for a trusted primary from now on. It waits for a change of primary that is
   * expected to end before the retry limit.
   * @param changeAgeMs - how long a change of primary has been in progress; undefined if there is none
   */
  primaryWaitMs(changeAgeMs: number | undefined): number {
    if (changeAgeMs === undefined) return this.remainingOfTargetMs(LEASE_WAIT_FRACTION);
    const endsBeforeRetryLimit = EXPECTED_PRIMARY_CHANGE_MS - changeAgeMs < this.retryRemainingMs;
    return endsBeforeRetryLimit ? this.retryRemainingMs : this.firstAttemptRemainingMs;
  }

  /**
   * Milliseconds that a statement may wait for a connection to one instance. If it queues at a connection owner, the wait for
   * the last remaining instance may be long: the owner knows its queue and immediately refuses what it would serve too late.
   * @param queuesAtOwner - whether statements of all proxies queue at a few connection owners
   * @param remainingTargets - instances left to try, including this one
   */
  connectionWaitMs(queuesAtOwner: boolean, remainingTargets = 1): number {
    return Math.max(MIN_ATTEMPT_MS, this.connectionWaitLimitMs(queuesAtOwner, remainingTargets));
  }

  /**
   * Milliseconds to wait for the answer to a read before another instance is tried. The last instance gets until the retry
   * limit.
   * @param slowAnswerMs - slow-answer threshold of the instance
   * @param isLastTarget - whether no other instance is left to try
   */
  readAnswerTimeoutMs(slowAnswerMs: number, isLastTarget: boolean): number {
    const usualMs = Math.max(slowAnswerMs, this.route.targetLatencyMs * MIN_READ_TIMEOUT_FRACTION);
    const limitMs = isLastTarget ? Math.max(usualMs, this.retryRemainingMs) : usualMs;
    return Math.min(this.remainingMs, limitMs);
  }

  /**
   * Milliseconds to wait for the answer to a statement of a transaction. After a timeout the transaction is rolled back, so
   * the caller can start it again immediately.
   * @param slowAnswerMs - slow-answer threshold of the instance
   */
  statementTimeoutMs(slowAnswerMs: number): number {
    return Math.max(slowAnswerMs, this.route.targetLatencyMs * MIN_STATEMENT_TIMEOUT_FRACTION);
  }

  private connectionWaitLimitMs(queuesAtOwner: boolean, remainingTargets: number): number {
    if (remainingTargets > 1) return this.firstAttemptRemainingMs / remainingTargets;
    return queuesAtOwner ? this.retryRemainingMs : this.firstAttemptRemainingMs;
  }

  /** Milliseconds until the request is refused instead of retried. */
  private get retryRemainingMs(): number {
    return this.limit(this.route.timeoutMs * RETRY_TIMEOUT_FRACTION - this.elapsedMs);
  }

  private remainingOfTargetMs(fraction: number): number {
    const limitMs = Math.max(MIN_FIRST_ATTEMPT_WAIT_MS, this.route.targetLatencyMs * fraction);
    return this.limit(Math.min(limitMs, this.route.timeoutMs) - this.elapsedMs);
  }

  private limit(remainingMs: number): number {
    return Math.min(remainingMs, this.shutdown.remainingMs);
  }
}
