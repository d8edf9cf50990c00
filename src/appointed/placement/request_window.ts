/**
 * Counts requests in a sliding window of time. Owns the times of those in the window, at most as many as were ever allowed in
 * one; relies on a clock that never goes back.
 */

/** Window of one instance. */
export class RequestWindow {
  /** When each request of the window was sent, oldest first. */
  private readonly sentAt: number[] = [];
  /** Requests that wait for a connection, so that no more are let in than can be sent. */
  reservedCount = 0;

  constructor(private readonly lengthMs: number) {}

  /** Whether one more keeps the window within `most`, when all that wait have been sent. */
  hasRoom(maxRequests: number, now: number): boolean {
    this.removeExpired(now);
    return this.sentAt.length + this.reservedCount < maxRequests;
  }

  /** Counts a request that is sent now, if it keeps the window within `most`; returns whether it does. */
  tryAcquire(maxRequests: number, now: number): boolean {
    this.removeExpired(now);
    const mayBeSent = this.sentAt.length < maxRequests;
    if (mayBeSent) this.sentAt.push(now);
    return mayBeSent;
  }

  private removeExpired(now: number): void {
    while (this.sentAt.length > 0 && this.sentAt[0]! <= now - this.lengthMs) this.sentAt.shift();
  }
}
