/**
 * DECISION: what one proxy may still send to the instances of an evacuated zone. Owns the zones and since when they count as
 * evacuated; relies on control, which tells of orders: a proxy that hears nothing goes on as its leases allow.
 *
 * Answers: the operator ordered that nothing more is sent to a zone. What is open there should end well, yet nothing may reach
 *   the zone later than a bound after the acknowledgement, which this proxy has not seen.
 * Inputs: orders in the updates of the catalog; when the newest request was sent whose reply did not tell of an order, and the
 *   present time (milliseconds on this process's clock); the bound of the settings.
 * Rule: the acknowledgement came later than that request, so parts of the bound are counted from there. At once nothing new
 *   goes to a zone but what only a primary there can run; from half of the bound on, or {@link CLOSED_MARGIN_MS} before its end,
 *   nothing is sent, and from half of that time on transactions that rest are ended. A zone that was evacuated before this
 *   process heard of control is closed.
 */
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { whinyoke } from '../../protocol/generated/messages.js';

/**
 * How far an evacuation has come, as this proxy may act on it.
 * - `begun`: what is open may go on, and a primary may be used;
 * - `rested`: transactions that have rested are ended;
 * - `closed`: nothing is sent.
 */
export type EvacuationStage = 'begun' | 'rested' | 'closed';

/** Part of the bound (a ratio) after which nothing is sent. Guess, not measured. */
const CLOSED_FRACTION = 0.5;
/**
 * Time before the end of the bound, in milliseconds, in which nothing may be sent in any case: a leader may answer for 500
 * though another one leads already, and a statement may wait for 1,500 at a connection owner that has not heard of the order.
 */
const CLOSED_MARGIN_MS = 2000;
/** Part of the time until then (a ratio) after which transactions that rest are ended. Guess, not measured. */
const IDLE_TRANSACTION_FRACTION = 0.5;

/** Evacuated zones of one proxy. */
export class EvacuatedZones {
  /** Time by which no order on the zone was acknowledged yet. */
  private readonly orderNotBeforeByZone = new Map<string, number>();
  /** Age of an order from which on nothing is sent, in milliseconds. */
  private readonly closedAfterMs: number;

  /**
   * @param evacuationMs - from the acknowledgement until nothing may reach the zone, in milliseconds
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
   * Takes over orders of an update.
   * @param provenAt - when the newest request was sent whose reply did not tell of these orders; -Infinity without one
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

  /** Stage of a zone; undefined when it is not evacuated. */
  stageOf(zone: string, now: number): EvacuationStage | undefined {
    const notBefore = this.orderNotBeforeByZone.get(zone);
    if (notBefore === undefined) return undefined;
    const ageMs = now - notBefore;
    if (ageMs >= this.closedAfterMs) return 'closed';
    return ageMs >= this.closedAfterMs * IDLE_TRANSACTION_FRACTION ? 'rested' : 'begun';
  }

  /** A zone that is evacuated already stays in its stage. */
  private evacuate(zone: string, notBefore: number): void {
    if (this.orderNotBeforeByZone.has(zone)) return;
    this.orderNotBeforeByZone.set(zone, notBefore);
    this.log(Events.zoneEvacuated, { zone });
  }

  private readmit(zone: string): void {
    if (this.orderNotBeforeByZone.delete(zone)) this.log(Events.zoneReadmitted, { zone });
  }
}
