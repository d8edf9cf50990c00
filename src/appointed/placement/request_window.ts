/**
 * Counts requests in a sliding window of time. Owns the times of those in the window, at most as many as were ever allowed in
 * one; relies on a clock that never goes back.
 */

/** Window of one instance. */
export class RequestWindow {
  /** When each request of the window was sent, oldest first. */
  private readonly sentAt: number[] = [];
  /** Requests that wait for a connection, so that no more are let in than can be sent. */
  waiting = 0;

  constructor(private readonly lengthMs: number) {}

  /** Whether one more keeps the window within `most`, when all that wait have been sent. */
  hasRoom(most: number, now: number): boolean {
    this.forget(now);
    return this.sentAt.length + this.waiting < most;
  }

  /** Counts a request that is sent now, if it keeps the window within `most`; returns whether it does. */
  take(most: number, now: number): boolean {
    this.forget(now);
    const mayBeSent = this.sentAt.length < most;
    if (mayBeSent) this.sentAt.push(now);
    return mayBeSent;
  }

  private forget(now: number): void {
    while (this.sentAt.length > 0 && this.sentAt[0]! <= now - this.lengthMs) this.sentAt.shift();
  }
}
