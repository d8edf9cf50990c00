/**
 * Admission to the slots of one instance. Waiting is bounded by a count and by the time a statement can
 * still wait; whoever can't be served in time is refused at once, with when to come back.
 */
import { MINIMUM_SLOT_RETRY_AFTER_MS } from '../routing/retry_policy.js';
import { ErrorCode, notRun } from '../../errors/errors.js';
import type { Clock, Timer } from '../../runtime/runtime.js';

/** Classes of work, most urgent first. */
export const Priority = {
  /** Statements of a transaction under way: they free locks and connections. */
  continuing: 0,
  /** Writes marked as unsafe to repeat. */
  marked: 1,
  /** Other writes and transactions. */
  write: 2,
  /** Lookups. */
  read: 3,
} as const;

/** One of {@link Priority}. */
export type Priority = (typeof Priority)[keyof typeof Priority];

const PRIORITY_COUNT = 4;
const SERVICE_TIME_WEIGHT = 0.1;
const INITIAL_SERVICE_TIME_MS = 2;

interface Waiter {
  grant(): void;
  refuse(error: unknown): void;
  readonly timer: Timer;
}

/** Returns the slot; must be called exactly once. */
export type ReleaseSlot = () => void;

/** Slots of one instance, as far as this process may use them. */
export class SlotQueue {
  private inUse = 0;
  private capacity = 0;
  private reserved = 0;
  private waitingCount = 0;
  private serviceTimeMs = INITIAL_SERVICE_TIME_MS;
  private readonly waiting: Waiter[][] = Array.from({ length: PRIORITY_COUNT }, () => []);

  /**
   * @param maximumWaiting - statements that may wait at once
   */
  constructor(
    private readonly clock: Clock,
    private maximumWaiting: number,
  ) {}

  /** Slots in use. */
  get used(): number {
    return this.inUse;
  }

  /** Slots that this process may use. */
  get limit(): number {
    return this.capacity;
  }

  /** Statements that wait. */
  get queued(): number {
    return this.waitingCount;
  }

  /** Changes how many statements may wait; those that wait already stay. */
  setMaximumWaiting(count: number): void {
    this.maximumWaiting = count;
  }

  /** Changes the number of slots; work under way is not interrupted. */
  setLimit(capacity: number): void {
    this.capacity = capacity;
    this.grantWaiting();
  }

  /** Time a new statement would wait, in milliseconds, from the latest service times. */
  estimatedWait(priority: Priority): number {
    const ahead = this.waiting
      .slice(0, priority + 1)
      .reduce((count, queue) => count + queue.length, 0);
    return (ahead * this.serviceTimeMs) / Math.max(1, this.capacity);
  }

  /**
   * Takes a slot.
   * @param maximumWaitMs - refuse at once when the wait would be longer
   * @throws RequestError with verdict `not_run`
   */
  acquire(priority: Priority, maximumWaitMs: number): Promise<ReleaseSlot> {
    if (this.mayStart(priority)) return Promise.resolve(this.start());
    const expected = this.estimatedWait(priority);
    if (this.waitingCount >= this.maximumWaiting || expected > maximumWaitMs) {
      return Promise.reject(this.refusal(priority));
    }
    return new Promise((resolve, reject) => {
      const queue = this.waiting[priority]!;
      const timer = this.clock.setTimer(maximumWaitMs, () => {
        queue.splice(queue.indexOf(waiter), 1);
        this.waitingCount--;
        reject(this.refusal(priority));
      });
      const waiter: Waiter = { grant: () => resolve(this.start()), refuse: reject, timer };
      queue.push(waiter);
      this.waitingCount++;
    });
  }

  /**
   * Sets how many slots are kept for transactions under way, as far as another one is left. A primary needs
   * one: statements that wait for a row lock could hold all slots while the lock's owner waits for a slot
   * to commit. A secondary takes no row locks.
   */
  setReserved(count: number): void {
    if (count === this.reserved) return;
    this.reserved = count;
    this.grantWaiting();
  }

  /** Fails all that wait: the instance is not the one to wait for any more. */
  refuseWaiting(error: unknown): void {
    for (const queue of this.waiting) {
      for (const waiter of queue.splice(0)) {
        this.waitingCount--;
        waiter.timer.cancel();
        waiter.refuse(error);
      }
    }
  }

  private mayStart(priority: Priority): boolean {
    const isReserved = priority !== Priority.continuing && this.capacity > this.reserved;
    return this.inUse < this.capacity - (isReserved ? this.reserved : 0);
  }

  private start(): ReleaseSlot {
    this.inUse++;
    const startedAt = this.clock.now();
    return () => {
      this.inUse--;
      const took = this.clock.now() - startedAt;
      this.serviceTimeMs += (took - this.serviceTimeMs) * SERVICE_TIME_WEIGHT;
      this.grantWaiting();
    };
  }

  private grantWaiting(): void {
    for (const [priority, queue] of this.waiting.entries()) {
      while (queue.length > 0 && this.mayStart(priority as Priority)) {
        const waiter = queue.shift()!;
        this.waitingCount--;
        waiter.timer.cancel();
        waiter.grant();
      }
    }
  }

  private refusal(priority: Priority): Error {
    const retryAfter = Math.max(
      MINIMUM_SLOT_RETRY_AFTER_MS,
      Math.ceil(this.estimatedWait(priority)),
    );
    return notRun('All statement slots are in use', ErrorCode.overloaded, retryAfter);
  }
}
