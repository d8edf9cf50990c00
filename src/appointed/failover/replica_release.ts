/**
 * Lets the replicas of a group receive again after a change of primary.
 *
 * Retries replicas that are busy or don't answer: the new primary's commits need a replica, and would hang with one still
 * fenced and another one lost. A replica that can't be released in time is logged.
 */
import type { InstanceEntry } from '../catalog/catalog.js';
import { delay } from '../../runtime/runtime.js';
import type { PrimaryChangerContext } from './primary_changer.js';
import type { PrimaryChangeLog } from './primary_change_log.js';
import { targetOf } from './instance_target.js';

/** Interval between attempts to release a replica. */
const RETRY_INTERVAL_MS = 150;
/** Attempts end after this time; a replica that never answered has crashed, and a restart lifts the fence. */
const RELEASE_TIMEOUT_MS = 10_000;

/** Release of the replicas after the change that began with one epoch. */
export class ReplicaRelease {
  constructor(
    private readonly context: PrimaryChangerContext,
    private readonly group: string,
    /** Epoch of the change; the next one is that of the new primary. */
    private readonly epoch: number,
    private readonly changeLog: PrimaryChangeLog,
  ) {}

  /** Retries until the replica confirms, a later change has begun, or the time is over. */
  async release(instance: InstanceEntry): Promise<void> {
    const { clock, administrator } = this.context;
    const deadline = clock.now() + RELEASE_TIMEOUT_MS;
    while (clock.now() < deadline && this.isLatestChange()) {
      if (await administrator.resume(targetOf(instance), () => this.isLatestChange())) return;
      await delay(clock, RETRY_INTERVAL_MS);
    }
    this.changeLog.logStep('not_released', instance.id ?? '');
  }

  /** Whether no later change of the group has begun, which would fence the replicas again. */
  private isLatestChange(): boolean {
    const epoch = this.context.catalog.group(this.group)?.epoch ?? 0;
    return this.context.isLeading() && epoch <= this.epoch + 1;
  }
}
