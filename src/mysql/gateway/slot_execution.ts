/** Runs single statements on instance connections, with slot, timeout and a truthful error. */
import type { BackendConnection } from '../backend/backend.js';
import type { Completion, ResultSink } from '../wire/result.js';
import { BackendConnectionLostError, ErrorCode, notRun } from '../../errors/errors.js';
import { type Priority } from '../pool/slot_queue.js';
import { RetryAfterMs } from '../routing/retry_policy.js';
import type { GroupGateway, InstanceResources } from './group_gateway.js';

/** MySQL errors by which an instance says that it did not start the statement. */
const REFUSAL_CODES = new Set([
  1040, // too many connections
  1226, // resource limit reached
  1290, // read only
  1792, // read-only transaction
  1836, // read-only mode
  3032, // offline mode
]);

/** Whether a database error means that nothing ran, whatever the statement was. */
export function isRefusal(code: number): boolean {
  return REFUSAL_CODES.has(code);
}

/**
 * Takes a slot, runs `work` on a connection, returns the slot: at once when the statement ended, and when
 * the connection broke only after the instance confirmed that nothing runs on it any more.
 */
export async function inSlot<T>(
  gateway: GroupGateway,
  resources: InstanceResources,
  connection: BackendConnection,
  priority: Priority,
  work: () => Promise<T>,
): Promise<T> {
  const release = await resources.slots.acquire(priority, gateway.options.queueTimeoutMs);
  try {
    return await work();
  } finally {
    if (connection.closed) resources.terminator.add(connection.sessionId, release);
    else release();
  }
}

/**
 * Takes a connection and a slot, in this order: a wait for a connection must not hold a slot. A transaction that the work leaves
 * open is rolled back before anyone else gets the connection.
 * @throws RequestError with verdict `not_run`
 */
export async function withConnection(
  gateway: GroupGateway,
  address: string,
  priority: Priority,
  work: (connection: BackendConnection) => Promise<Completion>,
): Promise<Completion> {
  const resources = gateway.resourcesOf(address);
  if (!resources)
    throw notRun('Instance is gone', ErrorCode.unavailable, RetryAfterMs.instanceGone);
  const connection = await resources.pool.acquire(gateway.options.queueTimeoutMs);
  let state: 'clean' | 'used' | 'broken' = 'broken';
  try {
    const completion = await inSlot(gateway, resources, connection, priority, () =>
      work(connection),
    );
    state = completion.inTransaction ? 'used' : 'clean';
    return completion;
  } catch (error) {
    // A database error leaves the connection usable; anything else does not.
    const discards = gateway.options.protections.isOn('discard-on-timeout');
    const isLost = error instanceof BackendConnectionLostError && discards;
    state = isLost || connection.closed ? 'broken' : 'clean';
    throw error;
  } finally {
    resources.pool.release(connection, state);
  }
}

/**
 * Runs a statement, and closes the connection when no answer comes in time: a late answer must never be
 * taken for the answer to another statement.
 */
export async function executeWithTimeout(
  gateway: GroupGateway,
  connection: BackendConnection,
  sql: string,
  sink: ResultSink,
): Promise<Completion> {
  const { clock } = gateway.runtime;
  const { statementTimeoutMs } = gateway.options;
  let late: (() => void) | undefined;
  const timer = clock.setTimer(statementTimeoutMs, () => {
    const reason = `no whole answer within ${statementTimeoutMs} ms`;
    if (gateway.options.protections.isOn('discard-on-timeout')) connection.close(reason);
    else late?.();
  });
  const abandoned = new Promise<Completion>((_resolve, reject) => {
    late = () => reject(new BackendConnectionLostError('statement timed out', { sent: true }));
  });
  try {
    return await Promise.race([connection.execute(sql, sink), abandoned]);
  } finally {
    timer.cancel();
  }
}
