/**
 * Ends the records of calls to the platform that can no longer take effect although their outcome never became known: the
 * process that made them was lost, or the platform did not answer.
 */
import type { Catalog } from '../catalog/catalog.js';
import type { PendingAppointment } from '../catalog/pending_appointment_table.js';
import { messageOf } from '../../errors/errors.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import type { Clock } from '../../runtime/runtime.js';
import type { Proposer } from './appointment_lease.js';

/**
 * A call takes effect within this time after it was recorded, or never. It bounds how long the network may hold a call
 * back, or the platform may take to carry one out.
 */
export const CALL_LIFETIME_MS = 10_000;

interface PendingAppointmentsContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly propose: Proposer;
  readonly log: DecisionLog;
}

/** The pending appointments as seen by one leader. */
export class PendingAppointments {
  /** Since when this machine has led and known of each call, by its identifier. */
  private readonly knownSince = new Map<string, number>();
  private isEnding = false;

  constructor(private readonly context: PendingAppointmentsContext) {}

  /** Forgets since when calls have been known; called when a leadership begins. */
  beginLeadership(): void {
    this.knownSince.clear();
  }

  /**
   * Ends the records of calls that are older than {@link CALL_LIFETIME_MS}, or whose instance has ended. Called periodically
   * on the leader.
   */
  endOverdue(): void {
    if (this.isEnding) return;
    const now = this.context.clock.now();
    for (const appointment of this.context.catalog.pendingAppointments) {
      const overdue = this.overdueCalls(appointment, now);
      if (overdue.length === 0) continue;
      this.isEnding = true;
      void this.end(appointment, overdue).finally(() => (this.isEnding = false));
      return;
    }
  }

  private overdueCalls(appointment: PendingAppointment, now: number): readonly string[] {
    const calls = appointment.calls ?? [];
    for (const call of calls) {
      if (!this.knownSince.has(call)) this.knownSince.set(call, now);
    }
    if (this.hasEnded(appointment)) return calls;
    return calls.filter((call) => now - this.knownSince.get(call)! > CALL_LIFETIME_MS);
  }

  /** Whether the instance has ended for good, so that no call can appoint it. */
  private hasEnded({ instance: id }: PendingAppointment): boolean {
    const { presentInstances, departingInstances } = this.context.catalog;
    return ![...presentInstances, ...departingInstances].some((instance) => instance.id === id);
  }

  private async end(
    { group, instance }: PendingAppointment,
    calls: readonly string[],
  ): Promise<void> {
    const { propose, log } = this.context;
    const fields = { group: group ?? '', instance: instance ?? '' };
    try {
      await propose({ endAppointmentCalls: { group, calls: [...calls] } });
      for (const call of calls) this.knownSince.delete(call);
      log(Events.appointmentCallsOverdue, { ...fields, calls: calls.length });
    } catch (error) {
      // The records stay; the next check tries again, on the machine that leads then.
      const reason = messageOf(error);
      log(Events.primaryChangeFailed, { group: group ?? '', step: 'end_calls', reason });
    }
  }
}
