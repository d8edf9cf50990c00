/**
 * One call to the platform by the holder of the appointment lease: connects, makes sure that the call may be sent, and sends
 * it right after the last check, without giving way to anything else.
 *
 * A process that is stopped on the way finds its permit ended when it goes on, and sends nothing. What has been sent may be
 * delivered late; `pending_appointment_table.ts` keeps that from doing harm.
 */
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock, Messenger } from '../../runtime/runtime.js';
import { type AppointmentPermits, PERMIT_MS, type RecordedCall } from './appointment_permits.js';
import type { PrimaryAppointer } from './primary_appointer.js';

const { AppointOutcome } = whinyoke;

/** Timeout for the leader's answer; one that comes after the end of the permit is no permit. */
const TIMEOUT_MS = 1000;

/** Stages of a call, in their order; a call that may not be sent ends with `withheld`. */
type CallStage = 'intended' | 'connected' | 'withheld' | 'sent' | 'answered';

/** Details of a stage. */
interface StageDetails {
  /** Outcome of an answered call. */
  readonly outcome?: string;
  /** Milliseconds between the check and the sending. */
  readonly heldMs?: number;
}

/** Logs that a call reached a stage. */
export function logCallStage(
  log: DecisionLog,
  stage: CallStage,
  holder: string,
  { group, instance, token, id }: RecordedCall,
  { outcome = '', heldMs = 0 }: StageDetails = {},
): void {
  const call = { group, instance, holder, token, call: id };
  log(Events.appointmentCall, { stage, ...call, outcome, held_ms: Math.round(heldMs) });
}

/** Dependencies of a call. */
export interface AppointmentCallContext {
  /** Name and address under which this process holds the lease. */
  readonly self: { readonly name: string; readonly address: string };
  readonly clock: Clock;
  readonly messenger: Messenger;
  readonly appointer: PrimaryAppointer;
  readonly permits: AppointmentPermits;
  /** Whether this machine leads. */
  readonly isLeading: () => boolean;
  /** Address of the leader; empty if it is not known. */
  readonly leaderAddress: () => string;
  readonly log: DecisionLog;
}

/** One call of the holder. */
export class AppointmentCall {
  constructor(
    private readonly context: AppointmentCallContext,
    private readonly call: RecordedCall,
  ) {}

  /** Connects and calls; `NOT_SENT` if nothing was sent. */
  async run(): Promise<whinyoke.AppointOutcome> {
    const { appointer, self, isLeading, permits, clock } = this.context;
    const { group, instance, token } = this.call;
    if (isLeading() && !permits.mayCall(this.call)) return this.withhold();
    const prepared = await appointer.prepare(group, instance, { holder: self.name, token });
    if (!prepared) return this.withhold();
    this.logStage('connected');
    const isPermitted = await this.permission();
    const checkedAt = clock.now();
    const answer = isPermitted() ? prepared.send() : undefined;
    if (!answer) {
      prepared.discard();
      return this.withhold();
    }
    this.logStage('sent', { heldMs: clock.now() - checkedAt });
    const outcome = await answer;
    this.logStage('answered', { outcome: AppointOutcome[outcome] });
    return outcome;
  }

  private withhold(): whinyoke.AppointOutcome {
    this.logStage('withheld');
    return AppointOutcome.NOT_SENT;
  }

  /** Resolves with a check whether the call may be sent at the moment of the check. */
  private async permission(): Promise<() => boolean> {
    const { clock, permits, isLeading } = this.context;
    if (isLeading()) return () => permits.mayCall(this.call);
    const permittedUntil = await this.requestPermit();
    return () => clock.now() < permittedUntil;
  }

  /** Asks the leader; resolves with the end of the permit on this machine's clock, -Infinity without one. */
  private async requestPermit(): Promise<number> {
    const { clock, messenger, leaderAddress } = this.context;
    const { group, token, id: call } = this.call;
    const askedAt = clock.now();
    const appointPermitRequest = { group, token, call };
    try {
      const body = await messenger.request(leaderAddress(), { appointPermitRequest }, TIMEOUT_MS);
      return body.appointPermitReply?.granted ? askedAt + PERMIT_MS : -Infinity;
    } catch {
      // Without an answer there is no permit; the call is logged as withheld, and the leader tries again.
      return -Infinity;
    }
  }

  private logStage(stage: CallStage, details?: StageDetails): void {
    logCallStage(this.context.log, stage, this.context.self.name, this.call, details);
  }
}
