/** The call to the platform that makes an instance the primary of its group. */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Who makes the call. */
export interface AppointmentAuthority {
  /** Name of the process that holds the appointment lease. */
  readonly holder: string;
  /** Fencing token; rises with each change of holder. */
  readonly token: number;
}

/** Appoints primaries through the platform. */
export interface PrimaryAppointer {
  /**
   * Asks for an instance to become primary; may fail, safe to repeat.
   * @param onSent - called when the request was written to the connection
   */
  appoint(
    group: string,
    instance: string,
    authority: AppointmentAuthority,
    onSent: () => void,
  ): Promise<whinyoke.AppointOutcome>;
}
