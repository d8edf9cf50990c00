/**
 * Applies the evacuation stage of a zone to the pool of an instance. The stages are decided in
 * `src/appointed/placement/evacuated_zones.ts`.
 */
import type { EvacuationStage } from '../placement/evacuated_zones.js';
import type { InstancePool } from './instance_pool.js';

/**
 * A transaction that waited this long for its caller counts as idle: longer than callers usually
 * take between two statements.
 */
const MIN_IDLE_IN_TRANSACTION_MS = 250;

/**
 * Suspends or resumes a pool, and ends idle transactions.
 * @param stage - undefined if the zone is not evacuated
 * @param isPrimary - whether the instance leads its group: a primary is used until it is replaced
 *   or the zone is closed
 * @returns number of transactions ended
 */
export function evacuatePool(
  pool: InstancePool,
  stage: EvacuationStage | undefined,
  isPrimary: boolean,
): number {
  if (stage === undefined) {
    pool.resume();
    return 0;
  }
  if (stage === 'closed' || !isPrimary) pool.suspend();
  if (stage === 'begun') return 0;
  return pool.closeIdleTransactions(stage === 'closed' ? 0 : MIN_IDLE_IN_TRANSACTION_MS);
}
