/**
 * Asks issuers of the own zone for operations that wait. One request at a time to each issuer carries all that waits for it. Owns what
 * waits; relies on issuers, which may not answer, answer late, or have too little: what is left is passed on to the leader.
 */
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { AllowanceSurroundings, OperationCounts } from './allowance_surroundings.js';
import { AnswerTime } from './answer_time.js';
import type { IssuerChoice } from './issuer_choice.js';
import type { LimitRefusals } from './limit_refusals.js';
import { WAITING_ALLOWANCE_MS } from './operation_budget.js';
import { GRANTED, type TenantAllowance, type WaitingOperation } from './tenant_allowance.js';

/** Reason of an issuer that is to stop, in log lines. */
const REFUSED = 'refused';

/** An operation that waits for an issuer. */
interface QueuedOperation {
  readonly allowance: TenantAllowance;
  readonly operation: WaitingOperation;
}

/** Hands an operation that no issuer granted to the leader. */
type PassOn = (allowance: TenantAllowance, operation: WaitingOperation) => void;

/** Requests of one proxy to issuers. */
export class IssuerRequests {
  private readonly queues = new Map<string, QueuedOperation[]>();
  private readonly busy = new Set<string>();
  private readonly answerTime = new AnswerTime();

  constructor(
    private readonly surroundings: Pick<AllowanceSurroundings, 'runtime' | 'log'>,
    private readonly choice: IssuerChoice,
    private readonly refusals: LimitRefusals,
    private readonly counts: OperationCounts,
    private readonly passOn: PassOn,
  ) {}

  /** Has an issuer asked for one operation. */
  add(issuer: string, queued: QueuedOperation): void {
    const queue = this.queues.get(issuer) ?? [];
    queue.push(queued);
    this.queues.set(issuer, queue);
    if (!this.busy.has(issuer)) void this.run(issuer);
  }

  /** Asks for as long as something waits: one request after the other. Never rejects. */
  private async run(issuer: string): Promise<void> {
    this.busy.add(issuer);
    for (;;) {
      const batch = this.queues.get(issuer) ?? [];
      this.queues.delete(issuer);
      if (batch.length === 0) break;
      await this.ask(issuer, batch);
    }
    this.busy.delete(issuer);
  }

  /** Resolves when the issuer answered, or is late; what it grants later still counts for those that wait. */
  private async ask(issuer: string, batch: readonly QueuedOperation[]): Promise<void> {
    const { clock } = this.surroundings.runtime;
    await new Promise<void>((resolve) => {
      const timer = clock.setTimer(this.answerTime.lateAfterMs, () => {
        this.counts.issuerLate++;
        this.giveUp(issuer, batch, 'late');
        resolve();
      });
      void this.exchange(issuer, batch).finally(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  private async exchange(issuer: string, batch: readonly QueuedOperation[]): Promise<void> {
    const { clock, messenger } = this.surroundings.runtime;
    const askedAt = clock.now();
    const demands = demandsOf(batch);
    try {
      const body = { allowanceRequest: { demands } };
      const { allowanceReply } = await messenger.request(issuer, body, WAITING_ALLOWANCE_MS);
      const tookMs = clock.now() - askedAt;
      this.answerTime.note(tookMs);
      if (!allowanceReply?.accepted) this.giveUp(issuer, batch, REFUSED);
      else if (tookMs <= WAITING_ALLOWANCE_MS) this.adopt(allowanceReply, batch);
    } catch (error) {
      this.giveUp(issuer, batch, messageOf(error));
    }
  }

  private adopt(reply: whinyoke.IAllowanceReply, batch: readonly QueuedOperation[]): void {
    const allowances = new Map((reply.allowances ?? []).map((item) => [item.tenant ?? '', item]));
    const left = new Map([...allowances].map(([tenant, { granted }]) => [tenant, granted ?? 0]));
    for (const { allowance, operation } of batch) {
      const { tenant } = allowance;
      const granted = left.get(tenant) ?? 0;
      if (!operation.isOpen) continue;
      if (granted > 0) {
        left.set(tenant, granted - 1);
        this.counts.byIssuer++;
        operation.settle(GRANTED);
        continue;
      }
      const waitMs = allowances.get(tenant)?.retryAfterMs ?? 0;
      if (waitMs > 0) operation.settle(this.refusals.refuse(allowance, waitMs));
      else this.passOn(allowance, operation);
    }
  }

  private giveUp(issuer: string, batch: readonly QueuedOperation[], reason: string): void {
    const open = batch.filter(({ operation }) => operation.isOpen);
    const now = this.surroundings.runtime.clock.now();
    this.choice.passOver(issuer, now, reason === REFUSED);
    this.surroundings.log(Events.issuerPassedOver, { issuer, reason, waiting: open.length });
    for (const { allowance, operation } of open) this.passOn(allowance, operation);
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
