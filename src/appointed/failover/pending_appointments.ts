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

/** A call, and since when this machine has led and known of it. */
interface KnownCall {
  readonly id: number;
  readonly since: number;
  isEnding: boolean;
}

/** The pending appointments as seen by one leader. */
export class PendingAppointments {
  private readonly knownCalls = new Map<string, KnownCall>();

  constructor(private readonly context: PendingAppointmentsContext) {}

  /** Forgets since when calls have been known; called when a leadership begins. */
  beginLeadership(): void {
    this.knownCalls.clear();
  }

  /** Ends the records that are older than {@link CALL_LIFETIME_MS}, or whose instance has ended. Called periodically on the leader. */
  endOverdue(): void {
    const now = this.context.clock.now();
    for (const appointment of this.context.catalog.pendingAppointments) {
      const known = this.knownCall(appointment, now);
      const isOver = now - known.since > CALL_LIFETIME_MS || this.hasEnded(appointment);
      if (known.isEnding || !isOver) continue;
      known.isEnding = true;
      void this.end(appointment).finally(() => (known.isEnding = false));
    }
  }

  /** Whether the instance has ended for good, so that no call can appoint it. */
  private hasEnded({ instance: id }: PendingAppointment): boolean {
    const { presentInstances, departingInstances } = this.context.catalog;
    return ![...presentInstances, ...departingInstances].some((instance) => instance.id === id);
  }

  private knownCall({ group, newestCall }: PendingAppointment, now: number): KnownCall {
    const known = this.knownCalls.get(group ?? '');
    if (known && known.id === newestCall) return known;
    const first = { id: newestCall ?? 0, since: now, isEnding: false };
    this.knownCalls.set(group ?? '', first);
    return first;
  }

  private async end({ group, instance, newestCall, calls }: PendingAppointment): Promise<void> {
    const { propose, log } = this.context;
    try {
      await propose({ endAppointmentCalls: { group, newestCall, all: true } });
      log(Events.appointmentCallsOverdue, {
        group: group ?? '',
        instance: instance ?? '',
        calls: calls ?? 0,
      });
    } catch (error) {
      // The records stay; the next check tries again, on the machine that leads then.
      const reason = messageOf(error);
      log(Events.primaryChangeFailed, { group: group ?? '', step: 'end_calls', reason });
    }
  }
}
