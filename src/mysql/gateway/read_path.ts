/**
 * Reads outside a transaction: from any secondary that covers the session's position, from the primary
 * only when none does in time.
 */
import type { ResultRow, ResultSink } from '../wire/result.js';
import {
  BackendConnectionLostError,
  DatabaseError,
  ErrorCode,
  RequestError,
  messageOf,
  notRun,
} from '../../errors/errors.js';
import { Priority } from '../pool/slot_queue.js';
import { delay } from '../../runtime/runtime.js';
import { type Position, START, covers, latest } from '../../positions/position.js';
import { type InstanceDescription, readableSecondaries } from '../topology/group_description.js';
import { MAXIMUM_READ_ATTEMPTS, RetryAfterMs } from '../routing/retry_policy.js';
import type { GroupGateway } from './group_gateway.js';
import type { StatementOutcome, StatementRequest } from './statement_request.js';
import { executeWithTimeout, isRefusal, withConnection } from './slot_execution.js';

/** Pause between two questions to secondaries that lag, in milliseconds: a trip within a zone; guess, not measured. */
const CATCH_UP_PROBE_MS = 3;

/** Counts rows, since a read may be repeated elsewhere only while none was delivered. */
class CountingSink implements ResultSink {
  started = false;

  constructor(private readonly inner: ResultSink) {}

  columns(columns: Parameters<ResultSink['columns']>[0]): void {
    this.started = true;
    this.inner.columns(columns);
  }

  row(row: ResultRow): void {
    this.inner.row(row);
  }

  readyForMore(): Promise<void> | undefined {
    return this.inner.readyForMore?.();
  }
}

function unavailable(reason: string): RequestError {
  return notRun(reason, ErrorCode.unavailable, RetryAfterMs.readUnavailable);
}

/** Load of an instance as this process sees it: statements under way and waiting per slot. */
function loadOf(gateway: GroupGateway, address: string): number {
  const slots = gateway.resourcesOf(address)?.slots;
  if (!slots || slots.limit === 0) return Infinity;
  return (slots.used + slots.queued) / slots.limit;
}

/** The least loaded secondary that covers `position`; ties are broken at random. */
export function chooseReplica(
  gateway: GroupGateway,
  position: Position,
  excluded: ReadonlySet<string> = new Set(),
): string | undefined {
  let best: InstanceDescription | undefined;
  let bestLoad = Infinity;
  let ties = 0;
  const now = gateway.runtime.clock.now();
  for (const instance of readableSecondaries(gateway.monitor.group, now)) {
    const isFresh = instance.report && covers(instance.report.executed, position);
    if (!isFresh || excluded.has(instance.address)) continue;
    const load = loadOf(gateway, instance.address);
    if (load > bestLoad || load === Infinity) continue;
    ties = load === bestLoad ? ties + 1 : 1;
    if (load === bestLoad && gateway.runtime.random.next() >= 1 / ties) continue;
    best = instance;
    bestLoad = load;
  }
  return best?.address;
}

/** Waits for a secondary to catch up, asking those that lag again and again. */
async function waitForReplica(
  gateway: GroupGateway,
  position: Position,
  excluded: ReadonlySet<string>,
): Promise<string | undefined> {
  const { clock } = gateway.runtime;
  const deadline = clock.now() + gateway.configuration.reads.wait_ms;
  let chosen = chooseReplica(gateway, position, excluded);
  while (chosen === undefined && clock.now() < deadline && !gateway.isEnded) {
    const lagging = readableSecondaries(gateway.monitor.group, clock.now()).filter(
      (instance) => !excluded.has(instance.address),
    );
    if (lagging.length === 0) return undefined;
    for (const instance of lagging) {
      // A probe that fails is asked again at the next round; the monitor logs an instance that stays silent.
      void gateway.monitor
        .prober(instance.address)
        ?.probeAfterNow()
        .catch(() => undefined);
    }
    await delay(clock, CATCH_UP_PROBE_MS);
    chosen = chooseReplica(gateway, position, excluded);
  }
  return chosen;
}

/** Position that the read must cover, or undefined when it has to go to the primary. */
async function requiredPosition(
  gateway: GroupGateway,
  request: StatementRequest,
): Promise<Position | undefined> {
  if (!gateway.options.protections.isOn('read-position')) return START;
  if (request.position) return request.position;
  if (gateway.configuration.reads.without_token === 'primary') return undefined;
  const barrier = await gateway.barrier();
  if (!barrier) throw unavailable('No majority of the group answers');
  return barrier;
}

/** Runs a read on the primary and makes sure that what it saw survives. */
async function readFromPrimary(
  gateway: GroupGateway,
  request: StatementRequest,
  sink: CountingSink,
): Promise<StatementOutcome> {
  const primary = await gateway.waitForPrimary(gateway.configuration.failover.buffer_ms);
  if (primary === undefined) throw unavailable('No instance is fresh enough');
  const completion = await withConnection(gateway, primary, Priority.read, (connection) =>
    executeWithTimeout(gateway, connection, request.sql, sink),
  );
  gateway.counters.primaryReads++;
  const visible = await gateway.confirmVisible(primary);
  if (!visible) throw unavailable('The primary may have been replaced');
  return { completion, position: visible };
}

/** Newest state that a read on `address` can have seen. */
async function observedPosition(
  gateway: GroupGateway,
  address: string,
  required: Position,
): Promise<Position> {
  try {
    const report = await gateway.monitor.prober(address)?.probeAfterNow();
    if (report) return latest(required, report.executed);
  } catch {
    // The instance is gone; what it showed is covered by a barrier.
  }
  const barrier = await gateway.barrier();
  if (!barrier) throw unavailable('The state that was read can not be told');
  return latest(required, barrier);
}

async function readFromReplica(
  gateway: GroupGateway,
  address: string,
  request: StatementRequest,
  required: Position,
  sink: CountingSink,
): Promise<StatementOutcome> {
  const completion = await withConnection(gateway, address, Priority.read, (connection) =>
    executeWithTimeout(gateway, connection, request.sql, sink),
  );
  gateway.counters.replicaReads++;
  const observes = request.position !== undefined && gateway.configuration.reads.monotonic;
  const position = observes ? await observedPosition(gateway, address, required) : required;
  return { completion, position };
}

function mayReadElsewhere(error: unknown): boolean {
  if (error instanceof BackendConnectionLostError) return true;
  return error instanceof DatabaseError && isRefusal(error.code);
}

function readError(error: unknown): unknown {
  if (error instanceof RequestError) return error;
  return mayReadElsewhere(error) ? unavailable(messageOf(error)) : error;
}

/** Runs a read outside a transaction. */
export async function runRead(
  gateway: GroupGateway,
  request: StatementRequest,
  sink: ResultSink,
): Promise<StatementOutcome> {
  const counting = new CountingSink(sink);
  const excluded = new Set<string>();
  let lastError: unknown;
  gateway.retryBudget.earn();
  for (let attempt = 0; attempt < MAXIMUM_READ_ATTEMPTS; attempt++) {
    const required = await requiredPosition(gateway, request);
    const replica = required && (await waitForReplica(gateway, required, excluded));
    try {
      if (!replica) return await readFromPrimary(gateway, request, counting);
      return await readFromReplica(gateway, replica, request, required, counting);
    } catch (error) {
      lastError = error;
      if (replica) excluded.add(replica);
      const canRetry = mayReadElsewhere(error) && !counting.started && !gateway.isEnded;
      if (!canRetry || !gateway.retryBudget.spend()) break;
      gateway.counters.retries++;
    }
  }
  throw readError(lastError);
}
