/** Writes outside a transaction: found primary, run, confirmed. */
import type { BackendConnection } from '../backend/backend.js';
import type { Completion, ResultSink } from '../wire/result.js';
import {
  BackendConnectionLostError,
  DatabaseError,
  ErrorCode,
  RequestError,
  mayHaveRun,
  messageOf,
  notRun,
} from '../../errors/errors.js';
import { Priority } from '../pool/slot_queue.js';
import { delay } from '../../runtime/runtime.js';
import { newestPosition } from '../topology/gtid.js';
import { MAXIMUM_WRITE_ATTEMPTS, RetryAfterMs, pauseBeforeRetry } from '../routing/retry_policy.js';
import type { GroupGateway } from './group_gateway.js';
import { runOnce } from './once_key.js';
import type { StatementOutcome, StatementRequest } from './statement_request.js';
import { executeWithTimeout, isRefusal, withConnection } from './slot_execution.js';

/** The outcome could not be learned, though the statement was sent. */
const OUTCOME_UNKNOWN = 'The outcome of the statement is unknown';

/** Priority of a write. */
export function writePriority(request: StatementRequest): Priority {
  return request.onceKey === undefined ? Priority.write : Priority.marked;
}

/** Whether the error proves that nothing ran. */
export function provesNotRun(error: unknown): boolean {
  if (error instanceof BackendConnectionLostError) return !error.sent;
  return error instanceof DatabaseError && isRefusal(error.code);
}

/** Waits before the next try of a write or of a begin. */
export function pause(gateway: GroupGateway, attempt: number): Promise<void> {
  const { clock, random } = gateway.runtime;
  return delay(clock, pauseBeforeRetry(attempt, random.next()));
}

/** The error for a caller whose statement failed on an instance. */
function writeError(gateway: GroupGateway, error: unknown): unknown {
  if (error instanceof RequestError) return error;
  if (provesNotRun(error))
    return notRun(messageOf(error), ErrorCode.unavailable, RetryAfterMs.writeNotRun);
  if (error instanceof DatabaseError) return error;
  return unknownOutcome(gateway, messageOf(error));
}

/** Verdict for a statement whose outcome can't be learned. */
export function unknownOutcome(gateway: GroupGateway, reason: string): RequestError {
  if (!gateway.options.protections.isOn('verdict')) {
    return notRun(reason, ErrorCode.unavailable, RetryAfterMs.writeNotRun);
  }
  return mayHaveRun(`${OUTCOME_UNKNOWN}: ${reason}`);
}

/** Adds commit evidence to a completed write on the primary. */
export async function confirmWrite(
  gateway: GroupGateway,
  primary: string,
  completion: Completion,
): Promise<StatementOutcome> {
  if (completion.gtid === undefined) {
    // Nothing to confirm by itself: a repeated once key, a change of schema, or no row that matched.
    const visible = await gateway.confirmVisible(primary);
    if (!visible) throw unknownOutcome(gateway, 'the primary may have been replaced');
    return { completion, position: visible };
  }
  const position = newestPosition(completion.gtid);
  const outcome = await gateway.confirmCommit(position);
  if (outcome !== 'confirmed') {
    throw unknownOutcome(gateway, `no majority holds the commit (${outcome})`);
  }
  return { completion, position };
}

async function attemptWrite(
  gateway: GroupGateway,
  primary: string,
  request: StatementRequest,
  sink: ResultSink,
): Promise<StatementOutcome> {
  const execute = (connection: BackendConnection): Promise<Completion> => {
    const { onceKey } = request;
    const usesKey = onceKey !== undefined && gateway.options.protections.isOn('once-key');
    if (usesKey) return runOnce(gateway, connection, onceKey, request.sql, sink);
    return executeWithTimeout(gateway, connection, request.sql, sink);
  };
  const priority = writePriority(request);
  const completion = await withConnection(gateway, primary, priority, execute);
  if (completion.inTransaction) {
    throw unknownOutcome(gateway, 'it left a transaction open, which was rolled back');
  }
  return confirmWrite(gateway, primary, completion);
}

/** Whether another attempt can't make the statement run twice. */
function mayRetry(request: StatementRequest, error: unknown): boolean {
  if (provesNotRun(error)) return true;
  if (request.onceKey === undefined) return false;
  const isUnknown = error instanceof RequestError && error.verdict === 'may_have_run';
  return isUnknown || error instanceof BackendConnectionLostError;
}

/** Runs a write outside a transaction. */
export async function runWrite(
  gateway: GroupGateway,
  request: StatementRequest,
  sink: ResultSink,
): Promise<StatementOutcome> {
  const { clock } = gateway.runtime;
  const deadline = clock.now() + gateway.configuration.failover.buffer_ms;
  let lastError: unknown;
  let mayHaveRunBefore = false;
  gateway.retryBudget.earn();
  for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
    const primary = await gateway.waitForPrimary(Math.max(0, deadline - clock.now()));
    if (primary === undefined) break;
    try {
      return await attemptWrite(gateway, primary, request, sink);
    } catch (error) {
      lastError = error;
      const canRetry = mayRetry(request, error) && clock.now() < deadline && !gateway.isEnded;
      if (!canRetry || !gateway.retryBudget.spend()) break;
      mayHaveRunBefore ||= !provesNotRun(error);
      gateway.counters.retries++;
      await pause(gateway, attempt);
    }
  }
  const error =
    lastError === undefined
      ? notRun('No primary is available', ErrorCode.unavailable, RetryAfterMs.noPrimary)
      : writeError(gateway, lastError);
  // An earlier attempt may have run, whatever became of the last one.
  throw mayHaveRunBefore ? unknownOutcome(gateway, messageOf(error)) : error;
}
