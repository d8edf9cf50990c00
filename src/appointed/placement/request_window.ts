/** Counts requests to one instance in a sliding time window. The clock must be monotonic. */

export class RequestWindow {
  /** When each request in the window was sent, oldest first. */
  private readonly sentAt: number[] = [];
  /** Requests that are waiting for a connection; they count as sent when another request asks to wait. */
  reservedCount = 0;

  constructor(private readonly lengthMs: number) {}

  /** Whether one more request keeps the window within `maxRequests` once all reserved ones have been sent. */
  hasRoom(maxRequests: number, now: number): boolean {
    this.removeExpired(now);
    return this.sentAt.length + this.reservedCount < maxRequests;
  }

  /** Counts a request sent now if it keeps the window within `maxRequests`; returns whether it may be sent. */
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
