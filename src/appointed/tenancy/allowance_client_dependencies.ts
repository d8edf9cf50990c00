/** What the proxy's side of the limit on operations needs of its proxy. The leader may be unknown or not answer. */
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { IssuerSelector } from './issuer_selector.js';
import type { QuotaRules } from './operation_budget.js';
import type { OperationLimit } from './tenant.js';

/** Surroundings of the allowances of one proxy. */
export interface AllowanceClientDependencies {
  readonly runtime: Pick<Runtime, 'clock' | 'random' | 'messenger'>;
  readonly log: DecisionLog;
  readonly rules: QuotaRules;
  /** Identifier of the proxy. */
  readonly proxy: string;
  /** Identifier of this run of the proxy. */
  readonly incarnation: string;
  /** Who holds the reserves of this proxy's zone. */
  readonly issuers: IssuerSelector;
  /** Limit of a tenant in the document in force; undefined where it has none or is unknown. */
  limitOf(tenant: string): OperationLimit | undefined;
  /** Address of the leading control machine; empty while unknown. */
  leaderAddress(): string;
}

/** How operations were counted, since the start. The names are those of the metric. */
export type OperationCounts = {
  /** Out of a reserve of this proxy. */
  fromReserve: number;
  /** Granted by an issuer of the zone. */
  byIssuer: number;
  /** Granted by the leader. */
  granted: number;
  /** Over the limit. */
  refused: number;
  /** Refused for want of a grant: nobody answered in time. */
  ungranted: number;
  /** Requests to the leader that were sent a second time. */
  secondWay: number;
  /** Requests to an issuer whose answer was late. */
  issuerLate: number;
  /** Granted to other proxies, as their issuer. */
  issued: number;
};
