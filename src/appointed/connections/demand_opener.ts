/**
 * Opens connections for the requests that wait at one pool where {@link isOpeningWorthwhile} says
 * so, and serves the queue again when the pause of the concurrency limit ends. Owns the timers of
 * both.
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
  maxQueueWaitMs,
  maxStatementsInFlight,
  estimateQueueWaitMs,
} from './opening_rule.js';
import type { WaiterQueue } from './waiter_queue.js';

/** The parts of a pool that the decision depends on, and the actions that it triggers. */
export interface DemandOpenerDependencies {
  readonly clock: Clock;
  readonly load: InstanceLoad;
  readonly limit: ConcurrencyLimit;
  readonly waiters: WaiterQueue;
  readonly idle: IdleConnections;
  readonly inUse: ConnectionsInUse;
  readonly opener: ConnectionOpener;
  /** Number of statements that the instance runs concurrently. */
  readonly slots: () => number;
  /** Opens a connection for a tenant, if the pool has room for it. */
  readonly open: (tenant: string) => void;
  /** Gives idle connections to waiting requests. */
  readonly serveWaiters: () => void;
}

export class DemandOpener {
  private queueWaitTimer: Timer | undefined;
  private pauseTimer: Timer | undefined;

  constructor(private readonly dependencies: DemandOpenerDependencies) {}

  /** Opens connections for waiting requests, now or after the pause of the concurrency limit. */
  openForWaiters(): void {
    const { clock, limit, waiters } = this.dependencies;
    if (waiters.length === 0) return;
    const pauseMs = limit.remainingPauseMs(clock.now());
    if (pauseMs > 0) {
      this.resumeAfter(pauseMs);
      return;
    }
    for (const tenant of waiters.tenants) {
      if (this.isWorthwhile(tenant)) this.openFor(tenant);
      else this.openAfterMaxQueueWait();
    }
  }

  /** Cancels both timers. */
  close(): void {
    this.pauseTimer?.cancel();
    this.queueWaitTimer?.cancel();
  }

  private resumeAfter(pauseMs: number): void {
    this.pauseTimer ??= this.dependencies.clock.setTimer(pauseMs, () => {
      this.pauseTimer = undefined;
      this.dependencies.serveWaiters();
    });
  }

  private isWorthwhile(tenant: string | undefined): boolean {
    const { load, waiters, inUse, opener } = this.dependencies;
    const connections = inUse.activeOf(tenant) + opener.countOf(tenant);
    const queueWaitMs = estimateQueueWaitMs(waiters.countOf(tenant), connections, load.latencyMs);
    return isOpeningWorthwhile(queueWaitMs, opener.connectMs);
  }

  private openFor(tenant: string | undefined): void {
    const { clock, limit, waiters, idle, inUse, opener } = this.dependencies;
    const connections = inUse.active + opener.count;
    const isAllowed = limit.allows(connections, clock.now());
    if (!isAllowed || connections >= maxStatementsInFlight(this.dependencies.slots())) return;
    if (idle.hasConnectionFor(tenant)) return;
    if (waiters.countOf(tenant) > opener.countOf(tenant))
      this.dependencies.open(tenant ?? NO_TENANT);
  }

  /** Guards against a slow statement that blocks the requests queued for its connection. */
  private openAfterMaxQueueWait(): void {
    const { clock, waiters, opener } = this.dependencies;
    this.queueWaitTimer ??= clock.setTimer(maxQueueWaitMs(opener.connectMs), () => {
      this.queueWaitTimer = undefined;
      for (const tenant of waiters.tenants) this.openFor(tenant);
      this.openForWaiters();
    });
  }
}
