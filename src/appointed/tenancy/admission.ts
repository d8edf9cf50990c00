/**
 * Decides whether a caller's credential allows an operation. A credential is admitted if the routing document in force
 * assigns it to a tenant and the control service confirmed within `freshnessMs` that this document is the newest. A
 * credential that the document does not contain is checked once more after asking control for a newer document.
 *
 * Because an unconfirmed document stops counting, a revoked credential is refused within a bounded time even by a proxy
 * that is partitioned from control. docs/design/tenancy.md derives the bound.
 */
import { LEADERSHIP_PROOF_MAX_AGE_MS } from '../../consensus/raft_options.js';
import { Events } from '../../observability/events.js';
import type { Route, RouteTable } from '../catalog/route_table.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Clock } from '../../runtime/runtime.js';
import { NO_TENANT, type Tenant } from './tenant.js';

/** Result of checking a credential. */
type AdmissionResult =
  | { readonly outcome: 'admitted'; readonly tenant: Tenant }
  /** The credential belongs to no tenant. */
  | { readonly outcome: 'unknown' }
  /** The document in force is too old to decide. */
  | { readonly outcome: 'unproven' };

interface AdmissionDependencies {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Routing document in force. */
  table(): RouteTable | undefined;
  /** Send time of the newest request by which control confirmed that the document in force is the newest. */
  confirmedAt(): number;
  /** Requests the newest document from control; resolves on the reply or after `timeoutMs`, whichever is first. */
  refresh(timeoutMs: number): Promise<void>;
  /** How long a confirmation of the document is valid. */
  readonly freshnessMs: number;
}

const PUBLIC: AdmissionResult = {
  outcome: 'admitted',
  tenant: { name: NO_TENANT, limit: undefined },
};
const UNPROVEN: AdmissionResult = { outcome: 'unproven' };
const UNKNOWN: AdmissionResult = { outcome: 'unknown' };
/** Timeout of the request for a newer document when a credential is unknown. */
const LOOKUP_TIMEOUT_MS = 300;
/** A document confirmed more recently than this is not requested again, so unknown credentials cost at most 10 requests/s. */
const RECENT_CONFIRMATION_MS = 100;

/** Margin for clocks that drift apart within the revocation bound. */
const CLOCK_DRIFT_MARGIN_MS = 300;
/** Deducted from the revocation bound: a deposed leader may still confirm an old document while its proof is valid. */
const FRESHNESS_MARGIN_MS = LEADERSHIP_PROOF_MAX_AGE_MS + CLOCK_DRIFT_MARGIN_MS;

/** How long a confirmation may be valid so that no credential is accepted later than `revocationBoundMs` after its revocation. */
export function documentFreshnessMs(revocationBoundMs: number): number {
  return Math.max(0, revocationBoundMs - FRESHNESS_MARGIN_MS);
}

/** Checks the credentials of the callers of one proxy. */
export class Admission {
  constructor(private readonly dependencies: AdmissionDependencies) {}

  /** Checks a credential for a route against the document in force only. */
  check(credential: string, route: Route): AdmissionResult {
    if (route.isPublic) return PUBLIC;
    if (this.documentAgeMs > this.dependencies.freshnessMs) return UNPROVEN;
    const tenant = this.dependencies.table()?.tenants.findByCredential(credential);
    return tenant ? { outcome: 'admitted', tenant } : UNKNOWN;
  }

  /** Checks a credential, and requests a newer document from control if the one in force does not contain it. */
  async checkWithRefresh(credential: string, route: Route): Promise<AdmissionResult> {
    const result = this.check(credential, route);
    if (result.outcome !== 'unknown') return result;
    if (this.documentAgeMs < RECENT_CONFIRMATION_MS) return this.logUnknownCredential(route);
    const askedAt = this.dependencies.clock.now();
    await this.dependencies.refresh(LOOKUP_TIMEOUT_MS);
    const refreshedResult = this.check(credential, route);
    if (refreshedResult.outcome !== 'unknown') return refreshedResult;
    return this.dependencies.confirmedAt() >= askedAt ? this.logUnknownCredential(route) : UNPROVEN;
  }

  /** Time since the request by which control last confirmed that the document in force is the newest. */
  get documentAgeMs(): number {
    return this.dependencies.clock.now() - this.dependencies.confirmedAt();
  }

  private logUnknownCredential(route: Route): AdmissionResult {
    this.dependencies.log(Events.credentialUnknown, {
      route: route.name,
      document: this.dependencies.table()?.version ?? 0,
      document_age_ms: Math.round(this.documentAgeMs),
    });
    return UNKNOWN;
  }
}
