/** Shares, slots and connections against simple models. */
import fc from 'fast-check';
import t from 'tap';
import type { BackendConnection } from '../../src/mysql/backend/backend.js';
import { RequestError } from '../../src/errors/errors.js';
import { DEFAULT_BACKEND_POOL_OPTIONS, BackendPool } from '../../src/mysql/pool/backend_pool.js';
import { SessionTerminator } from '../../src/mysql/pool/session_terminator.js';
import { fastHash } from '../../src/hashing/fast_hash.js';
import { RendezvousTable } from '../../src/hashing/rendezvous.js';
import { seatsFor, shareOfUnit, sumShares, unitsOfSeat } from '../../src/mysql/pool/shares.js';
import { Priority, type ReleaseSlot, SlotQueue } from '../../src/mysql/pool/slot_queue.js';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { rendezvousOrder } from '../tools/rendezvous_order.js';

function newProcess(): VirtualProcess {
  return new VirtualProcess('host', new Scheduler(), new SeededRandom(1));
}

void t.test('the seats have each unit once, and the units are exactly the limits', (t) => {
  const limits = fc.record({
    slots: fc.integer({ min: 1, max: 50 }),
    connections: fc.integer({ min: 5, max: 500 }),
    monitoringConnections: fc.integer({ min: 1, max: 5 }),
    gateways: fc.integer({ min: 1, max: 64 }),
  });
  const held = fc.assert(
    fc.property(limits, (limit) => {
      const seats = Array.from({ length: limit.gateways }, (_, seat) => unitsOfSeat(limit, seat));
      const units = seats.flat();
      const sum = sumShares(units.map((unit) => shareOfUnit(limit, unit)));
      const pooled = limit.connections - limit.monitoringConnections;
      const isComplete = new Set(units).size === limit.slots && units.length === limit.slots;
      return isComplete && sum.slots === limit.slots && sum.connections === pooled;
    }),
    { seed: 5 },
  );
  t.equal(held, undefined);
  t.end();
});

void t.test('each seat is wanted by exactly one proxy', (t) => {
  const names = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 12 });
  const held = fc.assert(
    fc.property(names, fc.integer({ min: 1, max: 8 }), (proxies, seatCount) => {
      const wanted = proxies.flatMap((proxy) =>
        seatsFor(proxy, rendezvousOrder('g', proxies), seatCount),
      );
      const expected = Array.from({ length: seatCount }, (_, seat) => seat);
      return [...wanted].sort((a, b) => a - b).join() === expected.join();
    }),
    { seed: 6 },
  );
  t.equal(held, undefined);
  t.end();
});

void t.test('a kept table of the heaviest nodes is the head of the whole order', (t) => {
  const node = fc.constantFrom(...'abcdefghijkl');
  const changes = fc.array(fc.uniqueArray(node), { minLength: 1, maxLength: 12 });
  const held = fc.assert(
    fc.property(changes, (list) => {
      const table = new RendezvousTable(4, fastHash);
      return list.every((nodes) => {
        table.setNodes(new Set(nodes));
        return ['x', 'y', 'z'].every(
          (key) => table.top(key).join() === rendezvousOrder(key, nodes).slice(0, 4).join(),
        );
      });
    }),
    { seed: 13 },
  );
  t.equal(held, undefined);
  t.end();
});

type SlotCommand = 'continuing' | 'read' | 'release' | 'shrink' | 'grow';

