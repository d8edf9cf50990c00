/** The call to the platform that makes an instance the primary of its group. */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Who makes the call. */
export interface AppointmentAuthority {
  /** Name of the process that holds the appointment lease. */
  readonly holder: string;
  /** Fencing token; rises with each change of holder. */
  readonly token: number;
}

/** A call of which nothing has been sent yet. */
export interface PreparedAppointment {
  /**
   * Hands the whole call over to the operating system before it returns, so that no time passes between a check by the caller
   * and the sending. Resolves with the outcome; never rejects.
   */
  send(): Promise<whinyoke.AppointOutcome>;
  /** Gives the call up; nothing is sent. */
  discard(): void;
}

/** Appoints primaries through the platform. */
export interface PrimaryAppointer {
  /**
   * Connects to the platform for a call that makes an instance the primary of its group. Never rejects.
   * @returns undefined if the platform can't be reached
   */
  prepare(
    group: string,
    instance: string,
    authority: AppointmentAuthority,
  ): Promise<PreparedAppointment | undefined>;
}
