/**
 * DECISION: when a proxy stops to trust the primary of an epoch since that has started again.
 *
 * Answers: the new incarnation of a primary opens connections and answers before control has begun to replace it. It lacks every
 *   commit, so a read there is stale and a write there is lost.
 * Inputs: the positions that the primary names, those that it named before it was asked, the least position of the epoch, its
 *   incarnation in the catalog.
 * Rule: a log that has become shorter, or another incarnation than the epoch's, ends the lease on that epoch for good, and is
 *   reported as a primary that is none.
 * Constants: none. Tests: test/unit/incarnations.test.ts.
 *
 * Owns nothing. An answer that names no position tells nothing.
 */
import { isOfLaterIncarnation } from '../leases/epoch_incarnation.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { type Position, formatPosition } from '../../positions/position.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';
import type { PrimaryHealthTracker } from './primary_health_tracker.js';
import type { PrimaryLeases } from './primary_leases.js';

const { PrimaryHealth } = whinyoke;

/** What the rule needs of the proxy. */
interface TrustDependencies {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly leases: PrimaryLeases;
  readonly primaryHealth: { of(group: string, epoch: number): PrimaryHealthTracker };
}

/**
 * Ends the lease where a position shows that the primary of `epoch` has lost its log; returns whether it does.
 * @param known - newest position that the primary had told before it was asked
 */
export function distrustShorterLog(
  dependencies: TrustDependencies,
  { group, epoch }: { readonly group: string; readonly epoch: number },
  position: Position,
  known: Position | undefined,
): boolean {
  const entry = dependencies.leases.entryOf(group);
  if (!entry || !isOfLaterIncarnation(entry, position, known)) return false;
  distrust(dependencies, group, epoch, `its log ends at ${formatPosition(position)}`);
  return true;
}

/** Ends the lease where the catalog names another incarnation than that of the present epoch. */
export function distrustOtherIncarnation(
  dependencies: TrustDependencies,
  group: string,
  instance: string,
  incarnation: number,
): void {
  const { primary, epoch, primaryIncarnation } = dependencies.leases.entryOf(group) ?? {};
  if (primary !== instance || !epoch || (primaryIncarnation ?? 0) === incarnation) return;
  distrust(dependencies, group, epoch, `incarnation ${incarnation}`);
}

function distrust(
  { clock, log, leases, primaryHealth }: TrustDependencies,
  group: string,
  epoch: number,
  sign: string,
): void {
  primaryHealth.of(group, epoch).onFailure(PrimaryHealth.NOT_PRIMARY, clock.now());
  if (leases.distrust(group, epoch)) log(Events.primaryStartedAgain, { group, epoch, sign });
}
