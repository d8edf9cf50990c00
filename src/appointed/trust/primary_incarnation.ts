/**
 * DECISION: when a proxy stops to trust the primary of an epoch since that has started again.
 *
 * Answers: the new incarnation of a primary opens connections and answers before control has begun to replace it. It lacks every
 *   commit, so a read there is stale and a write there is lost.
 * Inputs: the positions that the primary names, the least position of the epoch, its incarnation in the catalog.
 * Rule: an empty log where the epoch's was not, or another incarnation than the epoch's, ends the lease on that epoch for good,
 *   and is reported as a primary that is none.
 * Constants: none. Tests: test/unit/incarnations.test.ts.
 *
 * Owns nothing. An answer that names no position tells nothing.
 */
import { isEmptyAgain } from '../leases/epoch_primary.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Position } from '../../positions/position.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';
import type { PrimaryHealthTracker } from './primary_health_tracker.js';
import type { PrimaryLeases } from './primary_leases.js';

const { PrimaryHealth } = whinyoke;

/** What the rule needs of the proxy. */
interface TrustSurroundings {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly leases: PrimaryLeases;
  readonly primaryHealth: { of(group: string, epoch: number): PrimaryHealthTracker };
}

/** Ends the lease where a position shows that the primary of `epoch` is empty; returns whether it does. */
export function distrustEmptyPrimary(
  surroundings: TrustSurroundings,
  group: string,
  epoch: number,
  position: Position,
): boolean {
  const entry = surroundings.leases.entryOf(group);
  if (!entry || !isEmptyAgain(entry, position)) return false;
  distrust(surroundings, group, epoch, 'its log is empty');
  return true;
}

/** Ends the lease where the catalog names another incarnation than that of the present epoch. */
export function distrustOtherIncarnation(
  surroundings: TrustSurroundings,
  group: string,
  instance: string,
  incarnation: number,
): void {
  const { primary, epoch, primaryIncarnation } = surroundings.leases.entryOf(group) ?? {};
  if (primary !== instance || !epoch || (primaryIncarnation ?? 0) === incarnation) return;
  distrust(surroundings, group, epoch, `incarnation ${incarnation}`);
}

function distrust(
  { clock, log, leases, primaryHealth }: TrustSurroundings,
  group: string,
  epoch: number,
  sign: string,
): void {
  primaryHealth.of(group, epoch).failed(PrimaryHealth.NOT_PRIMARY, clock.now());
  if (leases.distrust(group, epoch)) log(Events.primaryStartedAgain, { group, epoch, sign });
}
