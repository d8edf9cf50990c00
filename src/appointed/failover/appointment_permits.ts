/**
 * Decides when a call to the platform may be sent, so that no call is sent under a token after one under a higher token.
 *
 * A holder of the appointment lease that leads may send while it holds the leader lease: no other machine leads then, so none
 * takes the appointment lease over. A holder that follows asks the leader for a permit, which ends {@link PERMIT_MS} after the
 * holder asked for it, on the holder's clock. The leader takes the lease over only after all permits that it has granted
 * have ended, and a permit ends before another machine can lead.
 *
 * Without a leader lease no permit is granted; the change of primary tries again.
 */
import type { Catalog } from '../catalog/catalog.js';
import { type Clock, delay } from '../../runtime/runtime.js';

/**
 * Time from the request for a permit to its end. With the leader lease, it is shorter than an election timeout
 * (`APPOINTED_RAFT_OPTIONS`).
 */
export const PERMIT_MS = 75;
/** Allowance for clocks that run at different rates. */
const CLOCK_MARGIN_MS = 25;

/** A call that is recorded in the replicated log. */
export interface RecordedCall {
  readonly group: string;
  readonly instance: string;
  /** Fencing token under which it is sent. */
  readonly token: number;
  /** Log index of its record. */
  readonly id: number;
}

interface AppointmentPermitsContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  /** Whether this machine leads and no other one does. */
  readonly holdsLeaderLease: () => boolean;
}

/** Permits that one control machine grants while it leads. */
export class AppointmentPermits {
  private grantedUntil = -Infinity;
  private isRefusing = false;

  constructor(private readonly context: AppointmentPermitsContext) {}

  /** Whether this machine, which holds the appointment lease, may send a call at this moment. */
  mayCall({ group, id, token }: Omit<RecordedCall, 'instance'>): boolean {
    const { catalog, holdsLeaderLease } = this.context;
    const isRecorded = catalog.pendingAppointment(group)?.newestCall === id;
    const isOfHolder = catalog.appointmentLeaseEntry.token === token;
    return isRecorded && isOfHolder && holdsLeaderLease();
  }

  /** Permits the holder, another machine, to send a call; returns false if it may not. */
  grant(call: Omit<RecordedCall, 'instance'>): boolean {
    if (this.isRefusing || !this.mayCall(call)) return false;
    this.grantedUntil = this.context.clock.now() + PERMIT_MS + CLOCK_MARGIN_MS;
    return true;
  }

  /** Grants nothing while `action` runs, which begins once all permits have ended. */
  async runWithout(action: () => Promise<void>): Promise<void> {
    const { clock } = this.context;
    this.isRefusing = true;
    try {
      await delay(clock, Math.max(0, this.grantedUntil - clock.now()));
      await action();
    } finally {
      this.isRefusing = false;
    }
  }
}
