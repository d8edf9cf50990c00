/**
 * DECISION: what a heartbeat says of an instance's coldness.
 *
 * Answers: a heartbeat that was sent before an evacuation's end and came late; it may say that the instance is warm.
 * Inputs: the warm-up that a heartbeat tells (milliseconds), whether it is the newest, the instance in the catalog, and when this
 *   machine applied the entry since which it is cold (milliseconds on its steady clock).
 * Rule: a warm-up that is not over means cold. One that is over ends the coldness of a new instance or incarnation, which has sent
 *   all its heartbeats since; after an evacuation only if the heartbeat came {@link LATEST_HEARTBEAT_MS} after its end.
 *
 * Owns when it saw each coldness begin; a machine that got them with a snapshot counts from then. Relies on the catalog only.
 */
import type { Catalog, InstanceEntry } from '../catalog/catalog.js';
import { isOtherIncarnation } from '../catalog/cold_state.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock } from '../../runtime/runtime.js';

/**
 * A heartbeat that is the newest of its instance was sent at most this long before it came, in milliseconds: two or three
 * intervals; an instance that gets no answer within a second sends the next one. Guess, not measured.
 */
const MAX_HEARTBEAT_DELAY_MS = 3000;

/** The leader's opinion on an instance's coldness, as the instance's entry tells it. */
export type ReportedColdState = Pick<whinyoke.IInstanceEntry, 'isCold' | 'coldSince'>;

interface ObservedInstance {
  readonly instance: InstanceEntry;
  /** From when a heartbeat may end the present coldness. */
  readonly mayEndFrom: number;
}

/** Monitor of one control machine. */
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

  /** The leader's opinion after a heartbeat. */
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

  /** From when a heartbeat may end a coldness that was not known before. */
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
