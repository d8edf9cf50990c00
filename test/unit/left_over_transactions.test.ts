/** Transactions that a single statement leaves open on a pooled connection to a MySQL instance. */
import t from 'tap';
import { RequestError } from '../../src/errors/errors.js';
import type { BackendConnection } from '../../src/mysql/backend/backend.js';
import type { GroupGateway } from '../../src/mysql/gateway/group_gateway.js';
import { runWrite } from '../../src/mysql/gateway/write_path.js';
import { BackendPool, DEFAULT_BACKEND_POOL_OPTIONS } from '../../src/mysql/pool/backend_pool.js';
import { SessionTerminator } from '../../src/mysql/pool/session_terminator.js';
import { SlotQueue } from '../../src/mysql/pool/slot_queue.js';
import { DISCARD } from '../../src/mysql/wire/result.js';
import { RealClock } from '../../src/runtime/real_clock.js';

const ADDRESS = 'instance:3306';
const WAIT_MS = 1000;

/** Connection on which each statement leaves a transaction open; counts its resets. */
class OpenTransactionConnection implements BackendConnection {
  readonly sessionId = 1;
  readonly closed = false;
  onClosed: (() => void) | undefined;
  resets = 0;

  execute(): ReturnType<BackendConnection['execute']> {
    return Promise.resolve({ affectedRows: 1, insertId: 0, info: '', inTransaction: true });
  }

  reset(): Promise<void> {
    this.resets++;
    return Promise.resolve();
  }

  close(): void {
    this.onClosed?.();
  }
}

function gatewayTo(connection: BackendConnection): { gateway: GroupGateway; pool: BackendPool } {
  const clock = new RealClock();
  const connector = { connect: () => Promise.resolve(connection) };
  const terminator = new SessionTerminator();
  const pool = new BackendPool(ADDRESS, clock, connector, DEFAULT_BACKEND_POOL_OPTIONS, terminator);
  const slots = new SlotQueue(clock, 1);
  pool.setLimit(1);
  slots.setLimit(1);
  const gateway = {
    runtime: { clock },
    configuration: { failover: { buffer_ms: WAIT_MS } },
    options: {
      queueTimeoutMs: WAIT_MS,
      statementTimeoutMs: WAIT_MS,
      protections: { isOn: () => true },
    },
    retryBudget: { earn: () => undefined, spend: () => false },
    waitForPrimary: () => Promise.resolve(ADDRESS),
    confirmVisible: () => Promise.resolve({ term: 1, sequence: 1 }),
    resourcesOf: () => ({ pool, slots, terminator }),
  };
  return { gateway: gateway as unknown as GroupGateway, pool };
}

void t.test('a transaction that a statement leaves open is not acknowledged', async (t) => {
  const connection = new OpenTransactionConnection();
  const { gateway, pool } = gatewayTo(connection);
  const request = { sql: 'CALL p()', statementClass: 'write', position: undefined } as const;
  const outcome = runWrite(gateway, { ...request, onceKey: undefined }, DISCARD);
  const error: unknown = await outcome.then(
    () => undefined,
    (problem: unknown) => problem,
  );
  t.ok(error instanceof RequestError && error.verdict === 'may_have_run');
  await pool.acquire(WAIT_MS);
  t.equal(connection.resets, 1, 'the next statement gets the connection after a reset');
});
