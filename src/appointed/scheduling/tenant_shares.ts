/** How much of an instance's time each tenant had lately. */

/** Time over which work is forgotten, in milliseconds: longer than a queue that callers can wait for. */
const MEMORY_MS = 1000;

interface TenantWork {
  workMs: number;
  notedAt: number;
}

/** Shares of the tenants of one queue. */
export class TenantShares {
  private readonly workByTenant = new Map<string, TenantWork>();

  /** @param weightOf - part of the instance that a tenant may claim, relative to that of others; above 0 */
  constructor(private readonly weightOf: (tenant: string) => number) {}

  /** Notes work that begins now, in milliseconds of the instance's time. */
  note(tenant: string, workMs: number, now: number): void {
    const present = this.workOf(tenant, now);
    this.workByTenant.set(tenant, { workMs: present + workMs, notedAt: now });
  }

  /** Work of a tenant, weighed; the one with the least has the next claim. */
  used(tenant: string, now: number): number {
    return this.workOf(tenant, now) / this.weightOf(tenant);
  }

  /** Forgets tenants whose work has faded. */
  forgetIdle(now: number): void {
    for (const [tenant, { notedAt }] of this.workByTenant) {
      if (now - notedAt > MEMORY_MS * 10) this.workByTenant.delete(tenant);
    }
  }

  private workOf(tenant: string, now: number): number {
    const work = this.workByTenant.get(tenant);
    return work ? work.workMs * Math.exp(-(now - work.notedAt) / MEMORY_MS) : 0;
  }
}
