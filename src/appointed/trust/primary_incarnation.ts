/**
 * Ends a proxy's lease on a primary that has restarted within its epoch.
 *
 * The new incarnation may accept connections and answer before control starts to replace it. It lacks every commit, so a
 * read there is stale and a write there is lost. A log that has become shorter, or an incarnation in the catalog other than
 * the epoch's, ends the lease on that epoch for good and reports the instance as not primary. An answer without a position
 * is no evidence.
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

interface TrustDependencies {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly leases: PrimaryLeases;
  readonly primaryHealth: { of(group: string, epoch: number): PrimaryHealthTracker };
}

/**
 * Ends the lease if a position shows that the primary of `epoch` has lost its log; returns whether it did.
 * @param known - newest position that the primary had reported before this request was sent
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

/** Ends the lease if the catalog names another incarnation than that of the current epoch. */
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
