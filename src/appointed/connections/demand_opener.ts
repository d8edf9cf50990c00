/**
 * Brings connections to the requests that wait at one pool: opens further ones where that is worth it, and serves the
 * queue again when the pause of the concurrency limit is over. Owns the timers of both.
 *
 * Relies on {@link isOpeningWorthwhile} for the decision, and on the other parts of its pool for what there is. Nothing in
 * it can fail: an opening that fails is reported by the opener.
 */
import type { Clock, Timer } from '../../runtime/runtime.js';
import { NO_TENANT } from '../tenancy/tenant.js';
import type { ConcurrencyLimit } from './concurrency_limit.js';
import type { ConnectionOpener } from './connection_opener.js';
import type { ConnectionsInUse } from './connections_in_use.js';
import type { IdleConnections } from './idle_connections.js';
import type { InstanceLoad } from './instance_load.js';
import {
  isOpeningWorthwhile,
  longestWaitForTurn,
  mostStatements,
  waitForTurn,
} from './opening_rule.js';
import type { WaiterQueue } from './waiter_queue.js';

/** The parts of a pool that tell whether a connection is wanted, and what the pool does about it. */
export interface PoolParts {
  readonly clock: Clock;
  readonly load: InstanceLoad;
  readonly limit: ConcurrencyLimit;
  readonly waiters: WaiterQueue;
  readonly idle: IdleConnections;
  readonly inUse: ConnectionsInUse;
  readonly opener: ConnectionOpener;
  /** Statements that the instance runs at a time. */
  readonly slots: () => number;
  /** Opens a connection for a tenant, if the pool has room for it. */
  readonly open: (tenant: string) => void;
  /** Gives idle connections to the requests that wait. */
  readonly serveWaiters: () => void;
}

/** Opener for the requests that wait at one pool. */
export class DemandOpener {
  private turnTimer: Timer | undefined;
  private pauseTimer: Timer | undefined;

  constructor(private readonly parts: PoolParts) {}

  /** Opens the connections that the requests that wait are worth, now or after the pause of the concurrency limit. */
  refill(): void {
    const { clock, limit, waiters } = this.parts;
    if (waiters.length === 0) return;
    const pauseMs = limit.remainingPause(clock.now());
    if (pauseMs > 0) {
      this.resumeAfter(pauseMs);
      return;
    }
    for (const tenant of waiters.tenants) {
      if (this.isWorthwhile(tenant)) this.openFor(tenant);
      else this.openIfNoTurnComes();
    }
  }

  /** Cancels both timers. */
  close(): void {
    this.pauseTimer?.cancel();
    this.turnTimer?.cancel();
  }

  private resumeAfter(pauseMs: number): void {
    this.pauseTimer ??= this.parts.clock.setTimer(pauseMs, () => {
      this.pauseTimer = undefined;
      this.parts.serveWaiters();
    });
  }

  private isWorthwhile(tenant: string | undefined): boolean {
    const { load, waiters, inUse, opener } = this.parts;
    const inTurn = inUse.activeOf(tenant) + opener.countOf(tenant);
    const turnMs = waitForTurn(waiters.countOf(tenant), inTurn, load.latency);
    return isOpeningWorthwhile(turnMs, opener.connectMs);
  }

  private openFor(tenant: string | undefined): void {
    const { clock, limit, waiters, idle, inUse, opener } = this.parts;
    const inTurn = inUse.active + opener.count;
    const isAllowed = limit.allows(inTurn, clock.now());
    if (!isAllowed || inTurn >= mostStatements(this.parts.slots())) return;
    if (idle.hasFor(tenant)) return;
    if (waiters.countOf(tenant) > opener.countOf(tenant)) this.parts.open(tenant ?? NO_TENANT);
  }

  /** A statement that takes unusually long must not hold up the requests that wait for its connection. */
  private openIfNoTurnComes(): void {
    const { clock, waiters, opener } = this.parts;
    this.turnTimer ??= clock.setTimer(longestWaitForTurn(opener.connectMs), () => {
      this.turnTimer = undefined;
      for (const tenant of waiters.tenants) this.openFor(tenant);
      this.refill();
    });
  }
}
