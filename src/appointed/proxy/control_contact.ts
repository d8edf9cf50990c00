/**
 * Tracks how long control has not answered, and what follows for callers. A proxy without control serves requests as long
 * as its leases are valid, but new callers are better served by a proxy that reaches control. Control counts as lost after
 * {@link CONTROL_LOST_MS}; the proxy is not ready after {@link MAX_READY_SYNC_AGE_MS}; and it disconnects idle callers,
 * too, after {@link MAX_CONNECTED_SYNC_AGE_MS} without any valid lease.
 */
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Clock } from '../../runtime/runtime.js';

/** Reply age after which control counts as lost; longer than a long poll with its timeout. */
const CONTROL_LOST_MS = 800;
/** Reply age beyond which the readiness probe fails, so that new callers use another proxy. */
const MAX_READY_SYNC_AGE_MS = 1200;
/** Reply age beyond which idle callers are disconnected. By then the readiness probe has diverted new callers. */
const MAX_CONNECTED_SYNC_AGE_MS = 3300;

export class ControlContact {
  private lastReplyAt = -Infinity;
  private newestConfirmationAt = -Infinity;
  private isLost = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Time since the newest accepted reply of control arrived. */
  get replyAgeMs(): number {
    return this.clock.now() - this.lastReplyAt;
  }

  /** Send time of the newest answered request: the known catalog was current then. */
  get confirmedAt(): number {
    return this.newestConfirmationAt;
  }

  /** Whether control answered recently enough for new callers. */
  get isRecent(): boolean {
    return this.replyAgeMs < MAX_READY_SYNC_AGE_MS;
  }

  /** Whether control has not answered for so long that all callers are better served by another proxy. */
  get isCutOff(): boolean {
    return this.replyAgeMs > MAX_CONNECTED_SYNC_AGE_MS;
  }

  /** Records that an accepted reply arrived at `now`. */
  recordReply(now: number): void {
    if (this.isLost) {
      this.log(Events.controlRegained, { after_ms: Math.round(this.replyAgeMs) });
    }
    this.isLost = false;
    this.lastReplyAt = now;
  }

  /** Records that the reply to a request sent at `sentAt` has been applied. */
  recordConfirmation(sentAt: number): void {
    this.newestConfirmationAt = Math.max(this.newestConfirmationAt, sentAt);
  }

  /** Logs once that control is lost. Called periodically once a document is in force. */
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
