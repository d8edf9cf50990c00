/**
 * Tracks the evacuated zones at one proxy and decides what it may still send to their instances.
 *
 * After the operator has ordered an evacuation, no request may reach the zone later than `evacuationMs` after the order was
 * acknowledged. The proxy doesn't know when that was, but it was later than its newest request whose reply did not contain the
 * order, so it counts from there. New requests stop immediately, except those that only a primary in the zone can run; idle
 * transactions are ended next; finally the zone is closed and nothing is sent. A zone that was evacuated before this process
 * first reached control is closed at once. A proxy that is partitioned from control is bounded by its leases instead.
 */
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { whinyoke } from '../../protocol/generated/messages.js';

/**
 * Stage of an evacuation at this proxy.
 * - `begun`: open transactions may continue, and a primary in the zone may be used;
 * - `rested`: idle transactions are ended;
 * - `closed`: nothing is sent to the zone.
 */
export type EvacuationStage = 'begun' | 'rested' | 'closed';

/** Fraction of `evacuationMs` after which the zone is closed. */
const CLOSED_FRACTION = 0.5;
/**
 * The zone is closed at least this long before `evacuationMs` ends: a deposed leader may still answer for 500 ms, and a
 * statement may wait 1,500 ms at a connection owner that has not received the order.
 */
const CLOSED_MARGIN_MS = 2000;
/** Fraction of the time until the zone is closed after which idle transactions are ended. */
const IDLE_TRANSACTION_FRACTION = 0.5;

/** Evacuated zones of one proxy. */
export class EvacuatedZones {
  /** Lower bound of the time at which the order for a zone was acknowledged, on the clock of this process. */
  private readonly orderNotBeforeByZone = new Map<string, number>();
  /** Age of an order at which the zone is closed. */
  private readonly closedAfterMs: number;

  /**
   * @param evacuationMs - time after the acknowledgement at which no request may reach the zone any more
   */
  constructor(
    evacuationMs: number,
    private readonly log: DecisionLog,
  ) {
    const maxMs = Math.max(0, evacuationMs - CLOSED_MARGIN_MS);
    this.closedAfterMs = Math.min(evacuationMs * CLOSED_FRACTION, maxMs);
  }

  /** Names of the evacuated zones. */
  get names(): readonly string[] {
    return [...this.orderNotBeforeByZone.keys()];
  }

  /** Whether any zone is evacuated. */
  get hasAny(): boolean {
    return this.orderNotBeforeByZone.size > 0;
  }

  /**
   * Applies the evacuation orders of a catalog update.
   * @param notBefore - when the newest request was sent whose reply did not contain these orders; -Infinity if there is none
   */
  applyUpdate(update: whinyoke.ICatalogUpdate, notBefore: number): void {
    const evacuated = new Set<string>();
    for (const { zone, begunAt } of update.evacuations ?? []) {
      if ((begunAt ?? 0) > 0) evacuated.add(zone ?? '');
      else this.readmit(zone ?? '');
    }
    if (update.isWhole) {
      for (const zone of this.names) if (!evacuated.has(zone)) this.readmit(zone);
    }
    for (const zone of evacuated) this.evacuate(zone, notBefore);
  }

  /** Stage of a zone; undefined if it is not evacuated. */
  stageOf(zone: string, now: number): EvacuationStage | undefined {
    const notBefore = this.orderNotBeforeByZone.get(zone);
    if (notBefore === undefined) return undefined;
    const ageMs = now - notBefore;
    if (ageMs >= this.closedAfterMs) return 'closed';
    return ageMs >= this.closedAfterMs * IDLE_TRANSACTION_FRACTION ? 'rested' : 'begun';
  }

  /** Starts an evacuation; one that has already started keeps its time. */
  private evacuate(zone: string, notBefore: number): void {
    if (this.orderNotBeforeByZone.has(zone)) return;
    this.orderNotBeforeByZone.set(zone, notBefore);
    this.log(Events.zoneEvacuated, { zone });
  }

  private readmit(zone: string): void {
    if (this.orderNotBeforeByZone.delete(zone)) this.log(Events.zoneReadmitted, { zone });
  }
}
