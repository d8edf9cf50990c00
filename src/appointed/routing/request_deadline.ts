/**
 * How long a request waits, for what, and when it is given up.
 *
 * Situation: an instance, a primary or control may answer late or never, while the caller could be served elsewhere.
 * Inputs: the route's `timeout_ms` (the statement must be over) and `target_latency_ms` (the objective of the operation),
 * the time since the request arrived, and the slow-answer threshold of an instance; all in milliseconds.
 * Rule, in the order in which a read waits; each limit counts from the arrival of the request, unless said:
 *
 * 1. for an operation within the tenant's limit: `offerRemaining`;
 * 2. for the first positions after a start: see `awaitFloor` of the proxy (50 ms after the start of the process);
 * 3. for a trusted primary, where no replica may serve it: `primaryWait`;
 * 4. for a connection: `connectionWait`, a part of `offerRemaining` for each instance that is left;
 * 5. for an answer: `readAnswerTimeout`, from the moment the statement is sent;
 * 6. between two rounds over the instances: retry_pause.ts;
 * 7. it is refused once `allowsRetry` is false, or when less than MINIMUM_ATTEMPT_MS is left of the time-out.
 *
 * Writes wait in the same way, but for an answer until the time-out. Statements of a transaction have `statementTimeout`.
 * Relies on the clock of this process only.
 */
import type { Clock } from '../../runtime/runtime.js';
import type { Route } from '../catalog/route_table.js';
import { EXPECTED_PRIMARY_CHANGE_MS } from './retry_after.js';

/**
 * Fraction of the target latency that a request waits without being offered to an instance. 0.7 was tried: 0.720 → 0.714
 * over four days (docs/measurements/pieraksts.md).
 */
const FIRST_ATTEMPT_WAIT_FRACTION = 0.4;
/**
 * Fraction of the target latency that a request waits for a lease: a proxy without one has been cut off from control for
 * seconds, and hardly regains it just then; refused early, the caller can try elsewhere. Set together with two other
 * changes: score of a day with faults 0.618 → 0.632 (docs/measurements/pieraksts.md).
 */
const LEASE_WAIT_FRACTION = 0.2;
/** Both waits above last so long at least, in milliseconds. Guess, not measured. */
const MIN_FIRST_ATTEMPT_WAIT_MS = 20;
/**
 * Fraction of the time-out after which a request that could come back later is refused. Guess, not measured by itself; as
 * the limit of the wait at connection owners it was played against OFFER_FRACTION at different load
 * (docs/design/shifted-work.md).
 */
const RETRY_TIMEOUT_FRACTION = 0.6;
/** An attempt for which less time is left is not begun, in milliseconds. Guess, not measured. */
const MIN_ATTEMPT_MS = 5;
/** Fraction of the target latency that each attempt of a read gets at least. Guess, not measured. */
const MIN_READ_TIMEOUT_FRACTION = 0.4;
/** Fraction of the target latency that each statement of a transaction gets at least. Guess, not measured. */
const MIN_STATEMENT_TIMEOUT_FRACTION = 0.6;
/**
 * Time for the answer to a ROLLBACK, in milliseconds; its caller does not wait for it. After it the connection is closed.
 * Guess, not measured.
 */
export const ROLLBACK_TIMEOUT_MS = 1000;

/** Limits of one request, on the clock of this process. */
export class RequestDeadline {
  /** When the request arrived. */
  readonly arrivedAt: number;

  constructor(
    private readonly clock: Clock,
    readonly route: Route,
  ) {
    this.arrivedAt = clock.now();
  }

  /** Milliseconds since the request arrived. */
  get elapsedMs(): number {
    return this.clock.now() - this.arrivedAt;
  }

  /** Milliseconds until the statement must be over. */
  get remainingMs(): number {
    return this.route.timeoutMs - this.elapsedMs;
  }

