/** How far a caller's request has come, so that a graceful shutdown can say what it ended. */
import type { EventFields } from '../../observability/logger.js';

/** Stage of a request that has been read from a caller's connection. */
type RequestStage =
  /** Behind another request of the same connection. */
  | 'queued'
  /** Being admitted, or waiting for a primary, a connection, or the next attempt. */
  | 'waiting'
  /** Sent to an instance, which has not answered. */
  | 'sent'
  /** Answered; the reply has not been taken over by the operating system. */
  | 'answered';

/** Progress of one request. */
export class RequestProgress {
  stage: RequestStage = 'queued';
  /** Timeout of the request's route, in milliseconds; undefined before the route is known. */
  timeoutMs: number | undefined;

  constructor(
    /** The caller's identifier of the request. */
    readonly id: string,
    /** When the request was read, on the clock of this process. */
    readonly readAt: number,
  ) {}

  /** Fields that describe the request in a log line. */
  fieldsAt(now: number): EventFields {
    const ageMs = now - this.readAt;
    const { timeoutMs } = this;
    return {
      request: this.id,
      stage: this.stage,
      age_ms: Math.round(ageMs),
      remaining_ms: timeoutMs === undefined ? undefined : Math.round(timeoutMs - ageMs),
    };
  }
}
