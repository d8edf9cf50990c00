/** Exclusive row locks with a wait timeout, as InnoDB takes them for writes. */
import { DatabaseError } from '../../src/errors/errors.js';
import type { Clock, Timer } from '../../src/runtime/runtime.js';

/** MySQL's error for statements whose connection was ended. */
export const ER_INTERRUPTED = { code: 1317, sqlState: '70100' };

interface Waiter {
  readonly owner: object;
  grant(): void;
  refuse(error: Error): void;
  readonly timer: Timer;
}

interface Lock {
  owner: object;
  readonly waiters: Waiter[];
}

/** Locks of one instance, by table and key. */
export class RowLocks {
  private readonly locks = new Map<string, Lock>();
  private readonly held = new Map<object, Set<string>>();

  constructor(
    private readonly clock: Clock,
    private readonly waitTimeoutMs: number,
  ) {}

  /** Resolves once `owner` holds the lock; rejects with MySQL's lock wait timeout. */
  acquire(owner: object, name: string): Promise<void> {
    const lock = this.locks.get(name);
    if (!lock) {
      this.locks.set(name, { owner, waiters: [] });
      this.remember(owner, name);
      return Promise.resolve();
    }
    if (lock.owner === owner) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(this.waitTimeoutMs, () => {
        lock.waiters.splice(lock.waiters.indexOf(waiter), 1);
        reject(
          new DatabaseError('Lock wait timeout exceeded; try restarting transaction', {
            code: 1205,
            sqlState: 'HY000',
          }),
        );
      });
      const waiter: Waiter = { owner, grant: resolve, refuse: reject, timer };
      lock.waiters.push(waiter);
    });
  }

  /** Gives up all locks of `owner`, and its waits. */
  releaseAll(owner: object): void {
    this.endWaits(owner);
    for (const name of this.held.get(owner) ?? []) this.passOn(name);
    this.held.delete(owner);
  }

  private endWaits(owner: object): void {
    for (const lock of this.locks.values()) {
      const own = lock.waiters.filter((waiter) => waiter.owner === owner);
      for (const waiter of own) {
        lock.waiters.splice(lock.waiters.indexOf(waiter), 1);
        waiter.timer.cancel();
        waiter.refuse(new DatabaseError('Query execution was interrupted', ER_INTERRUPTED));
      }
    }
  }

  private passOn(name: string): void {
    const lock = this.locks.get(name);
    const next = lock?.waiters.shift();
    if (!lock || !next) {
      this.locks.delete(name);
      return;
    }
    next.timer.cancel();
    lock.owner = next.owner;
    this.remember(next.owner, name);
    next.grant();
  }

  private remember(owner: object, name: string): void {
    let names = this.held.get(owner);
    if (!names) {
      names = new Set();
      this.held.set(owner, names);
    }
    names.add(name);
  }
}
