/**
 * Decides what a heartbeat says about an instance's cold state. This guards against a heartbeat
 * that was sent before the end of an evacuation, arrives late, and reports that the instance is
 * warm.
 *
 * A heartbeat with remaining warm-up time means cold. One without ends the cold state of a new
 * instance or incarnation. After an evacuation it ends it only if it is the newest heartbeat and
 * arrived at least {@link MAX_HEARTBEAT_DELAY_MS} after this machine applied the end of the
 * evacuation; a machine that restored a snapshot counts from then.
 */
import type { Catalog, InstanceEntry } from '../catalog/catalog.js';
import { isOtherIncarnation } from '../catalog/cold_state.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';

/**
 * Assumed maximum delay of an instance's newest heartbeat, two or three heartbeat intervals. An
 * instance that gets no reply within a second sends the next one.
 */
const MAX_HEARTBEAT_DELAY_MS = 3000;

/** Cold state as the leader concludes it from a heartbeat. */
export type ReportedColdState = Pick<whinyoke.IInstanceEntry, 'isCold' | 'coldSince'>;

interface ObservedInstance {
  readonly instance: InstanceEntry;
  /** Clock reading from which a heartbeat may end the current cold state. */
  readonly mayEndFrom: number;
}

export class WarmUpMonitor {
  private observed = new Map<string, ObservedInstance>();

  constructor(
    private readonly clock: Clock,
    private readonly catalog: Catalog,
    private readonly log: DecisionLog,
  ) {
    catalog.onChange(() => this.refresh());
    this.refresh();
  }

  /** Cold state that follows from a heartbeat. */
  evaluate(reported: InstanceEntry, warmupMs: number, isNewest: boolean): ReportedColdState {
    const known = this.catalog.instance(reported.id ?? '');
    if (warmupMs > 0) return { isCold: true, coldSince: known?.coldSince };
    const isSame = known !== undefined && !isOtherIncarnation(known, reported);
    const staysCold = isSame && known.isCold === true && !(isNewest && this.mayEndColdState(known));
    return { isCold: staysCold, coldSince: known?.coldSince };
  }

  private mayEndColdState({ id }: InstanceEntry): boolean {
    return this.clock.now() >= (this.observed.get(id ?? '')?.mayEndFrom ?? Infinity);
  }

  private refresh(): void {
    const observed = new Map<string, ObservedInstance>();
    for (const instance of this.catalog.presentInstances) {
      const id = instance.id ?? '';
      const before = this.observed.get(id);
      const isSame = before && (before.instance.coldSince ?? 0) === (instance.coldSince ?? 0);
      const mayEndFrom = isSame
        ? before.mayEndFrom
        : this.coldStateEndsFrom(before?.instance, instance);
      observed.set(id, { instance, mayEndFrom });
    }
    this.observed = observed;
  }

  /** When a heartbeat may end a cold state that was not known before, as a clock reading. */
  private coldStateEndsFrom(before: InstanceEntry | undefined, instance: InstanceEntry): number {
    if (before) this.logChange(instance);
    const isOfThisEntry = instance.version === this.catalog.version;
    const isNew = before ? isOtherIncarnation(before, instance) : isOfThisEntry;
    return isNew ? -Infinity : this.clock.now() + MAX_HEARTBEAT_DELAY_MS;
  }

  private logChange({ id, group, isCold, coldSince }: InstanceEntry): void {
    this.log(Events.instanceColdnessChanged, {
      instance: id ?? '',
      group: group ?? '',
      is_cold: isCold ?? false,
      cold_since: coldSince ?? 0,
    });
  }
}
