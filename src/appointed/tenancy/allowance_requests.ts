/**
 * Decides when the leading control machine is asked for allowances, and for what. One request at a time carries everything
 * that waits, so the number of requests is bounded by the time of a trip, whatever tenants send. Owns the loop of
 * requests; relies on the leader, which may not answer: then it is asked again for as long as callers wait.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import { type Timer, delay } from '../../runtime/runtime.js';
import { AllowanceExchange } from './allowance_exchange.js';
import type { AllowanceSurroundings, OperationCounts } from './allowance_surroundings.js';
import type { LimitRefusals } from './limit_refusals.js';
import { GATHER_RETURNED_MS, WAITING_ALLOWANCE_MS } from './operation_budget.js';
import type { TenantAllowance } from './tenant_allowance.js';
import type { TenantAllowances } from './tenant_allowances.js';
import { perSecondOf, reportedRate } from './wire_rate.js';

/** Pause after a request that failed, in milliseconds: several tries within the wait of a caller. Guess, not measured. */
const RETRY_PAUSE_MS = 25;

/** Requests of one proxy. */
export class AllowanceRequests {
  private readonly exchange: AllowanceExchange;
  private isRunning = false;
  private isStopped = false;
  /** Ends the wait for an answer, since another machine leads now. */
  private endWait: () => void = () => undefined;
  private gathering: Timer | undefined;
  /** When the next request goes that no caller waits for. */
  private gatheredAt = Infinity;

  constructor(
    private readonly surroundings: AllowanceSurroundings,
    private readonly allowances: TenantAllowances,
    private readonly refusals: LimitRefusals,
    private readonly counts: OperationCounts,
  ) {
    this.exchange = new AllowanceExchange(surroundings, (reply, askedAt, isWaitingOnly) =>
      this.adopt(reply, askedAt, isWaitingOnly),
    );
  }

  /** Stops. */
  stop(): void {
    this.isStopped = true;
    this.gathering?.cancel();
  }

  /** Asks within `withinMs`, together with what comes until then: no caller waits for it. */
  askSoon(withinMs: number): void {
    const { clock } = this.surroundings.runtime;
    const dueAt = clock.now() + withinMs;
    if (this.isStopped || this.gatheredAt <= dueAt) return;
    this.gathering?.cancel();
    this.gatheredAt = dueAt;
    this.gathering = clock.setTimer(withinMs, () => {
      this.gatheredAt = Infinity;
      if (this.isRunning) this.askSoon(GATHER_RETURNED_MS);
      else void this.run();
    });
  }

  /** Asks a new leader at once: it adds to reserves only once it knows what each proxy holds. */
  noteLeader(): void {
    if (!this.exchange.noteLeader()) return;
    this.endWait();
    void this.run();
  }

  /** Asks once, and again for as long as something waits: one request after the other. */
  async run(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    do {
      this.noteLeader();
      const leaderChanged = new Promise<boolean>((resolve) => {
        this.endWait = () => resolve(true);
      });
      // An answer of a former leader is not waited for; what it grants still counts when it comes.
      const isAnswered = await Promise.race([this.askOnce(), leaderChanged]);
      if (!isAnswered) await delay(this.surroundings.runtime.clock, RETRY_PAUSE_MS);
    } while (!this.isStopped && this.allowances.waiting.length > 0);
    this.isRunning = false;
  }

  /** Sends one request and takes over its answer; false when none came. */
  private async askOnce(): Promise<boolean> {
    const { clock } = this.surroundings.runtime;
    this.allowances.forgetUnused(clock.now());
    if (this.surroundings.leaderAddress() === '') return this.allowances.waiting.length === 0;
    const askedAt = clock.now();
    const complete = this.exchange.mustReportAll;
    const asked = this.allowances.toAsk(askedAt, complete);
    if (asked.length === 0 && !complete) return true;
    const demands = asked.map((allowance) => demandOf(allowance, askedAt));
    const second = clock.setTimer(this.exchange.secondWayMs, () => void this.askSecondWay());
    try {
      return await this.exchange.send({ demands, complete }, askedAt);
    } finally {
      second.cancel();
    }
  }

  /** Asks once more for what callers wait for; what is granted twice is dropped. */
  private async askSecondWay(): Promise<void> {
    const { waiting } = this.allowances;
    if (waiting.length === 0 || this.isStopped) return;
    this.counts.secondWay++;
    const demands = waiting.map((allowance) => ({
      tenant: allowance.tenant,
      waiting: allowance.waiting.size,
    }));
    const askedAt = this.surroundings.runtime.clock.now();
    await this.exchange.send({ demands, waitingOnly: true }, askedAt);
  }

  private adopt(reply: whinyoke.IAllowanceReply, askedAt: number, isWaitingOnly: boolean): void {
    const now = this.surroundings.runtime.clock.now();
    // What was granted to waiting requests may not be used any more; the reserves hold on.
    const isLate = now - askedAt > WAITING_ALLOWANCE_MS;
    if (this.exchange.mustReportAll) this.askSoon(GATHER_RETURNED_MS);
    const mayAdd = !this.exchange.mayCountElsewhere(now);
    for (const { tenant, granted, added, rate, most, retryAfterMs } of reply.allowances ?? []) {
      const allowance = this.allowances.find(tenant ?? '');
      if (!allowance) continue;
      const waitMs = retryAfterMs ?? 0;
      this.counts.granted += allowance.settle(isLate ? 0 : (granted ?? 0));
      if (!isWaitingOnly && mayAdd) {
        const leased = { added: added ?? 0, rate: perSecondOf(rate), most: most ?? 0 };
        allowance.addReserve(leased, askedAt, now);
      }
      if (!isWaitingOnly && !mayAdd) allowance.renewReserve(askedAt, now);
      if (waitMs === 0) continue;
      allowance.noteExhausted(now + waitMs);
      this.refusals.refuseWaiting(allowance, waitMs);
    }
  }
}

function demandOf(allowance: TenantAllowance, askedAt: number): whinyoke.ITenantDemand {
  const { heldRate, wantedRate, ...counts } = allowance.ask(askedAt);
  return {
    ...counts,
    tenant: allowance.tenant,
    heldRate: reportedRate(heldRate ?? 0),
    wantedRate: reportedRate(wantedRate ?? 0),
  };
}
