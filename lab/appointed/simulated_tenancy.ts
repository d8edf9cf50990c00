/** Tenants of a simulation: their credentials over time, and what a history must keep to. */
import type { TenantWithCredentials } from '../../src/appointed/tenancy/tenant.js';
import type { TenancyOfDeployment } from './appointed_deployment.js';

/** Who held which credential in one version of the document. */
interface SentVersion {
  readonly version: number;
  readonly holders: ReadonlyMap<string, string>;
  acknowledgedAt: number;
}

const MILLISECONDS = 1000;

/** Tenants of one run. */
export class SimulatedTenancy {
  private readonly credentialsByTenant = new Map<string, string>();
  private readonly versions: SentVersion[] = [];
  private nextCredential = 1;

  constructor(readonly options: TenancyOfDeployment) {
    for (const index of options.rates.keys()) this.renew(`t${index + 1}`);
  }

  /** Names of all tenants. */
  get tenants(): readonly string[] {
    return [...this.credentialsByTenant.keys()];
  }

  /** Present credential of a caller, whose number picks the tenant. */
  credentialFor(caller: number): string {
    const tenant = this.tenants[caller % this.tenants.length]!;
    return this.credentialsByTenant.get(tenant)!;
  }

  /** Gives a tenant another credential; the former one is nobody's from the next version on. */
  renew(tenant: string): void {
    this.credentialsByTenant.set(tenant, `key-${this.nextCredential++}`);
  }

  /** Two tenants change their credentials with each other. */
  swap(left: string, right: string): void {
    const kept = this.credentialsByTenant.get(left)!;
    this.credentialsByTenant.set(left, this.credentialsByTenant.get(right)!);
    this.credentialsByTenant.set(right, kept);
  }

  /** Tenants as the next version of the document names them. */
  get grants(): readonly TenantWithCredentials[] {
    return this.tenants.map((name, index) => {
      const rate = this.options.rates[index]!;
      const limit = { ratePerSecond: rate, burst: rate };
      return { tenant: { name, limit }, credentials: [this.credentialsByTenant.get(name)!] };
    });
  }

  /** A version is sent to control. */
  noteSent(version: number): void {
    const holders = new Map<string, string>();
    for (const [tenant, credential] of this.credentialsByTenant) holders.set(credential, tenant);
    this.versions.push({ version, holders, acknowledgedAt: Infinity });
  }

  /** A version was acknowledged. */
  noteAcknowledged(version: number, now: number): void {
    const sent = this.versions.find((item) => item.version === version);
    if (sent) sent.acknowledgedAt = Math.min(sent.acknowledgedAt, now);
  }

  /** Whether a statement that was sent at a time with a credential may run for a tenant. */
  allows(tenant: string, credential: string, sentAt: number): boolean {
    return this.versions.some(
      ({ version, holders }) => holders.get(credential) === tenant && !this.isOver(version, sentAt),
    );
  }

  /** Most operations of a tenant in one window. */
  mostInWindow(tenant: string): number {
    const { quotaRules, rates } = this.options;
    const rate = rates[this.tenants.indexOf(tenant)] ?? 0;
    const perWindow = (rate * quotaRules.windowMs) / MILLISECONDS + rate;
    return perWindow * (1 + quotaRules.overage) + quotaRules.tolerance;
  }

  private isOver(version: number, sentAt: number): boolean {
    return this.versions.some(
      (later) =>
        later.version > version && later.acknowledgedAt + this.options.revocationMs < sentAt,
    );
  }
}
