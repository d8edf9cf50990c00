/**
 * Tenants: who holds which credential, and how many operations each may run over all proxies. Owns the credentials of one
 * document, which can't be read out; relies on nothing that may fail.
 */
import { InvalidDocumentError } from '../../errors/errors.js';

/** Limit on the operations of a tenant, over all proxies. */
export interface OperationLimit {
  /** Operations a second in the long run. */
  readonly ratePerSecond: number;
  /** Operations that may come at once after a pause. */
  readonly burst: number;
}

/** One tenant. Holds no credential, so that it may be logged. */
export interface Tenant {
  /** Name in the document; it may be logged. */
  readonly name: string;
  /** Undefined where the tenant may run any number. */
  readonly limit: OperationLimit | undefined;
  /** Regions to which its requests are bound; undefined where they may be served anywhere. */
  readonly allowedRegions?: ReadonlySet<string> | undefined;
}

/** A tenant with the credentials that it holds. */
export interface TenantWithCredentials {
  readonly tenant: Tenant;
  readonly credentials: readonly string[];
}

/** Name under which the system opens connections for itself, and where there are no tenants. */
export const NO_TENANT = '';

/** All tenants of one document. Immutable; credentials can be looked up but not read out. */
export class TenantDirectory {
  readonly #tenantByCredential = new Map<string, Tenant>();
  readonly #tenantByName = new Map<string, Tenant>();

  /** @throws InvalidDocumentError when two tenants hold one credential or have one name; names no credential */
  constructor(tenants: readonly TenantWithCredentials[]) {
    for (const { tenant, credentials } of tenants) {
      if (this.#tenantByName.has(tenant.name)) {
        throw new InvalidDocumentError(`two tenants are named ${tenant.name}`);
      }
      this.#tenantByName.set(tenant.name, tenant);
      for (const credential of credentials) this.#add(credential, tenant);
    }
  }

  /** Tenant that holds a credential. */
  findByCredential(credential: string): Tenant | undefined {
    return this.#tenantByCredential.get(credential);
  }

  /** Tenant of that name. */
  findByName(name: string): Tenant | undefined {
    return this.#tenantByName.get(name);
  }

  /** Number of tenants. */
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
