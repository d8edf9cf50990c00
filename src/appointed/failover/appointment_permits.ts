/**
 * Decides when a call to the platform may be sent, so that no call is sent under a token after one under a higher token.
 *
 * A holder of the appointment lease that leads may send while it holds the leader lease: no other machine leads then, so none
 * takes the appointment lease over. A holder that follows asks the leader for a permit, which ends {@link PERMIT_MS} after the
 * holder asked for it, on the holder's clock. A leader takes the lease over only after all permits have ended that it or a
 * former leader may have granted for a call that is still recorded.
 *
 * Without a leader lease no permit is granted; the change of primary tries again.
 */
import type { Catalog } from '../catalog/catalog.js';
import { type Clock, delay } from '../../runtime/runtime.js';

/** Time from the request for a permit to its end. */
export const PERMIT_MS = 250;
/** Allowance for clocks that run at different rates. */
const CLOCK_MARGIN_MS = 25;

/** A call that is recorded in the replicated log. */
export interface RecordedCall {
  readonly group: string;
  readonly instance: string;
  /** Fencing token under which it is sent. */
  readonly token: number;
  /** Identifies its record. */
  readonly id: string;
}

/** What identifies a call. */
type CallIdentity = Omit<RecordedCall, 'instance'>;

interface AppointmentPermitsContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  /** Whether this machine leads and no other one does. */
  readonly holdsLeaderLease: () => boolean;
}

/** Permits that one control machine grants while it leads. */
export class AppointmentPermits {
  /** Until when a holder may send a call under a permit, also under one of a former leader. */
  private grantedUntil = -Infinity;
  /** Calls for which this leader granted a permit. */
  private readonly grantedCalls = new Set<string>();
  /** Number of reasons for which no permit is granted. */
  private refusals = 0;

  constructor(private readonly context: AppointmentPermitsContext) {}

  /** A former leader may just have granted a permit. */
  beginLeadership(): void {
    this.grantedCalls.clear();
    this.extendGrants();
  }

  /** Whether this machine, which holds the appointment lease, may send a call at this moment. */
  mayCall({ group, id, token }: CallIdentity): boolean {
    const { catalog, holdsLeaderLease } = this.context;
    const isRecorded = catalog.pendingAppointment(group)?.calls?.includes(id) ?? false;
    const isOfHolder = catalog.appointmentLeaseEntry.token === token;
    return isRecorded && isOfHolder && holdsLeaderLease();
  }

  /** Permits the holder, another machine, to send a call; returns false if it may not. */
  grant(call: CallIdentity): boolean {
    if (this.refusals > 0 || !this.mayCall(call)) return false;
    this.grantedCalls.add(call.id);
    this.extendGrants();
    return true;
  }

  /** Whether this leader permitted a call. */
  wasGranted({ id }: CallIdentity): boolean {
    return this.grantedCalls.has(id);
  }

  /** Grants nothing while `action` runs. */
  async refuseDuring(action: () => Promise<void>): Promise<void> {
    this.refusals++;
    try {
      await action();
    } finally {
      this.refusals--;
    }
  }

  /** Resolves once no permit allows to send a call that is recorded. */
  async awaitEnd(): Promise<void> {
    const { clock, catalog } = this.context;
    if (catalog.pendingAppointments.length === 0) return;
    await delay(clock, Math.max(0, this.grantedUntil - clock.now()));
  }

  private extendGrants(): void {
    this.grantedUntil = this.context.clock.now() + PERMIT_MS + CLOCK_MARGIN_MS;
  }
}
