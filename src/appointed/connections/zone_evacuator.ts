/**
 * Brings the pool of an instance into the state that the evacuation of its zone asks for; the stages are decided in
 * `src/appointed/placement/evacuated_zones.ts`. Owns nothing, relies on nothing that may fail; called often.
 */
import type { EvacuationStage } from '../placement/evacuated_zones.js';
import type { InstancePool } from './instance_pool.js';

/**
 * A transaction that waited for its caller for this long is taken for one that rests, in milliseconds: longer than usual
 * callers take between two statements. Guess, not measured.
 */
const MIN_IDLE_IN_TRANSACTION_MS = 250;

/**
 * Suspends or resumes a pool, and ends transactions that rest.
 * @param stage - undefined when the zone is not evacuated
 * @param isPrimary - whether the instance leads its group: it is used until it is replaced or the zone is closed
 * @returns how many transactions were ended
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
