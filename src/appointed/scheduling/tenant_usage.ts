/**
 * Decision: how much of an instance each tenant used recently, the measure by which requests of equal priority take turns.
 * Pure: each call is told the time.
 *
 * Load that it answers: a full instance, and one tenant that sends several times its usual.
 *
 * Inputs: work of each statement that starts (milliseconds of the instance's time), weight of each tenant (a ratio, from its
 * configured rate), the time (milliseconds).
 *
 * Rule: work fades exponentially, and is divided by the tenant's weight.
 *
 * docs/design/scheduling.md: of the other tenants beside one at seven times its usual, 1.000 are answered in time, 0.269 by
 * priority and arrival alone (test/unit/scheduling.test.ts).
 */

/**
 * Time constant of the fading, in milliseconds: longer than a queue that callers can wait for. Guess, not measured; the
 * replays in docs/design/scheduling.md were made with it.
 */
const DECAY_TIME_CONSTANT_MS = 1000;
/** A tenant without work for so many time constants (a count) is forgotten: e^-10 of its work is left. */
const REMOVE_AFTER_TIME_CONSTANTS = 10;

interface TenantWork {
  workMs: number;
  updatedAt: number;
}

/** Recent use of one instance by all tenants. */
export class TenantUsage {
  private readonly workByTenant = new Map<string, TenantWork>();

  /** @param weightOf - part of the instance that a tenant may claim, relative to that of others; above 0 */
  constructor(private readonly weightOf: (tenant: string) => number) {}

  /** Adds work that begins now, in milliseconds of the instance's time. */
  add(tenant: string, workMs: number, now: number): void {
    const currentMs = this.workOf(tenant, now);
    this.workByTenant.set(tenant, { workMs: currentMs + workMs, updatedAt: now });
  }

  /** Recent use of a tenant by its weight, in milliseconds; the one with the least comes first. */
  weightedUsage(tenant: string, now: number): number {
    return this.workOf(tenant, now) / this.weightOf(tenant);
  }

  /** Forgets tenants whose work has faded. */
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
