/** The allowances of all tenants that were used lately at one proxy. Owns them; relies on nothing that may fail. */
import { type ReserveLease, TenantAllowance } from './tenant_allowance.js';

/**
 * Tenants that nobody asked for are forgotten after this time, in milliseconds: longer than any reserve lasts. Guess, not
 * measured.
 */
const IDLE_RETENTION_MS = 10_000;

/** Allowances of one proxy. */
export class TenantAllowances {
  /** Until when reserves may be used; a simulation takes it away. */
  lease: ReserveLease | undefined;
  private readonly byTenant = new Map<string, TenantAllowance>();

  /** Allowance of a tenant; a new one where the tenant was not used lately. */
  getOrCreate(tenant: string, now: number): TenantAllowance {
    let allowance = this.byTenant.get(tenant);
    if (!allowance) {
      allowance = new TenantAllowance(tenant, now, this.lease);
      this.byTenant.set(tenant, allowance);
    }
    return allowance;
  }

  /** Allowance of a tenant that was used lately. */
  find(tenant: string): TenantAllowance | undefined {
    return this.byTenant.get(tenant);
  }

  /** Those that the leader should be asked for; all that hold reserves too, where it has to know everything. */
  needingRequest(now: number, isComplete: boolean): readonly TenantAllowance[] {
    return [...this.byTenant.values()].filter(
      (allowance) =>
        allowance.waiting.size > 0 ||
        allowance.shouldRequestReserve(now) ||
        (isComplete && allowance.hasReserve(now)),
    );
  }

  /** Those for which requests of callers wait. */
  get waiting(): readonly TenantAllowance[] {
    return [...this.byTenant.values()].filter(({ waiting }) => waiting.size > 0);
  }

  /** All of them. */
  get all(): Iterable<TenantAllowance> {
    return this.byTenant.values();
  }

  /** Drops those that nobody asked for lately. */
  evictIdle(now: number): void {
    for (const [tenant, { lastRequestedAt }] of this.byTenant) {
      if (now - lastRequestedAt >= IDLE_RETENTION_MS) this.byTenant.delete(tenant);
    }
  }
}