  /** Milliseconds within which an answer meets the objective; negative when it is missed. */
  get objectiveRemainingMs(): number {
    return this.route.targetLatencyMs - this.elapsedMs;
  }

  /** Milliseconds that the request may still wait for a grant or for a first instance. */
  get firstAttemptRemainingMs(): number {
    return this.remainingOfTargetMs(FIRST_ATTEMPT_WAIT_FRACTION);
  }

  /** Whether enough time is left to begin an attempt. */
  get allowsAttempt(): boolean {
    return this.remainingMs > MIN_ATTEMPT_MS;
  }

  /**
   * Whether another attempt is worth while. A request that no instance was offered is refused early, so that
   * its caller can go elsewhere.
   */
  allowsRetry(wasSent: boolean): boolean {
    return wasSent ? this.retryRemainingMs > 0 : this.firstAttemptRemainingMs > 0;
  }

  /**
   * Milliseconds that the request may wait for a trusted primary from now on. A change that should end before the request
   * is given up is waited for.
   * @param changeAgeMs - how long a change of primary has been under way; undefined when there is none
   */
  primaryWaitMs(changeAgeMs: number | undefined): number {
    if (changeAgeMs === undefined) return this.remainingOfTargetMs(LEASE_WAIT_FRACTION);
    const endsBeforeRetryLimit = EXPECTED_PRIMARY_CHANGE_MS - changeAgeMs < this.retryRemainingMs;
    return endsBeforeRetryLimit ? this.retryRemainingMs : this.firstAttemptRemainingMs;
  }

  /**
   * Milliseconds that a statement may wait for a connection to one instance. A connection owner knows its queue and refuses
   * at once a statement that it would serve too late, so at the only instance that is left the wait there may be long.
   * @param queuesAtOwner - whether statements of all proxies queue at few connection owners
   * @param targetsLeft - instances that are left to try, this one included
   */
  connectionWaitMs(queuesAtOwner: boolean, remainingTargets = 1): number {
    return Math.max(MIN_ATTEMPT_MS, this.connectionWaitLimitMs(queuesAtOwner, remainingTargets));
  }

  /**
   * Milliseconds for an instance's answer to a read. A later answer is most likely lost, so another instance is tried.
   * Where there is none, it is waited for until the request is given up.
   * @param slowAnswerMs - slow-answer threshold of the instance
   */
  readAnswerTimeoutMs(slowAnswerMs: number, isLastTarget: boolean): number {
    const usualMs = Math.max(slowAnswerMs, this.route.targetLatencyMs * MIN_READ_TIMEOUT_FRACTION);
    const limitMs = isLastTarget ? Math.max(usualMs, this.retryRemainingMs) : usualMs;
    return Math.min(this.remainingMs, limitMs);
  }

  /**
   * Milliseconds for an instance's answer to a statement of a transaction, if that much is left. A later answer is most
   * likely lost; nothing is kept then, so the caller may begin again at once.
   * @param slowAnswerMs - slow-answer threshold of the instance
   */
  statementTimeoutMs(slowAnswerMs: number): number {
    return Math.max(slowAnswerMs, this.route.targetLatencyMs * MIN_STATEMENT_TIMEOUT_FRACTION);
  }

  private connectionWaitLimitMs(queuesAtOwner: boolean, remainingTargets: number): number {
    if (remainingTargets > 1) return this.firstAttemptRemainingMs / remainingTargets;
    return queuesAtOwner ? this.retryRemainingMs : this.firstAttemptRemainingMs;
  }

  /** Milliseconds in which another attempt is worth while. */
  private get retryRemainingMs(): number {
    return this.route.timeoutMs * RETRY_TIMEOUT_FRACTION - this.elapsedMs;
  }

  private remainingOfTargetMs(fraction: number): number {
    const limitMs = Math.max(MIN_FIRST_ATTEMPT_WAIT_MS, this.route.targetLatencyMs * fraction);
    return Math.min(limitMs, this.route.timeoutMs) - this.elapsedMs;
  }
}
