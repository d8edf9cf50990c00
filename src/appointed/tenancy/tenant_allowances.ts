/** Allowances of the tenants that recently sent operations through one proxy. */
import { type ReserveLease, TenantAllowance } from './tenant_allowance.js';

/** Longer than any reserve lease, so that no valid reserve is evicted. */
const IDLE_RETENTION_MS = 10_000;

export class TenantAllowances {
  /** Overrides the lease of new reserves; set by simulations that disable leases. */
  lease: ReserveLease | undefined;
  private readonly byTenant = new Map<string, TenantAllowance>();

  getOrCreate(tenant: string, now: number): TenantAllowance {
    let allowance = this.byTenant.get(tenant);
    if (!allowance) {
      allowance = new TenantAllowance(tenant, now, this.lease);
      this.byTenant.set(tenant, allowance);
    }
    return allowance;
  }

  /** Allowance of a tenant; undefined if it had no recent operations. */
  find(tenant: string): TenantAllowance | undefined {
    return this.byTenant.get(tenant);
  }

  /** Allowances to include in the next request; with `isComplete` also all that have a reserve. */
  needingRequest(now: number, isComplete: boolean): readonly TenantAllowance[] {
    return [...this.byTenant.values()].filter(
      (allowance) =>
        allowance.waiting.size > 0 ||
        allowance.shouldRequestReserve(now) ||
        (isComplete && allowance.hasReserve(now)),
    );
  }

  /** Allowances with waiting callers. */
  get waiting(): readonly TenantAllowance[] {
    return [...this.byTenant.values()].filter(({ waiting }) => waiting.size > 0);
  }

  get all(): Iterable<TenantAllowance> {
    return this.byTenant.values();
  }

  evictIdle(now: number): void {
    for (const [tenant, { lastRequestedAt }] of this.byTenant) {
      if (now - lastRequestedAt >= IDLE_RETENTION_MS) this.byTenant.delete(tenant);
    }
  }
}
