/** Tenants of a routing document: their credentials and operation limits. */
import { InvalidDocumentError } from '../../errors/errors.js';

/** Limit on the operations of a tenant across all proxies. */
export interface OperationLimit {
  /** Sustained rate, in operations/s. */
  readonly ratePerSecond: number;
  /** Operations that may arrive at once after a pause. */
  readonly burst: number;
}

/** A tenant without its credentials, so that it can be logged safely. */
export interface Tenant {
  readonly name: string;
  /** Undefined if the tenant has no limit. */
  readonly limit: OperationLimit | undefined;
  /** Regions that may serve its requests; undefined if there is no restriction. */
  readonly allowedRegions?: ReadonlySet<string> | undefined;
}

export interface TenantWithCredentials {
  readonly tenant: Tenant;
  readonly credentials: readonly string[];
}

/** Tenant name of the proxy's own connections, and of all connections in a deployment without tenants. */
export const NO_TENANT = '';

/** All tenants of one document. Immutable; credentials can be looked up but not listed, so they cannot leak into logs. */
export class TenantDirectory {
  readonly #tenantByCredential = new Map<string, Tenant>();
  readonly #tenantByName = new Map<string, Tenant>();

  /** @throws InvalidDocumentError if two tenants share a name or a credential; the message contains no credential */
  constructor(tenants: readonly TenantWithCredentials[]) {
    for (const { tenant, credentials } of tenants) {
      if (this.#tenantByName.has(tenant.name)) {
        throw new InvalidDocumentError(`two tenants are named ${tenant.name}`);
      }
      this.#tenantByName.set(tenant.name, tenant);
      for (const credential of credentials) this.#add(credential, tenant);
    }
  }

  findByCredential(credential: string): Tenant | undefined {
    return this.#tenantByCredential.get(credential);
  }

  findByName(name: string): Tenant | undefined {
    return this.#tenantByName.get(name);
  }

  /** Names of all tenants. */
  get names(): string[] {
    return [...this.#tenantByName.keys()];
  }

  get size(): number {
    return this.#tenantByName.size;
  }

  #add(credential: string, tenant: Tenant): void {
    const holder = this.#tenantByCredential.get(credential);
    if (holder && holder.name !== tenant.name) {
      throw new InvalidDocumentError(
        `tenants ${holder.name} and ${tenant.name} share a credential`,
      );
    }
    this.#tenantByCredential.set(credential, tenant);
  }
}
