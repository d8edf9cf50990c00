/** Dependencies and counters of the operation limits at one proxy. */
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { IssuerSelector } from './issuer_selector.js';
import type { QuotaRules } from './operation_budget.js';
import type { OperationLimit } from './tenant.js';

export interface AllowanceClientDependencies {
  readonly runtime: Pick<Runtime, 'clock' | 'random' | 'messenger'>;
  readonly log: DecisionLog;
  readonly rules: QuotaRules;
  /** Identifier of the proxy. */
  readonly proxy: string;
  /** Identifier of this process of the proxy; it changes with each restart. */
  readonly incarnation: string;
  /** Selects the proxy that holds the zone's reserve of a tenant. */
  readonly issuers: IssuerSelector;
  /** Limit of a tenant in the document in force; undefined if the tenant has none or is unknown. */
  limitOf(tenant: string): OperationLimit | undefined;
  /** Address of the control leader; empty while unknown. */
  leaderAddress(): string;
}

/** Operations and requests since the start. The names are label values of a metric. */
export type OperationCounts = {
  /** Taken from a reserve of this proxy. */
  fromReserve: number;
  /** Granted by an issuer of the zone. */
  byIssuer: number;
  /** Granted by the leader. */
  granted: number;
  /** Refused because the tenant is over its limit. */
  refused: number;
  /** Refused because neither an issuer nor the leader answered in time. */
  ungranted: number;
  /** Requests that were repeated to the leader on another connection. */
  secondWay: number;
  /** Requests that an issuer did not answer within its timeout. */
  issuerLate: number;
  /** Granted by this proxy, as issuer, to other proxies. */
  issued: number;
};
