/**
 * Decides when a proxy sends an allowance request to the control leader, and what it contains. At most one regular request
 * is in flight, and it carries all pending demands, so the request rate is bounded by the round-trip time and not by the
 * tenants' load. While callers wait, requests are repeated until the leader answers.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import { type Timer, delay } from '../../runtime/runtime.js';
import { AllowanceExchange } from './allowance_exchange.js';
import type {
  AllowanceClientDependencies,
  OperationCounts,
} from './allowance_client_dependencies.js';
import type { LimitRefusals } from './limit_refusals.js';
import { RETURN_BATCH_WINDOW_MS, GRANT_VALIDITY_MS } from './operation_budget.js';
import type { TenantAllowance } from './tenant_allowance.js';
import type { TenantAllowances } from './tenant_allowances.js';
import { fromWireRate, toReportedWireRate } from './wire_rate.js';

/** Allows several retries within the maximum wait of a caller. */
const RETRY_PAUSE_MS = 25;

/** Schedules the allowance requests of one proxy. */
export class AllowanceRequests {
  private readonly exchange: AllowanceExchange;
  private isRunning = false;
  private isStopped = false;
  /** Ends the wait for a reply when the leader changes. */
  private abortWait: () => void = () => undefined;
  private batchTimer: Timer | undefined;
  /** When the next background request, for which no caller waits, is due. */
  private batchDueAt = Infinity;

  constructor(
    private readonly dependencies: AllowanceClientDependencies,
    private readonly allowances: TenantAllowances,
    private readonly refusals: LimitRefusals,
    private readonly counts: OperationCounts,
  ) {
    this.exchange = new AllowanceExchange(dependencies, (reply, askedAt, isWaitingOnly) =>
      this.applyReply(reply, askedAt, isWaitingOnly),
    );
  }

  stop(): void {
    this.isStopped = true;
    this.batchTimer?.cancel();
  }

  /** Schedules a background request within `withinMs`; demands that arrive until then are sent with it. */
  scheduleRequest(withinMs: number): void {
    const { clock } = this.dependencies.runtime;
    const dueAt = clock.now() + withinMs;
    if (this.isStopped || this.batchDueAt <= dueAt) return;
    this.batchTimer?.cancel();
    this.batchDueAt = dueAt;
    this.batchTimer = clock.setTimer(withinMs, () => {
      this.batchDueAt = Infinity;
      if (this.isRunning) this.scheduleRequest(RETURN_BATCH_WINDOW_MS);
      else void this.requestWhileWaiting();
    });
  }

  /** Sends a request at once if the leader has changed: a new leader adds to reserves only after all proxies have reported theirs. */
  reportToNewLeader(): void {
    if (!this.exchange.switchToNewLeader()) return;
    this.abortWait();
    void this.requestWhileWaiting();
  }

  /** Sends one request, and further ones, one at a time, for as long as callers wait. */
  async requestWhileWaiting(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    do {
      this.reportToNewLeader();
      const leaderChanged = new Promise<boolean>((resolve) => {
        this.abortWait = () => resolve(true);
      });
      // Does not wait for a former leader. Its grants are still applied if they arrive.
      const isAnswered = await Promise.race([this.requestOnce(), leaderChanged]);
      if (!isAnswered) await delay(this.dependencies.runtime.clock, RETRY_PAUSE_MS);
    } while (!this.isStopped && this.allowances.waiting.length > 0);
    this.isRunning = false;
  }

  /** Sends one request and applies the reply; resolves with false if there was none. */
  private async requestOnce(): Promise<boolean> {
    const { clock } = this.dependencies.runtime;
    this.allowances.evictIdle(clock.now());
    if (this.dependencies.leaderAddress() === '') return this.allowances.waiting.length === 0;
    const askedAt = clock.now();
    const complete = this.exchange.mustReportAllReserves;
    const reportedAllowances = this.allowances.needingRequest(askedAt, complete);
    if (reportedAllowances.length === 0 && !complete) return true;
    const demands = reportedAllowances.map((allowance) => demandOf(allowance, askedAt));
    const alternateRouteTimer = clock.setTimer(
      this.exchange.alternateRouteDelayMs,
      () => void this.requestByAlternateRoute(),
    );
    try {
      return await this.exchange.send({ demands, complete }, askedAt);
    } finally {
      alternateRouteTimer.cancel();
    }
  }

  /** Repeats the demands of waiting callers on another connection; operations that are granted twice are dropped. */
  private async requestByAlternateRoute(): Promise<void> {
    const { waiting } = this.allowances;
    if (waiting.length === 0 || this.isStopped) return;
    this.counts.secondWay++;
    const demands = waiting.map((allowance) => ({
      tenant: allowance.tenant,
      waiting: allowance.waiting.size,
    }));
    const askedAt = this.dependencies.runtime.clock.now();
    await this.exchange.send({ demands, waitingOnly: true }, askedAt);
  }

  private applyReply(
    reply: whinyoke.IAllowanceReply,
    askedAt: number,
    isWaitingOnly: boolean,
  ): void {
    const now = this.dependencies.runtime.clock.now();
    // Grants for waiting callers have expired by then; reserves are still valid.
    const isGrantExpired = now - askedAt > GRANT_VALIDITY_MS;
    if (this.exchange.mustReportAllReserves) this.scheduleRequest(RETURN_BATCH_WINDOW_MS);
    const mayAddReserve = !this.exchange.mayOtherLeaderCountReserves(now);
    for (const { tenant, granted, added, rate, most, retryAfterMs } of reply.allowances ?? []) {
      const allowance = this.allowances.find(tenant ?? '');
      if (!allowance) continue;
      const waitMs = retryAfterMs ?? 0;
      this.counts.granted += allowance.grantWaiting(isGrantExpired ? 0 : (granted ?? 0));
      if (!isWaitingOnly && mayAddReserve) {
        const leased = { added: added ?? 0, rate: fromWireRate(rate), most: most ?? 0 };
        allowance.addReserve(leased, askedAt, now);
      }
      if (!isWaitingOnly && !mayAddReserve) allowance.renewReserve(askedAt, now);
      if (waitMs === 0) continue;
      allowance.recordExhausted(now + waitMs);
      this.refusals.refuseWaiting(allowance, waitMs);
    }
  }
}

function demandOf(allowance: TenantAllowance, askedAt: number): whinyoke.ITenantDemand {
  const { heldRate, wantedRate, ...counts } = allowance.prepareDemand(askedAt);
  return {
    ...counts,
    tenant: allowance.tenant,
    heldRate: toReportedWireRate(heldRate ?? 0),
    wantedRate: toReportedWireRate(wantedRate ?? 0),
  };
}
