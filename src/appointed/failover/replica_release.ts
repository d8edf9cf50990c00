/**
 * Lets the replicas of a group receive again after a change of primary.
 *
 * Answers: replicas that are too busy to take a slot for the command, or don't answer. The new primary's commits need a replica:
 * with one held and another one lost they would hang.
 * Owns nothing. Relies on the instances; one that can't be released in time is logged.
 */
import type { InstanceEntry } from '../catalog/catalog.js';
import { delay } from '../../runtime/runtime.js';
import type { PrimaryChangerContext } from './primary_changer.js';
import type { PrimaryChangeLog } from './primary_change_log.js';
import { targetOf } from './instance_target.js';

/** Time between two tries to release a replica, in milliseconds. A guess, not measured. */
const RETRY_INTERVAL_MS = 150;
/** A replica that could not be released for this long has crashed, which releases it, in milliseconds. A guess, not measured. */
const RELEASE_TIMEOUT_MS = 10_000;

/** Release after the change that began with one epoch. */
export class ReplicaRelease {
  constructor(
    private readonly context: PrimaryChangerContext,
    private readonly group: string,
    /** Epoch of the change; the one after it is that of the new primary. */
    private readonly epoch: number,
    private readonly changeLog: PrimaryChangeLog,
  ) {}

  /** Asks a replica until it confirms, a later change has begun, or the time is over. */
  async release(instance: InstanceEntry): Promise<void> {
    const { clock, administrator } = this.context;
    const deadline = clock.now() + RELEASE_TIMEOUT_MS;
    while (clock.now() < deadline && this.isLatestChange()) {
      if (await administrator.resume(targetOf(instance), () => this.isLatestChange())) return;
      await delay(clock, RETRY_INTERVAL_MS);
    }
    this.changeLog.logStep('not_released', instance.id ?? '');
  }

  /** Whether no later change of the group has begun, which would hold the replicas anew. */
  private isLatestChange(): boolean {
    const epoch = this.context.catalog.group(this.group)?.epoch ?? 0;
    return this.context.isLeading() && epoch <= this.epoch + 1;
  }
}
