/**
 * Refuses operations of tenants that are over their limit, and logs it at a bounded rate. `routing/retry_after.ts` decides
 * the retry delay that is reported to callers.
 */
import { Events } from '../../observability/events.js';
import { overLimitRetryMs } from '../routing/retry_after.js';
import type {
  AllowanceClientDependencies,
  OperationCounts,
} from './allowance_client_dependencies.js';
import type { GrantResult, TenantAllowance } from './tenant_allowance.js';

/** Minimum time between two log lines for one tenant. */
const LOG_INTERVAL_MS = 1000;

/** Refusals of one proxy. */
export class LimitRefusals {
  constructor(
    private readonly dependencies: Pick<
      AllowanceClientDependencies,
      'runtime' | 'log' | 'leaderAddress'
    >,
    private readonly counts: OperationCounts,
  ) {}

  /** Refuses one operation; `waitMs` is the time until the leader can grant the next one. */
  refuse(allowance: TenantAllowance, waitMs: number): GrantResult {
    const { random } = this.dependencies.runtime;
    this.counts.refused++;
    const retryAfterMs = overLimitRetryMs(waitMs, random.next());
    this.logRefusal(allowance, retryAfterMs);
    return { isGranted: false, cause: { kind: 'tenantOverLimit', retryAfterMs } };
  }

  /** Refuses all waiting operations of a tenant. */
  refuseWaiting(allowance: TenantAllowance, waitMs: number): void {
    for (const operation of [...allowance.waiting]) {
      operation.settle(this.refuse(allowance, waitMs));
    }
  }

  private logRefusal(allowance: TenantAllowance, retryAfterMs: number): void {
    const now = this.dependencies.runtime.clock.now();
    if (now - allowance.refusalLoggedAt < LOG_INTERVAL_MS) return;
    allowance.refusalLoggedAt = now;
    this.dependencies.log(Events.tenantOverLimit, {
      tenant: allowance.tenant,
      leader: this.dependencies.leaderAddress(),
      retry_after_ms: retryAfterMs,
    });
  }
}
