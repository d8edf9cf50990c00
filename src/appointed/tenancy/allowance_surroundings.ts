/** What the proxy's side of the limit on operations needs of its proxy. The leader may be unknown or not answer. */
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { QuotaRules } from './operation_budget.js';

/** Surroundings of the allowances of one proxy. */
export interface AllowanceSurroundings {
  readonly runtime: Pick<Runtime, 'clock' | 'random' | 'messenger'>;
  readonly log: DecisionLog;
  readonly rules: QuotaRules;
  /** Identifier of the proxy. */
  readonly proxy: string;
  /** Identifier of this run of the proxy. */
  readonly incarnation: string;
  /** Address of the leading control machine; empty while unknown. */
  leaderAddress(): string;
}

/** How operations were counted, since the start. The names are those of the metric. */
export type OperationCounts = {
  fromReserve: number;
  granted: number;
  refused: number;
  ungranted: number;
  secondWay: number;
};
