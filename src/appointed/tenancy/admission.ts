/**
 * DECISION: whether a caller's credential allows an operation now. Owns nothing; relies on the document in force and on control,
 * which may be out of reach: then credentials count until the document is too old, and no longer.
 *
 * Answers: credentials are added and taken away while proxies may be cut off from control.
 * Inputs: the document in force; the age of control's newest confirmation that it is the newest (ms); the longest age at
 * which it counts (ms).
 * Rule: a credential is admitted when a confirmed document names its tenant. One that the document does not know is looked up
 * once more in the newest document of control. So a credential that was taken away is soon refused everywhere, also by a
 * proxy that nobody reaches.
 * Shown by: docs/design/tenancy.md for the bound; test/unit/tenancy.test.ts, test/simulation/tenancy.test.ts.
 */
import { LEADERSHIP_PROOF_MAX_AGE_MS } from '../../consensus/raft_options.js';
import { Events } from '../../observability/events.js';
import type { Route, RouteTable } from '../catalog/route_table.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Clock } from '../../runtime/runtime.js';
import { NO_TENANT, type Tenant } from './tenant.js';

/** What a credential allows. */
type AdmissionResult =
  | { readonly outcome: 'admitted'; readonly tenant: Tenant }
  /** No tenant holds the credential. */
  | { readonly outcome: 'unknown' }
  /** Whether a tenant holds it is not known now. */
  | { readonly outcome: 'unproven' };

/** What the decision needs of its process. */
interface AdmissionDependencies {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Document in force. */
  table(): RouteTable | undefined;
  /** When the newest request was sent that control answered with the newest document. */
  confirmedAt(): number;
  /** Asks control for the newest document; resolves when it answered, after `timeoutMs` at the latest. */
  refresh(timeoutMs: number): Promise<void>;
  /** How long a confirmation of the document counts, in milliseconds. */
  readonly freshnessMs: number;
}

const PUBLIC: AdmissionResult = {
  outcome: 'admitted',
  tenant: { name: NO_TENANT, limit: undefined },
};
const UNPROVEN: AdmissionResult = { outcome: 'unproven' };
const UNKNOWN: AdmissionResult = { outcome: 'unknown' };
/** Time for control to answer whether a newer document knows a credential, in milliseconds. Guess, not measured. */
const LOOKUP_TIMEOUT_MS = 300;
/**
 * A document that was confirmed within this time is not asked for again, in milliseconds, so that unknown credentials cost
 * at most ten requests a second. Guess, not measured.
 */
const RECENT_CONFIRMATION_MS = 100;

/** Difference of clocks that run at different speeds within the bound, in milliseconds. Guess, not measured. */
const CLOCK_DRIFT_MARGIN_MS = 300;
/**
 * Time of the bound on revoked credentials that is lost, in milliseconds: a leader that has a successor may answer for as
 * long as its proof counts.
 */
const FRESHNESS_MARGIN_MS = LEADERSHIP_PROOF_MAX_AGE_MS + CLOCK_DRIFT_MARGIN_MS;

/** How long a confirmed document may count so that no credential is used later than `boundMs` after it was taken away. */
export function documentFreshnessMs(revocationBoundMs: number): number {
  return Math.max(0, revocationBoundMs - FRESHNESS_MARGIN_MS);
}

/** Admission of one proxy. */
export class Admission {
  constructor(private readonly dependencies: AdmissionDependencies) {}

  /** What a credential allows on a route, as far as this process knows. */
  check(credential: string, route: Route): AdmissionResult {
    if (route.isPublic) return PUBLIC;
    if (this.documentAgeMs > this.dependencies.freshnessMs) return UNPROVEN;
    const tenant = this.dependencies.table()?.tenants.findByCredential(credential);
    return tenant ? { outcome: 'admitted', tenant } : UNKNOWN;
  }

  /** Checks a credential, and asks control for a newer document where the one in force does not know it. */
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

  /** Milliseconds since control confirmed, at the latest, that the document in force is the newest. */
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
