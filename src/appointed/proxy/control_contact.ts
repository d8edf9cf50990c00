/**
 * DECISION: how long control has been silent, and what follows for callers. Owns the times of the newest answers; relies on the clock
 * of this process only.
 *
 * Answers: control, or the network to it, is gone while callers go on. A proxy without control serves for as
 * long as its leases hold, but new callers are better served by a proxy that is in touch.
 * Inputs: age of the newest accepted answer (ms), whether a routing document is in force, whether any lease holds.
 * Rule: control counts as lost after {@link CONTROL_LOST_MS}; the proxy is not ready after {@link READY_SYNC_AGE_MS}, and
 * isolated, so that idle callers are disconnected too, after {@link ISOLATED_SYNC_AGE_MS} without any lease.
 */
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Clock } from '../../runtime/runtime.js';

/**
 * Age of the newest answer of control beyond which it counts as lost, in milliseconds: longer than a held request with its
 * time-out. Guess, not measured.
 */
const CONTROL_LOST_MS = 800;
/**
 * Age of the newest answer of control beyond which the ready probe fails and new callers are sent elsewhere, in
 * milliseconds. Guess, not measured.
 */
const MAX_READY_SYNC_AGE_MS = 1200;
/**
 * Age beyond which idle callers are sent elsewhere too, in milliseconds; the ready probe has turned new ones away by then.
 * Guess, not measured.
 */
const MAX_CONNECTED_SYNC_AGE_MS = 3300;

/** Contact of one proxy with control. */
export class ControlContact {
  private lastReplyAt = -Infinity;
  private newestConfirmationAt = -Infinity;
  private isLost = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Milliseconds since the newest accepted reply of control arrived. */
  get replyAgeMs(): number {
    return this.clock.now() - this.lastReplyAt;
  }

  /** When the newest request was sent that control answered: what is known of the catalog is that old. */
  get confirmedAt(): number {
    return this.newestConfirmationAt;
  }

  /** Whether control was in touch lately. */
  get isRecent(): boolean {
    return this.replyAgeMs < MAX_READY_SYNC_AGE_MS;
  }

  /** Whether control has been silent for so long that callers are better served by another proxy. */
  get isCutOff(): boolean {
    return this.replyAgeMs > MAX_CONNECTED_SYNC_AGE_MS;
  }

  /** Notes that an accepted reply arrived at `now`. */
  recordReply(now: number): void {
    if (this.isLost) {
      this.log(Events.controlRegained, { after_ms: Math.round(this.replyAgeMs) });
    }
    this.isLost = false;
    this.lastReplyAt = now;
  }

  /** Notes that the content of a reply to a request that was sent at `sentAt` is in force. */
  recordConfirmation(sentAt: number): void {
    this.newestConfirmationAt = Math.max(this.newestConfirmationAt, sentAt);
  }

  /** Logs once that control is lost; called often, as soon as a document is in force. */
  logIfLost(leader: string, failedRequests: number): void {
    if (this.replyAgeMs <= CONTROL_LOST_MS || this.isLost) return;
    this.isLost = true;
    this.log(Events.controlLost, {
      leader,
      failed_requests: failedRequests,
      sync_age_ms: Math.round(this.replyAgeMs),
    });
  }
}
