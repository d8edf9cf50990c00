/**
 * Refusals of operations over the limit of their tenant; when callers should come back is decided in
 * `routing/retry_after.ts`. Owns the spacing of log lines; relies on nothing that may fail.
 */
import { Events } from '../../observability/events.js';
import { overLimitRetryMs } from '../routing/retry_after.js';
import type {
  AllowanceClientDependencies,
  OperationCounts,
} from './allowance_client_dependencies.js';
import type { GrantResult, TenantAllowance } from './tenant_allowance.js';

/** Time between two log lines for one tenant, in milliseconds: one line a second can be read. Guess, not measured. */
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

  /** Refuses one operation; `waitMs` is the time until the leader may grant the next one, in milliseconds. */
  refuse(allowance: TenantAllowance, waitMs: number): GrantResult {
    const { random } = this.dependencies.runtime;
    this.counts.refused++;
    const retryAfterMs = overLimitRetryMs(waitMs, random.next());
    this.logRefusal(allowance, retryAfterMs);
    return { isGranted: false, cause: { kind: 'tenantOverLimit', retryAfterMs } };
  }

  /** Refuses all operations that wait for an allowance of a tenant. */
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
