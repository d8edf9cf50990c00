/**
 * Tracks how much of an instance's time each tenant used recently, so that requests of equal priority are served in turn
 * although one tenant sends several times its usual load.
 *
 * Usage decays exponentially and is divided by the tenant's weight, which derives from its configured rate. No I/O; callers
 * pass the time.
 */

/** Time constant of the decay; longer than requests wait in the queue. */
const DECAY_TIME_CONSTANT_MS = 1000;
/** Time constants without work after which a tenant is removed; only e^-10 of its usage is left then. */
const REMOVE_AFTER_TIME_CONSTANTS = 10;

interface TenantWork {
  workMs: number;
  updatedAt: number;
}

/** Recent usage of one instance by all tenants. */
export class TenantUsage {
  private readonly workByTenant = new Map<string, TenantWork>();

  /** @param weightOf - share of the instance that a tenant may use, relative to other tenants; above 0 */
  constructor(private readonly weightOf: (tenant: string) => number) {}

  /** Adds work that starts now, in milliseconds of the instance's time. */
  add(tenant: string, workMs: number, now: number): void {
    const currentMs = this.workOf(tenant, now);
    this.workByTenant.set(tenant, { workMs: currentMs + workMs, updatedAt: now });
  }

  /** Recent usage of a tenant in milliseconds, divided by its weight. */
  weightedUsage(tenant: string, now: number): number {
    return this.workOf(tenant, now) / this.weightOf(tenant);
  }

  /** Removes tenants whose usage has decayed. */
  removeIdle(now: number): void {
    for (const [tenant, { updatedAt }] of this.workByTenant) {
      if (now - updatedAt > DECAY_TIME_CONSTANT_MS * REMOVE_AFTER_TIME_CONSTANTS)
        this.workByTenant.delete(tenant);
    }
  }

  private workOf(tenant: string, now: number): number {
    const work = this.workByTenant.get(tenant);
    return work ? work.workMs * Math.exp(-(now - work.updatedAt) / DECAY_TIME_CONSTANT_MS) : 0;
  }
}
