/**
 * Fences the replicas of a group during a change of primary: they stop receiving from the old primary, and answer so to
 * proxies that ask them to confirm leases (`src/appointed/leases/replica_lease.ts`).
 *
 * A replica that does not answer is no candidate in the current attempt.
 */
import type { InstanceEntry } from '../catalog/catalog.js';
import type { InstanceStatus } from '../instance/instance_connection.js';
import { replicaLeaseObjection } from '../leases/replica_lease.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';
import type { CandidateReport } from './candidate.js';
import { incarnationName } from './caught_up_instances.js';
import type { InstanceAdministrator } from './instance_administrator.js';
import { targetOf } from './instance_target.js';

const { InstanceState } = whinyoke;

/** Fence of the replicas of one group in one change. */
export class ReplicaFence {
  /** Since when each incarnation of a replica has answered, without a break, that the old primary must not be used. */
  private readonly fencedSinceByIncarnation = new Map<string, number>();
  /** Newest term that an instance of the group reported. */
  private newestTerm: number;

  /**
   * @param oldTerm - term of the old primary
   * @param isNeeded - whether the change still goes on
   */
  constructor(
    private readonly clock: Clock,
    private readonly administrator: InstanceAdministrator,
    private readonly oldTerm: number,
    private readonly isNeeded: () => boolean,
  ) {
    this.newestTerm = oldTerm;
  }

  /** Lowest term that the new primary may lead. */
  get newTerm(): number {
    return this.newestTerm + 1;
  }

  /** Since when a replica has been fenced, or has followed a newer term, without a break; undefined when it has not. */
  fencedSince(instance: InstanceEntry): number | undefined {
    return this.fencedSinceByIncarnation.get(incarnationName(instance));
  }

  /** Fences replicas for a term; those that answer are candidates. */
  async fenceAll(
    replicas: readonly InstanceEntry[],
    term: number,
  ): Promise<readonly CandidateReport[]> {
    const statuses = await Promise.all(replicas.map((instance) => this.fence(instance, term)));
    const reports: CandidateReport[] = [];
    for (const [index, status] of statuses.entries()) {
      const instance = replicas[index]!;
      const isEligible = instance.state === InstanceState.READY;
      if (status) reports.push({ instance: instance.id ?? '', status, isEligible });
    }
    return reports;
  }

  /** Fences a replica; one that is fenced already, or follows a newer term, is left unchanged. */
  private async fence(instance: InstanceEntry, term: number): Promise<InstanceStatus | undefined> {
    const target = targetOf(instance);
    const name = incarnationName(instance);
    // A restart of an instance lifts its fence, so a replica that was fenced before is asked whether it still is.
    const known = this.fencedSinceByIncarnation.has(name)
      ? await this.administrator.status(target)
      : undefined;
    this.recordStatus(name, known);
    if (known && this.fencedSinceByIncarnation.has(name)) return known;
    const status =
      (await this.administrator.pause(target, term, this.isNeeded)) ??
      (await this.administrator.status(target));
    this.recordStatus(name, status);
    return status;
  }

  private recordStatus(instance: string, status: InstanceStatus | undefined): void {
    if (!status) return;
    this.newestTerm = Math.max(this.newestTerm, status.term);
    const isFenced = replicaLeaseObjection({ instance, status }, this.oldTerm) !== undefined;
    if (!isFenced) this.fencedSinceByIncarnation.delete(instance);
    else if (!this.fencedSinceByIncarnation.has(instance)) {
      this.fencedSinceByIncarnation.set(instance, this.clock.now());
    }
  }
}
