/**
 * Decides when the leading control machine is asked for allowances, and for what. One request at a time carries everything
 * that waits, so the number of requests is bounded by the time of a trip, whatever tenants send. Owns the loop of
 * requests; relies on the leader, which may not answer: then it is asked again for as long as callers wait.
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

/** Pause after a request that failed, in milliseconds: several tries within the wait of a caller. Guess, not measured. */
const RETRY_PAUSE_MS = 25;

/** Requests of one proxy. */
export class AllowanceRequests {
  private readonly exchange: AllowanceExchange;
  private isRunning = false;
  private isStopped = false;
  /** Ends the wait for an answer, since another machine leads now. */
  private abortWait: () => void = () => undefined;
  private batchTimer: Timer | undefined;
  /** When the next request goes that no caller waits for. */
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

  /** Stops. */
  stop(): void {
    this.isStopped = true;
    this.batchTimer?.cancel();
  }

  /** Asks within `withinMs`, together with what comes until then: no caller waits for it. */
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

  /** Asks a new leader at once: it adds to reserves only once it knows what each proxy holds. */
  reportToNewLeader(): void {
    if (!this.exchange.switchToNewLeader()) return;
    this.abortWait();
    void this.requestWhileWaiting();
  }

  /** Asks once, and again for as long as something waits: one request after the other. */
  async requestWhileWaiting(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    do {
      this.reportToNewLeader();
      const leaderChanged = new Promise<boolean>((resolve) => {
        this.abortWait = () => resolve(true);
      });
      // An answer of a former leader is not waited for; what it grants still counts when it comes.
      const isAnswered = await Promise.race([this.requestOnce(), leaderChanged]);
      if (!isAnswered) await delay(this.dependencies.runtime.clock, RETRY_PAUSE_MS);
    } while (!this.isStopped && this.allowances.waiting.length > 0);
    this.isRunning = false;
  }

  /** Sends one request and takes over its answer; false when none came. */
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

  /** Asks once more for what callers wait for; what is granted twice is dropped. */
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
    // What was granted to waiting requests may not be used any more; the reserves hold on.
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
