/**
 * Requests operations for waiting callers from the issuers of the zone. At most one request per issuer is in flight, and it
 * carries all operations queued for that issuer. Operations that the issuer does not grant, because it times out, refuses
 * or has too few left, are requested from the leader.
 */
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type {
  AllowanceClientDependencies,
  OperationCounts,
} from './allowance_client_dependencies.js';
import { AdaptiveTimeout } from './adaptive_timeout.js';
import type { IssuerSelector } from './issuer_selector.js';
import type { LimitRefusals } from './limit_refusals.js';
import { GRANT_VALIDITY_MS } from './operation_budget.js';
import { GRANTED, type TenantAllowance, type WaitingOperation } from './tenant_allowance.js';

/** Logged as the reason when an issuer refuses because it is about to stop. */
const REFUSED_REASON = 'refused';

interface QueuedOperation {
  readonly allowance: TenantAllowance;
  readonly operation: WaitingOperation;
}

/** Requests an operation that the issuer did not grant from the leader. */
type LeaderFallback = (allowance: TenantAllowance, operation: WaitingOperation) => void;

/** Requests of one proxy to the issuers of its zone. */
export class IssuerRequests {
  private readonly queues = new Map<string, QueuedOperation[]>();
  private readonly busyIssuers = new Set<string>();
  private readonly responseTimeout = new AdaptiveTimeout();

  constructor(
    private readonly dependencies: Pick<AllowanceClientDependencies, 'runtime' | 'log'>,
    private readonly selector: IssuerSelector,
    private readonly refusals: LimitRefusals,
    private readonly counts: OperationCounts,
    private readonly fallBackToLeader: LeaderFallback,
  ) {}

  /** Queues one operation for the next request to an issuer. */
  enqueue(issuer: string, queued: QueuedOperation): void {
    const queue = this.queues.get(issuer) ?? [];
    queue.push(queued);
    this.queues.set(issuer, queue);
    if (!this.busyIssuers.has(issuer)) void this.drainQueue(issuer);
  }

  /** Sends requests, one at a time, until the queue is empty. Never rejects. */
  private async drainQueue(issuer: string): Promise<void> {
    this.busyIssuers.add(issuer);
    for (;;) {
      const batch = this.queues.get(issuer) ?? [];
      this.queues.delete(issuer);
      if (batch.length === 0) break;
      await this.sendBatch(issuer, batch);
    }
    this.busyIssuers.delete(issuer);
  }

  /** Resolves on the reply or at the timeout. Grants that arrive later still serve operations that are waiting. */
  private async sendBatch(issuer: string, batch: readonly QueuedOperation[]): Promise<void> {
    const { clock } = this.dependencies.runtime;
    await new Promise<void>((resolve) => {
      const timer = clock.setTimer(this.responseTimeout.timeoutMs, () => {
        this.counts.issuerLate++;
        this.failOverToLeader(issuer, batch, 'no answer within the timeout');
        resolve();
      });
      void this.exchangeBatch(issuer, batch).finally(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  private async exchangeBatch(issuer: string, batch: readonly QueuedOperation[]): Promise<void> {
    const { clock, messenger } = this.dependencies.runtime;
    const askedAt = clock.now();
    const demands = demandsOf(batch);
    try {
      const body = { allowanceRequest: { demands } };
      const { allowanceReply } = await messenger.request(issuer, body, GRANT_VALIDITY_MS);
      const responseMs = clock.now() - askedAt;
      this.responseTimeout.recordResponse(responseMs);
      if (!allowanceReply?.accepted) this.failOverToLeader(issuer, batch, REFUSED_REASON);
      else if (responseMs <= GRANT_VALIDITY_MS) this.applyReply(allowanceReply, batch);
    } catch (error) {
      this.failOverToLeader(issuer, batch, messageOf(error));
    }
  }

  private applyReply(reply: whinyoke.IAllowanceReply, batch: readonly QueuedOperation[]): void {
    const allowances = new Map((reply.allowances ?? []).map((item) => [item.tenant ?? '', item]));
    const remainingGrants = new Map(
      [...allowances].map(([tenant, { granted }]) => [tenant, granted ?? 0]),
    );
    for (const { allowance, operation } of batch) {
      const { tenant } = allowance;
      const granted = remainingGrants.get(tenant) ?? 0;
      if (!operation.isOpen) continue;
      if (granted > 0) {
        remainingGrants.set(tenant, granted - 1);
        this.counts.byIssuer++;
        operation.settle(GRANTED);
        continue;
      }
      const waitMs = allowances.get(tenant)?.retryAfterMs ?? 0;
      if (waitMs > 0) operation.settle(this.refusals.refuse(allowance, waitMs));
      else this.fallBackToLeader(allowance, operation);
    }
  }

  private failOverToLeader(
    issuer: string,
    batch: readonly QueuedOperation[],
    reason: string,
  ): void {
    const open = batch.filter(({ operation }) => operation.isOpen);
    const now = this.dependencies.runtime.clock.now();
    this.selector.exclude(issuer, now, reason === REFUSED_REASON);
    this.dependencies.log(Events.issuerPassedOver, { issuer, reason, waiting: open.length });
    for (const { allowance, operation } of open) this.fallBackToLeader(allowance, operation);
  }
}

function demandsOf(batch: readonly QueuedOperation[]): whinyoke.ITenantDemand[] {
  const waiting = new Map<string, number>();
  for (const { allowance, operation } of batch) {
    if (!operation.isOpen) continue;
    waiting.set(allowance.tenant, (waiting.get(allowance.tenant) ?? 0) + 1);
  }
  return [...waiting].map(([tenant, count]) => ({ tenant, waiting: count }));
}