void t.test('slots: never more than the limit, one kept for transactions under way', async (t) => {
  const commands = fc.array(
    fc.constantFrom<SlotCommand>('continuing', 'read', 'release', 'shrink', 'grow'),
    { maxLength: 60 },
  );
  await fc.assert(
    fc.asyncProperty(commands, async (list) => {
      const queue = new SlotQueue(newProcess().clock, 100);
      const releases: ReleaseSlot[] = [];
      let limit = 3;
      queue.setLimit(limit);
      queue.setReserved(1);
      const step: Record<SlotCommand, () => void> = {
        continuing: () => take(Priority.continuing),
        read: () => take(Priority.read),
        release: () => releases.shift()?.(),
        shrink: () => queue.setLimit((limit = Math.max(1, limit - 1))),
        grow: () => queue.setLimit(++limit),
      };
      const take = (priority: Priority): void => {
        const usedBefore = queue.used;
        void queue.acquire(priority, 1000).then((release) => releases.push(release));
        const reserved = priority === Priority.read && limit > 1 ? 1 : 0;
        const mayStart = usedBefore < limit - reserved;
        t.equal(queue.used, mayStart ? usedBefore + 1 : usedBefore);
      };
      for (const command of list) {
        step[command]();
        await Promise.resolve();
        await Promise.resolve();
      }
      while (releases.length > 0) {
        releases.shift()?.();
        await Promise.resolve();
        await Promise.resolve();
      }
      t.equal(queue.used, 0);
      t.equal(queue.queued, 0);
    }),
    { seed: 7, numRuns: 200 },
  );
});

void t.test('a full queue refuses at once and says when to come back', async (t) => {
  const queue = new SlotQueue(newProcess().clock, 1);
  queue.setLimit(1);
  await queue.acquire(Priority.write, 1000);
  void queue.acquire(Priority.write, 1000).catch(() => undefined);
  const error = await queue.acquire(Priority.write, 1000).catch((reason: unknown) => reason);
  t.ok(error instanceof RequestError);
  t.equal((error as RequestError).verdict, 'not_run');
  t.ok((error as RequestError).retryAfterMs! >= 20);
});

/** A connection that only counts. */
class FakeConnection implements BackendConnection {
  closed = false;
  onClosed: (() => void) | undefined;
  wasReset = true;

  constructor(readonly sessionId: number) {}

  execute(): Promise<never> {
    return Promise.reject(new Error('not used'));
  }

  reset(): Promise<void> {
    this.wasReset = true;
    return Promise.resolve();
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.onClosed?.();
  }
}

type PoolCommand = 'acquire' | 'clean' | 'used' | 'broken' | 'shrink' | 'grow' | 'confirm';

void t.test('pool: never above the limit, no connection twice, none with state', async (t) => {
  const commands = fc.array(
    fc.constantFrom<PoolCommand>(
      ...(['acquire', 'clean', 'used', 'broken', 'shrink', 'grow', 'confirm'] as const),
    ),
    { maxLength: 60 },
  );
  await fc.assert(
    fc.asyncProperty(commands, async (list) => {
      let nextId = 1;
      const atInstance = new Set<number>();
      const connect = (): Promise<BackendConnection> => {
        const connection = new FakeConnection(nextId++);
        atInstance.add(connection.sessionId);
        return Promise.resolve(connection);
      };
      const terminator = new SessionTerminator();
      const killed = {
        execute: (sql: string) => {
          atInstance.delete(Number(sql.split(' ')[1]));
          return Promise.resolve({ affectedRows: 0, insertId: 0, info: '', inTransaction: false });
        },
      } as unknown as BackendConnection;
      const clock = newProcess().clock;
      const pool = new BackendPool(
        'i',
        clock,
        { connect },
        DEFAULT_BACKEND_POOL_OPTIONS,
        terminator,
      );
      let limit = 2;
      let highest = limit;
      pool.setLimit(limit);
      const taken: FakeConnection[] = [];
      const give = (state: 'clean' | 'used' | 'broken'): void => {
        const connection = taken.shift();
        if (!connection) return;
        connection.wasReset = state !== 'used';
        pool.release(connection, state);
      };
      for (const command of list) {
        if (command === 'acquire') {
          void pool.acquire(1000).then((connection) => {
            const fake = connection as FakeConnection;
            t.ok(fake.wasReset && !fake.closed && !taken.includes(fake));
            taken.push(fake);
          });
        } else if (command === 'shrink') pool.setLimit((limit = Math.max(0, limit - 1)));
        else if (command === 'grow') pool.setLimit(++limit);
        else if (command === 'confirm') await terminator.run(killed);
        else give(command);
        highest = Math.max(highest, limit);
        await new Promise((resolve) => setImmediate(resolve));
        t.ok(atInstance.size <= highest, 'the instance never has more than the limit');
      }
    }),
    { seed: 8, numRuns: 150 },
  );
});
