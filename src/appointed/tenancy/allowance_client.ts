/**
 * A proxy's side of the limit on operations: takes operations out of its reserves, and has the leading control machine asked
 * where it has none. Owns the counts; relies on the leader, which may not answer: callers then wait for a part of their
 * objective and are refused.
 */
import type { AdmittedOperation } from './admitted_operation.js';
import { AllowanceRequests } from './allowance_requests.js';
import type { AllowanceSurroundings, OperationCounts } from './allowance_surroundings.js';
import { LimitRefusals } from './limit_refusals.js';
import { isReturnable } from './operation_budget.js';
import type { Tenant } from './tenant.js';
import { type OperationVerdict, GRANTED, type TenantAllowance } from './tenant_allowance.js';
import { TenantAllowances } from './tenant_allowances.js';

/** Client of one proxy. */
export class AllowanceClient {
  /** How operations were counted, since the start. */
  readonly counts: OperationCounts = {
    fromReserve: 0,
    granted: 0,
    refused: 0,
    ungranted: 0,
    secondWay: 0,
  };
  private readonly allowances = new TenantAllowances();
  private readonly refusals: LimitRefusals;
  private readonly requests: AllowanceRequests;

  constructor(private readonly surroundings: AllowanceSurroundings) {
    const { allowances, counts } = this;
    this.refusals = new LimitRefusals(surroundings, counts);
    this.requests = new AllowanceRequests(surroundings, allowances, this.refusals, counts);
  }

  /** Stops. */
  stop(): void {
    this.requests.stop();
  }

  /** Asks for one operation of a tenant; resolves after `longestWaitMs` at the latest. */
  take(tenant: Tenant, longestWaitMs: number): Promise<OperationVerdict> | OperationVerdict {
    const { limit } = tenant;
    if (!limit) return GRANTED;
    const now = this.surroundings.runtime.clock.now();
    const allowance = this.allowances.of(tenant.name, now);
    allowance.note(limit, this.surroundings.rules, now);
    this.requests.noteLeader();
    if (allowance.takeReserve(now)) {
      this.counts.fromReserve++;
      this.requests.askSoon();
      return GRANTED;
    }
    const exhaustedMs = allowance.exhaustedFor(now);
    if (exhaustedMs > 0) return this.refusals.refuse(allowance, exhaustedMs);
    return this.waitForGrant(allowance, longestWaitMs);
  }

  /** Gives an operation back that was counted and did not run. */
  giveBack({ tenant, countedAt, hasRun }: AdmittedOperation): void {
    const now = this.surroundings.runtime.clock.now();
    if (!tenant.limit || hasRun || !isReturnable(now - countedAt)) return;
    this.allowances.of(tenant.name, now).giveBack();
    this.requests.askSoon();
  }

  private waitForGrant(
    allowance: TenantAllowance,
    longestWaitMs: number,
  ): Promise<OperationVerdict> {
    const { clock } = this.surroundings.runtime;
    return new Promise((resolve) => {
      const timer = clock.setTimer(longestWaitMs, () => {
        allowance.waiting.delete(operation);
        this.counts.ungranted++;
        resolve({ isGranted: false, cause: { kind: 'noGrant' } });
      });
      const operation = {
        settle: (verdict: OperationVerdict): void => {
          timer.cancel();
          if (verdict.isGranted) this.counts.granted++;
          resolve(verdict);
        },
      };
      allowance.waiting.add(operation);
      void this.requests.run();
    });
  }
}
