/**
 * Ends the records of calls to the platform whose outcome this machine knows, since it made them: also when it does not lead any
 * more, so that a group is not bound for longer than necessary.
 */
import type { Catalog } from '../catalog/catalog.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { type Clock, type Messenger, delay } from '../../runtime/runtime.js';
import type { Proposer } from './appointment_lease.js';
import type { RecordedCall } from './appointment_permits.js';
import { CALL_LIFETIME_MS } from './pending_appointments.js';

const { AppointOutcome } = whinyoke;

/** A call takes effect within this time after its answer, or never. */
const LONGEST_EFFECT_MS = 1000;
const RETRY_INTERVAL_MS = 200;
/** Timeout for the leader to commit the end of a record. */
const REQUEST_TIMEOUT_MS = 1000;

interface AppointmentCallEndsContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly messenger: Messenger;
  /** Whether this machine leads. */
  readonly isLeading: () => boolean;
  /** Address of the leader; empty if it is not known. */
  readonly leaderAddress: () => string;
  readonly propose: Proposer;
}

/** Ends of calls, as reported by one control machine. */
export class AppointmentCallEnds {
  constructor(private readonly context: AppointmentCallEndsContext) {}

  /** Ends the record of a call once it can no longer take effect; never rejects. That of one with an unknown outcome stays. */
  async endAfter(call: RecordedCall, outcome: whinyoke.AppointOutcome): Promise<void> {
    const { clock } = this.context;
    if (outcome === AppointOutcome.UNKNOWN) return;
    const until = clock.now() + CALL_LIFETIME_MS;
    const isAnswered = outcome === AppointOutcome.APPOINTED;
    await delay(clock, isAnswered ? LONGEST_EFFECT_MS : RETRY_INTERVAL_MS);
    while (!(await this.tryToEnd(call)) && clock.now() < until) {
      await delay(clock, RETRY_INTERVAL_MS);
    }
  }

  /** Ends the record of a call on the leader. @throws what the proposal throws */
  async end({ group, id }: Pick<RecordedCall, 'group' | 'id'>): Promise<void> {
    await this.context.propose({ endAppointmentCalls: { group, calls: [id] } });
  }

  private isRecorded({ group, id }: RecordedCall): boolean {
    return this.context.catalog.pendingAppointment(group)?.calls?.includes(id) ?? false;
  }

  /** Resolves with whether the record has certainly ended, or never was. */
  private async tryToEnd(call: RecordedCall): Promise<boolean> {
    const { messenger, isLeading, leaderAddress } = this.context;
    const appointCallEndRequest = { group: call.group, call: call.id };
    try {
      if (!isLeading()) {
        await messenger.request(leaderAddress(), { appointCallEndRequest }, REQUEST_TIMEOUT_MS);
      } else if (this.isRecorded(call)) {
        await this.end(call);
      }
      return true;
    } catch {
      // The record stays; it is tried again, and the leader ends it at the end of its lifetime.
      return false;
    }
  }
}
