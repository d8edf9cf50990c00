/**
 * Tracks when a restarted instance counts again as a replica of its group like any other.
 *
 * A new incarnation is empty at first, while its former one may have been the only replica to confirm commits of the epoch.
 * The primary holds these commits and sends them again. The new incarnation counts once its log covers a position that the
 * primary reported after the catalog knew the new incarnation.
 *
 * The state is in this leader's memory; a new leader asks anew. An instance whose primary does not answer continues to count
 * as missing.
 */
import type { Catalog, InstanceEntry } from '../catalog/catalog.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import { type Position, covers } from '../../positions/position.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock, Timer } from '../../runtime/runtime.js';
import type { InstanceAdministrator } from './instance_administrator.js';
import { targetOf } from './instance_target.js';
import { askPrimaryPosition } from './primary_position_request.js';

const { GroupPhase } = whinyoke;

/** Interval of checks; each takes a connection slot of two instances. */
const CHECK_INTERVAL_MS = 500;

interface CatchUpContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly administrator: Pick<InstanceAdministrator, 'status'>;
  readonly log: DecisionLog;
  readonly isLeading: () => boolean;
}

/** Key of one incarnation of an instance. */
export function incarnationName({ id, incarnation }: InstanceEntry): string {
  return `${id}/${incarnation ?? 0}`;
}

/** Restarted incarnations that have caught up, as this leader knows. */
export class CaughtUpInstances {
  private readonly caughtUp = new Set<string>();
  /** Position that each new incarnation has to reach, until it has. */
  private readonly requiredPositions = new Map<string, Position>();
  private timer: Timer | undefined;

  constructor(private readonly context: CatchUpContext) {}

  /** Starts the periodic check, which does nothing while this machine does not lead. */
  start(): void {
    this.timer = this.context.clock.setTimer(CHECK_INTERVAL_MS, () => {
      void this.checkAll();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Whether the current incarnation of an instance holds what its former ones had confirmed. */
  has(instance: InstanceEntry): boolean {
    return this.caughtUp.has(incarnationName(instance));
  }

  /** Checks all instances that have not caught up. */
  async checkAll(): Promise<void> {
    const { catalog, isLeading } = this.context;
    if (!isLeading()) return;
    const behind = catalog.presentInstances.filter((instance) => this.isCatchingUp(instance));
    await Promise.all(behind.map((instance) => this.check(instance)));
  }

  private isCatchingUp(instance: InstanceEntry): boolean {
    const { catalog } = this.context;
    const group = catalog.group(instance.group ?? '');
    if (!group || group.phase === GroupPhase.CHANGING) return false;
    const began = catalog.incarnationStartIndex(instance.id ?? '');
    const isReplica = group.primary !== instance.id;
    return isReplica && began > (group.steadySince ?? 0) && !this.has(instance);
  }

  private async check(instance: InstanceEntry): Promise<void> {
    const { administrator, log } = this.context;
    const name = incarnationName(instance);
    const required =
      this.requiredPositions.get(name) ??
      (await askPrimaryPosition(this.context, instance.group ?? ''));
    if (!required) return;
    this.requiredPositions.set(name, required);
    const status = await administrator.status(targetOf(instance));
    if (!status || !covers(status.received, required) || this.caughtUp.has(name)) return;
    this.requiredPositions.delete(name);
    this.caughtUp.add(name);
    log(Events.incarnationCaughtUp, {
      instance: instance.id ?? '',
      group: instance.group ?? '',
      incarnation: instance.incarnation ?? 0,
    });
  }
}
